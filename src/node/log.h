/// Structured log: one JSON object per line on standard output, written through
/// glog. A line has an event and typed fields. Prompts, answers and keys are
/// never logged.
///
/// Writing never blocks: if the reader is too slow, complete lines are dropped
/// and their number is logged as `lines_lost`. Each event has a budget of lines
/// per second; the number of lines beyond it is logged as `lines_left_out`.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "comfreyflow/errors.h"
#include "comfreyflow/types.h"
#include "node/events.h"

namespace comfreyflow::node {

enum class Severity : std::uint8_t { kInfo, kWarning, kError };

/// Directs glog's lines to the JSON sink. Called once, from main.
void StartLog(const char* program);

/// Logs a line without fields.
void LogEvent(Severity severity, Event event);

/// Builds one line, which the destructor writes.
class LogLine {
 public:
  LogLine(Severity severity, Event event);
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;
  ~LogLine();

  /// Writes the line even if the event's budget is used up.
  LogLine& PastBudget();

  LogLine& With(const char* key, std::string_view value);
  LogLine& With(const char* key, const char* value) {
    return With(key, std::string_view(value));
  }
  LogLine& With(const char* key, std::uint64_t value);
  LogLine& With(const char* key, bool value);
  LogLine& With(const char* key, double value);
  LogLine& With(const char* key, std::chrono::milliseconds value);
  LogLine& With(const RequestId& request);
  LogLine& With(const AttemptId& attempt);
  LogLine& With(Errc code);

  template <class Tag>
  LogLine& With(const char* key, const Name<Tag>& name) {
    const std::string_view text = name.value;
    return With(key, text);
  }

 private:
  struct Fields;
  std::unique_ptr<Fields> fields_;
};

/// For tests: receives the event and the JSON text of each line, including
/// lines beyond the budget.
using LogTap = std::function<void(Event event, const std::string& line)>;
void SetLogTap(LogTap tap);

}  // namespace comfreyflow::node
