// Targets that asked this host to back off.
#include "comfreyflow/target-rests.h"

#include <algorithm>

namespace comfreyflow {

bool TargetBackOffs::Add(const TargetName& target, std::uint64_t born,
                         Duration back_off, Time now) {
  std::erase_if(back_offs_,
                [now](const auto& e) { return e.second.until <= now; });
  if (back_off <= Duration::zero()) return false;
  const Time until = now + std::min(back_off, kMaxBackOff);
  const auto [at, added] = back_offs_.try_emplace(target, BackOff{born, until});
  if (added) return true;
  if (at->second.born == born && at->second.until >= until) return false;
  at->second = {born, until};
  return true;
}

Duration TargetBackOffs::Remaining(const TargetName& target, std::uint64_t born,
                                   Time now) const {
  const auto at = back_offs_.find(target);
  if (at == back_offs_.end() || at->second.born != born) return {};
  return std::max(Duration::zero(), at->second.until - now);
}

std::size_t TargetBackOffs::size(Time now) const {
  std::size_t count = 0;
  ForEach(now, [&count](const TargetName&, Duration) { ++count; });
  return count;
}

}  // namespace comfreyflow
