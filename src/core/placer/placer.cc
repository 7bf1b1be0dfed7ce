// Life cycle of work at a placer: submitted, waiting, placed, started, ended.
#include "comfreyflow/placer.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace comfreyflow {
namespace {

using std::chrono::milliseconds;

/// Work that is missing from the report of its host has ended, unless it was
/// placed so recently that the report may be older than the grant.
constexpr Duration kSyncMargin = milliseconds(400);
/// Work whose end was not reported is dropped this long after its deadline.
constexpr Duration kOverdueMargin = std::chrono::seconds(1);
/// Work that was placed by another placer is dropped if its host has not
/// reported it for this long: the host now uses another holder and reports the
/// end of the work there.
constexpr Duration kAdoptedTimeout = std::chrono::seconds(2);
/// A waiting request is dropped if its host has not submitted it again for this
/// long.
constexpr Duration kRequestTimeout = milliseconds(1200);
/// A late long prompt goes before other requests if it would miss its deadline
/// within this time.
constexpr Duration kLastChanceWindow = milliseconds(1500);
/// A request waits this long for a first usable target before it is refused.
constexpr Duration kEmptyPoolWait = milliseconds(250);
constexpr Duration kEmptyPoolRetryAfter = milliseconds(500);
/// Weight of the latest sample in the moving averages of a target's pace and
/// error share.
constexpr double kSampleWeight = 0.25;
/// A failure closes a target for this long, doubled with each consecutive
/// failure.
constexpr Duration kFirstClosure = milliseconds(250);
constexpr std::uint32_t kMaxClosureDoublings = 4;
constexpr Duration kRefusalClosure = milliseconds(30);
constexpr int kRetryBuckets = 20;
/// If more requests wait, they are placed at the next tick instead of at each
/// event, which bounds the work per event.
constexpr std::size_t kMaxImmediatePlacement = 16;

}  // namespace

const char* ToString(WorkEnd end) {
  switch (end) {
    case WorkEnd::kDone:
      return "done";
    case WorkEnd::kTargetError:
      return "target_error";
    case WorkEnd::kRefused:
      return "refused";
    case WorkEnd::kWrongTarget:
      return "wrong_target";
    case WorkEnd::kBroken:
      return "broken";
    case WorkEnd::kTimedOut:
      return "silent";
    case WorkEnd::kUnreachable:
      return "unreachable";
    case WorkEnd::kGarbled:
      return "garbled";
    case WorkEnd::kCancelled:
      return "gone";
  }
  return "unknown";
}

void Placer::SetTargets(const std::vector<PoolTarget>& targets, Time now) {
  for (auto& [name, target] : targets_) target.is_listed = false;
  for (const auto& info : targets) {
    const bool added = !targets_.contains(info.name);
    Target& target = FindOrAdd(info.name);
    if (!added && (target.info.born != info.born ||
                   target.info.address != info.address)) {
      target.is_replaced = false;
      target.failures = 0;
      target.is_on_trial = false;
      target.pace = 1;
      target.error_share = 0;
      target.closed_until = now;
      target.back_offs.clear();
    }
    target.info = info;
    target.is_listed = true;
  }
  std::erase_if(targets_, [](const auto& entry) {
    return !entry.second.is_listed && entry.second.users == 0;
  });
  PlaceWaiting(now);
}

void Placer::Submit(const PlaceJob& job, Time now) {
  auto [at, added] = works_.try_emplace(job.id);
  Work& work = at->second;
  if (!added && work.job.number == job.number) {
    work.last_requested_at = now;
    if (work.is_placed) decisions_.push_back(work.grant);
    return;
  }
  if (!added) {
    if (work.is_placed) Count(work, -1);
    EndTrial(work);
    std::erase(waiting_, job.id);
    work = {};
  }
  work.job = job;
  work.last_requested_at = now;
  work.prefill_time =
      engine_ ? PrefillTime(job.prompt_tokens) : Duration::zero();
  if (engine_ && job.stream && !IsLong(work))
    RecordShortDemand(work.prefill_time, now);
  Bucket& bucket = CurrentBucket(now);
  if (!job.is_retry) {
    if (job.excluded.empty()) ++bucket.requests;
  } else if (RetriesLeft(now) < 1) {
    Refuse(work, Errc::kOverloaded, Duration::zero());
    works_.erase(job.id);
    return;
  } else {
    ++bucket.retries;
  }
  if (ExceedsAnyGang(job)) {
    Refuse(work, Errc::kPromptTooLong, Duration::zero());
    works_.erase(job.id);
    return;
  }
  if (TryPlace(work, now)) return;
  if (RefuseWaiting(work, PermitsFor(work, now), WaitingBefore(work, now),
                    now)) {
    works_.erase(job.id);
    return;
  }
  waiting_.push_back(job.id);
}

void Placer::Started(const RequestId& id, Time now) {
  const auto at = works_.find(id);
  if (at == works_.end() || !at->second.is_placed || at->second.is_started)
    return;
  Work& work = at->second;
  Count(work, -1);
  work.is_started = true;
  Count(work, 1);
  if (work.estimate > Duration::zero() && !work.grant.targets.empty()) {
    if (Target* target = Find(work.grant.targets.front().name)) {
      const double sample =
          std::chrono::duration<double>(now - work.placed_at) / work.estimate;
      target->pace += kSampleWeight * (sample - target->pace);
      target->pace_updated_at = now;
    }
  }
  if (work.is_long && waiting_.size() <= kMaxImmediatePlacement)
    PlaceWaiting(now);
}

void Placer::Ended(const RequestId& id, WorkEnd end, Time now,
                   const TargetName& target) {
  const auto at = works_.find(id);
  if (at == works_.end()) return;
  Work& work = at->second;
  if (work.is_placed) {
    Count(work, -1);
    if (!work.grant.targets.empty()) {
      EndTrial(work);
      const TargetName& first = work.grant.targets.front().name;
      UpdateHealth(target.value.empty() ? first : target, end, now);
    }
  } else {
    std::erase(waiting_, id);
  }
  works_.erase(at);
  if (waiting_.size() <= kMaxImmediatePlacement) PlaceWaiting(now);
}

void Placer::Adopt(const HostName& host,
                   const std::vector<RunningWork>& running, Time now) {
  for (const auto& reported : running) {
    auto [at, added] = works_.try_emplace(reported.id);
    Work& work = at->second;
    work.last_reported_at = now;
    if (!added) {
      if (reported.is_started) Started(reported.id, now);
      continue;
    }
    work.job.id = reported.id;
    work.job.stream = reported.stream;
    work.job.prompt_tokens = reported.prompt_tokens;
    work.job.output_tokens = reported.output_tokens;
    work.job.max_gap = reported.max_gap;
    work.prefill_time =
        engine_ ? PrefillTime(reported.prompt_tokens) : Duration::zero();
    work.is_placed = true;
    work.is_adopted = true;
    work.is_started = reported.is_started;
    work.placed_at = now;
    work.grant.id = reported.id;
    work.grant.targets = reported.targets;
    work.is_long = reported.stream && IsLong(work);
    Count(work, 1);
  }
  std::vector<RequestId> ended;
  for (const auto& entry : works_) {
    const RequestId& id = entry.first;
    const Work& work = entry.second;
    if (id.host != host || !work.is_placed) continue;
    if (!work.is_adopted && now - work.placed_at < kSyncMargin) continue;
    const bool is_reported = std::any_of(
        running.begin(), running.end(),
        [&id](const RunningWork& reported) { return reported.id == id; });
    if (!is_reported) ended.push_back(id);
  }
  for (const auto& id : ended) Ended(id, WorkEnd::kCancelled, now);
}

void Placer::Forget(const HostName& host, Incarnation incarnation) {
  for (auto at = works_.begin(); at != works_.end();) {
    if (at->first.host != host || at->first.incarnation >= incarnation) {
      ++at;
      continue;
    }
    if (at->second.is_placed) {
      Count(at->second, -1);
      EndTrial(at->second);
    } else {
      std::erase(waiting_, at->first);
    }
    at = works_.erase(at);
  }
}

void Placer::Tick(Time now) {
  DropOverdue(now);
  PlaceWaiting(now);
}

void Placer::DropOverdue(Time now) {
  std::vector<RequestId> overdue;
  for (const auto& [id, work] : works_) {
    if (!work.is_placed) continue;
    const bool over = work.is_adopted
                          ? now > work.last_reported_at + kAdoptedTimeout
                          : now > work.job.deadline + kOverdueMargin;
    if (over) overdue.push_back(id);
  }
  for (const auto& id : overdue) Ended(id, WorkEnd::kCancelled, now);
}

std::vector<PlaceDecision> Placer::TakeDecisions() {
  return std::exchange(decisions_, {});
}

std::vector<Placer::TargetLoad> Placer::Loads() const {
  std::vector<TargetLoad> loads;
  for (const auto& [name, target] : targets_) {
    loads.push_back({name, target.running, target.shorts, target.long_prefills,
                     target.prefill_backlog, target.memory, target.failures,
                     target.pace, target.info.leaving || !target.is_listed,
                     limits_.RateOf(name, target.info.born)});
  }
  return loads;
}

Placer::Summary Placer::Summarize(Time now) {
  Summary out;
  out.waiting = waiting();
  out.running = running();
  out.closing = closed_to_short_.size();
  out.retries_left = RetriesLeft(now);
  if (engine_) out.reserve = EnginesForShort(now);
  for (const auto& [name, target] : targets_) {
    if (!IsAvailable(target)) continue;
    ++out.targets;
    if (now < target.closed_until || target.is_on_trial) ++out.closed;
    if (target.shorts > 0) ++out.short_engines;
    if (target.long_prefills > 0) ++out.long_engines;
    if (target.running >= target.info.slots) ++out.full;
    if (IsDegraded(target, now)) ++out.degraded;
    if (IsLimited(target)) ++out.limited;
    out.prefill_backlog += target.prefill_backlog;
    out.memory += target.memory;
  }
  for (const auto& [id, work] : works_) {
    if (work.is_placed && !work.is_started) ++out.prefilling;
  }
  return out;
}

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

/// Number of waiting requests that are placed before this one.
std::size_t Placer::WaitingBefore(const Work& work, Time now) const {
  if (limits_.empty()) return 0;
  const Rank rank = RankOf(work, now);
  return static_cast<std::size_t>(std::count_if(
      waiting_.begin(), waiting_.end(),
      [&](const RequestId& id) { return RankOf(works_.at(id), now) <= rank; }));
}

void Placer::PlaceWaiting(Time now) {
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

bool Placer::HasPermit(const Target& target, Time now) const {
  return limits_.empty() ||
         limits_.Allows(target.info.name, target.info.born, now);
}

bool Placer::IsLimited(const Target& target) const {
  return !limits_.empty() &&
         limits_.RateOf(target.info.name, target.info.born).has_value();
}

std::optional<Placer::Permits> Placer::PermitsFor(const Work& work,
                                                  Time now) const {
  if (limits_.empty()) return std::nullopt;
  Permits out{0, Time::max()};
  for (const auto& [name, target] : targets_) {
    if (!InPool(target, work)) continue;
    const auto part = limits_.PartOf(name, target.info.born);
    if (!part) return std::nullopt;
    out.rate += *part;
    out.next_at =
        std::min(out.next_at, limits_.NextAt(name, target.info.born, now));
  }
  if (out.rate <= 0) return std::nullopt;
  return out;
}

/// The wait for a permit behind `ahead` other requests, if the permit comes too
/// late for this request.
std::optional<Duration> Placer::PermitDelay(
    const Work& work, const std::optional<Permits>& permits, std::size_t ahead,
    Time now) const {
  if (!permits) return std::nullopt;
  const std::chrono::duration<double> queue_delay(static_cast<double>(ahead) /
                                                  permits->rate);
  const Time permit_at =
      permits->next_at + std::chrono::duration_cast<Duration>(queue_delay);
  if (permit_at + MinTimeToFirstEvent(work) < FirstEventDeadline(work.job))
    return std::nullopt;
  return permit_at - now;
}

void Placer::SetPart(const LimitPart& part, Time now) {
  retry_slack_share_ = part.share;
  limits_.SetPart(part, now);
}

void Placer::BackOff(const TargetName& name, const HostName& host, Time until,
                     Time now) {
  Target* target = Find(name);
  if (target == nullptr) return;
  std::erase_if(target->back_offs,
                [now](const auto& e) { return e.second <= now; });
  Time& known = target->back_offs[host];
  known = std::max(known, until);
}

bool Placer::IsBackedOff(const Target& target, const HostName& host, Time at) {
  const auto back_off = target.back_offs.find(host);
  return back_off != target.back_offs.end() && back_off->second > at;
}

/// Number of hosts that the target asked to back off.
std::size_t Placer::BackedOffHosts(const Target& target, Time now) {
  return static_cast<std::size_t>(
      std::count_if(target.back_offs.begin(), target.back_offs.end(),
                    [now](const auto& entry) { return entry.second > now; }));
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

/// Whether the request may go to the target, with or without free capacity.
bool Placer::InPool(const Target& target, const Work& work) const {
  return IsAvailable(target) && !Excluded(work, target.info.name);
}

Placer::Urgency Placer::UrgencyOf(const Work& work, Time now) const {
  const Time due = work.job.arrival + work.job.objective;
  if (due >= now) return Urgency::kInTime;
  if (!work.is_long) return Urgency::kLate;
  const bool last = now + MinTimeToFirstEvent(work) + kLastChanceWindow >=
                    FirstEventDeadline(work.job);
  return last ? Urgency::kLastChance : Urgency::kLate;
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

void Placer::Refuse(const Work& work, Errc code, Duration retry_after) {
  const bool empty = code == Errc::kDeadlineInfeasible && targets_.empty();
  decisions_.push_back(
      PlaceRefusal{work.job.id, work.job.number, empty ? Errc::kNoTarget : code,
                   empty ? kEmptyPoolRetryAfter : retry_after});
}

void Placer::Count(Work& work, int sign) {
  const bool is_prefilling = !work.is_started;
  for (std::size_t i = 0; i < work.grant.targets.size(); ++i) {
    Target* target = &FindOrAdd(work.grant.targets[i].name);
    target->users += sign;
    if (work.is_long) {
      const auto gang_size = static_cast<int>(work.grant.targets.size());
      if (is_prefilling) target->long_prefills += sign;
      if (is_prefilling)
        target->prefill_backlog += sign * (work.prefill_time / gang_size);
    } else if (i == 0 && work.job.stream) {
      target->shorts += sign;
      if (is_prefilling) target->prefill_backlog += sign * work.prefill_time;
    }
    if (i == 0 && work.job.stream && work.job.max_gap > Duration::zero()) {
      if (sign > 0) target->gaps.insert(work.job.max_gap);
      if (sign < 0) target->gaps.extract(work.job.max_gap);
    }
    const std::int64_t reserved = work.grant.targets[i].reserve_tokens;
    if (i != 0) {
      target->memory += sign * reserved;
      continue;
    }
    target->running += sign;
    std::int64_t tokens =
        std::int64_t{work.job.prompt_tokens} + work.job.output_tokens;
    for (std::size_t j = 1; j < work.grant.targets.size(); ++j) {
      tokens -= work.grant.targets[j].reserve_tokens;
    }
    target->memory += sign * tokens;
  }
}

void Placer::EndTrial(const Work& work) {
  if (!work.is_trial || work.grant.targets.empty()) return;
  Target* target = Find(work.grant.targets.front().name);
  if (target != nullptr) target->is_on_trial = false;
}

void Placer::UpdateHealth(const TargetName& name, WorkEnd end, Time now) {
  Target* target = Find(name);
  if (target == nullptr || end == WorkEnd::kCancelled) return;
  const bool error = end == WorkEnd::kTargetError || end == WorkEnd::kGarbled;
  target->error_share +=
      kSampleWeight * ((error ? 1.0 : 0.0) - target->error_share);
  switch (end) {
    case WorkEnd::kDone:
    case WorkEnd::kTargetError:
    case WorkEnd::kGarbled:
    case WorkEnd::kCancelled:
      target->failures = 0;
      return;
    case WorkEnd::kRefused:
      target->closed_until =
          std::max(target->closed_until, now + kRefusalClosure);
      return;
    case WorkEnd::kWrongTarget:
      target->is_replaced = true;
      return;
    case WorkEnd::kBroken:
    case WorkEnd::kTimedOut:
    case WorkEnd::kUnreachable:
      target->closed_until =
          now + kFirstClosure *
                    (1 << std::min(target->failures, kMaxClosureDoublings));
      ++target->failures;
      return;
  }
}

Placer::Bucket& Placer::CurrentBucket(Time now) {
  const Duration width = settings_.retry_window / kRetryBuckets;
  while (!buckets_.empty() &&
         now - buckets_.front().begin > settings_.retry_window + width) {
    buckets_.pop_front();
  }
  if (buckets_.empty() || now - buckets_.back().begin > width) {
    buckets_.push_back({now, 0, 0});
  }
  return buckets_.back();
}

double Placer::RetriesLeft(Time now) {
  CurrentBucket(now);
  double requests = 0;
  double retries = 0;
  for (const auto& bucket : buckets_) {
    requests += bucket.requests;
    retries += bucket.retries;
  }
  const double slack = retry_slack_share_ * settings_.retry_slack;
  return settings_.retry_ratio * requests + slack - retries;
}

Placer::Target& Placer::FindOrAdd(const TargetName& name) {
  const auto [at, added] = targets_.try_emplace(name);
  if (added) {
    at->second.info.name = name;
    at->second.order = XXH3_64bits_withSeed(name.value.data(),
                                            name.value.size(), settings_.seed);
  }
  return at->second;
}

Placer::Target* Placer::Find(const TargetName& name) {
  const auto at = targets_.find(name);
  return at == targets_.end() ? nullptr : &at->second;
}

}  // namespace comfreyflow
