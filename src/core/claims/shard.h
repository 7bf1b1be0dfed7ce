/// This host's state of one shard of the claim log: its copy of the log, the
/// records to append, and the store call in flight.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "comfreyflow/claims.h"
#include "core/claims/log.h"

namespace comfreyflow::detail {

/// The purpose of a shard's store call; a shard has at most one in flight.
enum class ShardCall : std::uint8_t {
  kNone,
  kReadMark,     ///< Reads the trim mark before the first listing.
  kList,         ///< Lists slots from `log.next_slot()` on.
  kConfirmMark,  ///< Checks after the last listing that no unread slot was
                 ///< trimmed.
  kCreate,       ///< Creates `pending_slot` with `pending_batch`.
  kWriteMark,    ///< Raises the trim mark to `new_trim_mark`.
  kListOrphans,  ///< Lists undeleted slots below the trim mark.
  kDelete,       ///< Deletes a slot below the trim mark.
};

struct QueuedRecord {
  ClaimRecord record;
  Time queued_at;
};

/// A slot that exists in the store.
struct KnownSlot {
  std::uint64_t slot = 0;
  std::uint64_t version = 0;
  Time known_since;  ///< When this host learned that the slot exists.
};

/// The shard as this host knows it.
struct Shard {
  std::uint32_t number = 0;
  ClaimLog log;

  // Invariant: while true, each slot below `log.next_slot()` has been applied,
  // or had been trimmed by `confirmed_at`.
  bool is_caught_up = false;
  /// The slot at which the current or last catch-up started.
  std::uint64_t catch_up_start = 0;
  bool is_trim_mark_known = false;
  bool catch_up_requested = false;  ///< Catch up even with nothing to append.
  Time confirmed_at{};
  std::uint64_t trim_mark = 0;
  /// Store version of the mark's object; 0 if it is not known to exist.
  std::uint64_t trim_mark_version = 0;

  std::deque<QueuedRecord> queue;
  // A batch whose creation may or may not have succeeded. Nothing else is
  // appended until that is known.
  std::optional<ClaimBatch> pending_batch;
  std::uint64_t pending_slot = 0;
  Time last_append_at{};
  Time last_used_at{};

  ShardCall call = ShardCall::kNone;
  std::uint64_t op = 0;
  Time call_started_at{};

  std::deque<KnownSlot> known_slots;  ///< By slot; none below the trim mark.
  std::deque<KnownSlot> slots_to_delete;
  std::uint64_t new_trim_mark = 0;
  Time last_trim_at{};
  Time last_delete_at{};
  bool orphans_listed = false;

  bool IsIdle() const {
    return call == ShardCall::kNone && !pending_batch && queue.empty();
  }
};

}  // namespace comfreyflow::detail
