// The `explain` command: prints the log lines of one request in order of time
// and the cause of its end.
#include <tclap/CmdLine.h>

#include <algorithm>
#include <functional>
#include <map>
#include <sstream>

#include "ctl/commands.h"

namespace comfreyflow::ctl {
namespace {

/// Returns the log lines of all files that match `filter`, in order of time.
/// Text before the JSON object of a line is skipped.
std::vector<Json> SelectLines(const std::vector<std::string>& texts,
                              const std::function<bool(const Json&)>& filter) {
  std::vector<Json> lines;
  for (const auto& text : texts) {
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
      const auto begin = line.find('{');
      if (begin == std::string::npos) continue;
      Json json = Json::parse(line.substr(begin), nullptr, false);
      if (json.is_object() && filter(json)) {
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

/// Returns the last line with the event, or null.
const Json* LastLine(const std::vector<Json>& lines, const char* event) {
  for (auto line = lines.rbegin(); line != lines.rend(); ++line) {
    if (line->value("event", "") == event) return &*line;
  }
  return nullptr;
}

/// Returns the rate limits that targets of the service had reported and that
/// had not ended at the given time: for each target its last
/// `target_limited` line.
std::vector<Json> LimitsAt(const std::vector<std::string>& texts,
                           const std::string& service,
                           const std::string& time) {
  std::map<std::string, Json> last_lines;
  for (auto& line : SelectLines(texts, [&](const Json& json) {
         const std::string event = json.value("event", "");
         return (event == "target_limited" || event == "target_limit_ended") &&
                json.value("service", "") == service &&
                json.value("time", "") <= time && json.contains("rate");
       })) {
    const std::string target = line.value("target", "");
    last_lines[target] = std::move(line);
  }
  std::vector<Json> limits;
  for (auto& [target, line] : last_lines) {
    if (line.value("event", "") == "target_limited") {
      limits.push_back(std::move(line));
    }
  }
  return limits;
}

/// Describes the limits for which a request was refused.
std::string LimitsText(const std::vector<Json>& limits) {
  if (limits.empty()) return " These files contain no limit of a target.";
  std::string text = " Limits then:";
  for (const auto& limit : limits) {
    text += " " + limit.value("target", "") + " " + limit["rate"].dump() +
            " a second since " + limit.value("time", "") + ";";
  }
  text.back() = '.';
  return text;
}

std::string NumberText(const Json& line, const char* key) {
  return std::to_string(line.value(key, std::int64_t{0}));
}

/// Returns one sentence that says how the request ended and why.
std::string CauseText(const std::vector<Json>& lines) {
  const Json* end = LastLine(lines, "request_ended");
  if (end == nullptr)
    return "These files do not contain the end of the request.";
  const std::string code = end->value("code", "");
  const std::string duration = NumberText(*end, "took") + " ms";
  if (code == "ok") return "It was answered completely in " + duration + ".";
  if (end->value("tries", 0) == 0) {
    return "It was never sent to a target: " + code + " after " + duration +
           ".";
  }
  const Json* failed = LastLine(lines, "try_failed");
  if (failed == nullptr)
    return "It ended with " + code + " after " + duration + ".";
  std::string text = "Target " + failed->value("target", "") + " ended try " +
                     NumberText(*failed, "try") + ": " +
                     failed->value("end", "");
  const bool not_run = failed->value("not_run", false);
  text += not_run ? ", not run" : ", it may have run";
  return text + "; " + code + " after " + duration + ".";
}

/// Names the targets that may have got the request, if there are several.
std::string SentText(const std::vector<Json>& lines) {
  const Json* end = LastLine(lines, "request_ended");
  const std::string targets = end != nullptr ? end->value("sent_to", "") : "";
  if (targets.find(',') == std::string::npos) return "";
  return " It was sent to " + targets + ", in this order.";
}

/// Formats one log line for people.
std::string FormatLine(const Json& line) {
  std::string text = line.value("time", "") + " " + line.value("event", "");
  for (const auto& [key, value] : line.items()) {
    const bool is_shown = key == "time" || key == "event" || key == "request" ||
                          key == "severity";
    if (!is_shown) text += " " + key + "=" + value.dump();
  }
  return text + "\n";
}

}  // namespace

Report Explain(Args args, std::ostream&) {
  TCLAP::CmdLine command_line(
      "Shows the path of one request through the logs of hosts", ' ', kVersion);
  TCLAP::SwitchArg as_json("", "json", "Print one JSON object", command_line);
  TCLAP::UnlabeledValueArg<std::string> request(
      "REQUEST", "ID of the request", true, "", "REQUEST", command_line);
  TCLAP::UnlabeledMultiArg<std::string> files("FILE", "Log files of hosts",
                                              true, "FILE", command_line);
  command_line.setExceptionHandling(false);
  command_line.parse(args);
  Report report;
  report.as_json = as_json.getValue();
  std::vector<std::string> texts;
  for (const auto& file : files.getValue()) {
    if (!ReadFile(file, texts.emplace_back())) {
      SetError(report, Errc::kSettingsInvalid, "cannot read " + file);
      return report;
    }
  }
  const auto lines = SelectLines(texts, [&request](const Json& json) {
    return json.value("request", "") == request.getValue();
  });
  if (lines.empty()) {
    SetError(report, Errc::kObjectNotFound,
             "no log line contains request " + request.getValue());
    return report;
  }
  std::string cause = CauseText(lines) + SentText(lines);
  const Json* end = LastLine(lines, "request_ended");
  if (end != nullptr &&
      end->value("code", "") == Info(Errc::kTargetsLimited).name) {
    const auto limits =
        LimitsAt(texts, end->value("service", ""), end->value("time", ""));
    report.json["limits"] = limits;
    cause += LimitsText(limits);
  }
  report.json["request"] = request.getValue();
  report.json["cause"] = cause;
  report.json["lines"] = lines;
  for (const auto& line : lines) report.text += FormatLine(line);
  report.text += cause + "\n";
  return report;
}

}  // namespace comfreyflow::ctl
