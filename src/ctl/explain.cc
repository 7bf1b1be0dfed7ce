// Puts the log lines of one request in order and names the cause of its end.
#include <tclap/CmdLine.h>

#include <algorithm>
#include <sstream>

#include "ctl/commands.h"

namespace comfreyflow::ctl {
namespace {

/// Lines that name the request, from all files, in order of time.
std::vector<Json> LinesOf(const std::string& request,
                          const std::vector<std::string>& texts) {
  std::vector<Json> lines;
  for (const auto& text : texts) {
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
      const auto begin = line.find('{');
      if (begin == std::string::npos) continue;
      Json json = Json::parse(line.substr(begin), nullptr, false);
      if (json.is_object() && json.value("request", "") == request) {
        lines.push_back(std::move(json));
      }
    }
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const Json& a, const Json& b) {
                     return a.value("time", "") < b.value("time", "");
                   });
  return lines;
}

const Json* Last(const std::vector<Json>& lines, const char* event) {
  for (auto at = lines.rbegin(); at != lines.rend(); ++at) {
    if (at->value("event", "") == event) return &*at;
  }
  return nullptr;
}

std::string Number(const Json& line, const char* key) {
  return std::to_string(line.value(key, std::int64_t{0}));
}

/// One sentence on why the request ended as it did.
std::string Cause(const std::vector<Json>& lines) {
  const Json* end = Last(lines, "request_ended");
  if (end == nullptr) return "The request has not ended in these files.";
  const std::string code = end->value("code", "");
  const std::string took = Number(*end, "took") + " ms";
  if (code == "ok") return "It was answered whole in " + took + ".";
  if (end->value("tries", 0) == 0) {
    return "It was never sent to a target: " + code + " after " + took + ".";
  }
  const Json* failed = Last(lines, "try_failed");
  if (failed == nullptr)
    return "It ended with " + code + " after " + took + ".";
  std::string text = "Target " + failed->value("target", "") + " ended try " +
                     Number(*failed, "try") + ": " + failed->value("end", "");
  const bool not_run = failed->value("not_run", false);
  text += not_run ? ", not run" : ", it may have run";
  return text + "; " + code + " after " + took + ".";
}

std::string Line(const Json& line) {
  std::string text = line.value("time", "") + " " + line.value("event", "");
  for (const auto& [key, value] : line.items()) {
    const bool shown = key == "time" || key == "event" || key == "request" ||
                       key == "severity";
    if (!shown) text += " " + key + "=" + value.dump();
  }
  return text + "\n";
}

}  // namespace

Report Explain(Args args, std::ostream&) {
  TCLAP::CmdLine line("Shows the way of one request through the logs of hosts",
                      ' ', kVersion);
  TCLAP::SwitchArg as_json("", "json", "One JSON object", line);
  TCLAP::UnlabeledValueArg<std::string> request("REQUEST", "The request's id",
                                                true, "", "REQUEST", line);
  TCLAP::UnlabeledMultiArg<std::string> files("FILE", "Logs of hosts", true,
                                              "FILE", line);
  line.setExceptionHandling(false);
  line.parse(args);
  Report report;
  report.as_json = as_json.getValue();
  std::vector<std::string> texts;
  for (const auto& file : files.getValue()) {
    if (!ReadFile(file, texts.emplace_back())) {
      SetError(report, Errc::kSettingsInvalid, "cannot read " + file);
      return report;
    }
  }
  const auto lines = LinesOf(request.getValue(), texts);
  if (lines.empty()) {
    SetError(report, Errc::kObjectNotFound,
             "no line names " + request.getValue());
    return report;
  }
  const std::string cause = Cause(lines);
  report.json["request"] = request.getValue();
  report.json["cause"] = cause;
  report.json["lines"] = lines;
  for (const auto& each : lines) report.text += Line(each);
  report.text += cause + "\n";
  return report;
}

}  // namespace comfreyflow::ctl
