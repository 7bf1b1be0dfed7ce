// Client side of the calls in docs/TARGET-API.md that read a target's state or
// cancel an attempt.
#include "node/target-poll.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "json/bounded-json.h"

namespace comfreyflow::node {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kPollTimeout{1000};

/// Value of an unsigned integer field; 0 if it is absent or has another type.
std::uint64_t NumberField(const Json& json, const char* key) {
  const auto at = json.find(key);
  return at != json.end() && at->is_number_unsigned() ? at->get<std::uint64_t>()
                                                      : 0;
}

std::uint32_t NumberField32(const Json& json, const char* key) {
  return static_cast<std::uint32_t>(NumberField(json, key));
}

std::string TextField(const Json& json, const char* key) {
  const auto at = json.find(key);
  return at != json.end() && at->is_string() ? at->get<std::string>() : "";
}

bool BoolField(const Json& json, const char* key) {
  const auto at = json.find(key);
  return at != json.end() && at->is_boolean() && at->get<bool>();
}

std::uint64_t HashField(const Json& json, const char* key) {
  const std::string text = TextField(json, key);
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return value;
}

/// Elements of an array field; empty if it is absent or has another type.
const Json& ListField(const Json& json, const char* key) {
  static const Json empty = Json::array();
  const auto at = json.find(key);
  return at != json.end() && at->is_array() ? *at : empty;
}

/// Sends `GET path` and passes the JSON object of the response to `done`, or
/// null if the call fails or the body is not an object.
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
                 const Json json = json::Parse(answer.body);
                 done(json.is_object() ? &json : nullptr);
               });
}

TargetReport ParseReport(const Json& json, const TargetName& target) {
  TargetReport report;
  report.target = target;
  report.epoch = NumberField(json, "epoch");
  report.sequence = NumberField(json, "seq");
  report.age = milliseconds(NumberField(json, "age_ms"));
  report.running = NumberField32(json, "running");
  report.waiting = NumberField32(json, "waiting");
  report.kv_used = NumberField(json, "kv_used");
  report.kv_capacity = NumberField(json, "kv_capacity");
  report.max_running = NumberField32(json, "max_running");
  report.prefill_backlog_tokens = NumberField(json, "prefill_backlog_tokens");
  report.closing = BoolField(json, "closing");
  for (const auto& model : ListField(json, "models")) {
    report.models.push_back({TextField(model, "model")});
  }
  return report;
}

ObservedTarget ParseLoaded(const Json& json, const TargetInfo& target) {
  ObservedTarget out;
  out.target = target.name;
  out.failure_domain = target.failure_domain;
  out.role = TextField(json, "role");
  for (const auto& model : ListField(json, "models")) {
    out.models.insert(
        {{TextField(model, "model")}, TextField(model, "version")});
  }
  for (const auto& adapter : ListField(json, "adapters")) {
    if (!adapter.is_string()) continue;
    const auto text = adapter.get<std::string>();
    const auto at = text.rfind('@');
    const bool versioned = at != std::string::npos;
    out.adapters.insert(
        {{text.substr(0, at)}, versioned ? text.substr(at + 1) : ""});
  }
  return out;
}

AttemptsListed ParseAttempts(const Json& json) {
  AttemptsListed list;
  list.epoch = NumberField(json, "epoch");
  for (const auto& item : ListField(json, "attempts")) {
    RunningAttempt attempt;
    if (!ParseAttemptId(TextField(item, "id"), attempt.id)) continue;
    attempt.kv_tokens = NumberField(item, "kv_tokens");
    attempt.expires_in = milliseconds(NumberField(item, "expires_ms"));
    list.attempts.push_back(std::move(attempt));
  }
  return list;
}

PrefixReported ParseCacheEvents(const Json& json, const TargetName& target,
                                bool is_complete_list) {
  PrefixReported out;
  out.target = target;
  out.is_complete_list = is_complete_list;
  out.next = NumberField(json, "next");
  for (const auto& item :
       ListField(json, is_complete_list ? "blocks" : "events")) {
    PrefixEvent event;
    event.sequence = NumberField(item, "seq");
    event.kind = TextField(item, "kind") == "removed"
                     ? PrefixEvent::Kind::kRemoved
                     : PrefixEvent::Kind::kStored;
    event.salt = HashField(item, "salt");
    event.block = HashField(item, "block");
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
              const TargetReport report = ParseReport(*json, name);
              done(&report);
            });
}

void ReadLoadedModels(http::Client& client, const TargetInfo& target,
                      std::function<void(const ObservedTarget*)> done) {
  FetchJson(client, target.address, "/v1/load", "",
            [target, done = std::move(done)](const Json* json) {
              if (json == nullptr) return done(nullptr);
              const ObservedTarget observed = ParseLoaded(*json, target);
              done(&observed);
            });
}

void ReadAttempts(http::Client& client, const TargetInfo& target,
                  std::function<void(const AttemptsListed*)> done) {
  FetchJson(client, target.address, "/v1/attempts", "",
            [done = std::move(done)](const Json* json) {
              if (json == nullptr) return done(nullptr);
              const AttemptsListed list = ParseAttempts(*json);
              done(&list);
            });
}

void ReadCache(http::Client& client, const TargetInfo& target,
               const std::uint64_t* since,
               std::function<void(const PrefixReported*)> done) {
  const bool is_complete_list = since == nullptr;
  FetchJson(client, target.address,
            is_complete_list ? "/v1/cache" : "/v1/cache/events",
            is_complete_list ? "" : "since=" + std::to_string(*since),
            [name = target.name, is_complete_list,
             done = std::move(done)](const Json* json) {
              if (json == nullptr) return done(nullptr);
              const PrefixReported events =
                  ParseCacheEvents(*json, name, is_complete_list);
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
