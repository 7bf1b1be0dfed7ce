/// At most once: idempotency keys are claimed in a log kept in the platform's
/// store. The log is cut into shards, a shard into numbered slots, and a slot
/// holds a batch. A slot is created only if absent, and only by a writer that
/// has read each slot below it; that alone decides who holds a key. Stewards
/// gather the claims of several hosts into one batch to save writes.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "comfreyflow/entry.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

struct ClaimSettings {
  HostName host;
  Incarnation incarnation;
  std::uint32_t shards = 8;  ///< The same on all hosts, for good.
  /// Between two slots of a shard by one writer.
  Duration batch_period = std::chrono::milliseconds(100);
  /// An outcome waits this long for a claim to share its slot.
  Duration max_outcome_delay = std::chrono::seconds(1);
  Duration store_timeout = std::chrono::milliseconds(400);
  Duration peer_timeout = std::chrono::milliseconds(250);
  /// A claim without verdict by then is answered `kUnavailable`.
  Duration claim_timeout = std::chrono::milliseconds(1500);
  /// Between two probes of a store that does not answer.
  Duration probe_period = std::chrono::milliseconds(500);
  /// An append takes the trim mark into account if the log was confirmed
  /// longer ago than this.
  Duration max_confirmation_age = std::chrono::seconds(5);
  /// How long keys are remembered; longer than twice any deadline.
  Duration retention = std::chrono::hours(1);
  Duration trim_period = std::chrono::minutes(1);
  /// Between two deletions of trimmed slots.
  Duration delete_period = std::chrono::milliseconds(60);
  /// A shard that this host is not steward of is forgotten when idle so long.
  Duration idle_limit = std::chrono::minutes(1);
  std::uint32_t page = 500;          ///< Slots in one listing.
  std::uint32_t max_batch = 500;     ///< Records in one slot.
  std::size_t max_keys = 1'500'000;  ///< Over all shards; then kUnavailable.
  std::size_t max_waiting = 20'000;  ///< Claims without verdict.
};

/// A claim or an outcome as the log holds it.
struct ClaimRecord {
  enum class Kind : std::uint8_t { kClaim, kOutcome };
  Kind kind = Kind::kClaim;
  std::string key;  ///< Digest of account and idempotency key, as text.
  std::uint64_t claimant = 0;           ///< Hash of the request's identifier.
  std::uint64_t fingerprint = 0;        ///< Of claims.
  std::chrono::seconds remaining{};     ///< Of claims: until the deadline.
  Outcome outcome = Outcome::kUnknown;  ///< Of outcomes.
};

/// One slot's value. `nonce` names the write of one writer. Records of slots
/// below `floor` are forgotten when the batch is applied, so that readers who
/// began before and after a trim agree.
struct ClaimBatch {
  std::uint64_t nonce = 0;
  std::uint64_t floor = 0;
  std::vector<ClaimRecord> records;
};

std::string EncodeBatch(const ClaimBatch& batch);
/// False when the text is no batch; `out` is then unspecified.
bool DecodeBatch(const std::string& text, ClaimBatch& out);

// ---- Events ---------------------------------------------------------------

enum class StoreResult : std::uint8_t {
  kOk,
  kConflict,  ///< Exists already, or has another version.
  kNotFound,
  kNoAnswer,  ///< Timeout, outage or lost answer: it may have taken effect.
};

struct StoreItem {
  std::string name;
  std::uint64_t version = 0;
  std::string value;
};

/// The answer to the store command with this number, in kind `claims`.
struct StoreAnswered {
  std::uint64_t op = 0;
  StoreResult result = StoreResult::kNoAnswer;
  std::vector<StoreItem> items;  ///< One for a get, in order for a list; the
                                 ///< version alone for a write.
};

/// Another host asks this one, as steward, to append these records.
struct PeerClaims {
  HostName from;
  std::vector<ClaimRecord> records;
};

/// The end of a peer's record; for an outcome the verdict says nothing.
struct PeerVerdict {
  ClaimRecord::Kind kind = ClaimRecord::Kind::kClaim;
  std::string key;
  std::uint64_t claimant = 0;
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;
};

/// The steward's answer to `AskClaimSteward`.
struct PeerVerdicts {
  HostName from;
  std::vector<PeerVerdict> verdicts;
};

/// The steward of each shard, by number; an empty name means none is known.
struct ClaimStewards {
  std::vector<HostName> by_shard;
};

/// Steward of each shard by rendezvous hash; no host gets more than its even
/// share rounded up.
std::vector<HostName> AssignClaimStewards(const std::vector<HostName>& hosts,
                                          std::uint32_t shards);

using ClaimEvent = std::variant<WantClaim, RecordOutcome, StoreAnswered,
                                PeerClaims, PeerVerdicts, ClaimStewards, Tick>;

// ---- Commands -------------------------------------------------------------

/// Each is answered with `StoreAnswered` of the same number; kind `claims`.
struct StoreGet {
  std::uint64_t op = 0;
  std::string name;
};
struct StoreCreate {
  std::uint64_t op = 0;
  std::string name;
  std::string value;
};
struct StoreUpdate {
  std::uint64_t op = 0;
  std::string name;
  std::string value;
  std::uint64_t version = 0;
};
struct StoreList {
  std::uint64_t op = 0;
  std::string prefix;
  std::string from;
  std::uint32_t limit = 0;
};
struct StoreDelete {
  std::uint64_t op = 0;
  std::string name;
  std::uint64_t version = 0;
};

/// Answer with `PeerVerdicts`; no answer is needed.
struct AskClaimSteward {
  HostName steward;
  std::vector<ClaimRecord> records;
};

struct AnswerPeer {
  HostName to;
  std::vector<PeerVerdict> verdicts;
};

using ClaimCommand =
    std::variant<ClaimAnswered, StoreGet, StoreCreate, StoreUpdate, StoreList,
                 StoreDelete, AskClaimSteward, AnswerPeer>;
using ClaimCommands = std::vector<ClaimCommand>;

/// Invariant: over all hosts, at most one `kClaimed` is answered for a key
/// within the retention, but for keys whose holder recorded `kNotRun`.
class Claims {
 public:
  explicit Claims(ClaimSettings settings);
  ~Claims();
  Claims(Claims&&) noexcept;
  Claims& operator=(Claims&&) noexcept;

  /// Takes one event; `now` never goes back. Each `WantClaim` leads to exactly
  /// one `ClaimAnswered` within `claim_timeout` if `Tick` comes often enough.
  ClaimCommands Handle(const ClaimEvent& event, Time now);

  /// Keys remembered over all shards.
  std::size_t keys() const;
  /// Claims without verdict.
  std::size_t pending_claims() const;
  /// Outcomes of this host that the log does not have yet.
  std::size_t unrecorded_outcomes() const;
  bool store_up() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace comfreyflow
