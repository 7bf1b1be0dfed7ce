// Turns glog lines into JSON objects.
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

/// Marks a message that is the text of a JSON object already.
constexpr char kObjectMark = '\x01';

const char* NameOf(google::LogSeverity severity) {
  if (severity == google::GLOG_INFO) return "info";
  return severity == google::GLOG_WARNING ? "warning" : "error";
}

std::string TimeText() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto total =
      std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  const std::time_t whole = total / 1'000'000;
  std::tm parts{};
  gmtime_r(&whole, &parts);
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
    Json line{{"time", TimeText()}, {"severity", NameOf(severity)}};
    const std::string_view text(message, size);
    std::string out = line.dump();
    if (!text.empty() && text.front() == kObjectMark) {
      out.back() = ',';
      out += text.substr(2);  // Behind the mark and the brace.
    } else {
      line["event"] = SpecOf(Event::kLibrary).name;
      line["message"] = text;
      out = line.dump(-1, ' ', false, Json::error_handler_t::replace);
    }
    out += '\n';
    const std::lock_guard lock(mutex_);
    if (lost_ > 0) {
      const std::string told = Json{{"time", TimeText()},
                                    {"severity", "warning"},
                                    {"event", SpecOf(Event::kLinesLost).name},
                                    {"lines", lost_}}
                                   .dump() +
                               '\n';
      if (Write(told)) lost_ = 0;
    }
    if (!Write(out)) ++lost_;
  }

 private:
  /// Pipes take lines of this length whole or not at all.
  static constexpr std::size_t kPipeAtomic = 4096;

  static bool Write(std::string_view line) {
    if (line.size() > kPipeAtomic) return false;
    return ::write(STDOUT_FILENO, line.data(), line.size()) ==
           static_cast<ssize_t>(line.size());
  }

  std::mutex mutex_;
  std::uint64_t lost_ = 0;
};

/// Lines of one event in a second at most; failures have a larger share.
constexpr std::uint32_t kInfoLines = 150;
constexpr std::uint32_t kWarningLines = 300;

/// Counts lines by event and second.
class LineBudget {
 public:
  /// Whether the line may be written; `left_out` is set to the number of lines
  /// of the event that an earlier second lost.
  bool Take(Event event, Severity severity, std::uint64_t& left_out) {
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock(mutex_);
    Count& count = counts_.at(static_cast<std::size_t>(event));
    if (now - count.begun >= std::chrono::seconds(1)) {
      left_out = count.left_out;
      count = {now, 0, 0};
    }
    const auto most = severity == Severity::kInfo ? kInfoLines : kWarningLines;
    if (++count.lines <= most) return true;
    ++count.left_out;
    return false;
  }

 private:
  struct Count {
    std::chrono::steady_clock::time_point begun;
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
  const bool taken = budget.Take(fields_->event, fields_->severity, left_out);
  if (left_out > 0) {
    LogLine(Severity::kWarning, Event::kLinesLeftOut)
        .With("of", SpecOf(fields_->event).name)
        .With("lines", left_out);
  }
  if (!taken) return;
  if (fields_->severity == Severity::kInfo) {
    LOG(INFO) << kObjectMark << text();
  } else if (fields_->severity == Severity::kWarning) {
    LOG(WARNING) << kObjectMark << text();
  } else {
    LOG(ERROR) << kObjectMark << text();
  }
}

void LogEvent(Severity severity, Event event) {
  const LogLine line(severity, event);
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
