/// At-most-once execution: a request claims its idempotency key in a log in the
/// platform's store. The log is divided into shards, each shard into numbered
/// slots, and each slot holds one batch of records. A slot is created only if
/// it does not exist, and only by a writer that has read every slot below it;
/// these two rules alone ensure that a key has one holder. Each shard has a
/// steward, a host that combines the claims of several hosts into one batch to
/// save writes. Any host may append to any shard,
/// and does so while the steward is unresponsive.
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
  std::uint32_t shards = 8;  ///< The same on all hosts; must never change.
  /// Minimum time between two slots that one writer appends to a shard.
  Duration batch_period = std::chrono::milliseconds(100);
  /// How long an outcome is held back for a claim to share its slot.
  Duration max_outcome_delay = std::chrono::seconds(1);
  /// A store call without an answer by then counts as failed.
  Duration store_timeout = std::chrono::milliseconds(400);
  /// How long a steward may take to answer for a claim.
  Duration peer_timeout = std::chrono::milliseconds(250);
  /// A claim without a verdict by then is answered `kUnavailable`.
  Duration claim_timeout = std::chrono::milliseconds(1500);
  /// Time between two probes of an unreachable store.
  Duration probe_period = std::chrono::milliseconds(500);
  /// If the log was last confirmed longer ago than this when an append returns,
  /// the trim mark is read again before the append counts: the new slot may lie
  /// below a newer mark.
  Duration max_confirmation_age = std::chrono::seconds(5);
  /// How long keys are remembered. A claim is refused if twice the time to its
  /// deadline exceeds this.
  Duration retention = std::chrono::hours(1);
  /// Time between two advances of a shard's trim mark.
  Duration trim_period = std::chrono::minutes(1);
  /// Time between two deletions of trimmed slots of a shard.
  Duration delete_period = std::chrono::milliseconds(60);
  /// The local copy of a shard is dropped after this time without use, unless
  /// this host is the shard's steward.
  Duration idle_timeout = std::chrono::minutes(1);
  std::uint32_t page_size = 500;  ///< Slots in one listing.
  std::uint32_t max_batch = 500;  ///< Records in one slot.
  /// Keys remembered over all shards; at the limit, claims are answered
  /// `kUnavailable`.
  std::size_t max_keys = 1'500'000;
  std::size_t max_pending_claims = 20'000;  ///< Claims without a verdict.
};

/// A claim of a key, or the outcome of a claimed request, as stored in the log.
struct ClaimRecord {
  enum class Kind : std::uint8_t { kClaim, kOutcome };
  Kind kind = Kind::kClaim;
  std::string key;  ///< Digest of account and idempotency key, as text.
  std::uint64_t claimant = 0;           ///< Hash of the request's identifier.
  std::uint64_t fingerprint = 0;        ///< Of the request body; claims only.
  std::chrono::seconds remaining{};     ///< Time to the deadline; claims only.
  Outcome outcome = Outcome::kUnknown;  ///< Outcomes only.
};

/// The value of one slot. `nonce` makes each write distinct. Records of slots
/// below `floor` are dropped when the batch is applied, so that readers that
/// started before and after a trim reach the same state.
struct ClaimBatch {
  std::uint64_t nonce = 0;
  std::uint64_t floor = 0;
  std::vector<ClaimRecord> records;
};

std::string EncodeBatch(const ClaimBatch& batch);
/// Returns false if the text is not a valid batch; `out` is then unspecified.
bool DecodeBatch(const std::string& text, ClaimBatch& out);

// ---- Events ---------------------------------------------------------------

enum class StoreResult : std::uint8_t {
  kOk,
  kConflict,  ///< The object exists already or has another version.
  kNotFound,
  kNoAnswer,  ///< Timeout, outage or lost answer; may have taken effect.
};

struct StoreItem {
  std::string name;
  std::uint64_t version = 0;
  std::string value;
};

/// The store's answer to the command numbered `op`.
struct StoreAnswered {
  std::uint64_t op = 0;
  StoreResult result = StoreResult::kNoAnswer;
  std::vector<StoreItem> items;  ///< One for a get, ordered by name for a list;
                                 ///< only the version is set for a write.
};

/// Another host sent these records for this host to append as steward.
struct PeerClaims {
  HostName from;
  std::vector<ClaimRecord> records;
};

/// The result of a record that a peer sent. For an outcome it only means that
/// the record needs no further append; the verdict has no meaning.
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

/// Assigns a steward to each shard by rendezvous hashing. No host gets more
/// than an even share, rounded up.
std::vector<HostName> AssignClaimStewards(const std::vector<HostName>& hosts,
                                          std::uint32_t shards);

using ClaimEvent = std::variant<WantClaim, RecordOutcome, StoreAnswered,
                                PeerClaims, PeerVerdicts, ClaimStewards, Tick>;

// ---- Commands -------------------------------------------------------------

/// Store commands act on objects of the store kind `claims`. Each is answered
/// with a `StoreAnswered` of the same `op`.
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

/// Send the records to the steward, which answers with `PeerVerdicts`. Either
/// message may be lost.
struct AskClaimSteward {
  HostName steward;
  std::vector<ClaimRecord> records;
};

/// Send the verdicts to the peer that sent the records.
struct AnswerPeer {
  HostName to;
  std::vector<PeerVerdict> verdicts;
};

using ClaimCommand =
    std::variant<ClaimAnswered, StoreGet, StoreCreate, StoreUpdate, StoreList,
                 StoreDelete, AskClaimSteward, AnswerPeer>;
using ClaimCommands = std::vector<ClaimCommand>;

/// The claim state machine of a host, without side effects of its own.
/// Invariant: over all hosts, at most one `kClaimed` is answered for a key
/// within the retention, except that a key is free again once its holder has
/// recorded `kNotRun`.
class Claims {
 public:
  explicit Claims(ClaimSettings settings);
  ~Claims();
  Claims(Claims&&) noexcept;
  Claims& operator=(Claims&&) noexcept;

  /// Handles one event; `now` must not go backwards. Each `WantClaim` leads to
  /// exactly one `ClaimAnswered`, within `claim_timeout` plus one `Tick`
  /// period.
  ClaimCommands Handle(const ClaimEvent& event, Time now);

  /// Keys remembered over all shards.
  std::size_t keys() const;
  /// Claims without a verdict, those of peers included.
  std::size_t pending_claims() const;
  /// Outcomes not known to be in the log yet, those of peers included.
  std::size_t unrecorded_outcomes() const;
  /// False after several store calls in a row got no answer.
  bool store_up() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace comfreyflow
