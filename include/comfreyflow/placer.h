/// Places the requests of one service on its targets. One host holds the
/// placer of a service and knows all its running work, so that slots, memory
/// and reading time are counted exactly; other hosts ask it.
///
/// Load it answers: short streams next to prompts whose reading takes seconds.
/// Short work is packed on few engines, which keeps whole engines free for long
/// prompts; a long prompt is read by as many free engines as its objective
/// needs. The two never share an engine while a long prompt is being read.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "comfreyflow/errors.h"
#include "comfreyflow/routes.h"
#include "comfreyflow/target-limits.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

/// A target as the list of targets has it.
struct PoolTarget {
  TargetName name;
  std::string address;  ///< `ip:port`
  FailureDomain domain;
  std::uint32_t slots = 1;
  std::uint64_t born = 0;     ///< Changes when it starts again under its name.
  bool leaving = false;       ///< Takes no new work.
  std::uint64_t version = 0;  ///< Of its entry in the list.
  bool operator==(const PoolTarget&) const = default;
};

/// A request that wants a target.
struct PlaceJob {
  RequestId id;
  AccountName account;
  FailureDomain domain;  ///< Of the host that sends it.
  bool stream = false;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::uint32_t priority = 1;
  Time arrival;
  Time deadline;
  /// Its caller leaves if no event came by then; max: it waits for its
  /// deadline.
  Time first_event_deadline = Time::max();
  Duration objective{};  ///< From arrival to the first event or answer.
  Duration max_gap{};    ///< Longest pause between its events that is in time.
  std::uint32_t number = 1;          ///< Of this ask for a target.
  bool is_retry = false;             ///< It was sent to a target before.
  std::vector<TargetName> excluded;  ///< Not to be tried again.
};

struct PlacedTarget {
  TargetName name;
  std::string address;
  /// Memory to set aside there before the request is sent; 0: none.
  std::uint32_t reserve_tokens = 0;
  std::uint64_t version = 0;  ///< Of its entry where it was chosen.
  std::uint64_t born = 0;     ///< Its start, as that entry has it.
  bool operator==(const PlacedTarget&) const = default;
};

/// Send the request to `targets[0]`; the others help to read its prompt.
struct PlaceGrant {
  RequestId id;
  std::uint32_t number = 1;
  std::vector<PlacedTarget> targets;
  Duration estimate{};  ///< Expected time to the first event or answer.
  /// Targets that had no turn left under the limits they named.
  std::uint32_t out_of_permits = 0;
};

struct PlaceRefusal {
  RequestId id;
  std::uint32_t number = 1;
  Errc code = Errc::kNoTarget;
  Duration retry_after{};
};

using PlaceDecision = std::variant<PlaceGrant, PlaceRefusal>;

/// How work left a target.
enum class WorkEnd : std::uint8_t {
  kDone,         ///< Its whole answer came.
  kTargetError,  ///< The target answered with a failure of its own.
  kRefused,      ///< The target said that it did not run it.
  kWrongTarget,  ///< Another target has the address.
  kBroken,       ///< The connection ended before the whole answer.
  kTimedOut,     ///< The target said nothing for too long.
  kUnreachable,  ///< No connection.
  kGarbled,      ///< The answer was not the target's own or not whole.
  kCancelled,    ///< The caller left, or the deadline passed.
};

const char* ToString(WorkEnd end);

/// Placed work as its host tells it.
struct RunningWork {
  RequestId id;
  std::vector<PlacedTarget> targets;
  bool stream = false;
  bool is_started = false;  ///< Its first event came.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  Duration max_gap{};
};

struct PlacerSettings {
  /// Repeats in a window at most: ratio * requests of the window + slack.
  double retry_ratio = 0.2;
  double retry_slack = 50;
  Duration retry_window = std::chrono::seconds(10);
  /// Orders targets that are alike, so that hosts that place without knowing of
  /// each other do not all take the same one.
  std::uint64_t seed = 0;
};

class Placer {
 public:
  explicit Placer(PlacerSettings settings) : settings_(settings) {}

  /// Absent: the targets are plain servers.
  void SetEngine(const std::optional<EngineModel>& engine) { engine_ = engine; }
  /// The whole list; targets that are missing from it take no new work.
  void SetTargets(const std::vector<PoolTarget>& targets, Time now);

  /// Asks for a target, or asks again for one that waits or was granted: the
  /// same try of a request is placed once, however often it is asked for.
  void Submit(const PlaceJob& job, Time now);
  /// The first event or the answer's head came.
  void Started(const RequestId& id, Time now);
  /// The work is off its targets, or wants none any more. `at` is the target
  /// that was the cause, the first one if empty.
  void Ended(const RequestId& id, WorkEnd end, Time now,
             const TargetName& at = {});
  /// All placed work of a host, as of now; what it does not name has ended.
  void Adopt(const HostName& host, const std::vector<RunningWork>& running,
             Time now);
  /// The work of a host's starts before `incarnation` is gone with them.
  void Forget(const HostName& host, Incarnation incarnation);
  /// The target wants no request of that host before `until`: it is full for
  /// that host, and taken by others only while no other target is free.
  void BackOff(const TargetName& target, const HostName& host, Time until,
               Time now);
  /// The part of what binds all hosts together that this host may grant: of
  /// limits and of the slack for repeats.
  void SetPart(const LimitPart& part, Time now);
  /// The limits that targets named; grants keep them.
  TargetLimits& limits() { return limits_; }
  const TargetLimits& limits() const { return limits_; }
  /// How many hosts there are to send requests.
  void SetHosts(std::size_t hosts) { hosts_ = hosts; }
  /// Grants nothing before `until`: other hosts' running work is not known yet.
  void HoldUntil(Time until) { held_until_ = until; }
  Time held_until() const { return held_until_; }
  /// Places what waits; at least every 20 ms.
  void Tick(Time now);
  std::vector<PlaceDecision> TakeDecisions();

  std::size_t waiting() const { return waiting_.size(); }
  std::size_t running() const { return works_.size() - waiting_.size(); }

  struct TargetLoad {
    TargetName name;
    std::uint32_t running = 0;
    std::uint32_t shorts = 0;         ///< Short streams among them.
    std::uint32_t long_prefills = 0;  ///< Long prompts being read.
    Duration prefill_backlog{};       ///< Of prompts not yet begun.
    std::uint64_t memory = 0;         ///< Tokens held at the end of all work.
    std::uint32_t failures = 0;       ///< In a row.
    double pace = 1;  ///< Time to the first event over estimate.
    bool leaving = false;
    std::optional<double> limit;  ///< Requests a second that it named.
  };
  std::vector<TargetLoad> Loads() const;

  /// What the placer believes, in a line.
  struct Summary {
    std::size_t waiting = 0;
    std::size_t running = 0;
    std::size_t targets = 0;  ///< Listed and not leaving.
    std::size_t closed = 0;   ///< Of them, after failures or on trial.
    std::size_t short_engines = 0;
    std::size_t long_engines = 0;
    std::size_t prefilling = 0;  ///< Work that waits for its first event.
    std::size_t reserve = 0;     ///< Engines that long prompts leave.
    std::size_t closing = 0;     ///< Engines that short streams leave.
    std::size_t full = 0;        ///< Engines without a free slot.
    std::size_t degraded = 0;    ///< Slow or failing, left out while others do.
    std::size_t limited = 0;     ///< They named a limit.
    Duration prefill_backlog{};  ///< Of all prompts not yet begun.
    double retries_left = 0;     ///< Of the budget, now.
    std::uint64_t memory = 0;
  };
  Summary Summarize(Time now);

 private:
  struct Target {
    PoolTarget info;
    bool listed = false;
    /// Another target answered at its address: gone, whatever the list says.
    bool replaced = false;
    std::uint64_t order = 0;  ///< Among targets that are alike.
    std::uint32_t users = 0;  ///< Work placed on it, as first or as helper.
    std::uint32_t running = 0;
    std::uint32_t shorts = 0;
    std::uint32_t long_prefills = 0;
    Duration prefill_backlog{};
    std::multiset<Duration> gaps;  ///< Longest pauses of the streams on it.
    std::uint64_t memory = 0;
    std::uint32_t failures = 0;
    Time closed_until;
    bool on_trial = false;  ///< Work sent since the last failure still runs.
    double pace = 1;
    double error_share = 0;
    Time paced;
    std::map<HostName, Time> back_offs;  ///< Hosts that it wants nothing of.
  };
  /// Invariant: a placed work is counted at each of its targets, whether they
  /// are listed or not.
  struct Work {
    PlaceJob job;
    bool placed = false;
    bool is_started = false;
    bool is_long = false;
    bool is_trial = false;  ///< Shows whether a target works again.
    bool adopted = false;   ///< Placed by another host's placer.
    Time named;             ///< When its host last told of it.
    Duration read{};        ///< Reading time of the whole prompt on one target.
    Duration estimate{};
    Time placed_at;
    Time asked;
    PlaceGrant grant;
  };
  struct Bucket {
    Time begin;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };

  Duration ReadTime(std::uint64_t tokens) const;
  bool IsLong(const Work& work) const;
  std::size_t EnginesToHold(const PlaceJob& job) const;
  bool TooLarge(const PlaceJob& job) const;
  Duration EventTime(const Target& target, std::uint64_t context) const;
  bool Usable(const Target& target, const Work& work, Time now) const;
  static bool IsPoor(const Target& target, Time now);
  bool HasRoom(const Target& target, const Work& work) const;
  double FreeMemory(const Target& target) const;
  bool FillMemory(const Work& work, const std::vector<Target*>& free,
                  std::size_t& readers) const;
  bool Excluded(const Work& work, const TargetName& name) const;
  std::vector<Target*> Candidates(const Work& work, bool poor_too, Time now);
  bool TryPlace(Work& work, Time now);
  std::vector<Target*> Choose(const Work& work,
                              const std::vector<Target*>& targets, Time now);
  Target* ChoosePlain(const Work& work, const std::vector<Target*>& targets);
  Target* ChooseShort(const Work& work, const std::vector<Target*>& targets);
  std::vector<Target*> ChooseLong(const Work& work,
                                  const std::vector<Target*>& targets,
                                  Time now);
  std::vector<Target*> Readers(const Work& work,
                               const std::vector<Target*>& targets,
                               std::size_t count, std::size_t most) const;
  Duration Slack(const Target& target) const;
  std::size_t OpenToLong(Time now) const;
  void Grant(Work& work, const std::vector<Target*>& targets, Time now);
  void PlanMemory(Work& work, const std::vector<Target*>& targets) const;
  void Refuse(const Work& work, Errc code, Duration retry_after);
  bool Hopeless(const Work& work, Time now) const;
  std::optional<Duration> ComeBackAfter(const Work& work, Time now) const;
  /// Turns of the targets that work may go to, all of which are limited.
  struct Turns {
    double rate = 0;  ///< A second.
    Time first;
  };
  std::optional<Turns> TurnsFor(const Work& work, Time now) const;
  std::optional<Duration> TurnTooLate(const Work& work,
                                      const std::optional<Turns>& turns,
                                      std::size_t ahead, Time now) const;
  bool RefuseWaiting(const Work& work, const std::optional<Turns>& turns,
                     std::size_t ahead, Time now);
  std::size_t WaitingBefore(const Work& work, Time now) const;
  bool HasTurn(const Target& target, Time now) const;
  bool IsLimited(const Target& target) const;
  static bool TakesWork(const Target& target);
  bool InPool(const Target& target, const Work& work) const;
  static bool IsBackedOff(const Target& target, const HostName& host, Time at);
  static std::size_t BackedOffHosts(const Target& target, Time now);
  /// What comes first: what would be lost soon, what can be in time, the rest.
  enum class Urgency : std::uint8_t { kLastChance, kInTime, kLate };
  /// Then priority, and the end of the objective.
  using Rank = std::tuple<Urgency, std::uint32_t, Time>;
  Urgency UrgencyOf(const Work& work, Time now) const;
  Rank RankOf(const Work& work, Time now) const;
  static Time FirstEventDeadline(const PlaceJob& job);
  bool TooLate(const Work& work, Time now) const;
  Duration LeastTime(const Work& work) const;
  std::size_t Engines() const;
  std::vector<std::pair<Rank, Work*>> RankWaiting(Time now);
  void PlaceWaiting(Time now);
  void DropOverdue(Time now);
  void ChooseClosing(Time now);
  void Count(Work& work, int sign);
  void EndTrial(const Work& work);
  void NoteHealth(const TargetName& name, WorkEnd end, Time now);
  double RetriesLeft(Time now);
  void NoteShort(Duration read, Time now);
  std::size_t ShortReserve(Time now) const;
  Bucket& CurrentBucket(Time now);
  Target* Find(const TargetName& name);
  Target& Known(const TargetName& name);

  /// Least time in which a request can be served at all.
  static constexpr Duration kLeastService = std::chrono::milliseconds(10);

  PlacerSettings settings_;
  std::optional<EngineModel> engine_;
  std::map<TargetName, Target> targets_;
  std::map<RequestId, Work> works_;
  std::vector<RequestId> waiting_;  ///< Of `works_`, those not placed.
  TargetLimits limits_;
  double slack_share_ = 1;  ///< Of `repeat_slack`.
  std::deque<Bucket> buckets_;
  std::vector<PlaceDecision> decisions_;
  Time held_until_;
  std::size_t hosts_ = 1;
  /// Reading time of short prompts asked for per second, averaged.
  double short_reads_ = 0;
  Time short_noted_;
  bool long_waits_ = false;  ///< A long prompt waits for free engines.
  /// Engines that take no more short streams, so that a long prompt which
  /// waits finds them free.
  std::set<TargetName> closing_;
};

}  // namespace comfreyflow
