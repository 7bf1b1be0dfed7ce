// Order, deferral and refusal of the requests that wait at a placer.
#include "comfreyflow/overload-plan.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace comfreyflow {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

/// Share of the capacity that deferred requests get while others wait. It
/// bounds the time that a deferred request waits, and is left out of the
/// estimate for the requests that are in time.
constexpr double kDeferredShare = 0.15;
/// Credit of the deferred requests, in seconds of the lane's capacity.
constexpr double kMaxDeferredCredit = 0.5;
/// Requests are refused only if they would be late at a rate this much above
/// the measured one: a refusal is final, and a burst may end sooner.
constexpr double kRefusalMargin = 1.25;
/// Time of waiting over which the capacity is measured, and the weight of one
/// such measurement.
constexpr double kCapacitySample = 0.5;
constexpr double kCapacityWeight = 0.25;
/// The estimate stays above this share of the pool, so that a phase in which
/// nothing could be placed does not stop the service.
constexpr double kMinCapacityShare = 0.05;
/// The placer closes about this share of the engines to short prompts while a
/// long one waits.
constexpr double kMinLongCapacityShare = 0.18;
/// Subtracted from the order of protected requests.
constexpr std::int64_t kProtectedOrder = INT64_MAX / 2;
/// Without waiting requests the estimate returns to that of the pool in about
/// this time, as the measured rate is that of the demand.
constexpr Duration kCapacityRecovery = std::chrono::seconds(5);
constexpr Duration kInflowWindow = std::chrono::seconds(3);
/// The rates of the lists change at most so often and by at least this share,
/// because a change costs O(n).
constexpr Duration kRateUpdatePeriod = milliseconds(250);
constexpr double kRateTolerance = 0.1;
constexpr Duration kMinRetryAfter = milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(10);
/// Jitter of retry-after times, as a share of them.
constexpr double kJitterShare = 0.5;

/// Window over which the shares of served requests are compared.
constexpr Duration kShareWindow = std::chrono::seconds(20);
/// Groups with fewer decided requests in the window are not compared.
constexpr double kMinDecided = 4;
/// A kind or an account is to be served at least a quarter as often as all
/// requests, and the largest tenth of a kind half as often as the kind. Groups
/// below these parts, which leave a margin, are protected.
constexpr double kProtectedKindPart = 0.33;
constexpr double kProtectedAccountPart = 0.5;
constexpr double kProtectedLargePart = 0.8;
constexpr double kLargeQuantile = 0.9;
/// Step of the quantile estimate, as a share of the mean.
constexpr double kQuantileStep = 0.1;
constexpr double kMeanWeight = 0.05;
/// Accounts with less than this in the window are forgotten.
constexpr double kForgottenBelow = 0.1;

double ToSeconds(Time time) { return Seconds(time.time_since_epoch()).count(); }

}  // namespace

const char* ToString(PlanMeasure measure) {
  switch (measure) {
    case PlanMeasure::kPriority:
      return "priority";
    case PlanMeasure::kDeadline:
      return "deadline";
    case PlanMeasure::kWork:
      return "work";
  }
  return "unknown";
}

const char* ToString(PlanOutcome outcome) {
  switch (outcome) {
    case PlanOutcome::kWaits:
      return "waits";
    case PlanOutcome::kDeferred:
      return "deferred";
    case PlanOutcome::kRefused:
      return "refused";
  }
  return "unknown";
}

void ServedShares::Share::Decay(Time now) {
  if (decided > 0) {
    const double left =
        std::exp(-Seconds(now - updated_at) / Seconds(kShareWindow));
    decided *= left;
    served *= left;
  }
  updated_at = now;
}

void ServedShares::Share::Add(bool is_served, Time now) {
  Decay(now);
  decided += 1;
  if (is_served) served += 1;
}

bool ServedShares::Share::IsBelow(double part, Share& of, Time now) {
  Decay(now);
  of.Decay(now);
  if (decided < kMinDecided || of.decided < kMinDecided) return false;
  return served * of.decided < part * of.served * decided;
}

void ServedShares::Record(const PlanJob& job, bool is_served, Time now) {
  all_.Add(is_served, now);
  Kind& kind = kinds_[{job.priority, job.objective}];
  kind.all.Add(is_served, now);
  const double work = Seconds(job.work).count();
  if (kind.mean_work == 0) kind.mean_work = kind.large_from = work;
  kind.mean_work += kMeanWeight * (work - kind.mean_work);
  const double step = kQuantileStep * kind.mean_work;
  if (work > kind.large_from) {
    kind.large.Add(is_served, now);
    kind.large_from += kLargeQuantile * step;
  } else {
    kind.large_from -= (1 - kLargeQuantile) * step;
  }
  accounts_[job.account].Add(is_served, now);
  if (accounts_.size() < sweep_at_) return;
  for (auto& entry : accounts_) entry.second.Decay(now);
  std::erase_if(accounts_, [](const auto& entry) {
    return entry.second.decided < kForgottenBelow;
  });
  sweep_at_ = std::max(sweep_at_, 2 * accounts_.size());
}

bool ServedShares::IsKindOwed(const PlanJob& job, Time now) {
  const auto kind = kinds_.find({job.priority, job.objective});
  return kind != kinds_.end() &&
         kind->second.all.IsBelow(kProtectedKindPart, all_, now);
}

bool ServedShares::IsOwed(const PlanJob& job, Time now) {
  if (IsKindOwed(job, now)) return true;
  const auto account = accounts_.find(job.account);
  if (account != accounts_.end() &&
      account->second.IsBelow(kProtectedAccountPart, all_, now)) {
    return true;
  }
  const auto at = kinds_.find({job.priority, job.objective});
  if (at == kinds_.end()) return false;
  Kind& kind = at->second;
  return Seconds(job.work).count() > kind.large_from &&
         kind.large.IsBelow(kProtectedLargePart, kind.all, now);
}

void OverloadPlan::SetPool(PlanLane which, double size) {
  Lane& lane = LaneOf(which);
  if (size == lane.pool) return;
  // A larger or smaller pool serves more or less of the same requests.
  lane.capacity = lane.pool > 0 ? lane.capacity * size / lane.pool : size;
  lane.pool = size;
  lane.rates_set_at = {};
}

/// Measures the capacity while requests wait.
void OverloadPlan::Measure(Lane& lane, Time now) {
  const Duration passed =
      std::max(Duration::zero(), now - std::exchange(lane.advanced_at, now));
  const bool was_waiting = std::exchange(lane.was_waiting, !lane.is_empty());
  if (!was_waiting) {
    lane.busy_time = lane.busy_work = 0;
    lane.capacity +=
        (lane.pool - lane.capacity) *
        std::min(1.0, Seconds(passed) / Seconds(kCapacityRecovery));
    return;
  }
  lane.busy_time += Seconds(passed).count();
  if (lane.busy_time < kCapacitySample) return;
  lane.capacity +=
      kCapacityWeight * (lane.busy_work / lane.busy_time - lane.capacity);
  const double least = &lane == &LaneOf(PlanLane::kLong) ? kMinLongCapacityShare
                                                         : kMinCapacityShare;
  lane.capacity = std::clamp(lane.capacity, least * lane.pool, lane.pool);
  lane.busy_time = lane.busy_work = 0;
}

/// Work per second that deferred requests get: what new requests leave, but at
/// least their share.
double OverloadPlan::DeferredRate(const Lane& lane, Time now) {
  const double inflow = lane.inflow * std::exp(-Seconds(now - lane.inflow_at) /
                                               Seconds(kInflowWindow));
  const double capacity = kRefusalMargin * lane.capacity;
  return std::max(capacity - inflow, kDeferredShare * capacity);
}

void OverloadPlan::SetRates(Lane& lane, Time now) {
  if (lane.rates_set_at != Time{} &&
      now - lane.rates_set_at < kRateUpdatePeriod) {
    return;
  }
  lane.rates_set_at = now;
  const auto set = [](SlackList& list, double rate) {
    if (std::abs(rate - list.rate()) > kRateTolerance * list.rate())
      list.SetRate(rate);
  };
  set(lane.in_time, (1 - kDeferredShare) * lane.capacity);
  set(lane.deferred, DeferredRate(lane, now));
}

void OverloadPlan::Add(const PlanJob& job, Time now) {
  Remove(job.id);
  Lane& lane = LaneOf(job.lane);
  Measure(lane, now);
  lane.was_waiting = true;
  SetRates(lane, now);
  Entry& entry = entries_[job.id];
  entry.job = job;
  entry.is_protected = !job.may_refuse || shares_.IsOwed(job, now);
  // A kind that is hardly served goes with the first priority until it has its
  // minimum; it would starve behind others otherwise.
  const bool is_kind_owed = shares_.IsKindOwed(job, now);
  const std::uint32_t priority = is_kind_owed ? 0 : job.priority;
  // It keeps its place until its deadline: late is better than never.
  const Time start_by = is_kind_owed ? job.last : job.due;
  const std::int64_t due = job.due.time_since_epoch().count();
  // Protected requests go before the others of their priority.
  entry.key = {priority, entry.is_protected ? due - kProtectedOrder : due,
               ++sequence_};
  if (start_by <= now) {
    InsertDeferred(entry, now);
  } else {
    const double work = Seconds(job.work).count();
    lane.inflow *=
        std::exp(-Seconds(now - lane.inflow_at) / Seconds(kInflowWindow));
    lane.inflow += work / Seconds(kInflowWindow).count();
    lane.inflow_at = now;
    lane.in_time.Insert(
        {entry.key, job.id, work, ToSeconds(start_by), entry.is_protected});
  }
  const std::size_t noted = notes_.size();
  Settle(lane, now);
  const bool is_noted = std::any_of(
      notes_.begin() + static_cast<std::ptrdiff_t>(noted), notes_.end(),
      [&job](const PlanNote& note) { return note.id == job.id; });
  if (!is_noted)
    notes_.push_back(NoteOf(entries_.at(job.id), PlanOutcome::kWaits, nullptr));
}

void OverloadPlan::InsertDeferred(Entry& entry, Time now) {
  entry.is_deferred = true;
  // Halfway to the deadline: requests that come later than that can't go before
  // it any more.
  const auto ages_at = now + (entry.job.last - now) / 2;
  entry.key.order = ages_at.time_since_epoch().count();
  if (entry.is_protected) entry.key.order -= kProtectedOrder;
  entry.key.sequence = ++sequence_;
  LaneOf(entry.job.lane)
      .deferred.Insert({entry.key, entry.job.id,
                        Seconds(entry.job.work).count(),
                        ToSeconds(entry.job.last), entry.is_protected});
}

void OverloadPlan::Defer(Entry& entry, const SlackList::Job* cause, Time now) {
  notes_.push_back(NoteOf(entry, PlanOutcome::kDeferred, cause));
  LaneOf(entry.job.lane).in_time.Erase(entry.key);
  InsertDeferred(entry, now);
}

/// Defers and refuses requests until all others can be served in time.
void OverloadPlan::Settle(Lane& lane, Time now) {
  // Nothing is known of the capacity; the placer refuses what has no target.
  if (lane.pool <= 0) return;
  const double seconds = ToSeconds(now);
  while (const auto late = lane.in_time.FirstLate(seconds)) {
    const auto largest = lane.in_time.LargestOf(late->key);
    const bool spares =
        largest && largest->id != late->id && late->start_by >= seconds;
    Entry& entry = entries_.at(spares ? largest->id : late->id);
    Defer(entry, spares ? &*late : nullptr, now);
  }
  while (const auto late = lane.deferred.FirstLate(seconds)) {
    Entry& entry = entries_.at(late->id);
    if (late->start_by >= seconds) {
      const auto largest = LargestDeferred(lane, late->key, now);
      if (largest && largest->work > late->work) {
        Refuse(largest->id, &*late, now);
        continue;
      }
    }
    if (entry.job.may_refuse) {
      Refuse(late->id, nullptr, now);
      continue;
    }
    // A request that may have run keeps its place until its deadline, when the
    // placer ends it. It no longer counts as late here.
    lane.deferred.Erase(entry.key);
    SlackList::Job kept = *late;
    kept.start_by = ToSeconds(Time::max());
    lane.deferred.Insert(kept);
  }
}

/// The deferred request that is refused for the sake of others: the largest one
/// that has not waited for half of its time yet.
std::optional<SlackList::Job> OverloadPlan::LargestDeferred(
    Lane& lane, const SlackList::Key& last, Time now) {
  while (auto largest = lane.deferred.LargestOf(last)) {
    if (largest->key.order > now.time_since_epoch().count()) return largest;
    lane.deferred.Erase(largest->key);
    largest->is_protected = true;
    lane.deferred.Insert(*largest);
  }
  return std::nullopt;
}

void OverloadPlan::Refuse(const RequestId& id, const SlackList::Job* cause,
                          Time now) {
  const auto at = entries_.find(id);
  PlanNote note = NoteOf(at->second, PlanOutcome::kRefused, cause);
  const PlanJob job = at->second.job;
  Lane& lane = LaneOf(job.lane);
  shares_.Record(job, false, now);
  Remove(id);
  note.retry_after = RetryAfter(lane, job, now);
  notes_.push_back(std::move(note));
}

/// When the pool is expected to have worked off what waits and what was told to
/// come back before, plus jitter.
Duration OverloadPlan::RetryAfter(Lane& lane, const PlanJob& job, Time now) {
  const double rate = std::max(lane.capacity, 1e-6);
  const double backlog = lane.in_time.work() + lane.deferred.work();
  const auto time_of = [rate](double work) {
    return duration_cast<Duration>(
        Seconds(std::min(work / rate, Seconds(kMaxRetryAfter).count())));
  };
  const Time free_at = std::max(now + time_of(backlog), lane.promised_until) +
                       time_of(Seconds(job.work).count());
  lane.promised_until = std::min(free_at, now + kMaxRetryAfter);
  const Duration wait =
      std::clamp(lane.promised_until - now, kMinRetryAfter, kMaxRetryAfter);
  const std::array<std::uint64_t, 2> name{job.id.incarnation.value,
                                          job.id.sequence};
  const auto hash = XXH3_64bits_withSeed(
      name.data(), sizeof(name),
      XXH3_64bits_withSeed(job.id.host.value.data(), job.id.host.value.size(),
                           seed_));
  constexpr double kHashes = 18446744073709551616.0;  // 2^64.
  const double part = static_cast<double>(hash) / kHashes;
  return wait + duration_cast<Duration>(kJitterShare * part * wait);
}

SlackList::Ahead OverloadPlan::AheadOf(const Entry& entry) const {
  const Lane& lane = LaneOf(entry.job.lane);
  if (!entry.is_deferred) return lane.in_time.Before(entry.key);
  SlackList::Ahead ahead = lane.deferred.Before(entry.key);
  // Those in time go first, but for the share of the deferred.
  ahead.jobs += lane.in_time.size();
  ahead.work += lane.in_time.work();
  if (!ahead.last) {
    constexpr SlackList::Key kLast{UINT32_MAX, INT64_MAX, UINT64_MAX};
    ahead.last = lane.in_time.Before(kLast).last;
  }
  return ahead;
}

PlanNote OverloadPlan::NoteOf(const Entry& entry, PlanOutcome outcome,
                              const SlackList::Job* cause) const {
  PlanNote note;
  note.id = entry.job.id;
  note.outcome = outcome;
  const auto ahead = AheadOf(entry);
  note.ahead = ahead.jobs;
  if (cause != nullptr) {
    note.preferred = cause->id;
    note.measure = PlanMeasure::kWork;
    return note;
  }
  note.preferred = ahead.last;
  const auto other = ahead.last ? entries_.find(*ahead.last) : entries_.end();
  if (other == entries_.end()) return note;
  if (other->second.key.priority < entry.key.priority) {
    note.measure = PlanMeasure::kPriority;
  } else if (outcome != PlanOutcome::kWaits &&
             other->second.job.work < entry.job.work) {
    note.measure = PlanMeasure::kWork;
  }
  return note;
}

void OverloadPlan::Granted(const PlanJob& job, Time now) {
  shares_.Record(job, true, now);
  Lane& lane = LaneOf(job.lane);
  const double work = Seconds(job.work).count();
  lane.busy_work += work;
  const auto at = entries_.find(job.id);
  const bool was_deferred = at != entries_.end() && at->second.is_deferred;
  const double most = kMaxDeferredCredit * std::max(lane.capacity, work);
  if (was_deferred) {
    lane.deferred_credit -= (1 - kDeferredShare) * work;
  } else if (lane.deferred.size() > 0) {
    lane.deferred_credit += kDeferredShare * work;
  }
  lane.deferred_credit = std::clamp(lane.deferred_credit, -most, most);
  Remove(job.id);
}

void OverloadPlan::Denied(const RequestId& id, Time now) {
  const auto at = entries_.find(id);
  if (at == entries_.end()) return;
  shares_.Record(at->second.job, false, now);
  Remove(id);
}

void OverloadPlan::Remove(const RequestId& id) {
  const auto at = entries_.find(id);
  if (at == entries_.end()) return;
  Lane& lane = LaneOf(at->second.job.lane);
  (at->second.is_deferred ? lane.deferred : lane.in_time).Erase(at->second.key);
  entries_.erase(at);
}

void OverloadPlan::Advance(Time now) {
  for (auto& lane : lanes_) {
    Measure(lane, now);
    if (lane.is_empty()) continue;
    SetRates(lane, now);
    Settle(lane, now);
  }
}

std::vector<PlanNote> OverloadPlan::TakeNotes() {
  return std::exchange(notes_, {});
}

/// Whether the first deferred request goes before those that are in time.
bool OverloadPlan::IsTurnOfDeferred(const Lane& lane) {
  if (lane.deferred.size() == 0) return false;
  if (lane.in_time.size() == 0) return true;
  const auto deferred = lane.deferred.First(1).front();
  const auto in_time = lane.in_time.First(1).front();
  if (deferred.is_protected && deferred.key.priority < in_time.key.priority)
    return true;
  return lane.deferred_credit > 0 &&
         deferred.key.priority <= in_time.key.priority;
}

std::vector<OverloadPlan::Next> OverloadPlan::InOrder(
    std::size_t per_lane) const {
  std::vector<Next> out;
  for (std::size_t i = 0; i < kPlanLanes; ++i) {
    const Lane& lane = lanes_[i];
    std::size_t added = 0;
    const auto add = [&](const SlackList::Job& job, bool is_deferred) {
      if (added++ >= per_lane) return;
      out.push_back({job.id, static_cast<PlanLane>(i), is_deferred,
                     job.key.priority, is_deferred ? 0 : job.key.order,
                     job.is_protected});
    };
    const bool turn = IsTurnOfDeferred(lane);
    const auto deferred = lane.deferred.First(per_lane);
    if (turn) add(deferred.front(), false);
    for (const auto& job : lane.in_time.First(per_lane)) add(job, false);
    for (std::size_t k = turn ? 1 : 0; k < deferred.size(); ++k)
      add(deferred[k], true);
  }
  std::stable_sort(out.begin(), out.end(), [](const Next& a, const Next& b) {
    return std::tuple(a.is_deferred, a.priority, a.due) <
           std::tuple(b.is_deferred, b.priority, b.due);
  });
  return out;
}

bool OverloadPlan::GoesFirst(const PlanJob& job) const {
  for (std::size_t i = 0; i < kPlanLanes; ++i) {
    const Lane& lane = lanes_[i];
    const bool is_same = static_cast<PlanLane>(i) == job.lane;
    if (is_same && lane.in_time.size() > 0) {
      const SlackList::Key first = lane.in_time.First(1).front().key;
      if (std::pair(first.priority, first.order) <=
          std::pair(job.priority, job.due.time_since_epoch().count())) {
        return false;
      }
    }
    if (is_same && IsTurnOfDeferred(lane) &&
        lane.deferred.First(1).front().key.priority <= job.priority) {
      return false;
    }
    if (!is_same && lane.in_time.size() > 0 &&
        lane.in_time.First(1).front().key.priority < job.priority) {
      return false;
    }
  }
  return true;
}

std::size_t OverloadPlan::Ahead(const RequestId& id) const {
  const auto at = entries_.find(id);
  return at == entries_.end() ? 0 : AheadOf(at->second).jobs;
}

bool OverloadPlan::IsDeferred(const RequestId& id) const {
  const auto at = entries_.find(id);
  return at != entries_.end() && at->second.is_deferred;
}

}  // namespace comfreyflow
