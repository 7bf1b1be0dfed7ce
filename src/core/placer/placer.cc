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
    case WorkEnd::kUnsuited:
      return "unsuited";
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
  UpdateStandingLimits(now);
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
    RemoveWaiting(work);
    work = {};
  }
  work.job = job;
  work.last_requested_at = now;
  work.prefill_time =
      engine_ ? PrefillTime(job.prompt_tokens) : Duration::zero();
  if (engine_ && job.stream && !IsLong(work))
    RecordShortDemand(work.prefill_time, now);
  if (!job.is_retry) {
    if (job.excluded.empty()) {
      retry_window_.RecordRequest(job.id.host, job.id.incarnation, now);
    }
  } else if (retry_window_.Left(now) < 1) {
    Refuse(work, Errc::kOverloaded, Duration::zero());
    works_.erase(job.id);
    return;
  }
  if (ExceedsAnyGang(job)) {
    Refuse(work, Errc::kPromptTooLong, Duration::zero());
    works_.erase(job.id);
    return;
  }
  if (settings_.cost_aware) return SubmitByCost(work, now);
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
  UpdatePace(work, now);
  if (work.is_long && waiting() <= kMaxImmediatePlacement) PlaceWaiting(now);
}

void Placer::Ended(const RequestId& id, WorkEnd end, Time now,
                   const TargetName& target) {
  const auto at = works_.find(id);
  if (at == works_.end()) return;
  Work& work = at->second;
  if (work.is_placed) {
    Count(work, -1);
    RecordPlainTime(work, end, now);
    if (!work.grant.targets.empty()) {
      EndTrial(work);
      const TargetName& first = work.grant.targets.front().name;
      UpdateHealth(target.value.empty() ? first : target, end, now);
    }
  } else {
    RemoveWaiting(work);
  }
  works_.erase(at);
  if (waiting() <= kMaxImmediatePlacement) PlaceWaiting(now);
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
      RemoveWaiting(at->second);
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
