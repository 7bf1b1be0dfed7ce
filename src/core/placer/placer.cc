// The life of work at a placer: asked, waiting, placed, begun, ended.
#include "comfreyflow/placer.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace comfreyflow {
namespace {

using std::chrono::milliseconds;

/// Work of a host that its own word does not name has ended, unless it was
/// placed so lately that the word may be older.
constexpr Duration kAdoptMargin = milliseconds(400);
/// Work whose end was not heard of is dropped so long after its deadline.
constexpr Duration kOverdueMargin = std::chrono::seconds(1);
/// Work that another placer placed ends here when its host does not name it for
/// so long: the host asks another holder, which hears of its end.
constexpr Duration kAdoptedSilence = std::chrono::seconds(2);
/// A waiting request whose host stopped asking for it.
constexpr Duration kAskLife = milliseconds(1200);
/// A late prompt goes before others once it would be too late in this time.
constexpr Duration kLastChance = milliseconds(1500);
/// Wait for a first usable target before a request is refused.
constexpr Duration kEmptyPoolWait = milliseconds(250);
constexpr Duration kEmptyPoolRetry = milliseconds(500);
/// Weight of the last sample in a target's pace and share of errors.
constexpr double kSampleWeight = 0.25;
/// A failure closes a target for this long, doubled for each one in a row.
constexpr Duration kFirstClosure = milliseconds(250);
constexpr std::uint32_t kMaxClosureDoublings = 4;
constexpr Duration kRefusalClosure = milliseconds(30);
constexpr int kRetryBuckets = 20;
/// With more waiting than this, places are given at the next tick only.
constexpr std::size_t kPlaceAtOnce = 16;

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
  for (auto& [name, target] : targets_) target.listed = false;
  for (const auto& info : targets) {
    const bool added = !targets_.contains(info.name);
    Target& target = Known(info.name);
    if (!added && (target.info.born != info.born ||
                   target.info.address != info.address)) {
      target.replaced = false;
      target.failures = 0;
      target.on_trial = false;
      target.pace = 1;
      target.error_share = 0;
      target.closed_until = now;
      target.back_offs.clear();
    }
    target.info = info;
    target.listed = true;
  }
  std::erase_if(targets_, [](const auto& entry) {
    return !entry.second.listed && entry.second.users == 0;
  });
  PlaceWaiting(now);
}

void Placer::Submit(const PlaceJob& job, Time now) {
  auto [at, added] = works_.try_emplace(job.id);
  Work& work = at->second;
  if (!added && work.job.number == job.number) {
    work.asked = now;
    if (work.placed) decisions_.push_back(work.grant);
    return;
  }
  if (!added) {
    if (work.placed) Count(work, -1);
    EndTrial(work);
    std::erase(waiting_, job.id);
    work = {};
  }
  work.job = job;
  work.asked = now;
  work.read = engine_ ? ReadTime(job.prompt_tokens) : Duration::zero();
  if (engine_ && job.stream && !IsLong(work)) NoteShort(work.read, now);
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
  if (TooLarge(job)) {
    Refuse(work, Errc::kPromptTooLong, Duration::zero());
    works_.erase(job.id);
    return;
  }
  if (TryPlace(work, now)) return;
  if (RefuseWaiting(work, TurnsFor(work, now), WaitingBefore(work, now), now)) {
    works_.erase(job.id);
    return;
  }
  waiting_.push_back(job.id);
}

void Placer::Started(const RequestId& id, Time now) {
  const auto at = works_.find(id);
  if (at == works_.end() || !at->second.placed || at->second.is_started) return;
  Work& work = at->second;
  Count(work, -1);
  work.is_started = true;
  Count(work, 1);
  if (work.estimate > Duration::zero() && !work.grant.targets.empty()) {
    if (Target* target = Find(work.grant.targets.front().name)) {
      const double sample =
          std::chrono::duration<double>(now - work.placed_at) / work.estimate;
      target->pace += kSampleWeight * (sample - target->pace);
      target->paced = now;
    }
  }
  if (work.is_long && waiting_.size() <= kPlaceAtOnce) PlaceWaiting(now);
}

void Placer::Ended(const RequestId& id, WorkEnd end, Time now,
                   const TargetName& target) {
  const auto at = works_.find(id);
  if (at == works_.end()) return;
  Work& work = at->second;
  if (work.placed) {
    Count(work, -1);
    if (!work.grant.targets.empty()) {
      EndTrial(work);
      const TargetName& first = work.grant.targets.front().name;
      NoteHealth(target.value.empty() ? first : target, end, now);
    }
  } else {
    std::erase(waiting_, id);
  }
  works_.erase(at);
  if (waiting_.size() <= kPlaceAtOnce) PlaceWaiting(now);
}

void Placer::Adopt(const HostName& host,
                   const std::vector<RunningWork>& running, Time now) {
  for (const auto& told : running) {
    auto [at, added] = works_.try_emplace(told.id);
    Work& work = at->second;
    work.named = now;
    if (!added) {
      if (told.is_started) Started(told.id, now);
      continue;
    }
    work.job.id = told.id;
    work.job.stream = told.stream;
    work.job.prompt_tokens = told.prompt_tokens;
    work.job.output_tokens = told.output_tokens;
    work.job.max_gap = told.max_gap;
    work.read = engine_ ? ReadTime(told.prompt_tokens) : Duration::zero();
    work.placed = true;
    work.adopted = true;
    work.is_started = told.is_started;
    work.placed_at = now;
    work.grant.id = told.id;
    work.grant.targets = told.targets;
    work.is_long = told.stream && IsLong(work);
    Count(work, 1);
  }
  std::vector<RequestId> ended;
  for (const auto& entry : works_) {
    const RequestId& id = entry.first;
    const Work& work = entry.second;
    if (id.host != host || !work.placed) continue;
    if (!work.adopted && now - work.placed_at < kAdoptMargin) continue;
    const bool named =
        std::any_of(running.begin(), running.end(),
                    [&id](const RunningWork& told) { return told.id == id; });
    if (!named) ended.push_back(id);
  }
  for (const auto& id : ended) Ended(id, WorkEnd::kCancelled, now);
}

void Placer::Forget(const HostName& host, Incarnation incarnation) {
  for (auto at = works_.begin(); at != works_.end();) {
    if (at->first.host != host || at->first.incarnation >= incarnation) {
      ++at;
      continue;
    }
    if (at->second.placed) {
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
    if (!work.placed) continue;
    const bool over = work.adopted ? now > work.named + kAdoptedSilence
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
                     target.pace, target.info.leaving || !target.listed,
                     limits_.RateOf(name, target.info.born)});
  }
  return loads;
}

Placer::Summary Placer::Summarize(Time now) {
  Summary out;
  out.waiting = waiting();
  out.running = running();
  out.closing = closing_.size();
  out.retries_left = RetriesLeft(now);
  if (engine_) out.reserve = ShortReserve(now);
  for (const auto& [name, target] : targets_) {
    if (!TakesWork(target)) continue;
    ++out.targets;
    if (now < target.closed_until || target.on_trial) ++out.closed;
    if (target.shorts > 0) ++out.short_engines;
    if (target.long_prefills > 0) ++out.long_engines;
    if (target.running >= target.info.slots) ++out.full;
    if (IsPoor(target, now)) ++out.degraded;
    if (IsLimited(target)) ++out.limited;
    out.prefill_backlog += target.prefill_backlog;
    out.memory += target.memory;
  }
  for (const auto& [id, work] : works_) {
    if (work.placed && !work.is_started) ++out.prefilling;
  }
  return out;
}

/// What waits in the order of placing: earliest objective first, and what can't
/// be in time any more behind what can.
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

/// Requests that wait and are placed before the work.
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
    closing_.clear();
    return;
  }
  long_waits_ = false;
  // A short request that found no place shows that larger ones find none.
  std::optional<Duration> blocked;
  std::vector<RequestId> left;
  const Work any;  // Without targets that it must not go to.
  const auto turns_of_all = TurnsFor(any, now);
  for (const auto& [rank, found] : RankWaiting(now)) {
    Work& work = *found;
    const RequestId id = work.job.id;
    if (now - work.asked > kAskLife) {
      works_.erase(id);
      continue;
    }
    const bool skip = blocked && !work.is_long && work.read >= *blocked;
    if (!skip && TryPlace(work, now)) continue;
    const auto turns =
        work.job.excluded.empty() ? turns_of_all : TurnsFor(work, now);
    if (RefuseWaiting(work, turns, left.size(), now)) {
      works_.erase(id);
      continue;
    }
    if (work.is_long) {
      long_waits_ = true;
    } else if (work.job.excluded.empty()) {
      blocked = std::min(blocked.value_or(work.read), work.read);
    }
    left.push_back(id);
  }
  waiting_ = std::move(left);
  ChooseClosing(now);
}

/// Refuses work that no target takes in time; whether it did.
bool Placer::RefuseWaiting(const Work& work, const std::optional<Turns>& turns,
                           std::size_t ahead, Time now) {
  if (Hopeless(work, now)) {
    Refuse(work, Errc::kDeadlineInfeasible, Duration::zero());
    return true;
  }
  if (const auto turn = TurnTooLate(work, turns, ahead, now)) {
    Refuse(work, Errc::kTargetsLimited, *turn);
    return true;
  }
  const auto back = ComeBackAfter(work, now);
  if (back) Refuse(work, Errc::kOverloaded, *back);
  return back.has_value();
}

bool Placer::HasTurn(const Target& target, Time now) const {
  return limits_.empty() ||
         limits_.Allows(target.info.name, target.info.born, now);
}

bool Placer::IsLimited(const Target& target) const {
  return !limits_.empty() &&
         limits_.RateOf(target.info.name, target.info.born).has_value();
}

std::optional<Placer::Turns> Placer::TurnsFor(const Work& work,
                                              Time now) const {
  if (limits_.empty()) return std::nullopt;
  Turns out{0, Time::max()};
  for (const auto& [name, target] : targets_) {
    if (!InPool(target, work)) continue;
    const auto part = limits_.PartOf(name, target.info.born);
    if (!part) return std::nullopt;
    out.rate += *part;
    out.first =
        std::min(out.first, limits_.NextAt(name, target.info.born, now));
  }
  if (out.rate <= 0) return std::nullopt;
  return out;
}

/// If the work's turn, behind `ahead` others, comes too late: when it does.
std::optional<Duration> Placer::TurnTooLate(const Work& work,
                                            const std::optional<Turns>& turns,
                                            std::size_t ahead, Time now) const {
  if (!turns) return std::nullopt;
  const std::chrono::duration<double> behind(static_cast<double>(ahead) /
                                             turns->rate);
  const Time turn = turns->first + std::chrono::duration_cast<Duration>(behind);
  if (turn + LeastTime(work) < FirstEventDeadline(work.job))
    return std::nullopt;
  return turn - now;
}

void Placer::SetPart(const LimitPart& part, Time now) {
  slack_share_ = part.share;
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

/// Hosts that are to send nothing.
std::size_t Placer::BackedOffHosts(const Target& target, Time now) {
  return static_cast<std::size_t>(
      std::count_if(target.back_offs.begin(), target.back_offs.end(),
                    [now](const auto& entry) { return entry.second > now; }));
}

/// Where all targets want nothing of the work's host until it is late, when its
/// caller shall ask again: at once, if another host may send to one of them.
std::optional<Duration> Placer::ComeBackAfter(const Work& work,
                                              Time now) const {
  const HostName& host = work.job.id.host;
  std::optional<Time> first;
  bool elsewhere = false;
  for (const auto& [name, target] : targets_) {
    if (!InPool(target, work)) continue;
    if (!IsBackedOff(target, host, now)) return std::nullopt;
    const Time until = target.back_offs.at(host);
    first = std::min(first.value_or(until), until);
    elsewhere = elsewhere || BackedOffHosts(target, now) < hosts_;
  }
  if (!first || *first < work.job.arrival + work.job.objective) {
    return std::nullopt;
  }
  // Work that ran before must not be refused as not run.
  if (elsewhere && !work.job.is_retry) return Duration::zero();
  if (*first + kLeastService < work.job.deadline) return std::nullopt;
  return *first - now;
}

/// Whether the target is there for the work, free or not.
bool Placer::InPool(const Target& target, const Work& work) const {
  return TakesWork(target) && !Excluded(work, target.info.name);
}

Placer::Urgency Placer::UrgencyOf(const Work& work, Time now) const {
  const Time due = work.job.arrival + work.job.objective;
  if (due >= now) return Urgency::kInTime;
  if (!work.is_long) return Urgency::kLate;
  const bool last =
      now + LeastTime(work) + kLastChance >= FirstEventDeadline(work.job);
  return last ? Urgency::kLastChance : Urgency::kLate;
}

/// Whether its caller would be gone by its first event, or its deadline over.
bool Placer::TooLate(const Work& work, Time now) const {
  return now + LeastTime(work) >= FirstEventDeadline(work.job);
}

Time Placer::FirstEventDeadline(const PlaceJob& job) {
  return std::min(job.first_event_deadline, job.deadline);
}

/// Whether no target can take the work before its deadline.
bool Placer::Hopeless(const Work& work, Time now) const {
  if (TooLate(work, now)) return true;
  const bool any = std::any_of(
      targets_.begin(), targets_.end(), [this, &work](const auto& entry) {
        const Target& target = entry.second;
        return InPool(target, work) &&
               target.closed_until + kLeastService < work.job.deadline;
      });
  const Time since = std::max(work.job.arrival, held_until_);
  return !any && now - since > kEmptyPoolWait;
}

void Placer::Refuse(const Work& work, Errc code, Duration retry_after) {
  const bool empty = code == Errc::kDeadlineInfeasible && targets_.empty();
  decisions_.push_back(PlaceRefusal{work.job.id, work.job.number,
                                    empty ? Errc::kNoTarget : code,
                                    empty ? kEmptyPoolRetry : retry_after});
}

void Placer::Count(Work& work, int sign) {
  const bool prefill_backlog = !work.is_started;
  for (std::size_t i = 0; i < work.grant.targets.size(); ++i) {
    Target* target = &Known(work.grant.targets[i].name);
    target->users += sign;
    if (work.is_long) {
      const auto readers = static_cast<int>(work.grant.targets.size());
      if (prefill_backlog) target->long_prefills += sign;
      if (prefill_backlog)
        target->prefill_backlog += sign * (work.read / readers);
    } else if (i == 0 && work.job.stream) {
      target->shorts += sign;
      if (prefill_backlog) target->prefill_backlog += sign * work.read;
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
  if (target != nullptr) target->on_trial = false;
}

void Placer::NoteHealth(const TargetName& name, WorkEnd end, Time now) {
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
      target->replaced = true;
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
  const double slack = slack_share_ * settings_.retry_slack;
  return settings_.retry_ratio * requests + slack - retries;
}

Placer::Target& Placer::Known(const TargetName& name) {
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
