/// Takes admitted requests to targets: joins the queues, the router and the
/// asking of stewards. The entry gives it requests and stewards' answers; it
/// says whom to ask, what to give back, and when all grants of a request are
/// held.
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
  /// Stewards asked one after the other before a request waits again.
  std::uint32_t probes_short = 6;
  std::uint32_t probes_long = 6;
  /// Longest wait at a target that all but the last of them may grant.
  Duration probe_wait_short = std::chrono::milliseconds(8);
  Duration probe_wait_long = std::chrono::milliseconds(50);
  /// Longest wait at a target that the last of them may grant.
  Duration last_wait_short = std::chrono::milliseconds(150);
  Duration last_wait_long = std::chrono::milliseconds(800);
  /// A long request this old waits for memory at one target.
  Duration patience = std::chrono::seconds(2);
  Duration memory_wait = std::chrono::seconds(6);
  /// Pause of a request after a round of refusals.
  Duration backoff_short = std::chrono::milliseconds(10);
  Duration backoff_long = std::chrono::milliseconds(60);
  /// Pause of an account's short work after a steward said that the account
  /// has its share.
  Duration share_pause = std::chrono::milliseconds(25);
  /// A steward that does not answer within this counts as refusing.
  Duration ask_timeout = std::chrono::milliseconds(250);
  /// A gang that is not whole by then gives all back and starts again.
  Duration gang_timeout = std::chrono::seconds(8);
  Duration gang_backoff = std::chrono::milliseconds(200);
  /// Requests of one length class that may be asking at once.
  std::array<std::uint32_t, kPromptClasses> max_asking{64, 16, 1};
};

/// Ask the target's steward.
struct SendReserveRequest {
  TargetName target;
  ReserveAsk request;
};

/// Give the grant, or the place in the queue, back to the target's steward.
struct SendRelease {
  TargetName target;
  AttemptId attempt;
};

/// Tell the target's steward that the attempt's prefill is done.
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

/// The request can't be placed; it holds nothing any more.
struct Unplaced {
  AttemptId attempt;
  Errc code = Errc::kNoTarget;
};

using DispatchCommand = std::variant<SendReserveRequest, SendRelease,
                                     SendPrefillDone, Dispatched, Unplaced>;
using DispatchCommands = std::vector<DispatchCommand>;

class Dispatcher {
 public:
  explicit Dispatcher(DispatcherSettings settings);

  /// Judges a request at the door; an admitted one must reach `Done` once.
  AdmissionVerdict Arrived(const RequestInfo& info, Time now);
  void Done(const RequestId& id);

  /// Queues an admitted request for its next attempt. Exactly one `Dispatched`
  /// or `Unplaced` follows, unless `Leave` comes first. A suspect is granted
  /// no target that has another one.
  DispatchCommands Enqueue(const AttemptId& attempt, const RequestInfo& info,
                           const std::vector<TargetName>& excluded, Time now,
                           bool suspect = false);
  DispatchCommands Answered(const TargetName& target,
                            const ReserveAnswer& answer, Time now);
  /// The first token of the attempt arrived.
  DispatchCommands FirstToken(const AttemptId& attempt, Time now);
  /// The attempt is over, wherever it stands; gives back what it holds.
  /// `whole` when it got its whole answer.
  DispatchCommands Leave(const AttemptId& attempt, bool whole, Time now);
  /// Places what waits, times out asks; call at least every 10 ms.
  DispatchCommands Tick(Time now);

  Router& router() { return router_; }
  Scheduler& scheduler() { return scheduler_; }
  Admission& admission() { return admission_; }

 private:
  enum class Phase : std::uint8_t { kQueued, kPaused, kAsking, kDispatched };
  /// One attempt. Invariant: the first `held` of `candidates` are granted;
  /// while `phase` is `kAsking` the one after them is being asked.
  struct Work {
    RequestInfo info;
    AttemptId attempt;
    std::vector<TargetName> excluded;
    Phase phase = Phase::kQueued;
    QueuedRequest queued;
    Placement::Kind kind = Placement::Kind::kCandidates;
    std::vector<Candidate> candidates;
    std::size_t held = 0;
    std::uint32_t refusals = 0;        ///< In this round.
    std::uint32_t share_refusals = 0;  ///< Those for the account's share.
    /// Not asked in this round: the excluded, and where the share is used up.
    std::vector<TargetName> skipped;
    bool placed_before = false;
    bool suspect = false;
    bool steward_queues = false;
    Time enqueued;
    Time wake;  ///< End of the pause, or of the wait for the steward.
    Time sent;
    Time first_token;
  };

  /// Time from the queue to the last grant, for one class and account.
  /// Invariant: `count` and `since` are of the requests that are not
  /// dispatched.
  struct Waits {
    std::int64_t count = 0;
    Duration since{};    ///< Sum of the times at which they were queued.
    Duration average{};  ///< Of those dispatched lately.
  };

  Work* Find(const AttemptId& attempt);
  std::uint32_t& asking(const Work& work);
  Placeable Room() const;
  void PlaceWaiting(Time now);
  void Place(Work& work, Time now);
  void Ask(Work& work, Time now);
  Duration MaxWait(const Work& work, Time now) const;
  void Granted(Work& work, Time now);
  void Refused(Work& work, Duration wait, Time now);
  void Pause(Work& work, Duration length, Time now);
  void Wake(Work& work, Time now);
  void SetPhase(Work& work, Phase phase);
  void SetWake(Work& work, Time wake);
  void GiveBack(Work& work);
  void Fail(Work& work, Errc code);
  bool Holds(const Work* work, const TargetName& target) const;
  Duration QueueWait(const AccountName& account, PromptClass length,
                     Time now) const;
  Waits& WaitsOf(const Work& work);
  void HoldAccount(const AccountName& account, Time now);
  void ResumeAccounts(Time now);
  void EndTrial(const AccountName& account);
  void ForgetWait(const Work& work);

  DispatcherSettings settings_;
  Admission admission_;
  Scheduler scheduler_;
  Router router_;
  std::map<RequestId, Work> work_;
  std::array<std::uint32_t, kPromptClasses> asking_{};
  std::array<std::map<AccountName, Waits>, kPromptClasses> waits_;
  std::map<AccountName, Time> held_until_;
  std::set<AccountName> on_trial_;  ///< Since the last refusal by share.
  /// Invariant: holds `wake` of each request that pauses or asks.
  std::set<std::pair<Time, RequestId>> wakes_;
  DispatchCommands out_;
};

}  // namespace comfreyflow
