// One streamed completion over as many hosts as it needs.
#include "ctl/completion-run.h"

#include <utility>

#include "node/clock.h"

namespace comfreyflow::ctl {
namespace {

using detail::Now;
using std::chrono::milliseconds;
using Kind = CallerStreamEnd::Kind;

constexpr int kStatusOk = 200;
constexpr std::string_view kResume = " resume ";
/// Hosts send a heartbeat at least once a second.
constexpr milliseconds kSilence(5000);

Outcome OutcomeIn(const Json& error) {
  const std::string name = error.value("outcome", "");
  for (const Outcome outcome : {Outcome::kDone, Outcome::kNotRun,
                                Outcome::kFailed, Outcome::kUnknown}) {
    if (name == ToString(outcome)) return outcome;
  }
  return Outcome::kUnknown;
}

/// The text of an event of either form of completion.
std::string TextIn(const Json& event) {
  const auto choices = event.find("choices");
  if (choices == event.end() || choices->empty()) return "";
  const Json& choice = choices->front();
  if (choice.contains("delta")) return choice["delta"].value("content", "");
  return choice.value("text", "");
}

class CompletionRun {
 public:
  CompletionRun(const CompletionOrder& order, const CompletionHooks& hooks)
      : order_(order),
        hooks_(hooks),
        client_(io_),
        timer_(io_),
        started_(Now()),
        session_(WithDeadline(order, started_)) {}

  CompletionResult Go() {
    if (const auto first = session_.Start()) Open(*first);
    io_.run();
    result_.total = Now() - started_;
    result_.opens = session_.opens();
    result_.resumes = session_.resumes();
    return std::move(result_);
  }

 private:
  static CallerSessionSettings WithDeadline(const CompletionOrder& order,
                                            Time started) {
    CallerSessionSettings settings = order.session;
    settings.deadline = started + order.deadline;
    return settings;
  }

  void Open(const CallerOpen& open) {
    result_.host = open.host;
    status_ = 0;
    whole_ = false;
    error_ = Json();
    error_body_.clear();
    parser_ = std::make_unique<http::SseParser>(
        http::SseHooks{[this](std::string_view data) { Data(data); },
                       [this](std::string_view text) { Comment(text); }});
    http::CallHooks hooks;
    hooks.on_head = [this](const http::Response& head) { Head(head); };
    hooks.on_body = [this](std::string_view bytes) { Body(bytes); };
    hooks.on_end = [this](http::CallEnd end) { End(end); };
    http::CallOptions options;
    options.progress_timeout = kSilence;
    call_ =
        client_.Open(open.host, MakeRequest(open), options, std::move(hooks));
  }

  http::Request MakeRequest(const CallerOpen& open) const {
    const auto left =
        std::chrono::ceil<milliseconds>(started_ + order_.deadline - Now());
    http::Request request;
    request.method = "POST";
    request.path = open.resume_token.empty() ? order_.path : "/v1/resume";
    request.fields = order_.fields;
    request.fields.push_back({"content-type", "application/json"});
    request.fields.push_back({"x-deadline-ms", std::to_string(left.count())});
    if (!open.resume_token.empty()) {
      request.fields.push_back({"x-resume-token", open.resume_token});
      request.fields.push_back(
          {"x-resume-offset", std::to_string(open.offset)});
    }
    request.body = order_.body;
    return request;
  }

  void Head(const http::Response& head) {
    status_ = head.status;
    if (status_ != kStatusOk) return;
    TakeToken(http::FieldValue(head.fields, "x-resume-token"));
  }

  void TakeToken(std::string_view token) {
    if (!token.empty()) session_.OnResumeToken(std::string(token));
  }

  void Comment(std::string_view text) {
    if (text.substr(0, kResume.size()) != kResume) return;
    text.remove_prefix(kResume.size());
    TakeToken(text);
  }

  void Body(std::string_view bytes) {
    if (status_ == kStatusOk) {
      parser_->Feed(bytes);
    } else {
      error_body_ += bytes;
    }
  }

  void Data(std::string_view data) {
    if (data == "[DONE]") {
      whole_ = true;
      return;
    }
    const Json event = Json::parse(data, nullptr, false);
    if (!event.is_object()) return;
    if (event.contains("error")) error_ = event["error"];
    if (event.contains("usage")) result_.usage = event["usage"];
    const std::string text = TextIn(event);
    if (!text.empty()) Text(text);
  }

  void Text(const std::string& text) {
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

  CallerStreamEnd Ending(const http::CallEnd& end) {
    if (whole_) return {Kind::kComplete};
    if (status_ != 0 && status_ != kStatusOk && end.code == Errc::kOk) {
      const Json body = Json::parse(error_body_, nullptr, false);
      if (body.is_object()) error_ = body.value("error", Json());
    }
    if (error_.is_object()) {
      return {Kind::kError, OutcomeIn(error_), error_.value("retry", false),
              milliseconds(error_.value("retry_after_ms", 0))};
    }
    return {end.sent ? Kind::kBroken : Kind::kUnreachable};
  }

  void End(const http::CallEnd& end) {
    const CallerStreamEnd ending = Ending(end);
    result_.whole = ending.kind == Kind::kComplete;
    result_.error = error_;
    const auto next = session_.Ended(ending, Now());
    if (!next) return;
    hooks_.on_progress(result_.host + " ended at byte " +
                       std::to_string(session_.offset()) + "; goes on at " +
                       next->host);
    timer_.expires_after(next->wait);
    timer_.async_wait(
        [this, open = *next](boost::system::error_code) { Open(open); });
  }

  const CompletionOrder& order_;
  const CompletionHooks& hooks_;
  boost::asio::io_context io_;
  http::Client client_;
  boost::asio::steady_timer timer_;
  Time started_;
  CallerSession session_;
  std::shared_ptr<http::Call> call_;
  std::unique_ptr<http::SseParser> parser_;
  int status_ = 0;
  bool whole_ = false;
  Json error_;
  std::string error_body_;
  CompletionResult result_;
};

}  // namespace

CompletionResult RunCompletion(const CompletionOrder& order,
                               const CompletionHooks& hooks) {
  return CompletionRun(order, hooks).Go();
}

}  // namespace comfreyflow::ctl
