// The short and the long part of a service's engines, sized from demand.
#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "comfreyflow/router.h"

namespace comfreyflow {
namespace {

/// Share of short engines before any demand is known.
constexpr double kFirstShortShare = 0.3;
/// Engines given to short work beyond its share of the tokens.
constexpr double kShortHeadroom = 3;
/// Time over which demand is averaged.
constexpr double kDemandSeconds = 60;
/// Tokens of demand seen before parts are resized from it.
constexpr double kEnoughDemand = 500'000;
/// Difference, in engines and as a share of all, that moves the border.
constexpr double kSlackEngines = 0.75;
constexpr double kSlackShare = 0.02;
/// Share of the engines that may change part in one step.
constexpr double kStepShare = 0.05;
/// Points of each engine on a ring.
constexpr std::uint64_t kRingPoints = 8;
/// Fewest long engines, so that the longest gangs have their members.
constexpr std::size_t kMinLong = 4;
/// Engines from which `kMinLong` holds.
constexpr std::size_t kMinLongFrom = 8;

std::size_t MostShort(std::size_t size) {
  if (size < 2) return size;
  return size >= kMinLongFrom ? size - kMinLong : size - 1;
}

}  // namespace

std::size_t Router::short_part(const ServiceName& service) const {
  const auto found = groups_.find(service);
  return found == groups_.end() ? 0 : found->second.short_count;
}

void Router::Demand(Group& group, const Search& search) {
  const std::uint32_t cached =
      search.hits.empty() ? 0 : search.hits.front().tokens;
  const double tokens =
      search.info.prompt_tokens - std::min(cached, search.info.prompt_tokens);
  const bool is_short = search.length == PromptClass::kShort;
  (is_short ? group.short_tokens : group.long_tokens) += tokens;
}

void Router::Tick(Time now) {
  for (auto& [service, group] : groups_) {
    if (group.resized == Time{}) {
      group.resized = now;
      const double first =
          static_cast<double>(group.members.size()) * kFirstShortShare;
      Split(group, static_cast<std::size_t>(std::ceil(first)));
    }
    if (now - group.resized >= settings_.resize_period) Resize(group, now);
  }
}

void Router::Resize(Group& group, Time now) {
  const std::chrono::duration<double> elapsed = now - group.resized;
  group.resized = now;
  const double total = group.short_tokens + group.long_tokens;
  const double size = static_cast<double>(group.members.size());
  if (total >= kEnoughDemand) {
    const double weighted = group.short_tokens * kShortHeadroom;
    const double desired = size * weighted / (weighted + group.long_tokens);
    const double current = static_cast<double>(group.short_count);
    const double slack = kSlackEngines + kSlackShare * size;
    const double step = std::max(1.0, size * kStepShare);
    if (std::abs(desired - current) > slack) {
      const double moved = std::clamp(desired, current - step, current + step);
      Split(group, static_cast<std::size_t>(std::lround(std::max(1.0, moved))));
    }
  }
  const double kept = std::exp(-elapsed.count() / kDemandSeconds);
  group.short_tokens *= kept;
  group.long_tokens *= kept;
}

void Router::Split(Group& group, std::size_t short_count) {
  const std::size_t size = group.members.size();
  group.short_count = std::min(short_count, MostShort(size));
  if (group.short_count == 0 && size > 0) group.short_count = 1;
  group.short_ring.clear();
  group.long_ring.clear();
  for (std::size_t i = 0; i < size; ++i) {
    const TargetSlot slot = group.members[i];
    position_[slot] = i;
    const std::string& name = states_[slot].info.name.value;
    auto& ring = i < group.short_count ? group.short_ring : group.long_ring;
    for (std::uint64_t point = 0; point < kRingPoints; ++point) {
      const std::uint64_t at =
          XXH3_64bits_withSeed(name.data(), name.size(), point + 1);
      ring.push_back({at, slot});
    }
  }
  std::sort(group.short_ring.begin(), group.short_ring.end());
  std::sort(group.long_ring.begin(), group.long_ring.end());
}

}  // namespace comfreyflow
