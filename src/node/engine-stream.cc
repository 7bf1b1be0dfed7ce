// Client of the engine protocol in docs/TARGET-API.md.
#include "node/engine-stream.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "json/bounded-json.h"
#include "node/clock.h"
#include "node/prompt.h"

namespace comfreyflow::node {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kMaxErrorBodyBytes = 16 * 1024;

std::uint64_t NumberOrZero(const Json& json, const char* key) {
  const auto found = json.find(key);
  return found != json.end() && found->is_number_unsigned()
             ? found->get<std::uint64_t>()
             : 0;
}

/// Whether the engine's error response states that it did not start the
/// request.
bool ReportsNotRun(const std::string& body) {
  const Json json = json::Parse(body);
  if (!json.is_object()) return false;
  const auto error = json.find("error");
  if (error == json.end() || !error->is_object()) return false;
  const auto ran = error->find("ran");
  return ran != error->end() && ran->is_boolean() && !ran->get<bool>();
}

}  // namespace

EngineStream::EngineStream(AttemptId attempt, bool streams, LinkSink sink)
    : attempt_(std::move(attempt)),
      streams_(streams),
      sink_(std::move(sink)),
      parser_({[this](std::string_view data) { OnData(data); },
               [this](std::string_view) { Post(StreamHeartbeat{attempt_}); }}) {
}

http::CallHooks EngineStream::Hooks() {
  const auto self = shared_from_this();
  http::CallHooks hooks;
  hooks.on_sent = [self] {
    if (self->streams_) self->Post(StreamOpened{self->attempt_});
  };
  hooks.on_head = [self](const http::Response& head) { self->OnHead(head); };
  hooks.on_body = [self](std::string_view bytes) { self->OnBody(bytes); };
  hooks.on_end = [self](http::CallEnd end) { self->OnEnd(end); };
  return hooks;
}

void EngineStream::OnHead(const http::Response& head) { status_ = head.status; }

void EngineStream::OnBody(std::string_view bytes) {
  if (ended_) return;
  if (status_ != 200) {
    if (error_body_.size() + bytes.size() <= kMaxErrorBodyBytes)
      error_body_ += bytes;
    return;
  }
  if (!parser_.Feed(bytes)) Fail(Errc::kTargetFailed, false, false);
}

void EngineStream::OnData(std::string_view data) {
  if (ended_) return;
  const Json json = json::Parse(data);
  if (!json.is_object()) return Fail(Errc::kTargetFailed, false, false);
  if (json.contains("error")) return Fail(Errc::kTargetFailed, false, false);
  const auto flag = json.find("done");
  const bool done =
      flag != json.end() && flag->is_boolean() && flag->get<bool>();
  if (!streams_) return;
  const auto offset = NumberOrZero(json, "offset");
  if (done) {
    ended_ = true;
    return Post(StreamEnded{
        .attempt = attempt_,
        .total_bytes = offset,
        .prompt_tokens =
            static_cast<std::uint32_t>(NumberOrZero(json, "prompt_tokens")),
        .cached_tokens =
            static_cast<std::uint32_t>(NumberOrZero(json, "cached_tokens")),
        .output_tokens =
            static_cast<std::uint32_t>(NumberOrZero(json, "output_tokens"))});
  }
  const auto text = json.find("text");
  if (text == json.end() || !text->is_string()) {
    return Fail(Errc::kTargetFailed, false, false);
  }
  const auto tokens = static_cast<std::uint32_t>(NumberOrZero(json, "tokens"));
  sink_(TextArrived{attempt_, offset, text->get<std::string>(), tokens});
}

void EngineStream::OnEnd(http::CallEnd end) {
  if (ended_) return;
  if (end.code == Errc::kTargetUnreachable) return Fail(end.code, true, false);
  if (end.code == Errc::kTargetUnresponsive)
    return Fail(end.code, false, false);
  if (status_ != 0 && status_ != 200) {
    const bool not_run = ReportsNotRun(error_body_);
    return Fail(not_run ? Errc::kTargetRefused : Errc::kTargetFailed, not_run,
                false);
  }
  // The first member of a gang reports the result, so the regular end of
  // another member is no event.
  if (!streams_ && end.code == Errc::kOk) return;
  Fail(Errc::kTargetFailed, !end.sent, !end.is_garbled);
}

void EngineStream::Fail(Errc code, bool not_run, bool crashed) {
  if (ended_) return;
  ended_ = true;
  Post(StreamFailed{attempt_, code, not_run, crashed});
}

void EngineStream::Post(EntryEvent event) {
  sink_(EntryPosted{std::move(event)});
}

http::Request EngineRequest(const OpenStream& open, const Call& call,
                            const std::vector<std::string>& gang,
                            std::size_t rank) {
  const bool chat = call.completion.form == CompletionForm::kChat;
  Json body{{"model", call.info.model.value},
            {"max_tokens", call.completion.max_tokens},
            {"stream", true},
            {"priority", static_cast<int>(open.engine_priority)},
            {"cache_salt", HexHash(call.cache_salt)},
            {chat ? "messages" : "prompt", call.completion.input}};
  if (open.offset > 0) body["offset"] = open.offset;
  auto& prefix = body["prefix"] = Json::array();
  for (const auto hash : call.info.prefix) prefix.push_back(HexHash(hash));
  if (gang.size() > 1) {
    body["gang"] = {
        {"id", ToString(open.attempt)}, {"rank", rank}, {"members", gang}};
  }
  const auto left = std::chrono::duration_cast<milliseconds>(
      open.expires - comfreyflow::detail::Now());
  http::Request request;
  request.method = "POST";
  request.path = chat ? "/v1/chat/completions" : "/v1/completions";
  request.fields = {{"content-type", "application/json"},
                    {"x-attempt-id", ToString(open.attempt)},
                    {"x-attempt-expires-ms",
                     std::to_string(std::max<std::int64_t>(left.count(), 0))}};
  request.body = body.dump();
  return request;
}

}  // namespace comfreyflow::node
