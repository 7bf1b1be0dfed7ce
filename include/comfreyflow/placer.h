/// Assigns the requests of one service to its targets. One host, the holder,
/// runs the placer of a service. The placer knows all running work of the
/// service, so slots, memory and prefill time are accounted exactly; other
/// hosts send it placement requests.
///
/// The load consists of short streams next to prompts whose prefill takes
/// seconds. Short streams are packed on few engines, which keeps other engines
/// free for long prompts. A long prompt is split between as many free engines
/// (a gang) as its latency objective requires. Short streams are never placed
/// on an engine while it prefills a long prompt.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "comfreyflow/errors.h"
#include "comfreyflow/overload-plan.h"
#include "comfreyflow/placement-model.h"
#include "comfreyflow/retry-window.h"
#include "comfreyflow/routes.h"
#include "comfreyflow/store-version.h"
#include "comfreyflow/target-limits.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

/// A target as its entry in the list of targets describes it.
struct PoolTarget {
  TargetName name;
  std::string address;  ///< `ip:port`
  FailureDomain domain;
  std::uint32_t slots = 1;
  /// Start identifier; changes when a target of this name restarts.
  std::uint64_t born = 0;
  bool leaving = false;  ///< Accepts no new work.
  /// Operators took its failure domain out of service: it accepts no new work.
  bool evacuated = false;
  /// Until then the target is cold: it bears fewer requests a second. In steps
  /// of `kColdStep`, so that a repeated report of the same end is no change.
  Time cold_until;
  StoreVersion version;  ///< Version of the list entry.
  bool operator==(const PoolTarget&) const = default;
};

/// A request to be placed on a target.
struct PlaceJob {
  RequestId id;
  AccountName account;
  FailureDomain domain;  ///< Failure domain of the host that sends the request.
  bool stream = false;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::uint32_t priority = 1;
  Time arrival;
  Time deadline;
  /// The caller gives up if no event has arrived by then; max: the caller waits
  /// until `deadline`.
  Time first_event_deadline = Time::max();
  /// Latency objective: from arrival to the first event or the answer.
  Duration objective{};
  Duration max_gap{};        ///< Maximum gap between events of the stream.
  std::uint32_t number = 1;  ///< Number of this attempt to place the request.
  bool is_retry = false;     ///< The request was sent to a target before.
  std::vector<TargetName> excluded;  ///< Targets that must not be chosen.
};

struct PlacedTarget {
  TargetName name;
  std::string address;
  /// Tokens of memory to reserve there before the request is sent; 0: none.
  std::uint32_t reserve_tokens = 0;
  StoreVersion version;    ///< Version of the list entry when chosen.
  std::uint64_t born = 0;  ///< Start identifier in that list entry.
  bool operator==(const PlacedTarget&) const = default;
};

/// Permission to send the request to `targets[0]`. The other targets, if any,
/// form a gang with it and help to prefill the prompt.
struct PlaceGrant {
  RequestId id;
  std::uint32_t number = 1;
  std::vector<PlacedTarget> targets;
  Duration estimate{};  ///< Estimated time to the first event or the answer.
  /// Number of targets that were passed over because their rate limit had no
  /// permit left.
  std::uint32_t out_of_permits = 0;
};

struct PlaceRefusal {
  RequestId id;
  std::uint32_t number = 1;
  Errc code = Errc::kNoTarget;
  Duration retry_after{};
};

using PlaceDecision = std::variant<PlaceGrant, PlaceRefusal>;

/// How work on a target ended.
enum class WorkEnd : std::uint8_t {
  kDone,         ///< The complete answer was received.
  kTargetError,  ///< The target answered with an error.
  kRefused,      ///< The target reported that it did not run the request.
  kWrongTarget,  ///< A different target answered at the address.
  kBroken,       ///< The connection closed before the answer was complete.
  kTimedOut,     ///< The target sent no data for too long.
  kUnreachable,  ///< No connection could be made.
  /// The answer was malformed, truncated or not from the target itself.
  kGarbled,
  kCancelled,  ///< The caller disconnected or the deadline passed.
  /// The target turned this request away as one that it does not serve. Says
  /// nothing about others.
  kUnsuited,
};

const char* ToString(WorkEnd end);

/// Placed work as reported by the host that sent it.
struct RunningWork {
  RequestId id;
  std::vector<PlacedTarget> targets;
  bool stream = false;
  bool is_started = false;  ///< The first event was received.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  Duration max_gap{};
};

inline constexpr Duration kColdStep = std::chrono::milliseconds(500);
/// The end of a cold phase of which `left` is left, rounded up.
Time ColdUntil(Duration left, Time now);

struct PlacerSettings {
  RetryLimits retries;
  /// Seeds the order of otherwise equal targets, so that hosts which place
  /// requests independently of each other do not all choose the same target.
  std::uint64_t seed = 0;
  /// Requests that may reach a cold target in any one second: `cold_overage`
  /// times what it bears a second, and `cold_slack`.
  double cold_overage = 1.5;
  double cold_slack = 5;
  /// Under overload, requests are ordered, deferred and refused by priority,
  /// deadline and work (`OverloadPlan`).
  bool cost_aware = false;
};

class Placer {
 public:
  explicit Placer(const PlacerSettings& settings)
      : settings_(settings),
        plan_(settings.seed),
        retry_window_(settings.retries) {}

  /// Sets the performance model of the engines, which is absent if the targets
  /// are plain servers, and the terms of the streams that they serve.
  void SetEngine(const std::optional<EngineModel>& engine,
                 const StreamTerms& terms = {}) {
    engine_ = engine;
    model_ = engine ? DeriveModel(*engine, terms) : PlacementModel{};
  }
  /// Replaces the list of targets. Targets that are missing from it get no new
  /// work.
  void SetTargets(const std::vector<PoolTarget>& targets, Time now);
  /// Sets what cold targets of the service bear; absent: they are never cold.
  void SetCold(const std::optional<ColdLimit>& cold, Time now);

  /// Submits a placement request. Submitting the same attempt again, while it
  /// waits or after it was granted, does not place it twice: a waiting request
  /// stays in the queue, a granted one gets its grant again.
  void Submit(const PlaceJob& job, Time now);
  /// The first event or the head of the answer was received.
  void Started(const RequestId& id, Time now);
  /// The work has left its targets, or the request needs no target any more.
  /// `at` is the target that caused the end; the first target if empty.
  void Ended(const RequestId& id, WorkEnd end, Time now,
             const TargetName& at = {});
  /// Takes the complete list of the placed work of a host. Work of that host
  /// that is missing from the list has ended.
  void Adopt(const HostName& host, const std::vector<RunningWork>& running,
             Time now);
  /// Drops the work of the host's incarnations before `incarnation`; it ended
  /// with them.
  void Forget(const HostName& host, Incarnation incarnation);
  /// The target accepts no request of that host before `until`, as it has no
  /// capacity for it. Requests of other hosts go to it only if no other target
  /// is free.
  void BackOff(const TargetName& target, const HostName& host, Time until,
               Time now);
  /// Sets the part of the fleet-wide budgets that this host may use: of the
  /// targets' rate limits and of the slack for retries.
  void SetPart(const LimitPart& part, Time now);
  /// What this host and others granted, for the budget of retries.
  RetryWindow& retries() { return retry_window_; }
  /// Rate limits named by the targets; no grant exceeds them.
  TargetLimits& limits() { return limits_; }
  const TargetLimits& limits() const { return limits_; }
  /// Sets the number of hosts that may send requests.
  void SetHosts(std::size_t hosts) { hosts_ = hosts; }
  /// Grants nothing before `until`, as the running work of other hosts is not
  /// known yet.
  void HoldUntil(Time until) { held_until_ = until; }
  Time held_until() const { return held_until_; }
  /// Places waiting requests; to be called at least every 20 ms.
  void Tick(Time now);
  std::vector<PlaceDecision> TakeDecisions();

  /// What the cost-aware queue decided since the last call.
  std::vector<PlanNote> TakeNotes() { return std::exchange(plan_notes_, {}); }

  std::size_t waiting() const {
    return settings_.cost_aware ? plan_.size() : waiting_.size();
  }
  std::size_t running() const { return works_.size() - waiting(); }

  struct TargetLoad {
    TargetName name;
    std::uint32_t running = 0;
    std::uint32_t shorts = 0;  ///< Short streams, included in `running`.
    /// Long prompts that are being prefilled.
    std::uint32_t long_prefills = 0;
    /// Prefill time of prompts without a first event.
    Duration prefill_backlog{};
    /// Tokens in use once all work has completed its output.
    std::uint64_t memory = 0;
    std::uint32_t failures = 0;  ///< Consecutive failures.
    /// Average of measured / estimated time to the first event.
    double pace = 1;
    bool leaving = false;
    bool evacuated = false;
    /// Rate limit that the target named, in requests per second.
    std::optional<double> limit;
  };
  std::vector<TargetLoad> Loads() const;

  /// State of the placer, for one log line.
  struct Summary {
    std::size_t waiting = 0;
    std::size_t running = 0;
    std::size_t targets = 0;  ///< Targets that are listed and not leaving.
    /// Of `targets`: closed after failures, or on trial.
    std::size_t closed = 0;
    std::size_t short_engines = 0;
    std::size_t long_engines = 0;
    std::size_t prefilling = 0;  ///< Placed work without a first event.
    /// Engines that long prompts leave to short streams.
    std::size_t reserve = 0;
    /// Engines closed to short streams for a waiting long prompt.
    std::size_t closing = 0;
    std::size_t full = 0;  ///< Engines without a free slot.
    /// Slow, failing or backed off: used if no other target is free.
    std::size_t degraded = 0;
    std::size_t limited = 0;  ///< Targets that named a rate limit.
    std::size_t cold = 0;
    /// Prefill time of all prompts without a first event.
    Duration prefill_backlog{};
    double retries_left = 0;  ///< What is left of the retry budget now.
    /// Retries in its window that other holders granted.
    std::uint64_t retries_elsewhere = 0;
    std::uint64_t memory = 0;
  };
  Summary Summarize(Time now);

 private:
  struct Target {
    PoolTarget info;
    bool is_listed = false;
    /// A different target answered at its address: this one no longer exists,
    /// even if it is still listed.
    bool is_replaced = false;
    std::uint64_t order = 0;  ///< Rank among otherwise equal targets.
    /// Work placed on it, as the first target or as a gang helper.
    std::uint32_t users = 0;
    std::uint32_t running = 0;
    std::uint32_t shorts = 0;
    std::uint32_t long_prefills = 0;
    Duration prefill_backlog{};
    /// Maximum gaps of the streams running on it.
    std::multiset<Duration> gaps;
    std::uint64_t memory = 0;
    std::uint32_t failures = 0;
    Time closed_until;
    /// Work that was sent since the last failure still runs.
    bool is_on_trial = false;
    double pace = 1;
    double error_share = 0;
    Time pace_updated_at;
    /// When each host may send requests to it again.
    std::map<HostName, Time> back_offs;
  };
  /// Invariant: placed work is counted at each of its targets, whether they are
  /// listed or not.
  struct Work {
    PlaceJob job;
    bool is_placed = false;
    bool is_started = false;
    bool is_long = false;
    bool is_trial = false;    ///< Tests whether a failed target works again.
    bool is_adopted = false;  ///< Placed by the placer of another host.
    Time last_reported_at;    ///< When its host last reported it as running.
    Duration prefill_time{};  ///< To prefill the complete prompt on one target.
    Duration estimate{};
    Time placed_at;
    Time last_requested_at;
    Time next_check;  ///< Of a request that waits in the cost-aware queue.
    PlaceGrant grant;
  };
  Duration PrefillTime(std::uint64_t tokens) const;
  bool IsLong(const Work& work) const;
  std::size_t EnginesToHold(const PlaceJob& job) const;
  std::size_t MaxPrefillEngines(const Work& work) const;
  bool ExceedsAnyGang(const PlaceJob& job) const;
  Duration EventTime(const Target& target, std::uint64_t context) const;
  bool IsUsable(const Target& target, const Work& work, Time now) const;
  static bool IsDegraded(const Target& target, Time now);
  bool HasRoom(const Target& target, const Work& work) const;
  double FreeMemory(const Target& target) const;
  bool FillMemory(const Work& work, const std::vector<Target*>& free,
                  std::size_t& gang_size) const;
  bool Excluded(const Work& work, const TargetName& name) const;
  /// Which targets a request may go to. Each step includes the ones before.
  enum class Choice : std::uint8_t { kSound, kCold, kDegraded };
  std::vector<Target*> Candidates(const Work& work, Choice choice, Time now);
  bool TryPlace(Work& work, Time now);
  std::vector<Target*> Choose(const Work& work,
                              const std::vector<Target*>& targets, Time now);
  Target* ChoosePlain(const Work& work, const std::vector<Target*>& targets);
  Target* ChooseShort(const Work& work, const std::vector<Target*>& targets);
  std::vector<Target*> ChooseLong(const Work& work,
                                  const std::vector<Target*>& targets,
                                  Time now);
  std::vector<Target*> FindGang(const Work& work,
                                const std::vector<Target*>& targets,
                                std::size_t count, std::size_t most) const;
  Duration PrefillSlack(const Target& target) const;
  std::size_t EnginesForLong(Time now) const;
  void Grant(Work& work, const std::vector<Target*>& targets, Time now);
  void PlanMemory(Work& work, const std::vector<Target*>& targets) const;
  void Refuse(const Work& work, Errc code, Duration retry_after);
  bool IsInfeasible(const Work& work, Time now) const;
  bool IsPoolEvacuated(const Work& work) const;
  std::optional<Duration> RetryAfter(const Work& work, Time now) const;
  /// Permits of the targets that a request may go to, if all of them are
  /// rate-limited.
  struct Permits {
    double rate = 0;  ///< Permits per second, of all these targets.
    Time next_at;
  };
  std::optional<Permits> PermitsFor(const Work& work, Time now) const;
  std::optional<Duration> PermitDelay(const Work& work,
                                      const std::optional<Permits>& permits,
                                      std::size_t ahead, Time now) const;
  bool RefuseWaiting(const Work& work, const std::optional<Permits>& permits,
                     std::size_t ahead, Time now);
  std::size_t WaitingBefore(const Work& work, Time now) const;
  bool HasPermit(const Target& target, Time now) const;
  bool IsLimited(const Target& target) const;
  bool IsCold(const Target& target, Time now) const;
  void UpdateStandingLimits(Time now);
  static bool IsAvailable(const Target& target);
  bool InPool(const Target& target, const Work& work) const;
  static bool IsBackedOff(const Target& target, const HostName& host, Time at);
  static std::size_t BackedOffHosts(const Target& target, Time now);
  /// Waiting requests are placed in this order: long prompts that are late and
  /// would soon miss their deadline, requests that can still meet their
  /// objective, and requests that can't.
  enum class Urgency : std::uint8_t { kLastChance, kInTime, kLate };
  /// Within one urgency, lower priority values are first, then earlier
  /// objectives.
  using Rank = std::tuple<Urgency, std::uint32_t, Time>;
  Urgency UrgencyOf(const Work& work, Time now) const;
  Rank RankOf(const Work& work, Time now) const;
  static Time FirstEventDeadline(const PlaceJob& job);
  bool MissesDeadline(const Work& work, Time now) const;
  Duration MinTimeToFirstEvent(const Work& work) const;
  std::size_t Engines() const;
  std::vector<std::pair<Rank, Work*>> RankWaiting(Time now);
  void PlaceWaiting(Time now);
  /// The cost-aware queue, cost-queue.cc.
  Duration WorkOf(const Work& work) const;
  PlanJob PlanJobOf(const Work& work) const;
  void SubmitByCost(Work& work, Time now);
  void PlaceByCost(Time now);
  bool PlaceFirst(Time now, std::set<RequestId>& failed,
                  std::optional<Duration>& blocked,
                  std::optional<std::uint32_t>& blocked_priority);
  void SetPools(Time now);
  void CheckWaiting(Time now);
  void ApplyPlan();
  void ArmCheck(Work& work, Time now);
  void RemoveWaiting(Work& work);
  bool HasLongWaited(Duration time, Time now) const;
  void RecordPlainTime(const Work& work, WorkEnd end, Time now);
  void DropOverdue(Time now);
  void CloseToShort(Time now);
  void Count(Work& work, int sign);
  void UpdatePace(const Work& work, Time now);
  void EndTrial(const Work& work);
  void UpdateHealth(const TargetName& name, WorkEnd end, Time now);
  void RecordShortDemand(Duration prefill_time, Time now);
  std::size_t EnginesForShort(Time now) const;
  Target* Find(const TargetName& name);
  Target& FindOrAdd(const TargetName& name);

  /// Minimum time in which any request can be served.
  static constexpr Duration kMinServiceTime = std::chrono::milliseconds(10);

  PlacerSettings settings_;
  std::optional<EngineModel> engine_;
  PlacementModel model_;
  std::optional<ColdLimit> cold_;
  std::map<TargetName, Target> targets_;
  std::map<RequestId, Work> works_;
  /// Requests in `works_` that are not placed.
  std::vector<RequestId> waiting_;
  /// With a cost-aware queue: the requests that wait, instead of `waiting_`.
  OverloadPlan plan_;
  std::vector<PlanNote> plan_notes_;
  /// When each waiting request is checked next for reasons to refuse it.
  std::set<std::pair<Time, RequestId>> checks_;
  /// Waiting long prompts by arrival.
  std::set<std::pair<Time, RequestId>> long_arrivals_;
  /// Priority of the first long prompt that waits and can be in time.
  std::optional<std::uint32_t> long_priority_;
  bool protected_long_waits_ = false;
  /// Average time of plain requests on their targets.
  Duration plain_time_ = std::chrono::milliseconds(100);
  TargetLimits limits_;
  RetryWindow retry_window_;
  std::vector<PlaceDecision> decisions_;
  Time held_until_;
  std::size_t hosts_ = 1;
  /// Moving average of the prefill time of short prompts, in seconds per
  /// second.
  double short_demand_ = 0;
  Time short_demand_updated_at_;
  bool long_waits_ = false;  ///< A long prompt waits for free engines.
  /// Engines that accept no more short streams, so that they become free for a
  /// waiting long prompt.
  std::set<TargetName> closed_to_short_;
};

}  // namespace comfreyflow
