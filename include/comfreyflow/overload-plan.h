/// Decides, for the requests that wait at a placer, in which order they are
/// served, which are deferred, and which are refused because the pool has no
/// capacity for them before their deadlines.
///
/// The requests of a lane are those that compete for the same capacity. A lane
/// has two lists. The first holds the requests that can meet their objectives
/// at the measured rate of the pool: by priority, then by deadline. If one of
/// them would be late, the request of its priority that takes the most work
/// among those before it is deferred to the second list (Moore-Hodgson, within
/// a priority). The second list gets a share of the capacity. A request that
/// has waited there for half of the time to its deadline can't be displaced any
/// more by later ones of the same or a lower priority. A request that can't
/// start there before its deadline, or the largest one before it, is refused at
/// once.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "comfreyflow/slack-list.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

/// Requests for the slots of plain targets, short prompts, and long prompts.
enum class PlanLane : std::uint8_t { kPlain, kShort, kLong };
inline constexpr std::size_t kPlanLanes = 3;

struct PlanJob {
  RequestId id;
  PlanLane lane = PlanLane::kPlain;
  AccountName account;
  std::uint32_t priority = 1;  ///< Lower values are served first.
  /// Requests of one priority and one objective are of one kind.
  Duration objective{};
  Duration work{};  ///< Time of one engine or slot.
  Time due;         ///< Latest start to meet the objective.
  Time last;        ///< Latest start before the deadline.
  /// A request that may have run is never refused by the plan.
  bool may_refuse = true;
};

/// By which measure other requests were preferred to a request.
enum class PlanMeasure : std::uint8_t { kPriority, kDeadline, kWork };
enum class PlanOutcome : std::uint8_t { kWaits, kDeferred, kRefused };
const char* ToString(PlanMeasure measure);
const char* ToString(PlanOutcome outcome);

/// What the plan decided about a request that could not be served at once.
struct PlanNote {
  RequestId id;
  PlanOutcome outcome = PlanOutcome::kWaits;
  PlanMeasure measure = PlanMeasure::kDeadline;
  std::size_t ahead = 0;  ///< Requests of its lane that are served before it.
  /// One that was preferred: the cause of a deferral, or the last one ahead.
  std::optional<RequestId> preferred;
  Duration retry_after{};  ///< Of refused requests.
};

/// How many requests of a group were decided and how many of them were served,
/// over a sliding window.
class ServedShares {
 public:
  void Record(const PlanJob& job, bool is_served, Time now);
  /// Whether requests like this one were served too rarely: its kind or account
  /// compared with all requests, or the largest tenth of its kind compared with
  /// the kind.
  bool IsKindOwed(const PlanJob& job, Time now);
  bool IsOwed(const PlanJob& job, Time now);

 private:
  struct Share {
    double decided = 0;
    double served = 0;
    Time updated_at;
    void Decay(Time now);
    void Add(bool is_served, Time now);
    bool IsBelow(double part, Share& of, Time now);
  };
  struct Kind {
    Share all;
    Share large;
    double mean_work = 0;
    double large_from = 0;  ///< Estimate of the 90th percentile of the work.
  };
  using KindName = std::pair<std::uint32_t, Duration>;
  Share all_;
  std::map<KindName, Kind> kinds_;
  std::map<AccountName, Share> accounts_;
  std::size_t sweep_at_ = 1024;  ///< Number of accounts.
};

class OverloadPlan {
 public:
  /// `seed` varies the jitter of retry-after times.
  explicit OverloadPlan(std::uint64_t seed = 0) : seed_(seed) {}

  /// Sets the number of engines or slots that work for a lane.
  void SetPool(PlanLane lane, double size);
  /// Adds a request that can't be placed now.
  void Add(const PlanJob& job, Time now);
  /// The request got its target, after it waited or at once.
  void Granted(const PlanJob& job, Time now);
  /// The request was refused for a reason outside the plan.
  void Denied(const RequestId& id, Time now);
  /// The request needs no target any more.
  void Remove(const RequestId& id);
  /// Defers and refuses requests that can't be served in time any more.
  void Advance(Time now);
  /// What was decided since the last call.
  std::vector<PlanNote> TakeNotes();

  struct Next {
    RequestId id;
    PlanLane lane = PlanLane::kPlain;
    bool is_deferred = false;
    std::uint32_t priority = 0;
    std::int64_t due = 0;
    bool is_protected = false;
  };
  /// The first `per_lane` requests of each lane, in the order in which they are
  /// to be served.
  std::vector<Next> InOrder(std::size_t per_lane) const;
  /// Whether this request, which has just arrived, is served before all that
  /// wait.
  bool GoesFirst(const PlanJob& job) const;
  /// Number of requests of its lane that are served before this one.
  std::size_t Ahead(const RequestId& id) const;

  std::size_t size() const { return entries_.size(); }
  bool Contains(const RequestId& id) const { return entries_.contains(id); }
  bool IsDeferred(const RequestId& id) const;
  /// Work per second that the lane is estimated to get done.
  double capacity(PlanLane lane) const { return LaneOf(lane).capacity; }

 private:
  struct Lane {
    SlackList in_time;
    SlackList deferred;
    double pool = 0;
    double capacity = 0;
    /// While requests wait: the time, and the work granted in it.
    double busy_time = 0;
    double busy_work = 0;
    double inflow = 0;  ///< Work per second that joins `in_time`.
    Time inflow_at;
    /// Work that deferred requests are still owed of their share.
    double deferred_credit = 0;
    bool was_waiting = false;
    Time advanced_at;
    Time rates_set_at;
    /// Capacity up to then is taken by requests that were told to come back.
    Time promised_until;
    bool is_empty() const { return in_time.size() + deferred.size() == 0; }
  };
  /// Invariant: the key is in the lane's list that `is_deferred` tells.
  struct Entry {
    PlanJob job;
    SlackList::Key key;
    bool is_deferred = false;
    bool is_protected = false;
  };
  Lane& LaneOf(PlanLane lane) { return lanes_[static_cast<std::size_t>(lane)]; }
  const Lane& LaneOf(PlanLane lane) const {
    return lanes_[static_cast<std::size_t>(lane)];
  }
  static bool IsTurnOfDeferred(const Lane& lane);
  void Measure(Lane& lane, Time now);
  void SetRates(Lane& lane, Time now);
  static double DeferredRate(const Lane& lane, Time now);
  void Defer(Entry& entry, const SlackList::Job* cause, Time now);
  void InsertDeferred(Entry& entry, Time now);
  static std::optional<SlackList::Job> LargestDeferred(
      Lane& lane, const SlackList::Key& last, Time now);
  void Settle(Lane& lane, Time now);
  void Refuse(const RequestId& id, const SlackList::Job* cause, Time now);
  Duration RetryAfter(Lane& lane, const PlanJob& job, Time now);
  PlanNote NoteOf(const Entry& entry, PlanOutcome outcome,
                  const SlackList::Job* cause) const;
  SlackList::Ahead AheadOf(const Entry& entry) const;

  std::uint64_t seed_;
  std::array<Lane, kPlanLanes> lanes_;
  std::map<RequestId, Entry> entries_;
  std::uint64_t sequence_ = 0;
  ServedShares shares_;
  std::vector<PlanNote> notes_;
};

}  // namespace comfreyflow
