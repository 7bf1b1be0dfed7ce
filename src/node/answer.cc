// Writes responses in the formats that common client libraries parse.
#include "node/answer.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace comfreyflow::node {
namespace {

using Json = nlohmann::ordered_json;
using std::chrono::milliseconds;

constexpr milliseconds kDefaultRetryAfter{1000};
/// Placeholder for the text of an event, as serialized. Other strings of the
/// event can't contain it, because their quotation marks are escaped.
constexpr std::string_view kTextPlaceholder = "\"\\u0001\"";
constexpr const char* kEventStream = "text/event-stream";

bool IsChat(const Call& call) {
  return call.completion.form == CompletionForm::kChat;
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string AnswerId(const Call& call) {
  return (IsChat(call) ? "chatcmpl-" : "cmpl-") + ToString(call.info.id);
}

Json ErrorJson(const Failure& failure) {
  const ErrorInfo& info = Info(failure.code);
  Json error{{"code", info.name},
             {"message", info.message},
             {"outcome", ToString(failure.outcome)},
             {"retry", info.retry},
             {"retry_after_ms",
              std::chrono::ceil<milliseconds>(failure.retry_after).count()}};
  if (!failure.field.empty()) error["field"] = failure.field;
  return Json{{"error", std::move(error)}};
}

/// The JSON of a response or event with `choice` as its only choice.
Json Envelope(const Call& call, const char* object, Json choice) {
  return Json{{"id", AnswerId(call)},
              {"object", object},
              {"model", call.info.model.value},
              {"choices", Json::array({std::move(choice)})}};
}

Json ChunkJson(const Call& call, std::string_view text) {
  Json choice{{"index", 0}};
  if (IsChat(call)) {
    choice["delta"] = {{"content", text}};
  } else {
    choice["text"] = text;
  }
  choice["finish_reason"] = nullptr;
  return Envelope(call,
                  IsChat(call) ? "chat.completion.chunk" : "text_completion",
                  std::move(choice));
}

Json UsageJson(const Finish& finish) {
  return Json{
      {"prompt_tokens", finish.prompt_tokens},
      {"completion_tokens", finish.output_tokens},
      {"total_tokens", finish.prompt_tokens + finish.output_tokens},
      {"prompt_tokens_details", {{"cached_tokens", finish.cached_tokens}}}};
}

Json LastChunkJson(const Call& call, const Finish& finish) {
  Json choice{{"index", 0}};
  if (IsChat(call)) {
    choice["delta"] = Json::object();
  } else {
    choice["text"] = "";
  }
  choice["finish_reason"] = "stop";
  Json out =
      Envelope(call, IsChat(call) ? "chat.completion.chunk" : "text_completion",
               std::move(choice));
  out["usage"] = UsageJson(finish);
  return out;
}

Json CompleteAnswerJson(const Call& call, const Finish& finish) {
  Json choice{{"index", 0}};
  if (IsChat(call)) {
    choice["message"] = {{"role", "assistant"}, {"content", call.text}};
  } else {
    choice["text"] = call.text;
  }
  choice["finish_reason"] = "stop";
  Json out =
      Envelope(call, IsChat(call) ? "chat.completion" : "text_completion",
               std::move(choice));
  out["usage"] = UsageJson(finish);
  return out;
}

http::Fields AnswerFields(const Call& call) {
  http::Fields fields{{"x-request-id", ToString(call.info.id)}};
  if (!call.resume_token.empty()) {
    fields.push_back({"x-resume-token", call.resume_token});
  }
  return fields;
}

void EnsureStreamStarted(Call& call) {
  if (call.head_sent) return;
  http::Response head;
  head.content_type = kEventStream;
  head.fields = AnswerFields(call);
  head.fields.push_back({"cache-control", "no-store"});
  call.head_sent = true;
  call.resume_token_sent = !call.resume_token.empty();
  call.exchange->StartStream(std::move(head));
}

/// The JSON of an event with `text`. Everything except the text is serialized
/// once for each call and reused.
std::string ChunkText(Call& call, std::string_view text) {
  if (call.chunk_prefix.empty()) {
    const std::string event = Dump(ChunkJson(call, "\x01"));
    const auto at = event.rfind(kTextPlaceholder);
    call.chunk_prefix = event.substr(0, at);
    call.chunk_suffix = event.substr(at + kTextPlaceholder.size());
  }
  return call.chunk_prefix + Dump(Json(text)) + call.chunk_suffix;
}

/// An SSE comment line with the resume token, or empty if the caller already
/// has the current token.
std::string ResumeTokenLine(Call& call) {
  if (call.resume_token_sent || call.resume_token.empty()) return {};
  call.resume_token_sent = true;
  return ": resume " + call.resume_token + "\n\n";
}

void SendFailure(Call& call, const Finish& finish) {
  const Failure failure{finish.code, finish.outcome, finish.retry_after, {}};
  if (!call.head_sent) {
    http::Response response = ErrorResponse(failure);
    response.fields.push_back({"x-request-id", ToString(call.info.id)});
    return call.exchange->Respond(std::move(response));
  }
  call.exchange->Write("data: " + Dump(ErrorJson(failure)) + "\n\n");
  call.exchange->End();
}

}  // namespace

Failure FailureOf(Errc code) {
  const ErrorInfo& info = Info(code);
  const Duration after = info.retry ? kDefaultRetryAfter : milliseconds{0};
  return {code, info.outcome, after, {}};
}

http::Response ErrorResponse(const Failure& failure) {
  http::Response response;
  response.status = Info(failure.code).http_status;
  response.body = Dump(ErrorJson(failure));
  if (failure.retry_after > Duration::zero()) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(failure.retry_after);
    response.fields.push_back({"retry-after", std::to_string(seconds.count())});
  }
  if (response.status == 401) {
    response.fields.push_back({"www-authenticate", "Bearer"});
  }
  return response;
}

void SendText(Call& call, std::string_view text, Time now) {
  call.offset += text.size();
  call.last_write_at = now;
  if (call.kind == TargetKind::kPlain) return;
  if (!call.stream) {
    call.text += text;
    return;
  }
  EnsureStreamStarted(call);
  std::string event = ResumeTokenLine(call);
  event += "id: " + std::to_string(call.offset) + "\ndata: ";
  event += ChunkText(call, text);
  event += "\n\n";
  call.exchange->Write(std::move(event));
}

void SendHeartbeat(Call& call, Time now) {
  if (!call.stream) return;
  EnsureStreamStarted(call);
  call.last_write_at = now;
  call.exchange->Write(ResumeTokenLine(call) + ": hb\n\n");
}

void SendEnd(Call& call, const Finish& finish) {
  if (finish.code != Errc::kOk) return SendFailure(call, finish);
  if (call.kind == TargetKind::kPlain) {
    call.plain_answer.fields.push_back(
        {"x-request-id", ToString(call.info.id)});
    return call.exchange->Respond(std::move(call.plain_answer));
  }
  if (call.stream) {
    EnsureStreamStarted(call);
    call.exchange->Write("id: " + std::to_string(call.offset) +
                         "\ndata: " + Dump(LastChunkJson(call, finish)) +
                         "\n\ndata: [DONE]\n\n");
    return call.exchange->End();
  }
  http::Response response;
  response.fields = AnswerFields(call);
  response.body = Dump(CompleteAnswerJson(call, finish));
  call.exchange->Respond(std::move(response));
}

}  // namespace comfreyflow::node
