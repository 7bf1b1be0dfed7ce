// Puts the log lines of one request in order and names the cause of its end.
#include <tclap/CmdLine.h>

#include <algorithm>
#include <functional>
#include <map>
#include <sstream>

#include "ctl/commands.h"

namespace comfreyflow::ctl {
namespace {

/// Lines that `wanted` takes, from all files, in order of time.
std::vector<Json> LinesOf(const std::vector<std::string>& texts,
                          const std::function<bool(const Json&)>& wanted) {
  std::vector<Json> lines;
  for (const auto& text : texts) {
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
      const auto begin = line.find('{');
      if (begin == std::string::npos) continue;
      Json json = Json::parse(line.substr(begin), nullptr, false);
      if (json.is_object() && wanted(json)) {
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

/// The limits that targets of the service had named by that time, by target.
std::vector<Json> LimitsThen(const std::vector<std::string>& texts,
                             const std::string& service,
                             const std::string& time) {
  std::map<std::string, Json> last;
  for (auto& line : LinesOf(texts, [&](const Json& json) {
         const std::string event = json.value("event", "");
         return (event == "target_limited" || event == "target_limit_ended") &&
                json.value("service", "") == service &&
                json.value("time", "") <= time && json.contains("rate");
       })) {
    const std::string target = line.value("target", "");
    last[target] = std::move(line);
  }
  std::vector<Json> limits;
  for (auto& [target, line] : last) {
    if (line.value("event", "") == "target_limited") {
      limits.push_back(std::move(line));
    }
  }
  return limits;
}

/// The limits behind the refusal of a request.
std::string LimitText(const std::vector<Json>& limits) {
  if (limits.empty()) return " No target's limit is in these files.";
  std::string text = " Limits then:";
  for (const auto& limit : limits) {
    text += " " + limit.value("target", "") + " " + limit["rate"].dump() +
            " a second since " + limit.value("time", "") + ";";
  }
  text.back() = '.';
  return text;
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
  const auto lines = LinesOf(texts, [&request](const Json& json) {
    return json.value("request", "") == request.getValue();
  });
  if (lines.empty()) {
    SetError(report, Errc::kObjectNotFound,
             "no line names " + request.getValue());
    return report;
  }
  std::string cause = Cause(lines);
  const Json* end = Last(lines, "request_ended");
  if (end != nullptr &&
      end->value("code", "") == Info(Errc::kTargetsLimited).name) {
    const auto limits =
        LimitsThen(texts, end->value("service", ""), end->value("time", ""));
    report.json["limits"] = limits;
    cause += LimitText(limits);
  }
  report.json["request"] = request.getValue();
  report.json["cause"] = cause;
  report.json["lines"] = lines;
  for (const auto& each : lines) report.text += Line(each);
  report.text += cause + "\n";
  return report;
}

}  // namespace comfreyflow::ctl
