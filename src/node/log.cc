// Turns glog lines into JSON objects.
#include "node/log.h"

#include <glog/logging.h>

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
      line["event"] = "library";
      line["message"] = text;
      out = line.dump(-1, ' ', false, Json::error_handler_t::replace);
    }
    out += '\n';
    const std::lock_guard lock(mutex_);
    std::fwrite(out.data(), 1, out.size(), stderr);
  }

 private:
  std::mutex mutex_;
};

}  // namespace

struct LogLine::Fields {
  Severity severity;
  Json json;
};

void StartLog(const char* program) {
  static JsonSink sink;
  FLAGS_logtostderr = false;
  FLAGS_alsologtostderr = false;
  for (int level = 0; level < google::NUM_SEVERITIES; ++level) {
    google::SetLogDestination(level, "");
  }
  google::InitGoogleLogging(program);
  google::SetStderrLogging(google::GLOG_FATAL);
  google::AddLogSink(&sink);
}

LogLine::LogLine(Severity severity, std::string_view event)
    : fields_(std::make_unique<Fields>()) {
  fields_->severity = severity;
  fields_->json["event"] = event;
}

LogLine::~LogLine() {
  if (!google::IsGoogleLoggingInitialized()) return;
  const std::string text =
      kObjectMark +
      fields_->json.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (fields_->severity == Severity::kInfo) {
    LOG(INFO) << text;
  } else if (fields_->severity == Severity::kWarning) {
    LOG(WARNING) << text;
  } else {
    LOG(ERROR) << text;
  }
}

void LogEvent(Severity severity, std::string_view event) {
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
