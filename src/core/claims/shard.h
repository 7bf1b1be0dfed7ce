/// One shard of the claim log as this host writes and reads it.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "comfreyflow/claims.h"
#include "core/claims/log.h"

namespace comfreyflow::detail {

/// What the shard's one store call in flight is for.
enum class ShardCall : std::uint8_t {
  kNone,
  kReadMark,     ///< Before the first listing.
  kList,         ///< Slots from `log.next()`.
  kConfirmMark,  ///< After the last listing: nothing unread was trimmed.
  kCreate,       ///< `pending` at `pending_slot`.
  kWriteMark,    ///< Raises the trim mark to `new_mark`.
  kListOrphans,  ///< Slots below the mark that nobody deleted.
  kDelete,       ///< A slot below the mark.
};

struct QueuedRecord {
  ClaimRecord record;
  Time since;
};

struct SeenSlot {
  std::uint64_t slot = 0;
  std::uint64_t version = 0;
  Time since;  ///< This host knew by then that the slot exists.
};

struct Shard {
  std::uint32_t number = 0;
  ClaimLog log;

  // Invariant: while true, each slot below `log.next()` was applied or had been
  // trimmed, as of `confirmed`.
  bool caught_up = false;
  /// Where the current or last reading of the log began.
  std::uint64_t catch_up_from = 0;
  bool mark_known = false;
  bool want_catch_up = false;  ///< Even with nothing to append.
  Time confirmed{};
  std::uint64_t mark = 0;
  std::uint64_t mark_version = 0;  ///< 0 while there is no mark object.

  std::deque<QueuedRecord> queue;
  // A batch whose creation is not known to have failed or succeeded. Until it
  // is, nothing else is appended.
  std::optional<ClaimBatch> pending;
  std::uint64_t pending_slot = 0;
  Time last_append{};
  Time last_use{};

  ShardCall call = ShardCall::kNone;
  std::uint64_t op = 0;
  Time op_since{};

  std::deque<SeenSlot> seen;  ///< In order of slot, none below the mark.
  std::deque<SeenSlot> trimmed;
  std::uint64_t new_mark = 0;
  Time last_trim{};
  Time last_delete{};
  bool orphans_checked = false;

  bool idle() const {
    return call == ShardCall::kNone && !pending && queue.empty();
  }
};

}  // namespace comfreyflow::detail
