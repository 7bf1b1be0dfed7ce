// Reads the monotonic clock and the system clock.
#include "node/clock.h"

namespace comfreyflow::detail {

Time Now() { return std::chrono::steady_clock::now(); }

Incarnation IncarnationFromClock() {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  const auto count =
      std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
  return {static_cast<std::uint64_t>(count)};
}

}  // namespace comfreyflow::detail
