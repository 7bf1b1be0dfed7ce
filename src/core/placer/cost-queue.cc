// The cost-aware queue of a placer: places the waiting requests in the order of
// the overload plan, and refuses those that it refuses.
#include <algorithm>
#include <utility>

#include "comfreyflow/placer.h"

namespace comfreyflow {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// If more requests wait, they are placed at the next tick instead of at each
/// arrival, which bounds the work per arrival.
constexpr std::size_t kMaxImmediatePlacement = 16;
/// Requests of each lane that are tried at a time. If none of them fits, the
/// others wait, which bounds the work per tick.
constexpr std::size_t kTriesPerLane = 16;
/// A waiting request is dropped if its host has not submitted it again for this
/// long.
constexpr Duration kRequestTimeout = milliseconds(1200);
/// Period of checks of a waiting request, and the most checks per tick.
constexpr Duration kCheckPeriod = milliseconds(250);
constexpr std::size_t kChecksPerTick = 64;
/// Weight of the latest plain request in the average of their times.
constexpr int kPlainTimeDivisor = 16;

}  // namespace

/// Time of one engine or slot that the request takes. While a stream decodes it
/// takes its part of the engine's slots or of its memory, whichever is larger.
Duration Placer::WorkOf(const Work& work) const {
  if (!engine_ || !work.job.stream) return plain_time_;
  double part = 1.0 / std::max(1U, engine_->slots);
  if (engine_->memory_tokens > 0) {
    const double tokens =
        double{0} + work.job.prompt_tokens + work.job.output_tokens;
    part = std::max(part, tokens / static_cast<double>(engine_->memory_tokens));
  }
  return work.prefill_time +
         duration_cast<Duration>(part * work.job.output_tokens *
                                 std::chrono::duration<double>(engine_->step));
}

PlanJob Placer::PlanJobOf(const Work& work) const {
  PlanJob job;
  job.id = work.job.id;
  job.account = work.job.account;
  job.priority = work.job.priority;
  job.objective = work.job.objective;
  job.work = WorkOf(work);
  job.may_refuse = !work.job.is_retry;
  const bool is_stream = engine_ && work.job.stream;
  if (is_stream) job.lane = work.is_long ? PlanLane::kLong : PlanLane::kShort;
  const Duration least = is_stream ? MinTimeToFirstEvent(work) : plain_time_;
  job.last = FirstEventDeadline(work.job) - least;
  job.due = job.last;
  if (work.job.objective > Duration::zero())
    job.due = std::min(job.due, work.job.arrival + work.job.objective - least);
  return job;
}

void Placer::SubmitByCost(Work& work, Time now) {
  work.is_long = engine_ && work.job.stream && IsLong(work);
  const PlanJob job = PlanJobOf(work);
  if (plan_.GoesFirst(job) && TryPlace(work, now)) {
    plan_.Granted(job, now);
    return;
  }
  const std::size_t ahead = limits_.size() == 0 ? 0 : plan_.size();
  if (RefuseWaiting(work, PermitsFor(work, now), ahead, now)) {
    works_.erase(job.id);
    return;
  }
  SetPools(now);
  if (work.is_long) long_arrivals_.emplace(work.job.arrival, job.id);
  ArmCheck(work, now);
  plan_.Add(job, now);
  ApplyPlan();
  if (plan_.size() <= kMaxImmediatePlacement) PlaceByCost(now);
}

/// Refuses what the plan refused, and keeps its notes.
void Placer::ApplyPlan() {
  for (auto& note : plan_.TakeNotes()) {
    const auto at = works_.find(note.id);
    if (note.outcome == PlanOutcome::kRefused && at != works_.end()) {
      Refuse(at->second, Errc::kOverloaded, note.retry_after);
      RemoveWaiting(at->second);
      works_.erase(at);
    }
    plan_notes_.push_back(std::move(note));
  }
}

void Placer::SetPools(Time now) {
  double slots = 0;
  double engines = 0;
  for (const auto& [name, target] : targets_) {
    if (now < held_until_ || !IsAvailable(target) ||
        now < target.closed_until) {
      continue;
    }
    slots += target.info.slots;
    engines += 1;
  }
  plan_.SetPool(PlanLane::kPlain, slots);
  plan_.SetPool(PlanLane::kShort, engines);
  plan_.SetPool(PlanLane::kLong, engines);
}

void Placer::PlaceByCost(Time now) {
  long_waits_ = !long_arrivals_.empty();
  if (plan_.size() == 0) {
    long_priority_.reset();
    protected_long_waits_ = false;
    closed_to_short_.clear();
    return;
  }
  SetPools(now);
  CheckWaiting(now);
  if (now >= held_until_) {
    plan_.Advance(now);
    ApplyPlan();
    std::set<RequestId> failed;
    std::optional<Duration> blocked;
    std::optional<std::uint32_t> blocked_priority;
    while (PlaceFirst(now, failed, blocked, blocked_priority)) {
    }
  }
  long_waits_ = !long_arrivals_.empty();
  CloseToShort(now);
}

/// Tries the first requests of each lane; returns whether one was placed.
/// `failed` are those that could not be placed at this time, `blocked` the
/// smallest prefill of a short one among them, and `blocked_priority` the first
/// priority of those that wait for capacity.
bool Placer::PlaceFirst(Time now, std::set<RequestId>& failed,
                        std::optional<Duration>& blocked,
                        std::optional<std::uint32_t>& blocked_priority) {
  bool placed = false;
  long_priority_.reset();
  protected_long_waits_ = false;
  bool waits_for_gang = false;
  for (const auto& next : plan_.InOrder(kTriesPerLane)) {
    Work& work = works_.at(next.id);
    const bool is_long = next.lane == PlanLane::kLong;
    const bool is_short = next.lane == PlanLane::kShort;
    const bool outranked =
        blocked_priority && *blocked_priority < next.priority;
    bool skip = failed.contains(next.id) || outranked ||
                (is_short && blocked && work.prefill_time >= *blocked);
    // Smaller long prompts would keep taking the engines that it needs.
    if (is_long && waits_for_gang) skip = true;
    if (!skip && TryPlace(work, now)) {
      plan_.Granted(PlanJobOf(work), now);
      RemoveWaiting(work);
      placed = true;
      continue;
    }
    if (is_long && next.is_protected) protected_long_waits_ = true;
    if (is_long && !next.is_deferred) {
      long_priority_ =
          std::min(long_priority_.value_or(next.priority), next.priority);
      waits_for_gang = waits_for_gang || next.is_protected;
    }
    if (skip) continue;
    failed.insert(next.id);
    // Only a request that lacks capacity holds others back, not one that is
    // kept from the targets.
    if (!work.job.excluded.empty() || MissesDeadline(work, now) ||
        Candidates(work, Choice::kDegraded, now).empty()) {
      continue;
    }
    // Smaller prompts would keep taking the room that a protected one needs.
    if (is_short) {
      const Duration size =
          next.is_protected ? Duration::zero() : work.prefill_time;
      blocked = std::min(blocked.value_or(size), size);
    }
    // While a long prompt waits for engines, short ones may join others; they
    // leave idle engines to it.
    if (!next.is_deferred && !is_long) {
      blocked_priority =
          std::min(blocked_priority.value_or(next.priority), next.priority);
    }
  }
  return placed;
}

/// Refuses requests that no target can take in time; a bounded number at a
/// time, and each of them several times a second.
void Placer::CheckWaiting(Time now) {
  const auto shared_permits = PermitsFor(Work{}, now);
  for (std::size_t i = 0; i < kChecksPerTick && !checks_.empty(); ++i) {
    const auto [at, id] = *checks_.begin();
    if (at > now) return;
    Work& work = works_.at(id);
    if (now - work.last_requested_at > kRequestTimeout) {
      RemoveWaiting(work);
      works_.erase(id);
      continue;
    }
    const bool over_budget = work.job.is_retry && retry_window_.Left(now) < 1;
    if (over_budget) Refuse(work, Errc::kOverloaded, Duration::zero());
    const auto permits =
        work.job.excluded.empty() ? shared_permits : PermitsFor(work, now);
    if (over_budget ||
        RefuseWaiting(work, permits, WaitingBefore(work, now), now)) {
      plan_.Denied(id, now);
      RemoveWaiting(work);
      works_.erase(id);
      continue;
    }
    ArmCheck(work, now);
  }
}

void Placer::ArmCheck(Work& work, Time now) {
  checks_.erase({work.next_check, work.job.id});
  const Time last = FirstEventDeadline(work.job) - MinTimeToFirstEvent(work);
  work.next_check = std::max(now, std::min(now + kCheckPeriod, last));
  checks_.emplace(work.next_check, work.job.id);
}

void Placer::RemoveWaiting(Work& work) {
  if (!settings_.cost_aware) {
    std::erase(waiting_, work.job.id);
    return;
  }
  plan_.Remove(work.job.id);
  checks_.erase({work.next_check, work.job.id});
  long_arrivals_.erase({work.job.arrival, work.job.id});
}

/// Whether a long prompt has waited for longer than `time`.
bool Placer::HasLongWaited(Duration time, Time now) const {
  if (settings_.cost_aware) {
    return !long_arrivals_.empty() &&
           now - long_arrivals_.begin()->first > time;
  }
  return std::any_of(waiting_.begin(), waiting_.end(),
                     [this, time, now](const RequestId& id) {
                       const Work& work = works_.at(id);
                       return work.is_long && now - work.job.arrival > time;
                     });
}

void Placer::RecordPlainTime(const Work& work, WorkEnd end, Time now) {
  const bool is_plain = !engine_ || !work.job.stream;
  if (!is_plain || end != WorkEnd::kDone) return;
  plain_time_ += (now - work.placed_at - plain_time_) / kPlainTimeDivisor;
}

}  // namespace comfreyflow
