/// Assigns admitted requests to targets. Combines the queues, the router and
/// the reservations at stewards, the hosts that grant the memory and slots of a
/// target. The entry passes in requests and the answers of stewards. The
/// dispatcher returns commands to request and release grants, and reports when
/// all grants of a request are held.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <variant>
#include <vector>

#include "comfreyflow/admission.h"
#include "comfreyflow/router.h"
#include "comfreyflow/scheduler.h"
#include "comfreyflow/steward.h"

namespace comfreyflow {

struct DispatcherSettings {
  RouterSettings router;
  AdmissionSettings admission;
  /// Number of stewards asked in sequence before a request pauses.
  std::uint32_t probes_short = 6;
  std::uint32_t probes_long = 6;
  /// Maximum wait at a target in all but the last of these reservations.
  Duration probe_wait_short = std::chrono::milliseconds(8);
  Duration probe_wait_long = std::chrono::milliseconds(50);
  /// Maximum wait at a target in the last of these reservations.
  Duration last_wait_short = std::chrono::milliseconds(150);
  Duration last_wait_long = std::chrono::milliseconds(800);
  /// Age from which a long request waits for memory at one target.
  Duration memory_wait_age = std::chrono::seconds(2);
  /// Maximum wait for memory at that target.
  Duration memory_wait = std::chrono::seconds(6);
  /// Pause of a request after a round of refused reservations.
  Duration backoff_short = std::chrono::milliseconds(10);
  Duration backoff_long = std::chrono::milliseconds(60);
  /// Pause of an account's short work after stewards reported that the account
  /// used up its share of their targets.
  Duration share_pause = std::chrono::milliseconds(25);
  /// A steward that does not answer within this time counts as refusing.
  Duration reserve_timeout = std::chrono::milliseconds(250);
  /// Maximum wait for each grant of a gang older than `memory_wait_age`. The
  /// gang then releases all its grants and starts again.
  Duration gang_timeout = std::chrono::seconds(8);
  /// Pause of a gang before it starts again.
  Duration gang_backoff = std::chrono::milliseconds(200);
  /// Maximum number of requests of each length class that wait for grants at
  /// once.
  std::array<std::uint32_t, kPromptClasses> max_reserving{64, 16, 1};
};

/// Request a grant from the target's steward.
struct SendReserveRequest {
  TargetName target;
  ReservationRequest request;
};

/// Release the grant, or the place in the queue of the target's steward.
struct SendRelease {
  TargetName target;
  AttemptId attempt;
};

/// Report to the target's steward that the prefill of the attempt is done.
struct SendPrefillDone {
  TargetName target;
  AttemptId attempt;
};

/// All grants are held: open the stream to `targets[0]`.
struct Dispatched {
  AttemptId attempt;
  std::vector<TargetName> targets;
  PromptClass length = PromptClass::kShort;
  std::uint8_t engine_priority = 0;
};

/// The request cannot be placed. It holds no grants any more.
struct Unplaced {
  AttemptId attempt;
  Errc code = Errc::kNoTarget;
};

using DispatchCommand = std::variant<SendReserveRequest, SendRelease,
                                     SendPrefillDone, Dispatched, Unplaced>;
using DispatchCommands = std::vector<DispatchCommand>;

/// Queues admitted requests and obtains the grants that they need.
class Dispatcher {
 public:
  explicit Dispatcher(DispatcherSettings settings);

  /// Decides whether to admit a new request. `Done` must be called once for
  /// each admitted request.
  AdmissionDecision Arrived(const RequestInfo& info, Time now);
  void Done(const RequestId& id);
  /// Estimated time until the answer to an arriving request is complete if it
  /// uses all its output tokens and no target has its prompt cached.
  Duration AnswerTime(const RequestInfo& info, Time now);

  /// Queues an admitted request for its next attempt. Exactly one `Dispatched`
  /// or `Unplaced` follows, unless `Leave` is called first. A suspect may have
  /// crashed a target; it shares no target with another suspect.
  DispatchCommands Enqueue(const AttemptId& attempt, const RequestInfo& info,
                           const std::vector<TargetName>& excluded, Time now,
                           bool suspect = false);
  /// Handles a steward's answer to a reservation request.
  DispatchCommands Answered(const TargetName& target,
                            const ReservationReply& answer, Time now);
  /// The first token of the attempt arrived.
  DispatchCommands FirstToken(const AttemptId& attempt, Time now);
  /// Ends the attempt in any phase and releases its grants. `complete` if its
  /// response was complete.
  DispatchCommands Leave(const AttemptId& attempt, bool complete, Time now);
  /// Places waiting requests and times out reservations. Call at least every
  /// 10 ms.
  DispatchCommands Tick(Time now);

  Router& router() { return router_; }
  Scheduler& scheduler() { return scheduler_; }
  Admission& admission() { return admission_; }

 private:
  enum class Phase : std::uint8_t { kQueued, kPaused, kReserving, kDispatched };
  /// State of one attempt. Invariant: the first `granted` of `candidates` have
  /// granted the request. While `phase` is `kReserving`, the request waits for
  /// the grant of the next candidate.
  struct Work {
    RequestInfo info;
    AttemptId attempt;
    std::vector<TargetName> excluded;
    Phase phase = Phase::kQueued;
    QueuedRequest queued;
    Placement::Kind kind = Placement::Kind::kCandidates;
    std::vector<Candidate> candidates;
    std::size_t granted = 0;
    std::uint32_t refusals = 0;        ///< In the current round.
    std::uint32_t share_refusals = 0;  ///< Refusals for the account's share.
    /// Targets not asked in this round: those excluded and those at which the
    /// account's share is used up.
    std::vector<TargetName> skipped;
    bool was_placed = false;
    bool suspect = false;
    bool steward_queues = false;
    Time enqueued_at;
    Time wake_at;  ///< End of the pause, or of the wait for the steward.
    Time sent_at;
    Time first_token_at;
  };

  /// Statistics of the time from entering the queue to the last grant, for one
  /// class and account. Invariant: `count` and `enqueued_sum` cover the
  /// requests that are not dispatched.
  struct QueueWaits {
    std::int64_t count = 0;
    Duration enqueued_sum{};  ///< Sum of `enqueued_at` of these requests.
    Duration average{};       ///< Average wait of recently dispatched requests.
  };

  Work* Find(const AttemptId& attempt);
  std::uint32_t& reserving(const Work& work);
  Placeable AvailableLanes() const;
  void PlaceWaiting(Time now);
  void Place(Work& work, Time now);
  void RequestGrant(Work& work, Time now);
  /// Maximum wait at the target that the next reservation may grant.
  Duration MaxWait(const Work& work, Time now) const;
  void Granted(Work& work, Time now);
  void Refused(Work& work, Duration wait, Time now);
  void Pause(Work& work, Duration length, Time now);
  void OnWakeTime(Work& work, Time now);
  void SetPhase(Work& work, Phase phase);
  void SetWakeTime(Work& work, Time wake_at);
  void ReleaseGrants(Work& work);
  void Fail(Work& work, Errc code);
  bool HoldsGrant(const Work* work, const TargetName& target) const;
  Duration QueueWait(const AccountName& account, PromptClass length,
                     Time now) const;
  QueueWaits& QueueWaitsOf(const Work& work);
  void PauseAccount(const AccountName& account, Time now);
  void ResumeAccounts(Time now);
  void EndProbation(const AccountName& account);
  void RemoveFromQueueWaits(const Work& work);

  DispatcherSettings settings_;
  Admission admission_;
  Scheduler scheduler_;
  Router router_;
  std::map<RequestId, Work> work_;
  std::array<std::uint32_t, kPromptClasses> reserving_{};
  std::array<std::map<AccountName, QueueWaits>, kPromptClasses> waits_;
  std::map<AccountName, Time> paused_until_;
  /// Accounts that were refused for their share and got no grant since.
  std::set<AccountName> on_probation_;
  /// Invariant: contains `wake_at` of each request that is paused or waits for
  /// a grant.
  std::set<std::pair<Time, RequestId>> wake_times_;
  DispatchCommands out_;
};

}  // namespace comfreyflow
