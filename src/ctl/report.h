/// What a command of comfreyflowctl came to, for people and for scripts.
#pragma once

#include <functional>
#include <iosfwd>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "comfreyflow/errors.h"
#include "comfreyflow/ini.h"
#include "comfreyflow/version.h"

namespace comfreyflow::ctl {

using Json = nlohmann::ordered_json;
using Args = std::vector<std::string>;  ///< The command's name first.

inline constexpr int kExitDone = 0;
inline constexpr int kExitFailed = 1;  ///< Refused or failed.
inline constexpr int kExitUsage = 2;

struct Report {
  Errc code = Errc::kOk;
  std::string text;  ///< For people; lines.
  Json json = Json::object();
  bool as_json = false;
};

/// Runs `args` (without the program's name) and gives the exit code. Results
/// go to `out`, progress and failures to `err`.
int Run(const Args& args, std::ostream& out, std::ostream& err);

/// The code's row as callers are told it, with `detail` behind its message.
void SetError(Report& report, Errc code, const std::string& detail = "");

/// The whole file; false when it cannot be read.
bool ReadFile(const std::string& path, std::string& out);

}  // namespace comfreyflow::ctl
