/// The version that the daemon and the tool tell.
#pragma once

namespace comfreyflow {

inline constexpr const char* kVersion = "0.1.0";

}  // namespace comfreyflow
