/// Targets that want no request of this host for a while: they turned one away
/// and said for how long.
///
/// Load it answers: a target that is full for some hosts and not for others.
/// Its requests go elsewhere at once instead of being turned away again.
#pragma once

#include <cstdint>
#include <map>

#include "comfreyflow/types.h"

namespace comfreyflow {

class TargetBackOffs {
 public:
  /// The start `born` of the target wants nothing for `rest` from now on. A
  /// shorter time after a longer one does not end it sooner. Whether the end
  /// has moved.
  bool Add(const TargetName& target, std::uint64_t born, Duration back_off,
           Time now);
  /// How much longer that start of the target wants nothing; zero: it takes
  /// requests. A start that asked for nothing yet takes requests.
  Duration Remaining(const TargetName& target, std::uint64_t born,
                     Time now) const;
  /// Calls `take(target, left)` for each that rests.
  template <class Take>
  void ForEach(Time now, Take take) const {
    for (const auto& [target, back_off] : back_offs_) {
      if (back_off.until > now) take(target, back_off.until - now);
    }
  }
  /// Targets that rest now.
  std::size_t size(Time now) const;

 private:
  struct BackOff {
    std::uint64_t born = 0;
    Time until;
  };
  /// Invariant: what is over is dropped with the next word of a target.
  std::map<TargetName, BackOff> back_offs_;
};

/// A longer time is taken for this one: a target's error must not close it for
/// good.
inline constexpr Duration kMaxBackOff = std::chrono::minutes(10);

}  // namespace comfreyflow
