// The queue of a placer: in which order requests are placed, and which are
// refused.
#include <algorithm>
#include <utility>

#include "comfreyflow/placer.h"

namespace comfreyflow {
namespace {

using std::chrono::milliseconds;

/// A waiting request is dropped if its host has not submitted it again for this
/// long.
constexpr Duration kRequestTimeout = milliseconds(1200);
/// A late long prompt goes before other requests if it would miss its deadline
/// within this time.
constexpr Duration kLastChanceWindow = milliseconds(1500);
/// A request waits this long for a first usable target before it is refused.
constexpr Duration kEmptyPoolWait = milliseconds(250);
constexpr Duration kEmptyPoolRetryAfter = milliseconds(500);
/// An evacuation lasts longer than callers wait; a caller learns of its end by
/// asking again.
constexpr Duration kEvacuatedRetryAfter = std::chrono::seconds(1);

}  // namespace

/// The waiting requests in the order of their rank, in which they are placed.
std::vector<std::pair<Placer::Rank, Placer::Work*>> Placer::RankWaiting(
    Time now) {
  std::vector<std::pair<Rank, Work*>> ranked;
  for (const auto& id : waiting_) {
    Work& work = works_.at(id);
    ranked.emplace_back(RankOf(work, now), &work);
  }
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  return ranked;
}

Placer::Rank Placer::RankOf(const Work& work, Time now) const {
  return {UrgencyOf(work, now), work.job.priority,
          work.job.arrival + work.job.objective};
}

Placer::Urgency Placer::UrgencyOf(const Work& work, Time now) const {
  const Time due = work.job.arrival + work.job.objective;
  // What can't meet its objective any more must not delay what still can.
  const Duration least =
      work.is_long ? MinTimeToFirstEvent(work) : Duration::zero();
  if (now + least <= due) return Urgency::kInTime;
  if (!work.is_long) return Urgency::kLate;
  const bool last = now + MinTimeToFirstEvent(work) + kLastChanceWindow >=
                    FirstEventDeadline(work.job);
  return last ? Urgency::kLastChance : Urgency::kLate;
}

/// Number of waiting requests that are placed before this one.
std::size_t Placer::WaitingBefore(const Work& work, Time now) const {
  if (limits_.size() == 0) return 0;
  if (settings_.cost_aware) return plan_.Ahead(work.job.id);
  const Rank rank = RankOf(work, now);
  return static_cast<std::size_t>(std::count_if(
      waiting_.begin(), waiting_.end(),
      [&](const RequestId& id) { return RankOf(works_.at(id), now) <= rank; }));
}

void Placer::PlaceWaiting(Time now) {
  if (settings_.cost_aware) return PlaceByCost(now);
  if (waiting_.empty()) {
    long_waits_ = false;
    closed_to_short_.clear();
    return;
  }
  long_waits_ = false;
  // If a short request cannot be placed, no short request with a longer prefill
  // can.
  std::optional<Duration> blocked;
  std::vector<RequestId> still_waiting;
  const Work unrestricted;  // Excludes no targets.
  const auto shared_permits = PermitsFor(unrestricted, now);
  for (const auto& [rank, found] : RankWaiting(now)) {
    Work& work = *found;
    const RequestId id = work.job.id;
    if (now - work.last_requested_at > kRequestTimeout) {
      works_.erase(id);
      continue;
    }
    if (work.job.is_retry && retry_window_.Left(now) < 1) {
      Refuse(work, Errc::kOverloaded, Duration::zero());
      works_.erase(id);
      continue;
    }
    const bool skip = blocked && !work.is_long && work.prefill_time >= *blocked;
    if (!skip && TryPlace(work, now)) continue;
    const auto permits =
        work.job.excluded.empty() ? shared_permits : PermitsFor(work, now);
    if (RefuseWaiting(work, permits, still_waiting.size(), now)) {
      works_.erase(id);
      continue;
    }
    if (work.is_long) {
      long_waits_ = true;
    } else if (work.job.excluded.empty()) {
      blocked =
          std::min(blocked.value_or(work.prefill_time), work.prefill_time);
    }
    still_waiting.push_back(id);
  }
  waiting_ = std::move(still_waiting);
  CloseToShort(now);
}

/// Refuses a request that no target can take in time. Returns whether it was
/// refused.
bool Placer::RefuseWaiting(const Work& work,
                           const std::optional<Permits>& permits,
                           std::size_t ahead, Time now) {
  if (IsPoolEvacuated(work)) {
    Refuse(work, Errc::kNoTarget, kEvacuatedRetryAfter);
    return true;
  }
  if (IsInfeasible(work, now)) {
    Refuse(work, Errc::kDeadlineInfeasible, Duration::zero());
    return true;
  }
  if (const auto permit_wait = PermitDelay(work, permits, ahead, now)) {
    Refuse(work, Errc::kTargetsLimited, *permit_wait);
    return true;
  }
  const auto retry_after = RetryAfter(work, now);
  if (retry_after) Refuse(work, Errc::kOverloaded, *retry_after);
  return retry_after.has_value();
}

/// If all targets ask the host of this request to back off until the request
/// would be late: when the caller should retry. Zero if another host may send
/// to one of the targets.
std::optional<Duration> Placer::RetryAfter(const Work& work, Time now) const {
  const HostName& host = work.job.id.host;
  std::optional<Time> first;
  bool usable_elsewhere = false;
  for (const auto& [name, target] : targets_) {
    if (!InPool(target, work)) continue;
    if (!IsBackedOff(target, host, now)) return std::nullopt;
    const Time until = target.back_offs.at(host);
    first = std::min(first.value_or(until), until);
    usable_elsewhere = usable_elsewhere || BackedOffHosts(target, now) < hosts_;
  }
  if (!first || *first < work.job.arrival + work.job.objective) {
    return std::nullopt;
  }
  // A refusal lets the caller retry elsewhere, but a request that already ran
  // must not be reported as not run.
  if (usable_elsewhere && !work.job.is_retry) return Duration::zero();
  if (*first + kMinServiceTime < work.job.deadline) return std::nullopt;
  return *first - now;
}

/// Whether the caller would have given up, or the deadline would have passed,
/// before the first event.
bool Placer::MissesDeadline(const Work& work, Time now) const {
  return now + MinTimeToFirstEvent(work) >= FirstEventDeadline(work.job);
}

Time Placer::FirstEventDeadline(const PlaceJob& job) {
  return std::min(job.first_event_deadline, job.deadline);
}

/// Whether no target can take the request before its deadline.
bool Placer::IsInfeasible(const Work& work, Time now) const {
  if (MissesDeadline(work, now)) return true;
  const bool any = std::any_of(
      targets_.begin(), targets_.end(), [this, &work](const auto& entry) {
        const Target& target = entry.second;
        return InPool(target, work) &&
               target.closed_until + kMinServiceTime < work.job.deadline;
      });
  const Time since = std::max(work.job.arrival, held_until_);
  return !any && now - since > kEmptyPoolWait;
}

/// Whether all targets that the request could go to are in evacuated failure
/// domains.
bool Placer::IsPoolEvacuated(const Work& work) const {
  bool any = false;
  for (const auto& [name, target] : targets_) {
    if (!target.is_listed || target.info.leaving || target.is_replaced ||
        Excluded(work, name)) {
      continue;
    }
    if (!target.info.evacuated) return false;
    any = true;
  }
  return any;
}

void Placer::Refuse(const Work& work, Errc code, Duration retry_after) {
  const bool empty = code == Errc::kDeadlineInfeasible && targets_.empty();
  decisions_.push_back(
      PlaceRefusal{work.job.id, work.job.number, empty ? Errc::kNoTarget : code,
                   empty ? kEmptyPoolRetryAfter : retry_after});
}

}  // namespace comfreyflow
