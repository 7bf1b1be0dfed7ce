// Converts glog lines to JSON objects.
#include "node/log.h"

#include <fcntl.h>
#include <glog/logging.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <ctime>
#include <mutex>
#include <nlohmann/json.hpp>

namespace comfreyflow::node {
namespace {

using Json = nlohmann::ordered_json;

/// First character of a message that already is the text of a JSON object.
constexpr char kJsonObjectMark = '\x01';

const char* SeverityName(google::LogSeverity severity) {
  if (severity == google::GLOG_INFO) return "info";
  return severity == google::GLOG_WARNING ? "warning" : "error";
}

std::string TimeText() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto total =
      std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  const std::time_t seconds = total / 1'000'000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[40];
  const auto size =
      std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(text + size, sizeof(text) - size, ".%06dZ",
                static_cast<int>(total % 1'000'000));
  return text;
}

class JsonSink : public google::LogSink {
 public:
  void send(google::LogSeverity severity, const char*, const char*, int,
            const struct std::tm*, const char* message,
            std::size_t size) override {
    Json line{{"time", TimeText()}, {"severity", SeverityName(severity)}};
    const std::string_view text(message, size);
    std::string out = line.dump();
    if (!text.empty() && text.front() == kJsonObjectMark) {
      out.back() = ',';
      out += text.substr(2);  // Without the mark and the opening brace.
    } else {
      line["event"] = SpecOf(Event::kLibrary).name;
      line["message"] = text;
      out = line.dump(-1, ' ', false, Json::error_handler_t::replace);
    }
    out += '\n';
    const std::lock_guard lock(mutex_);
    if (lost_lines_ > 0) {
      const std::string lost_line =
          Json{{"time", TimeText()},
               {"severity", "warning"},
               {"event", SpecOf(Event::kLinesLost).name},
               {"lines", lost_lines_}}
              .dump() +
          '\n';
      if (Write(lost_line)) lost_lines_ = 0;
    }
    if (!Write(out)) ++lost_lines_;
  }

 private:
  /// PIPE_BUF on Linux: a non-blocking write of at most this size to a pipe
  /// is complete or fails. Longer lines are dropped.
  static constexpr std::size_t kMaxAtomicWriteBytes = 4096;

  static bool Write(std::string_view line) {
    if (line.size() > kMaxAtomicWriteBytes) return false;
    return ::write(STDOUT_FILENO, line.data(), line.size()) ==
           static_cast<ssize_t>(line.size());
  }

  std::mutex mutex_;
  std::uint64_t lost_lines_ = 0;
};

/// Budgets of lines per event and second. Warnings and errors have a larger one
/// so that failures are still logged under load.
constexpr std::uint32_t kMaxInfoLinesPerSecond = 150;
constexpr std::uint32_t kMaxWarningLinesPerSecond = 300;

/// Limits the number of lines per event and second.
class LineBudget {
 public:
  /// Whether the line may be written. Sets `left_out` to the number of lines of
  /// the event that were dropped in the last second that had lines of it.
  bool Allow(Event event, Severity severity, bool past_budget,
             std::uint64_t& left_out) {
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock(mutex_);
    Count& count = counts_.at(static_cast<std::size_t>(event));
    if (now - count.started_at >= std::chrono::seconds(1)) {
      left_out = count.left_out;
      count = {now, 0, 0};
    }
    const auto max_lines = severity == Severity::kInfo
                               ? kMaxInfoLinesPerSecond
                               : kMaxWarningLinesPerSecond;
    if (++count.lines <= max_lines || past_budget) return true;
    ++count.left_out;
    return false;
  }

 private:
  struct Count {
    std::chrono::steady_clock::time_point started_at;
    std::uint32_t lines = 0;
    std::uint64_t left_out = 0;
  };
  std::mutex mutex_;
  std::array<Count, kEventSpecs.size()> counts_;
};

}  // namespace

struct LogLine::Fields {
  Severity severity;
  Event event;
  bool past_budget = false;
  Json json;
};

namespace {

LogTap& Tap() {
  static LogTap tap;
  return tap;
}

}  // namespace

void SetLogTap(LogTap tap) { Tap() = std::move(tap); }

void StartLog(const char* program) {
  static JsonSink sink;
  FLAGS_logtostderr = false;
  FLAGS_alsologtostderr = false;
  for (int level = 0; level < google::NUM_SEVERITIES; ++level) {
    google::SetLogDestination(level, "");
  }
  ::fcntl(STDOUT_FILENO, F_SETFL,
          ::fcntl(STDOUT_FILENO, F_GETFL, 0) | O_NONBLOCK);
  google::InitGoogleLogging(program);
  google::SetStderrLogging(google::GLOG_FATAL);
  google::AddLogSink(&sink);
}

LogLine::LogLine(Severity severity, Event event)
    : fields_(std::make_unique<Fields>()) {
  fields_->severity = severity;
  fields_->event = event;
  fields_->json["event"] = SpecOf(event).name;
}

LogLine::~LogLine() {
  const auto text = [this] {
    return fields_->json.dump(-1, ' ', false, Json::error_handler_t::replace);
  };
  if (Tap()) Tap()(fields_->event, text());
  if (!google::IsGoogleLoggingInitialized()) return;
  static LineBudget budget;
  std::uint64_t left_out = 0;
  const bool allowed = budget.Allow(fields_->event, fields_->severity,
                                    fields_->past_budget, left_out);
  if (left_out > 0) {
    LogLine(Severity::kWarning, Event::kLinesLeftOut)
        .With("of", SpecOf(fields_->event).name)
        .With("lines", left_out);
  }
  if (!allowed) return;
  if (fields_->severity == Severity::kInfo) {
    LOG(INFO) << kJsonObjectMark << text();
  } else if (fields_->severity == Severity::kWarning) {
    LOG(WARNING) << kJsonObjectMark << text();
  } else {
    LOG(ERROR) << kJsonObjectMark << text();
  }
}

void LogEvent(Severity severity, Event event) {
  const LogLine line(severity, event);
}

LogLine& LogLine::PastBudget() {
  fields_->past_budget = true;
  return *this;
}

LogLine& LogLine::With(const char* key, std::string_view value) {
  fields_->json[key] = value;
  return *this;
}

LogLine& LogLine::With(const char* key, std::uint64_t value) {
  fields_->json[key] = value;
  return *this;
}

LogLine& LogLine::With(const char* key, bool value) {
  fields_->json[key] = value;
  return *this;
}

LogLine& LogLine::With(const char* key, double value) {
  fields_->json[key] = value;
  return *this;
}

LogLine& LogLine::With(const char* key, std::chrono::milliseconds value) {
  fields_->json[key] = value.count();
  return *this;
}

LogLine& LogLine::With(const RequestId& request) {
  return With("request", ToString(request));
}

LogLine& LogLine::With(const AttemptId& attempt) {
  return With(attempt.request).With("attempt", std::uint64_t{attempt.number});
}

LogLine& LogLine::With(Errc code) { return With("code", Info(code).name); }

}  // namespace comfreyflow::node
