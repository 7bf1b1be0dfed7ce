// Permits under the targets' rate limits.
#include <algorithm>

#include "comfreyflow/placer.h"

namespace comfreyflow {

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
  if (limits_.size() == 0) return std::nullopt;
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

Time ColdUntil(Duration left, Time now) {
  if (left <= Duration::zero()) return {};
  const Duration end = (now + left).time_since_epoch();
  return Time(((end + kColdStep - Duration(1)) / kColdStep) * kColdStep);
}

bool Placer::IsCold(const Target& target, Time now) const {
  return cold_ && now < target.info.cold_until;
}

void Placer::SetCold(const std::optional<ColdLimit>& cold, Time now) {
  cold_ = cold;
  UpdateStandingLimits(now);
}

/// A target may turn cold at any moment, and hosts learn of it later, so that
/// the limit of a cold target applies to all at all times. Of hosts that grant
/// independently of each other each one has a part of it.
void Placer::UpdateStandingLimits(Time now) {
  std::vector<StandingLimit> standing;
  if (cold_) {
    const double bound =
        settings_.cold_overage * cold_->per_second + settings_.cold_slack;
    const double rate = RateWithin(bound);
    for (const auto& [name, target] : targets_) {
      if (target.is_listed) standing.push_back({name, target.info.born, rate});
    }
  }
  limits_.SetStanding(standing, now);
}

void Placer::SetPart(const LimitPart& part, Time now) {
  retry_window_.SetSlackShare(part.share);
  limits_.SetPart(part, now);
}

}  // namespace comfreyflow
