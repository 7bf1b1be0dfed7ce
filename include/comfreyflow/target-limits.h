/// Rates that targets have named for the requests of all hosts together.
#pragma once

namespace comfreyflow {

/// A higher rate is taken for this one, in requests a second.
inline constexpr double kHighestLimit = 1e6;

}  // namespace comfreyflow
