/// The result of a command of comfreyflowctl, as text for people and as JSON
/// for scripts.
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
using Args = std::vector<std::string>;  ///< The first is the command's name.

inline constexpr int kExitSuccess = 0;
/// The operation was refused or failed.
inline constexpr int kExitFailure = 1;
/// The command or one of its arguments is invalid.
inline constexpr int kExitUsage = 2;

struct Report {
  Errc code = Errc::kOk;
  std::string text;  ///< For people: complete lines.
  Json json = Json::object();
  bool as_json = false;  ///< Print `json` instead of `text`.
};

/// Runs the command in `args`, which do not include the program's name, and
/// returns the exit code. Prints results to `out`; progress and errors go to
/// `err`, except that a JSON report goes to `out` even if the command failed.
int Run(const Args& args, std::ostream& out, std::ostream& err);

/// Sets the report to the error, described as in the error table, with `detail`
/// after the message.
void SetError(Report& report, Errc code, const std::string& detail = "");

/// Reads the complete file into `out`. Returns false if it cannot be read.
bool ReadFile(const std::string& path, std::string& out);

}  // namespace comfreyflow::ctl
