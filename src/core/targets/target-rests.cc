// Times until which targets want nothing.
#include "comfreyflow/target-rests.h"

#include <algorithm>

namespace comfreyflow {

bool TargetRests::Told(const TargetName& target, std::uint64_t born,
                       Duration rest, Time now) {
  std::erase_if(rests_, [now](const auto& e) { return e.second.until <= now; });
  if (rest <= Duration::zero()) return false;
  const Time until = now + std::min(rest, kLongestRest);
  const auto [at, added] = rests_.try_emplace(target, Rest{born, until});
  if (added) return true;
  if (at->second.born == born && at->second.until >= until) return false;
  at->second = {born, until};
  return true;
}

Duration TargetRests::Left(const TargetName& target, std::uint64_t born,
                           Time now) const {
  const auto at = rests_.find(target);
  if (at == rests_.end() || at->second.born != born) return {};
  return std::max(Duration::zero(), at->second.until - now);
}

std::size_t TargetRests::size(Time now) const {
  std::size_t count = 0;
  ForEach(now, [&count](const TargetName&, Duration) { ++count; });
  return count;
}

}  // namespace comfreyflow
