// Chooses the target of a short or plain request, and grants.
#include <algorithm>
#include <cmath>
#include <utility>

#include "comfreyflow/placer.h"

namespace comfreyflow {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

/// Averaging window of the demand of short prompts.
constexpr Duration kShortDemandWindow = milliseconds(800);
/// Share of its time that an engine of short streams may spend on prefill;
/// above it the gaps between events grow without bound.
constexpr double kShortPrefillShare = 0.3;
/// Minimum and maximum share of the engines that is left to short streams.
constexpr double kMinShortShare = 0.09;
constexpr double kMaxShortShare = 0.82;
/// Share of the engines that short streams leave to long prompts once a long
/// prompt has waited for `kLongMaxWait`.
constexpr double kMinLongShare = 0.18;
/// Instead of `kMinLongShare` while a protected long prompt waits: its kind is
/// hardly served otherwise.
constexpr double kProtectedLongShare = 0.3;
constexpr Duration kLongMaxWait = milliseconds(250);
/// Requests that a memory reservation sends to a target: one to reserve, one or
/// two to renew, one to release.
constexpr double kRequestsPerReservation = 4;

}  // namespace

bool Placer::TryPlace(Work& work, Time now) {
  work.is_long = engine_ && work.job.stream && IsLong(work);
  if (now < held_until_ || MissesDeadline(work, now)) return false;
  for (const Choice choice :
       {Choice::kSound, Choice::kCold, Choice::kDegraded}) {
    if (choice == Choice::kCold && !cold_) continue;
    const auto targets = Choose(work, Candidates(work, choice, now), now);
    if (targets.empty()) continue;
    Grant(work, targets, now);
    return true;
  }
  return false;
}

/// The targets in `targets` that get the request; none if it has to wait.
std::vector<Placer::Target*> Placer::Choose(const Work& work,
                                            const std::vector<Target*>& targets,
                                            Time now) {
  if (work.is_long) return ChooseLong(work, targets, now);
  Target* target = engine_ && work.job.stream ? ChooseShort(work, targets)
                                              : ChoosePlain(work, targets);
  return target == nullptr ? std::vector<Target*>{}
                           : std::vector<Target*>{target};
}

std::vector<Placer::Target*> Placer::Candidates(const Work& work, Choice choice,
                                                Time now) {
  std::vector<Target*> out;
  for (auto& [name, target] : targets_) {
    if (!IsUsable(target, work, now)) continue;
    if (choice < Choice::kCold && IsCold(target, now)) continue;
    if (choice < Choice::kDegraded && IsDegraded(target, now)) continue;
    out.push_back(&target);
  }
  return out;
}

Placer::Target* Placer::ChoosePlain(const Work& work,
                                    const std::vector<Target*>& targets) {
  Target* best = nullptr;
  const auto cost = [&work](const Target& target) {
    const double busy =
        static_cast<double>(target.running) / std::max(1U, target.info.slots);
    const bool near = target.info.domain == work.job.domain;
    return busy + target.error_share + (near ? 0 : 0.3);
  };
  for (Target* target : targets) {
    if (!HasRoom(*target, work)) continue;
    if (best == nullptr || cost(*target) < cost(*best)) best = target;
  }
  return best;
}

Placer::Target* Placer::ChooseShort(const Work& work,
                                    const std::vector<Target*>& targets) {
  Target* packed = nullptr;   // No prefill backlog and the most streams.
  Target* empty = nullptr;    // Neither short streams nor a prefill backlog.
  Target* backlog = nullptr;  // The smallest prefill backlog.
  const auto near = [&work](const Target& target) {
    return target.info.domain == work.job.domain;
  };
  for (Target* target : targets) {
    if (target->long_prefills > 0 || !HasRoom(*target, work)) continue;
    if (closed_to_short_.contains(target->info.name)) continue;
    if (model_.keeps_gaps && PrefillSlack(*target) < work.prefill_time)
      continue;
    const bool is_idle = target->prefill_backlog == Duration::zero();
    if (is_idle && target->shorts > 0 &&
        target->shorts < model_.packed_streams) {
      const auto rank = [&near](const Target& t) {
        return std::tuple(t.shorts, near(t), t.order);
      };
      if (packed == nullptr || rank(*target) > rank(*packed)) packed = target;
    }
    if (is_idle && target->shorts == 0) {
      const auto rank = [&near](const Target& t) {
        return std::tuple(t.memory, !near(t), t.order);
      };
      if (empty == nullptr || rank(*target) < rank(*empty)) empty = target;
    }
    const auto rank = [](const Target& t) {
      return std::tuple(t.prefill_backlog, t.shorts, t.order);
    };
    if (backlog == nullptr || rank(*target) < rank(*backlog)) backlog = target;
  }
  if (packed != nullptr) return packed;
  // An idle engine is left to a long prompt of a higher priority.
  if (long_priority_ && *long_priority_ < work.job.priority) empty = nullptr;
  const bool fits =
      backlog != nullptr && backlog->prefill_backlog + work.prefill_time <=
                                model_.preferred_prefill_backlog;
  if (long_waits_ && fits) return backlog;
  if (empty != nullptr) return empty;
  const bool is_over =
      backlog != nullptr &&
      backlog->prefill_backlog + work.prefill_time > model_.max_prefill_backlog;
  return is_over ? nullptr : backlog;
}

void Placer::CloseToShort(Time now) {
  if (!HasLongWaited(kLongMaxWait, now)) return closed_to_short_.clear();
  std::vector<const Target*> open;
  std::size_t engines = 0;
  std::size_t prefilling = 0;
  for (const auto& [name, target] : targets_) {
    if (!IsAvailable(target)) continue;
    ++engines;
    if (target.long_prefills > 0) {
      ++prefilling;
    } else {
      open.push_back(&target);
    }
  }
  const auto wanted = static_cast<std::size_t>(
      std::ceil((protected_long_waits_ ? kProtectedLongShare : kMinLongShare) *
                static_cast<double>(engines)));
  std::set<TargetName> next;
  if (wanted > prefilling) {
    // Engines that are closed already stay closed; then those with the fewest
    // short streams.
    std::sort(open.begin(), open.end(), [this](const auto* a, const auto* b) {
      const auto rank = [this](const Target* t) {
        return std::tuple(!closed_to_short_.contains(t->info.name), t->shorts,
                          t->order);
      };
      return rank(a) < rank(b);
    });
    open.resize(std::min(open.size(), wanted - prefilling));
    for (const Target* target : open) next.insert(target->info.name);
  }
  closed_to_short_ = std::move(next);
}

/// Adds to the moving average of the prefill demand of short prompts.
void Placer::RecordShortDemand(Duration prefill_time, Time now) {
  const Seconds window(kShortDemandWindow);
  const Seconds passed =
      std::min<Seconds>(now - short_demand_updated_at_, 10 * window);
  short_demand_ *= std::exp(-passed / window);
  short_demand_ += Seconds(prefill_time) / window;
  short_demand_updated_at_ = now;
}

/// Number of engines that long prompts leave to short streams.
std::size_t Placer::EnginesForShort(Time now) const {
  const Seconds window(kShortDemandWindow);
  const Seconds passed =
      std::min<Seconds>(now - short_demand_updated_at_, 10 * window);
  const double demand = short_demand_ * std::exp(-passed / window);
  std::uint32_t streams = 0;
  std::size_t engines = 0;
  for (const auto& [name, target] : targets_) {
    if (!IsAvailable(target)) continue;
    ++engines;
    streams += target.shorts;
  }
  const double wanted =
      std::max(demand / kShortPrefillShare,
               static_cast<double>(streams) / model_.packed_streams);
  const double least = kMinShortShare * static_cast<double>(engines);
  const double most =
      (protected_long_waits_ ? 1 - kProtectedLongShare : kMaxShortShare) *
      static_cast<double>(engines);
  return static_cast<std::size_t>(
      std::ceil(std::clamp(wanted, std::min(least, most), most)));
}

std::size_t Placer::Engines() const {
  return static_cast<std::size_t>(std::count_if(
      targets_.begin(), targets_.end(),
      [](const auto& entry) { return IsAvailable(entry.second); }));
}

bool Placer::HasRoom(const Target& target, const Work& work) const {
  if (target.running >= target.info.slots) return false;
  if (!engine_ || engine_->memory_tokens == 0) return true;
  const double wanted =
      double{0} + work.job.prompt_tokens + work.job.output_tokens;
  return wanted <= FreeMemory(target);
}

void Placer::Grant(Work& work, const std::vector<Target*>& targets, Time now) {
  work.grant = {};
  work.grant.id = work.job.id;
  work.grant.number = work.job.number;
  for (const Target* target : targets) {
    const PoolTarget& info = target->info;
    work.grant.targets.push_back(
        {info.name, info.address, 0, info.version, info.born});
  }
  if (work.is_long && engine_ && work.job.stream) PlanMemory(work, targets);
  if (engine_ && work.job.stream) {
    const auto gang_size = static_cast<int>(targets.size());
    work.estimate = work.prefill_time / gang_size +
                    targets.front()->prefill_backlog +
                    EventTime(*targets.front(), work.job.prompt_tokens);
  }
  work.grant.estimate = work.estimate;
  if (!limits_.empty()) {
    work.grant.out_of_permits = static_cast<std::uint32_t>(
        std::count_if(targets_.begin(), targets_.end(), [&](const auto& entry) {
          return InPool(entry.second, work) && IsLimited(entry.second) &&
                 !HasPermit(entry.second, now);
        }));
    for (const auto& target : work.grant.targets) {
      const double reservation_requests =
          target.reserve_tokens > 0 ? kRequestsPerReservation : 0;
      limits_.Consume(target.name, target.born, 1 + reservation_requests, now);
    }
  }
  if (work.job.is_retry) {
    retry_window_.TakeRetry(work.job.id.host, work.job.id.incarnation, now);
  }
  work.is_placed = true;
  work.placed_at = now;
  work.is_trial = targets.front()->failures > 0;
  targets.front()->is_on_trial = work.is_trial;
  Count(work, 1);
  decisions_.push_back(work.grant);
}

}  // namespace comfreyflow
