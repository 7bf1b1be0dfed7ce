/// The entry role of a host: a state machine without side effects that takes
/// each request from its arrival to its single final answer. It combines
/// admission, queueing, routing, claims, attempts, retries and quarantine. The
/// host program and the replay pass events to it and execute the commands that
/// it returns, in order.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "comfreyflow/admission.h"
#include "comfreyflow/attempt.h"
#include "comfreyflow/dispatcher.h"
#include "comfreyflow/errors.h"
#include "comfreyflow/poison.h"
#include "comfreyflow/retry.h"
#include "comfreyflow/stream.h"
#include "comfreyflow/target.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

/// Where a resumed request continues: after the first `offset` bytes of its
/// answer. `attempt` is the attempt that sent them, on `target`.
struct ResumePoint {
  AttemptId attempt;
  TargetName target;
  std::uint64_t offset = 0;
};

// ---- Events ---------------------------------------------------------------

struct RequestArrived {
  RequestInfo info;
  std::string idempotency_key;  ///< Empty if the caller sent none.
  std::optional<ResumePoint> resume;
};

/// Result of claiming an idempotency key in the claim log. A claim gives one
/// request the exclusive right to run with the key.
enum class ClaimVerdict : std::uint8_t {
  kClaimed,           ///< Claimed by this request, which runs now or never.
  kDuplicateDone,     ///< Another request with the key completed its answer.
  kDuplicateRunning,  ///< Another request with the key has not ended.
  kDuplicateUnknown,  ///< Another request had the key; its outcome is unknown.
  kBodyMismatch,      ///< The key was used with a different request body.
  kUnavailable,       ///< The store did not decide; the request must not run.
};

struct ClaimAnswered {
  RequestId request;
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;
};

/// The reply to `RequestGrant` of the target's steward, the host that grants
/// the target's memory and slots.
struct GrantAnswered {
  AttemptId attempt;
  TargetName target;
  GrantReply reply = GrantReply::kRefused;
  Duration retry_after{};
};

/// The caller of a request closed its connection.
struct CallerDisconnected {
  RequestId request;
};

/// A target was listed for the first time or again, maybe with changes.
struct TargetUpdated {
  TargetInfo info;
};

/// A target is no longer listed.
struct TargetRemoved {
  TargetName target;
};

/// The target accepts no new work from now on, according to its own report or
/// to a peer.
struct TargetClosed {
  TargetName target;
};

/// A target reported its load.
struct LoadReported {
  TargetReport report;
};

/// A target reported changes to its cached prompt prefixes, or all of them.
struct PrefixReported {
  TargetName target;
  bool is_complete_list = false;  ///< `events` lists every cached block.
  std::uint64_t next = 0;         ///< Sequence of the event that comes next.
  std::vector<PrefixEvent> events;
};

/// A peer reported a request, by its fingerprint, that was running on a target
/// when it crashed. Such a request is a suspect; if it was running in crashes
/// of two targets, it is in quarantine: refused for a time.
struct SuspectReported {
  CrashEvidence evidence;
};

/// An operator cleared a fingerprint of suspicion and quarantine.
struct SuspectCleared {
  std::uint64_t fingerprint = 0;
};

/// The local host's share of a client account's limits, or the account's
/// scheduling weight, has changed.
struct LimitChanged {
  AccountName account;
  AccountLimit limit;
  double weight = 1;
};

/// New requests are refused with `reason` until `ResumeAdmitting`; with
/// `kDraining` for good.
struct StopAdmitting {
  Errc reason = Errc::kDraining;
};

struct ResumeAdmitting {};

/// The host ends. Requests whose answers could come after `answer_by` are
/// refused with `kDraining`: by their deadlines, or by an estimate if they are
/// repeatable. Requests that are open then are ended with `kDraining`, and no
/// further ones are admitted.
struct StopBegan {
  Time answer_by;
};

/// Time has passed. To be sent at least every `kEntryTickPeriod`.
struct Tick {};

using EntryEvent =
    std::variant<RequestArrived, ClaimAnswered, GrantAnswered, StreamOpened,
                 ChunkArrived, StreamHeartbeat, StreamEnded, StreamFailed,
                 CallerDisconnected, TargetUpdated, TargetRemoved, TargetClosed,
                 LoadReported, PrefixReported, SuspectReported, SuspectCleared,
                 LimitChanged, StopAdmitting, ResumeAdmitting, StopBegan, Tick>;

// ---- Commands -------------------------------------------------------------

/// Claim the idempotency key in the store, then send `ClaimAnswered`.
struct WantClaim {
  RequestId request;
  AccountName account;
  std::string idempotency_key;
  std::uint64_t fingerprint = 0;
  Time deadline;
};

/// Store the outcome of a claimed request, for later requests with its key.
struct RecordOutcome {
  RequestId request;
  Outcome outcome = Outcome::kUnknown;
};

/// Request memory and a slot on the target from its steward, then send
/// `GrantAnswered`.
struct RequestGrant {
  AttemptId attempt;
  TargetName target;
  AccountName account;
  std::uint64_t kv_tokens = 0;
  Urgency urgency = Urgency::kNormal;
  std::uint32_t prefill_tokens = 0;  ///< Estimated uncached prompt tokens.
  Duration max_wait{};   ///< Refuse if prefill would start later than this.
  bool suspect = false;  ///< Must not share the target with another suspect.
  Time expires;
};

/// Return a grant, used or not, to the target's steward.
struct ReleaseGrant {
  AttemptId attempt;
  TargetName target;
};

/// Notify the target's steward that the prefill of the attempt has finished.
struct PrefillDone {
  AttemptId attempt;
  TargetName target;
};

/// Send the request to `targets[0]`. Further targets belong to the same gang, a
/// group of targets that run one request together.
struct OpenStream {
  AttemptId attempt;
  std::vector<TargetName> targets;
  std::uint64_t offset = 0;
  std::uint8_t engine_priority = 1;  ///< From 0 to 2, the most urgent.
  Time expires;
};

/// Cancel the attempt on the target. Repeat this until the target's list of
/// attempts no longer contains it.
struct CancelAttempt {
  AttemptId attempt;
  TargetName target;
};

/// Forward the chunk of the current event to the caller, without its first
/// `skip` bytes.
struct Forward {
  RequestId request;
  std::uint32_t skip = 0;
};

/// The only final answer of a request. `code` is `kOk` if the answer is
/// complete.
struct Finish {
  RequestId request;
  Errc code = Errc::kOk;
  Outcome outcome = Outcome::kDone;
  Duration retry_after{};
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::uint32_t attempts = 0;
};

/// Report a suspect to all peers.
struct ShareSuspect {
  CrashEvidence evidence;
};

/// Report to all peers that a target accepts no new work.
struct ShareClosed {
  TargetName target;
};

/// Fetch the target's complete list of cached blocks, then send
/// `PrefixReported`.
struct FetchPrefixList {
  TargetName target;
};

using EntryCommand =
    std::variant<WantClaim, RecordOutcome, RequestGrant, ReleaseGrant,
                 PrefillDone, OpenStream, CancelAttempt, Forward, Finish,
                 ShareSuspect, ShareClosed, FetchPrefixList>;
using EntryCommands = std::vector<EntryCommand>;

/// Settings of the entry role and its components. `seed` is for the jitter of
/// the back-off.
struct EntrySettings {
  std::uint64_t seed = 0;
  DispatcherSettings dispatcher;
  AttemptSettings attempt;
  RetrySettings retry;
  PoisonSettings poison;
};

class Entry {
 public:
  explicit Entry(EntrySettings settings);
  ~Entry();
  Entry(Entry&&) noexcept;
  Entry& operator=(Entry&&) noexcept;

  /// Handles one event and returns the commands to execute. `now` must not
  /// decrease between calls. Invariant: each `RequestArrived` leads to exactly
  /// one `Finish`, no later than the request's deadline if `Tick` is sent at
  /// least every `kEntryTickPeriod`.
  EntryCommands Handle(const EntryEvent& event, Time now);

  /// Number of requests without a `Finish`.
  std::size_t open_requests() const;
  /// Number of streams that have not ended.
  std::size_t open_attempts() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

inline constexpr Duration kEntryTickPeriod = std::chrono::milliseconds(10);

}  // namespace comfreyflow
