// Divides the engines of a service into a short and a long part by demand.
#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "comfreyflow/router.h"

namespace comfreyflow {
namespace {

/// Share of engines in the short part before any demand is known.
constexpr double kInitialShortShare = 0.3;
/// Weight of short tokens against long tokens when engines are divided, which
/// gives short work more engines than its share of the tokens.
constexpr double kShortHeadroom = 3;
/// Time constant of the exponential decay of demand.
constexpr double kDemandDecaySeconds = 60;
/// Demand, in tokens, required before the parts are resized.
constexpr double kMinDemandTokens = 500'000;
/// The parts are resized if the desired size differs by more than
/// `kResizeSlackEngines` plus `kResizeSlackShare` of all engines.
constexpr double kResizeSlackEngines = 0.75;
constexpr double kResizeSlackShare = 0.02;
/// Maximum share of the engines that change part in one resize.
constexpr double kMaxResizeShare = 0.05;
/// Number of points of each engine on a hash ring.
constexpr std::uint64_t kRingPointsPerEngine = 8;
/// Minimum number of long engines, so that the largest gangs find enough
/// members.
constexpr std::size_t kMinLong = 4;
/// Number of engines from which `kMinLong` applies.
constexpr std::size_t kMinLongFrom = 8;

std::size_t MaxShortCount(std::size_t size) {
  if (size < 2) return size;
  return size >= kMinLongFrom ? size - kMinLong : size - 1;
}

}  // namespace

std::size_t Router::short_part(const ServiceName& service) const {
  const auto found = groups_.find(service);
  return found == groups_.end() ? 0 : found->second.short_count;
}

void Router::RecordDemand(Group& group, const Search& search) {
  const std::uint32_t cached =
      search.hits.empty() ? 0 : search.hits.front().tokens;
  const double tokens =
      search.info.prompt_tokens - std::min(cached, search.info.prompt_tokens);
  const bool is_short = search.length == PromptClass::kShort;
  (is_short ? group.short_tokens : group.long_tokens) += tokens;
}

void Router::Tick(Time now) {
  for (auto& [service, group] : groups_) {
    if (group.resized_at == Time{}) {
      group.resized_at = now;
      const double initial =
          static_cast<double>(group.members.size()) * kInitialShortShare;
      SetShortCount(group, static_cast<std::size_t>(std::ceil(initial)));
    }
    if (now - group.resized_at >= settings_.resize_period) Resize(group, now);
  }
}

void Router::Resize(Group& group, Time now) {
  const std::chrono::duration<double> elapsed = now - group.resized_at;
  group.resized_at = now;
  const double total = group.short_tokens + group.long_tokens;
  const double size = static_cast<double>(group.members.size());
  if (total >= kMinDemandTokens) {
    const double weighted = group.short_tokens * kShortHeadroom;
    const double desired = size * weighted / (weighted + group.long_tokens);
    const double current = static_cast<double>(group.short_count);
    const double slack = kResizeSlackEngines + kResizeSlackShare * size;
    const double step = std::max(1.0, size * kMaxResizeShare);
    if (std::abs(desired - current) > slack) {
      const double moved = std::clamp(desired, current - step, current + step);
      SetShortCount(
          group, static_cast<std::size_t>(std::lround(std::max(1.0, moved))));
    }
  }
  const double decay = std::exp(-elapsed.count() / kDemandDecaySeconds);
  group.short_tokens *= decay;
  group.long_tokens *= decay;
}

void Router::SetShortCount(Group& group, std::size_t short_count) {
  const std::size_t size = group.members.size();
  group.short_count = std::min(short_count, MaxShortCount(size));
  if (group.short_count == 0 && size > 0) group.short_count = 1;
  group.short_ring.clear();
  group.long_ring.clear();
  for (std::size_t i = 0; i < size; ++i) {
    const TargetSlot slot = group.members[i];
    position_[slot] = i;
    const std::string& name = states_[slot].info.name.value;
    auto& ring = i < group.short_count ? group.short_ring : group.long_ring;
    for (std::uint64_t point = 0; point < kRingPointsPerEngine; ++point) {
      const std::uint64_t hash =
          XXH3_64bits_withSeed(name.data(), name.size(), point + 1);
      ring.push_back({hash, slot});
    }
  }
  std::sort(group.short_ring.begin(), group.short_ring.end());
  std::sort(group.long_ring.begin(), group.long_ring.end());
}

}  // namespace comfreyflow
