/// Targets that rejected a request of this host and asked it to send nothing
/// for a while (Retry-After).
///
/// A target may have no capacity for some hosts while it accepts requests of
/// others. During a back-off the requests of this host go to other targets at
/// once instead of being rejected again.
#pragma once

#include <cstdint>
#include <map>

#include "comfreyflow/types.h"

namespace comfreyflow {

class TargetBackOffs {
 public:
  /// The start `born` of the target asked for a back-off of `back_off` from now
  /// on. A shorter back-off does not end a longer one sooner. Returns whether
  /// the end of the back-off has changed.
  bool Add(const TargetName& target, std::uint64_t born, Duration back_off,
           Time now);
  /// Time left until that start of the target accepts requests; zero: it
  /// accepts requests now. A back-off of another start has no effect.
  Duration Remaining(const TargetName& target, std::uint64_t born,
                     Time now) const;
  /// Calls `visit(target, remaining)` for each target in back-off.
  template <class Take>
  void ForEach(Time now, Take visit) const {
    for (const auto& [target, back_off] : back_offs_) {
      if (back_off.until > now) visit(target, back_off.until - now);
    }
  }
  /// Number of targets in back-off.
  std::size_t size(Time now) const;

 private:
  struct BackOff {
    std::uint64_t born = 0;
    Time until;
  };
  /// Invariant: expired entries are removed by the next `Add` of any target.
  std::map<TargetName, BackOff> back_offs_;
};

/// Longer back-offs are reduced to this one, so that an error of a target does
/// not close it forever.
inline constexpr Duration kMaxBackOff = std::chrono::minutes(10);

}  // namespace comfreyflow
