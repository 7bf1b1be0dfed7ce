// Chooses the engines that prefill a long prompt together, and what each of
// them holds of it.
#include <algorithm>
#include <cmath>

#include "comfreyflow/placer.h"

namespace comfreyflow {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

/// Share of an engine's memory that is allocated; the rest is a reserve.
constexpr double kMemoryShare = 0.95;
/// Maximum number of engines of a gang, including the first. The protocol
/// allows 16 helpers.
constexpr std::size_t kMaxGangSize = 17;
/// Engines that prefill a prompt at most if so many can do it within the
/// objective. More would leave too few engines to other requests.
constexpr std::size_t kUsualGangSize = 8;
/// Shares of the time left to the latency objective that prefill may take: the
/// preferred share and the maximum share. A short prefill leaves engines free
/// sooner for prompts that arrive meanwhile.
constexpr double kPreferredPrefillShare = 0.3;
constexpr double kMaxPrefillShare = 0.92;
/// Time from the end of prefill until the caller has the first event: decode
/// steps of that event and transfer.
constexpr Duration kFirstEventMargin = milliseconds(120);

}  // namespace

Duration Placer::PrefillTime(std::uint64_t tokens) const {
  const double n = static_cast<double>(tokens);
  const double pairs = n * n / 2 / 1e6;
  const Seconds linear(n / std::max(1.0, engine_->prefill_per_second));
  return duration_cast<Duration>(
      linear + pairs * Seconds(engine_->prefill_per_1m_pairs));
}

Duration Placer::EventTime(const Target& target, std::uint64_t context) const {
  const double held = static_cast<double>(target.memory + context) / 1000;
  const Duration step =
      engine_->step + engine_->step_per_sequence * (target.running + 1) +
      duration_cast<Duration>(engine_->step_per_1k_context * held);
  return step * engine_->event_tokens;
}

/// Maximum number of engines that prefill the prompt.
std::size_t Placer::MaxPrefillEngines(const Work& work) const {
  const Seconds time =
      Seconds(work.job.objective - kFirstEventMargin) * kMaxPrefillShare;
  if (time <= Seconds::zero()) return kMaxGangSize;
  const double wanted = std::ceil(Seconds(work.prefill_time) / time);
  return static_cast<std::size_t>(
      std::clamp(wanted, static_cast<double>(kUsualGangSize),
                 static_cast<double>(kMaxGangSize)));
}

/// Shortest possible time to the first event or the answer, on idle targets.
Duration Placer::MinTimeToFirstEvent(const Work& work) const {
  if (!engine_ || !work.job.stream) return kMinServiceTime;
  const std::size_t gang_size =
      IsLong(work)
          ? std::clamp<std::size_t>(Engines(), 1, MaxPrefillEngines(work))
          : 1;
  return kMinServiceTime + work.prefill_time / static_cast<int>(gang_size) +
         engine_->step * engine_->event_tokens;
}

/// Whether the prefill takes long or the request exceeds the memory of one
/// engine. In both cases it must not share an engine with another long prompt.
bool Placer::IsLong(const Work& work) const {
  return work.prefill_time > model_.max_short_prefill ||
         EnginesToHold(work.job) > 1;
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
  const std::size_t open =
      std::min({EnginesForLong(now), kMaxGangSize, targets.size()});
  const std::size_t widest = MaxPrefillEngines(work);
  const std::size_t most = std::min(open, widest);
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
    auto gang = FindGang(work, targets, count, open);
    if (!gang.empty()) return gang;
  }
  const bool is_late = work.prefill_time / static_cast<int>(widest) > left;
  const std::size_t least =
      is_late ? 1
              : gang_size_for(duration_cast<Duration>(left * kMaxPrefillShare));
  for (std::size_t count = aimed; count-- > least;) {
    if (count == 0) break;
    if (prefilled_at(count) > FirstEventDeadline(work.job)) break;
    auto gang = FindGang(work, targets, count, open);
    if (!gang.empty()) return gang;
  }
  return {};
}

}  // namespace comfreyflow
