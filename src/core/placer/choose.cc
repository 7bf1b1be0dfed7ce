// Chooses the targets of a request.
#include <algorithm>
#include <cmath>

#include "comfreyflow/placer.h"

namespace comfreyflow {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

/// Prompts with a longer prefill time on one engine count as long. Other
/// streams on the engine pause for about this time.
constexpr Duration kLongPrefill = milliseconds(200);
/// Up to this prefill backlog a short prompt joins a busy engine while a long
/// prompt waits for free engines.
constexpr Duration kPreferredPrefillBacklog = milliseconds(110);
/// Streams that are packed on an engine before another engine is used.
constexpr std::uint32_t kPackedStreams = 13;
/// Share of an engine's memory that is allocated; the rest is a reserve.
constexpr double kMemoryShare = 0.95;
/// Maximum number of engines that prefill one prompt, including the first.
constexpr std::size_t kMaxGangSize = 17;
/// Shares of the time left to the latency objective that prefill may take: the
/// preferred share and the maximum share.
constexpr double kPreferredPrefillShare = 0.6;
constexpr double kMaxPrefillShare = 0.92;
/// Time from the end of prefill until the caller has the first event: decode
/// steps of that event and transfer.
constexpr Duration kFirstEventMargin = milliseconds(120);
/// Part of a stream's maximum gap that is reserved for delays outside the
/// model.
constexpr Duration kGapMargin = milliseconds(60);
/// A target with a higher pace is used only if no other target is free.
constexpr double kSlowPace = 1.9;
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
constexpr Duration kLongMaxWait = milliseconds(250);
/// Prefill backlog of an engine above which further short prompts wait for a
/// free engine.
constexpr Duration kMaxPrefillBacklog = milliseconds(260);
constexpr Duration kPaceLifetime = std::chrono::seconds(3);
constexpr double kMaxErrorShare = 0.3;
/// Requests that a memory reservation sends to a target: one to reserve, one or
/// two to renew, one to release.
constexpr double kRequestsPerReservation = 4;

}  // namespace

Duration Placer::PrefillTime(std::uint64_t tokens) const {
  const double n = static_cast<double>(tokens);
  const double pairs = n * n / 2 / 1e6;
  const Seconds linear(n / std::max(1.0, engine_->prefill_per_second));
  return duration_cast<Duration>(
      linear + pairs * Seconds(engine_->prefill_per_1m_pairs));
}

/// Whether the prefill takes long or the request exceeds the memory of one
/// engine. In both cases it must not share an engine with another long prompt.
bool Placer::IsLong(const Work& work) const {
  return work.prefill_time > kLongPrefill || EnginesToHold(work.job) > 1;
}

/// Number of engines whose combined memory holds the prompt and its output.
std::size_t Placer::EnginesToHold(const PlaceJob& job) const {
  if (!engine_ || engine_->memory_tokens == 0) return 1;
  const double wanted = double{0} + job.prompt_tokens + job.output_tokens;
  const double each =
      kMemoryShare * static_cast<double>(engine_->memory_tokens);
  return static_cast<std::size_t>(std::max(1.0, std::ceil(wanted / each)));
}

/// Whether the prompt does not fit into the largest possible gang, even if all
/// of its engines are free.
bool Placer::ExceedsAnyGang(const PlaceJob& job) const {
  return job.stream && EnginesToHold(job) > kMaxGangSize;
}

/// Shortest possible time to the first event or the answer, on idle targets.
Duration Placer::MinTimeToFirstEvent(const Work& work) const {
  if (!engine_ || !work.job.stream) return kMinServiceTime;
  const std::size_t gang_size =
      IsLong(work) ? std::clamp<std::size_t>(Engines(), 1, kMaxGangSize) : 1;
  return kMinServiceTime + work.prefill_time / static_cast<int>(gang_size) +
         engine_->step * engine_->event_tokens;
}

/// Whether the target accepts new work in general, with or without free
/// capacity.
bool Placer::IsAvailable(const Target& target) {
  return target.is_listed && !target.info.leaving && !target.is_replaced;
}

std::size_t Placer::Engines() const {
  return static_cast<std::size_t>(std::count_if(
      targets_.begin(), targets_.end(),
      [](const auto& entry) { return IsAvailable(entry.second); }));
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
  const double wanted = std::max(demand / kShortPrefillShare,
                                 static_cast<double>(streams) / kPackedStreams);
  const double least = kMinShortShare * static_cast<double>(engines);
  const double most = kMaxShortShare * static_cast<double>(engines);
  return static_cast<std::size_t>(
      std::ceil(std::clamp(wanted, std::min(least, most), most)));
}

Duration Placer::EventTime(const Target& target, std::uint64_t context) const {
  const double held = static_cast<double>(target.memory + context) / 1000;
  const Duration step =
      engine_->step + engine_->step_per_sequence * (target.running + 1) +
      duration_cast<Duration>(engine_->step_per_1k_context * held);
  return step * engine_->event_tokens;
}

bool Placer::Excluded(const Work& work, const TargetName& name) const {
  const auto& excluded = work.job.excluded;
  return std::find(excluded.begin(), excluded.end(), name) != excluded.end();
}

bool Placer::IsUsable(const Target& target, const Work& work, Time now) const {
  if (!IsAvailable(target)) return false;
  if (now < target.closed_until) return false;
  if (target.failures > 0 && target.is_on_trial) return false;
  if (IsBackedOff(target, work.job.id.host, now)) return false;
  if (!HasPermit(target, now)) return false;
  return !Excluded(work, target.info.name);
}

/// Whether the target was recently slow or failing, or asked hosts to back off.
/// Such targets are used only if no other target is free.
bool Placer::IsDegraded(const Target& target, Time now) {
  const bool slow =
      target.pace > kSlowPace && now - target.pace_updated_at < kPaceLifetime;
  return slow || target.error_share > kMaxErrorShare ||
         BackedOffHosts(target, now) > 0;
}

bool Placer::HasRoom(const Target& target, const Work& work) const {
  if (target.running >= target.info.slots) return false;
  if (!engine_ || engine_->memory_tokens == 0) return true;
  const double wanted =
      double{0} + work.job.prompt_tokens + work.job.output_tokens;
  return wanted <= FreeMemory(target);
}

double Placer::FreeMemory(const Target& target) const {
  return kMemoryShare * static_cast<double>(engine_->memory_tokens) -
         static_cast<double>(target.memory);
}

/// Whether the prompt and its output fit into the memory of the first
/// `gang_size` engines of `free`, or of more of them. Raises `gang_size` to the
/// number needed.
bool Placer::FillMemory(const Work& work, const std::vector<Target*>& free,
                        std::size_t& gang_size) const {
  if (engine_->memory_tokens == 0) return true;
  double wanted = double{0} + work.job.prompt_tokens + work.job.output_tokens;
  for (std::size_t i = 0; i < free.size() && i < kMaxGangSize; ++i) {
    wanted -= std::max(0.0, FreeMemory(*free[i]));
    if (wanted > 0) continue;
    gang_size = std::max(gang_size, i + 1);
    return true;
  }
  return false;
}

/// Plans reservations on the other targets of the gang, in turn, for what
/// exceeds the free memory of the first target.
void Placer::PlanMemory(Work& work, const std::vector<Target*>& targets) const {
  if (engine_->memory_tokens == 0) return;
  double over = double{0} + work.job.prompt_tokens + work.job.output_tokens -
                FreeMemory(*targets.front());
  for (std::size_t i = 1; i < targets.size() && over > 0; ++i) {
    const double part = std::clamp(FreeMemory(*targets[i]), 0.0, over);
    work.grant.targets[i].reserve_tokens =
        static_cast<std::uint32_t>(std::ceil(part));
    over -= part;
  }
}

std::vector<Placer::Target*> Placer::Candidates(const Work& work,
                                                bool include_degraded,
                                                Time now) {
  std::vector<Target*> out;
  for (auto& [name, target] : targets_) {
    if (!IsUsable(target, work, now)) continue;
    if (include_degraded || !IsDegraded(target, now)) out.push_back(&target);
  }
  return out;
}

bool Placer::TryPlace(Work& work, Time now) {
  work.is_long = engine_ && work.job.stream && IsLong(work);
  if (now < held_until_ || MissesDeadline(work, now)) return false;
  for (const bool include_degraded : {false, true}) {
    const auto targets =
        Choose(work, Candidates(work, include_degraded, now), now);
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

void Placer::CloseToShort(Time now) {
  const bool has_waited = std::any_of(
      waiting_.begin(), waiting_.end(), [this, now](const RequestId& id) {
        const Work& work = works_.at(id);
        return work.is_long && now - work.job.arrival > kLongMaxWait;
      });
  if (!has_waited) return closed_to_short_.clear();
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
      std::ceil(kMinLongShare * static_cast<double>(engines)));
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
    const bool is_idle = target->prefill_backlog == Duration::zero();
    if (is_idle && target->shorts > 0 && target->shorts < kPackedStreams) {
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
  const bool fits =
      backlog != nullptr &&
      backlog->prefill_backlog + work.prefill_time <= kPreferredPrefillBacklog;
  if (long_waits_ && fits) return backlog;
  if (empty != nullptr) return empty;
  const bool is_over =
      backlog != nullptr &&
      backlog->prefill_backlog + work.prefill_time > kMaxPrefillBacklog;
  return is_over ? nullptr : backlog;
}

/// Prefill time that can be added to the target without exceeding the maximum
/// gap of any stream on it.
Duration Placer::PrefillSlack(const Target& target) const {
  if (target.gaps.empty()) return Duration::max();
  return *target.gaps.begin() - kGapMargin - EventTime(target, 0) -
         target.prefill_backlog;
}

/// Number of engines that long prompts may use now, without those left to short
/// streams.
std::size_t Placer::EnginesForLong(Time now) const {
  std::size_t open = 0;
  for (const auto& [name, target] : targets_) {
    const bool usable = IsAvailable(target) && now >= target.closed_until;
    if (usable && target.long_prefills == 0) ++open;
  }
  const std::size_t reserve = EnginesForShort(now);
  return open > reserve ? open - reserve : 0;
}

/// Finds `count` targets that can prefill equal parts of the prompt and hold it
/// in their memory, or more targets if the memory requires it. Empty if there
/// are not enough.
std::vector<Placer::Target*> Placer::FindGang(
    const Work& work, const std::vector<Target*>& targets, std::size_t count,
    std::size_t most) const {
  std::vector<Target*> gang;
  const Duration part = work.prefill_time / static_cast<int>(count);
  for (Target* target : targets) {
    if (target->long_prefills > 0 || PrefillSlack(*target) < part) continue;
    if (target->running < target->info.slots) gang.push_back(target);
  }
  if (gang.size() < count) return {};
  std::sort(gang.begin(), gang.end(), [this](const Target* a, const Target* b) {
    const auto rank = [this](const Target& t) {
      return std::tuple(IsLimited(t), t.shorts, t.gaps.size(), t.memory,
                        t.order);
    };
    return rank(*a) < rank(*b);
  });
  if (!FillMemory(work, gang, count) || count > most) return {};
  gang.resize(count);
  return gang;
}

std::vector<Placer::Target*> Placer::ChooseLong(
    const Work& work, const std::vector<Target*>& targets, Time now) {
  const Duration left =
      work.job.arrival + work.job.objective - now - kFirstEventMargin;
  const std::size_t most =
      std::min({EnginesForLong(now), kMaxGangSize, targets.size()});
  if (most == 0) return {};
  const auto gang_size_for = [&work, most](Duration time) -> std::size_t {
    if (time <= Duration::zero()) return most;
    const double wanted = std::ceil(Seconds(work.prefill_time) / Seconds(time));
    return std::clamp<std::size_t>(static_cast<std::size_t>(wanted), 1, most);
  };
  const std::size_t aimed =
      gang_size_for(duration_cast<Duration>(left * kPreferredPrefillShare));
  const auto prefilled_at = [&work, now](std::size_t count) {
    return now + work.prefill_time / static_cast<int>(count) +
           kFirstEventMargin;
  };
  for (std::size_t count = aimed; count <= most; ++count) {
    if (prefilled_at(count) > FirstEventDeadline(work.job)) continue;
    auto gang = FindGang(work, targets, count, most);
    if (!gang.empty()) return gang;
  }
  const bool is_late =
      work.prefill_time / static_cast<int>(kMaxGangSize) > left;
  const std::size_t least =
      is_late ? 1
              : gang_size_for(duration_cast<Duration>(left * kMaxPrefillShare));
  for (std::size_t count = aimed; count-- > least;) {
    if (count == 0) break;
    if (prefilled_at(count) > FirstEventDeadline(work.job)) break;
    auto gang = FindGang(work, targets, count, most);
    if (!gang.empty()) return gang;
  }
  return {};
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
          return InPool(entry.second, work) && !HasPermit(entry.second, now);
        }));
    for (const auto& target : work.grant.targets) {
      const double reservation_requests =
          target.reserve_tokens > 0 ? kRequestsPerReservation : 0;
      limits_.Consume(target.name, target.born, 1 + reservation_requests, now);
    }
  }
  work.is_placed = true;
  work.placed_at = now;
  work.is_trial = targets.front()->failures > 0;
  targets.front()->is_on_trial = work.is_trial;
  Count(work, 1);
  decisions_.push_back(work.grant);
}

}  // namespace comfreyflow
