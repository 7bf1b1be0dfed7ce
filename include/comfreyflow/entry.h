/// The entry role of a host: one pure state machine that takes a request from
/// its arrival to its one final answer. It joins admission, queueing, routing,
/// claims, attempts, retries and quarantine; the shell and the replay feed it
/// events and carry out the commands it returns, in order.
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

/// Where a resumed request continues: at `offset` bytes of its answer.
struct ResumePoint {
  AttemptId attempt;
  TargetName target;
  std::uint64_t offset = 0;
};

// ---- Events ---------------------------------------------------------------

struct RequestArrived {
  RequestInfo info;
  std::string idempotency_key;  ///< Empty unless the caller sent one.
  std::optional<ResumePoint> resume;
};

/// What the claim log says of an idempotency key.
enum class ClaimVerdict : std::uint8_t {
  kClaimed,           ///< Ours; run it now or never.
  kDuplicateDone,     ///< Another request with the key ran to its whole answer.
  kDuplicateRunning,  ///< Another request with the key has not ended.
  kDuplicateUnknown,  ///< Another request had the key; its end is not known.
  kBodyMismatch,      ///< The key was used with another body.
  kUnavailable,       ///< The store could not say; nothing was claimed for use.
};

struct ClaimAnswered {
  RequestId request;
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;
};

/// The steward's answer to `RequestGrant`.
struct GrantAnswered {
  AttemptId attempt;
  TargetName target;
  GrantReply reply = GrantReply::kRefused;
  Duration retry_after{};
};

struct CallerDisconnected {
  RequestId request;
};

struct TargetUpdated {
  TargetInfo info;
};

struct TargetRemoved {
  TargetName target;
};

/// No new work for the target from now on, whoever said so.
struct TargetClosed {
  TargetName target;
};

struct LoadReported {
  TargetReport report;
};

struct PrefixReported {
  TargetName target;
  bool is_complete_list = false;  ///< The events are all that is stored.
  std::uint64_t next = 0;
  std::vector<PrefixEvent> events;
};

/// A peer saw a fingerprint in a crash.
struct SuspectReported {
  CrashEvidence evidence;
};

/// An operator ends the suspicion or quarantine of a fingerprint.
struct SuspectCleared {
  std::uint64_t fingerprint = 0;
};

/// This host's share of a client account's limits, and the account's weight.
struct LimitChanged {
  AccountName account;
  AccountLimit limit;
  double weight = 1;
};

struct StopAdmitting {
  Errc reason = Errc::kDraining;
};

struct ResumeAdmitting {};

struct Tick {};

using EntryEvent =
    std::variant<RequestArrived, ClaimAnswered, GrantAnswered, StreamOpened,
                 ChunkArrived, StreamHeartbeat, StreamEnded, StreamFailed,
                 CallerDisconnected, TargetUpdated, TargetRemoved, TargetClosed,
                 LoadReported, PrefixReported, SuspectReported, SuspectCleared,
                 LimitChanged, StopAdmitting, ResumeAdmitting, Tick>;

// ---- Commands -------------------------------------------------------------

/// Claim the key in the store; answer with `ClaimAnswered`.
struct WantClaim {
  RequestId request;
  AccountName account;
  std::string idempotency_key;
  std::uint64_t fingerprint = 0;
  Time deadline;
};

/// Keep the outcome of a claimed request for those who send it again.
struct RecordOutcome {
  RequestId request;
  Outcome outcome = Outcome::kUnknown;
};

/// Ask the target's steward for memory and a slot; answer `GrantAnswered`.
struct RequestGrant {
  AttemptId attempt;
  TargetName target;
  AccountName account;
  std::uint64_t kv_tokens = 0;
  Urgency urgency = Urgency::kNormal;
  std::uint32_t prefill_tokens = 0;  ///< Estimated uncached prompt tokens.
  Duration max_wait{};   ///< Refuse when prefill would begin later than this.
  bool suspect = false;  ///< Must not share the target with another suspect.
  Time expires;
};

/// Give a grant back, used or not.
struct ReleaseGrant {
  AttemptId attempt;
  TargetName target;
};

/// Tell the target's steward that the attempt's prefill is done.
struct PrefillDone {
  AttemptId attempt;
  TargetName target;
};

/// Send the request to `targets[0]`; the others are the rest of a gang.
struct OpenStream {
  AttemptId attempt;
  std::vector<TargetName> targets;
  std::uint64_t offset = 0;
  std::uint8_t engine_priority = 1;  ///< 0..2, 2 the most urgent.
  Time expires;
};

/// Cancel on the target until its list no longer has the attempt.
struct CancelAttempt {
  AttemptId attempt;
  TargetName target;
};

/// Give the caller the chunk just told, without its first `skip` bytes.
struct Forward {
  RequestId request;
  std::uint32_t skip = 0;
};

/// The one final answer of a request. `code` is `kOk` when it is whole.
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

/// Tell peers of a fingerprint seen in a crash.
struct ShareSuspect {
  CrashEvidence evidence;
};

/// Tell peers that a target takes no more work.
struct ShareClosed {
  TargetName target;
};

/// Fetch the target's whole list of cached blocks; answer `PrefixReported`.
struct FetchPrefixList {
  TargetName target;
};

using EntryCommand =
    std::variant<WantClaim, RecordOutcome, RequestGrant, ReleaseGrant,
                 PrefillDone, OpenStream, CancelAttempt, Forward, Finish,
                 ShareSuspect, ShareClosed, FetchPrefixList>;
using EntryCommands = std::vector<EntryCommand>;

/// What a host's entry role needs to know before it starts.
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

  /// Takes one event; `now` never goes back. Invariant: each `RequestArrived`
  /// leads to exactly one `Finish`, no later than the request's deadline if
  /// `Tick` comes at least every `kEntryTickPeriod`.
  EntryCommands Handle(const EntryEvent& event, Time now);

  /// Requests without a `Finish`.
  std::size_t open_requests() const;
  /// Streams on targets that have not ended.
  std::size_t open_attempts() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

inline constexpr Duration kEntryTickPeriod = std::chrono::milliseconds(10);

}  // namespace comfreyflow
