/// The log: one JSON object a line on standard output, through glog. Lines name
/// events and typed fields; prompts, answers and keys are never given to it.
///
/// Writing never blocks: a reader that is too slow loses whole lines, which are
/// counted and told in a line `lines_lost`. Each event has a budget of lines a
/// second; what is beyond it is counted in a line `lines_left_out`.
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

/// Sends glog's lines to the JSON sink; once, from main.
void StartLog(const char* program);

/// A line without fields.
void LogEvent(Severity severity, Event event);

/// One line, written when it goes out of scope.
class LogLine {
 public:
  LogLine(Severity severity, Event event);
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;
  ~LogLine();

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

/// For tests: takes the event and the JSON text of each line, written or not.
using LogTap = std::function<void(Event event, const std::string& line)>;
void SetLogTap(LogTap tap);

}  // namespace comfreyflow::node
