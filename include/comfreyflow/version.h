/// The version that the daemon and the command-line tool report.
#pragma once

namespace comfreyflow {

inline constexpr const char* kVersion = "0.1.0";

}  // namespace comfreyflow
