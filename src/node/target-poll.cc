// Calls of docs/TARGET-API.md that read.
#include "node/target-poll.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace comfreyflow::node {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kPollTimeout{1000};

/// Value of a number field; 0 when it is absent or of another kind.
std::uint64_t Number(const Json& json, const char* key) {
  const auto at = json.find(key);
  return at != json.end() && at->is_number_unsigned() ? at->get<std::uint64_t>()
                                                      : 0;
}

std::uint32_t Number32(const Json& json, const char* key) {
  return static_cast<std::uint32_t>(Number(json, key));
}

std::string Text(const Json& json, const char* key) {
  const auto at = json.find(key);
  return at != json.end() && at->is_string() ? at->get<std::string>() : "";
}

bool Flag(const Json& json, const char* key) {
  const auto at = json.find(key);
  return at != json.end() && at->is_boolean() && at->get<bool>();
}

std::uint64_t Hash(const Json& json, const char* key) {
  const std::string text = Text(json, key);
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return value;
}

/// Elements of a list field; empty when it is absent or of another kind.
const Json& List(const Json& json, const char* key) {
  static const Json none = Json::array();
  const auto at = json.find(key);
  return at != json.end() && at->is_array() ? *at : none;
}

/// Fetches `path` and gives the answer's object, or null.
void FetchJson(http::Client& client, const std::string& address,
               const std::string& path, const std::string& query,
               std::function<void(const Json*)> done) {
  http::Request request;
  request.method = "GET";
  request.path = path;
  request.query = query;
  http::CallOptions options;
  options.progress_timeout = kPollTimeout;
  client.Fetch(address, std::move(request), options,
               [done = std::move(done)](http::CallEnd end,
                                        const http::Response& answer) {
                 if (end.code != Errc::kOk || answer.status != 200) {
                   return done(nullptr);
                 }
                 const Json json = Json::parse(answer.body, nullptr, false);
                 done(json.is_object() ? &json : nullptr);
               });
}

TargetReport ReportOf(const Json& json, const TargetName& target) {
  TargetReport report;
  report.target = target;
  report.epoch = Number(json, "epoch");
  report.sequence = Number(json, "seq");
  report.age = milliseconds(Number(json, "age_ms"));
  report.running = Number32(json, "running");
  report.waiting = Number32(json, "waiting");
  report.kv_used = Number(json, "kv_used");
  report.kv_capacity = Number(json, "kv_capacity");
  report.max_running = Number32(json, "max_running");
  report.prefill_backlog_tokens = Number(json, "prefill_backlog_tokens");
  report.closing = Flag(json, "closing");
  for (const auto& model : List(json, "models")) {
    report.models.push_back({Text(model, "model")});
  }
  return report;
}

ObservedTarget LoadedOf(const Json& json, const TargetInfo& target) {
  ObservedTarget out;
  out.target = target.name;
  out.failure_domain = target.failure_domain;
  out.role = Text(json, "role");
  for (const auto& model : List(json, "models")) {
    out.models.insert({{Text(model, "model")}, Text(model, "version")});
  }
  for (const auto& adapter : List(json, "adapters")) {
    if (!adapter.is_string()) continue;
    const auto text = adapter.get<std::string>();
    const auto at = text.rfind('@');
    const bool versioned = at != std::string::npos;
    out.adapters.insert(
        {{text.substr(0, at)}, versioned ? text.substr(at + 1) : ""});
  }
  return out;
}

AttemptsListed ListOf(const Json& json) {
  AttemptsListed list;
  list.epoch = Number(json, "epoch");
  for (const auto& item : List(json, "attempts")) {
    RunningAttempt attempt;
    if (!ParseAttemptId(Text(item, "id"), attempt.id)) continue;
    attempt.kv_tokens = Number(item, "kv_tokens");
    attempt.expires_in = milliseconds(Number(item, "expires_ms"));
    list.attempts.push_back(std::move(attempt));
  }
  return list;
}

PrefixReported EventsOf(const Json& json, const TargetName& target,
                        bool whole) {
  PrefixReported out;
  out.target = target;
  out.is_complete_list = whole;
  out.next = Number(json, "next");
  for (const auto& item : List(json, whole ? "blocks" : "events")) {
    PrefixEvent event;
    event.sequence = Number(item, "seq");
    event.kind = Text(item, "kind") == "removed" ? PrefixEvent::Kind::kRemoved
                                                 : PrefixEvent::Kind::kStored;
    event.salt = Hash(item, "salt");
    event.block = Hash(item, "block");
    out.events.push_back(event);
  }
  return out;
}

}  // namespace

void ReadLoad(http::Client& client, const TargetInfo& target,
              std::function<void(const TargetReport*)> done) {
  FetchJson(client, target.address, "/v1/load", "",
            [name = target.name, done = std::move(done)](const Json* json) {
              if (json == nullptr) return done(nullptr);
              const TargetReport report = ReportOf(*json, name);
              done(&report);
            });
}

void ReadLoaded(http::Client& client, const TargetInfo& target,
                std::function<void(const ObservedTarget*)> done) {
  FetchJson(client, target.address, "/v1/load", "",
            [target, done = std::move(done)](const Json* json) {
              if (json == nullptr) return done(nullptr);
              const ObservedTarget seen = LoadedOf(*json, target);
              done(&seen);
            });
}

void ReadAttempts(http::Client& client, const TargetInfo& target,
                  std::function<void(const AttemptsListed*)> done) {
  FetchJson(client, target.address, "/v1/attempts", "",
            [done = std::move(done)](const Json* json) {
              if (json == nullptr) return done(nullptr);
              const AttemptsListed list = ListOf(*json);
              done(&list);
            });
}

void ReadCache(http::Client& client, const TargetInfo& target,
               const std::uint64_t* since,
               std::function<void(const PrefixReported*)> done) {
  const bool whole = since == nullptr;
  FetchJson(
      client, target.address, whole ? "/v1/cache" : "/v1/cache/events",
      whole ? "" : "since=" + std::to_string(*since),
      [name = target.name, whole, done = std::move(done)](const Json* json) {
        if (json == nullptr) return done(nullptr);
        const PrefixReported events = EventsOf(*json, name, whole);
        done(&events);
      });
}

void SendCancel(http::Client& client, const TargetInfo& target,
                const AttemptId& attempt) {
  http::Request request;
  request.method = "POST";
  request.path = "/v1/attempts/" + ToString(attempt) + "/cancel";
  client.Fetch(target.address, std::move(request), {},
               [](http::CallEnd, const http::Response&) {});
}

}  // namespace comfreyflow::node
