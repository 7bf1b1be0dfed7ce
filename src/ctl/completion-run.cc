// Runs one streamed completion, resumed at other hosts when a stream breaks.
#include "ctl/completion-run.h"

#include <utility>

#include "node/clock.h"

namespace comfreyflow::ctl {
namespace {

using detail::Now;
using std::chrono::milliseconds;
using Kind = CallerStreamEnd::Kind;

constexpr int kStatusOk = 200;
/// Starts an event-stream comment that carries a new resume token.
constexpr std::string_view kResumePrefix = " resume ";
/// Maximum time without a byte from the host. Hosts send a heartbeat at least
/// once a second.
constexpr milliseconds kProgressTimeout(5000);

Outcome OutcomeOf(const Json& error) {
  const std::string name = error.value("outcome", "");
  for (const Outcome outcome : {Outcome::kDone, Outcome::kNotRun,
                                Outcome::kFailed, Outcome::kUnknown}) {
    if (name == ToString(outcome)) return outcome;
  }
  return Outcome::kUnknown;
}

/// Returns the text in an event of a plain completion or a chat completion.
std::string TextOf(const Json& event) {
  const auto choices = event.find("choices");
  if (choices == event.end() || choices->empty()) return "";
  const Json& choice = choices->front();
  if (choice.contains("delta")) return choice["delta"].value("content", "");
  return choice.value("text", "");
}

class CompletionRun {
 public:
  CompletionRun(const CompletionRequest& request, const CompletionHooks& hooks)
      : request_(request),
        hooks_(hooks),
        client_(io_),
        timer_(io_),
        started_(Now()),
        session_(SessionSettings(request, started_)) {}

  CompletionResult Run() {
    if (const auto first = session_.Start()) Open(*first);
    io_.run();
    result_.total = Now() - started_;
    result_.opens = session_.opens();
    result_.resumes = session_.resumes();
    return std::move(result_);
  }

 private:
  static CallerSessionSettings SessionSettings(const CompletionRequest& request,
                                               Time started) {
    CallerSessionSettings settings = request.session;
    settings.deadline = started + request.deadline;
    return settings;
  }

  void Open(const CallerOpen& open) {
    result_.host = open.host;
    status_ = 0;
    is_complete_ = false;
    error_ = Json();
    error_body_.clear();
    parser_ = std::make_unique<http::SseParser>(
        http::SseHooks{[this](std::string_view data) { OnData(data); },
                       [this](std::string_view text) { OnComment(text); }});
    http::CallHooks hooks;
    hooks.on_head = [this](const http::Response& head) { OnHead(head); };
    hooks.on_body = [this](std::string_view bytes) { OnBody(bytes); };
    hooks.on_end = [this](http::CallEnd end) { OnEnd(end); };
    http::CallOptions options;
    options.progress_timeout = kProgressTimeout;
    call_ =
        client_.Open(open.host, MakeRequest(open), options, std::move(hooks));
  }

  http::Request MakeRequest(const CallerOpen& open) const {
    const auto remaining =
        std::chrono::ceil<milliseconds>(started_ + request_.deadline - Now());
    http::Request http_request;
    http_request.method = "POST";
    http_request.path =
        open.resume_token.empty() ? request_.path : "/v1/resume";
    http_request.fields = request_.fields;
    http_request.fields.push_back({"content-type", "application/json"});
    http_request.fields.push_back(
        {"x-deadline-ms", std::to_string(remaining.count())});
    if (!open.resume_token.empty()) {
      http_request.fields.push_back({"x-resume-token", open.resume_token});
      http_request.fields.push_back(
          {"x-resume-offset", std::to_string(open.offset)});
    }
    http_request.body = request_.body;
    return http_request;
  }

  void OnHead(const http::Response& head) {
    status_ = head.status;
    if (status_ != kStatusOk) return;
    StoreResumeToken(http::FieldValue(head.fields, "x-resume-token"));
  }

  void StoreResumeToken(std::string_view token) {
    if (!token.empty()) session_.OnResumeToken(std::string(token));
  }

  void OnComment(std::string_view text) {
    if (text.substr(0, kResumePrefix.size()) != kResumePrefix) return;
    text.remove_prefix(kResumePrefix.size());
    StoreResumeToken(text);
  }

  void OnBody(std::string_view bytes) {
    if (status_ == kStatusOk) {
      parser_->Feed(bytes);
    } else {
      error_body_ += bytes;
    }
  }

  void OnData(std::string_view data) {
    if (data == "[DONE]") {
      is_complete_ = true;
      return;
    }
    const Json event = Json::parse(data, nullptr, false);
    if (!event.is_object()) return;
    if (event.contains("error")) error_ = event["error"];
    if (event.contains("usage")) result_.usage = event["usage"];
    const std::string text = TextOf(event);
    if (!text.empty()) OnText(text);
  }

  void OnText(const std::string& text) {
    if (result_.text.empty()) {
      result_.first_token = Now() - started_;
      const auto ms =
          std::chrono::duration_cast<milliseconds>(result_.first_token);
      hooks_.on_progress("first token after " + std::to_string(ms.count()) +
                         " ms from " + result_.host);
    }
    result_.text += text;
    session_.OnText(text.size());
    hooks_.on_text(text);
  }

  CallerStreamEnd StreamEnd(const http::CallEnd& end) {
    if (is_complete_) return {Kind::kComplete};
    if (status_ != 0 && status_ != kStatusOk && end.code == Errc::kOk) {
      const Json body = Json::parse(error_body_, nullptr, false);
      if (body.is_object()) error_ = body.value("error", Json());
    }
    if (error_.is_object()) {
      return {Kind::kError, OutcomeOf(error_), error_.value("retry", false),
              milliseconds(error_.value("retry_after_ms", 0)),
              error_.value("code", "") == Info(Errc::kDraining).name};
    }
    return {end.sent ? Kind::kBroken : Kind::kUnreachable};
  }

  void OnEnd(const http::CallEnd& end) {
    const CallerStreamEnd stream_end = StreamEnd(end);
    result_.is_complete = stream_end.kind == Kind::kComplete;
    result_.error = error_;
    const auto next_open = session_.Ended(stream_end, Now());
    if (!next_open) return;
    hooks_.on_progress(result_.host + ": stream ended at byte " +
                       std::to_string(session_.offset()) + "; continues at " +
                       next_open->host);
    timer_.expires_after(next_open->wait);
    timer_.async_wait(
        [this, open = *next_open](boost::system::error_code) { Open(open); });
  }

  const CompletionRequest& request_;
  const CompletionHooks& hooks_;
  boost::asio::io_context io_;
  http::Client client_;
  boost::asio::steady_timer timer_;
  Time started_;
  CallerSession session_;
  std::shared_ptr<http::Call> call_;
  std::unique_ptr<http::SseParser> parser_;
  int status_ = 0;
  bool is_complete_ = false;
  Json error_;
  std::string error_body_;
  CompletionResult result_;
};

}  // namespace

CompletionResult RunCompletion(const CompletionRequest& request,
                               const CompletionHooks& hooks) {
  return CompletionRun(request, hooks).Run();
}

}  // namespace comfreyflow::ctl
