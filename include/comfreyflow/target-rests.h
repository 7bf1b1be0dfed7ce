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

class TargetRests {
 public:
  /// The start `born` of the target wants nothing for `rest` from now on. A
  /// shorter time after a longer one does not end it sooner. Whether the end
  /// has moved.
  bool Told(const TargetName& target, std::uint64_t born, Duration rest,
            Time now);
  /// How much longer that start of the target wants nothing; zero: it takes
  /// requests. A start that asked for nothing yet takes requests.
  Duration Left(const TargetName& target, std::uint64_t born, Time now) const;
  /// Calls `take(target, left)` for each that rests.
  template <class Take>
  void ForEach(Time now, Take take) const {
    for (const auto& [target, rest] : rests_) {
      if (rest.until > now) take(target, rest.until - now);
    }
  }
  /// Targets that rest now.
  std::size_t size(Time now) const;

 private:
  struct Rest {
    std::uint64_t born = 0;
    Time until;
  };
  /// Invariant: what is over is dropped with the next word of a target.
  std::map<TargetName, Rest> rests_;
};

/// A longer time is taken for this one: a target's error must not close it for
/// good.
inline constexpr Duration kLongestRest = std::chrono::minutes(10);

}  // namespace comfreyflow
