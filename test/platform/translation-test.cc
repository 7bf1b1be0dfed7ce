// The formats that the adapter reads and writes: settings, configuration,
// target entries and HTTP headers.
#include <doctest/doctest.h>

#include <ctime>
#include <nlohmann/json.hpp>

#include "comfreyflow/target-limits.h"
#include "comfreyflow/target-rests.h"
#include "platform/documents.h"
#include "platform/edge.h"
#include "platform/settings.h"
#include "platform/stand-ins.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char* kSettings = R"({
  "NodeName": "front-1", "Zone": "z1", "Region": "r1", "Ip": "10.1.0.4",
  "Listen": {"Front": "10.1.0.4:81", "ReadyAddr": "10.1.0.4:82",
             "Directory": "10.1.0.4:83"},
  "PortRange": [7340, 7355], "Seeds": ["10.1.0.5:99", "10.2.0.6:99"],
  "Limits": {"CpuShare": 0.25, "MemoryMb": 260}, "SomethingNew": {"a": 1},
  "Bounds": {"GraceS": 8, "DrainMs": 2000, "RetryRatio": 0.3},
  "Platform": {"Addr": "10.9.0.1:8000"}})";

http::Fields CallerFields() {
  return {{"host", "a.example"},
          {"x-request-id", "r1"},
          {"authorization", "Token k1"},
          {"x-deadline-ms", "1500"},
          {"x-token-count", "1460,80"},
          {"connection", "x-hop, keep-alive"},
          {"x-hop", "1"},
          {"keep-alive", "timeout=5"},
          {"x-tenant", "forged"},
          {"x-target-instance", "forged"},
          {"transfer-encoding", "chunked"},
          {"x-prefix-hash", "ab:800"},
          {"x-kept", "1"},
          {"x-kept", "2"}};
}

}  // namespace

TEST_CASE("settings are parsed, and unknown fields are ignored") {
  HostSettings settings;
  std::string problem;
  REQUIRE_FALSE(ParseSettings(kSettings, settings, problem));
  CHECK(settings.name == "front-1");
  CHECK(settings.callers == "10.1.0.4:81");
  CHECK(settings.gossip_port == 7340);
  CHECK(settings.placement_port == 7341);
  CHECK(settings.seed_ips == std::vector<std::string>{"10.1.0.5", "10.2.0.6"});
  CHECK(settings.stop_time == seconds(8));
  CHECK(settings.retry_ratio == 0.3);
  CHECK(settings.capacity == 25);
}

TEST_CASE("the cost-aware queue is on only if Contracts names pressure") {
  const auto is_on = [](const char* contracts) {
    auto json = nlohmann::json::parse(kSettings);
    json["Contracts"] = nlohmann::json::parse(contracts);
    HostSettings settings;
    std::string problem;
    REQUIRE_FALSE(ParseSettings(json.dump(), settings, problem));
    return settings.cost_aware_queue;
  };
  CHECK(is_on(R"(["cold","pressure"])"));
  CHECK_FALSE(is_on(R"(["cold"])"));
  CHECK_FALSE(is_on("[]"));
  CHECK_FALSE(is_on("null"));
  HostSettings settings;
  std::string problem;
  REQUIRE_FALSE(ParseSettings(kSettings, settings, problem));
  CHECK_FALSE(settings.cost_aware_queue);
}

TEST_CASE("the deployment depends on the zones, not on the store's address") {
  const auto deployment = [](const char* zones, const char* store) {
    auto json = nlohmann::json::parse(kSettings);
    json["Zones"] = nlohmann::json::parse(zones);
    json["Platform"]["Addr"] = store;
    HostSettings settings;
    std::string problem;
    REQUIRE_FALSE(ParseSettings(json.dump(), settings, problem));
    return settings.deployment;
  };
  const auto one = deployment(R"({"z1":"r1","z2":"r1"})", "10.9.0.1:8000");
  CHECK(deployment(R"({"z2":"r1","z1":"r1"})", "10.9.0.2:1") == one);
  CHECK(deployment(R"({"z1":"r1","z2":"r2"})", "10.9.0.1:8000") != one);
}

TEST_CASE("an error for a missing required setting names the field") {
  HostSettings settings;
  std::string problem;
  std::string text = kSettings;
  text.replace(text.find("PortRange"), 9, "PortRangs");
  CHECK(ParseSettings(text, settings, problem) == Errc::kSettingsInvalid);
  CHECK(problem.find("PortRange") != std::string::npos);
  CHECK(ParseSettings("{", settings, problem) == Errc::kSettingsInvalid);
  CHECK(ParseSettings("[]", settings, problem) == Errc::kSettingsInvalid);
}

TEST_CASE("a malformed configuration leaves the document unchanged") {
  RouteDocument document;
  const std::string text = R"({"Version": 7, "Routes": [
    {"Name": "r", "Host": "a", "PathPrefix": "/x/", "Kind": "stream",
     "TimeoutMs": 10000, "TargetLatencyMs": 300, "MaxGapMs": 250,
     "Attempts": 2, "Resumable": true,
     "Split": [{"Service": "s1", "Weight": 90}, {"Service": "s2", "Weight": 10}]}],
    "Services": [{"Name": "s1", "Engine": {"Slots": 16, "KvTokens": 315000,
      "step_ms": 0.85, "read_per_s": 177000.0, "pairs_per_m": 0.184,
      "Stride": 51}}, {"Name": "s2"}],
    "Limits": {"IdleTimeoutMs": 15000},
    "Tenants": [{"Name": "t", "ApiKeys": ["k1", "k2"], "Priority": 0}]})";
  REQUIRE_FALSE(ReadDocument(text, document));
  CHECK(document.version == 7);
  const Route& route = document.routes.at(0);
  CHECK(route.kind == RouteKind::kStream);
  CHECK(route.max_gap == milliseconds(250));
  CHECK(route.services.size() == 2);
  CHECK(document.services.at({"s1"}).engine->event_tokens == 51);
  CHECK(document.services.at({"s1"}).engine->step ==
        std::chrono::microseconds(850));
  CHECK_FALSE(document.services.at({"s2"}).engine.has_value());
  CHECK(document.keys.at("k2").priority == 0);
  CHECK(document.limits.idle_timeout == milliseconds(15000));
  CHECK(ReadDocument(text.substr(1), document) == Errc::kConfigInvalid);
  CHECK(ReadDocument(R"({"Version": "x", "Routes": []})", document) ==
        Errc::kConfigInvalid);
  CHECK(document.version == 7);
}

TEST_CASE("a configuration with an odd number or deep nesting is rejected") {
  const std::string deep =
      std::string(450'000, '[') + std::string(450'000, ']');
  const std::string valid = SampleConfig(7).dump();
  std::vector<std::string> odd = {deep};
  // A pointer to a number, and whether a fraction of it is ignored.
  const std::pair<const char*, bool> numbers[] = {
      {"/Version", false},
      {"/Routes/0/TimeoutMs", true},
      {"/Routes/0/TargetLatencyMs", true},
      {"/Routes/0/MaxGapMs", true},
      {"/Routes/0/Priority", true},
      {"/Routes/0/Attempts", true},
      {"/Services/1/MaxConns", true},
      {"/Services/1/Engine/Slots", true},
      {"/Services/1/Engine/KvTokens", true},
      {"/Services/1/Engine/Stride", true},
      {"/Services/1/Engine/step_ms", true},
      {"/Services/1/Engine/read_per_s", true},
      {"/Limits/MaxHeaderBytes", true},
      {"/Limits/MaxBodyBytes", true},
      {"/Limits/HeaderTimeoutMs", true},
      {"/Limits/IdleTimeoutMs", true},
      {"/Tenants/0/Priority", true}};
  RouteDocument document;
  for (const auto& number : numbers) {
    const char* const pointer = number.first;
    const bool may_be_fraction = number.second;
    const auto with = [&valid, pointer](const std::string& text) {
      auto json = nlohmann::json::parse(valid);
      json[nlohmann::json::json_pointer(pointer)] = "@";
      std::string out = json.dump();
      return out.replace(out.find("\"@\""), 3, text);
    };
    CAPTURE(pointer);
    CHECK_FALSE(ReadDocument(with("3"), document));
    CHECK_FALSE(ReadDocument(with("3.0"), document));
    CHECK(!ReadDocument(with("3.5"), document) == may_be_fraction);
    for (const char* text :
         {"-1", "1e300", "1e999", "\"3\"", "[]", "\"\xff\""}) {
      // A priority of another type is ignored.
      const bool is_number = text[0] == '-' || text[0] == '1';
      const bool is_ignored = std::string_view(pointer).starts_with("/Tenants");
      if (is_ignored && !is_number && text != std::string("\"\xff\"")) {
        CHECK_FALSE(ReadDocument(with(text), document));
        continue;
      }
      odd.push_back(with(text));
    }
    odd.push_back(with(deep));
  }
  for (const auto& text : odd) {
    CAPTURE(text.substr(0, 1000));
    document.version = 1;
    CHECK(ReadDocument(text, document) == Errc::kConfigInvalid);
    CHECK(document.version == 1);
  }
}

TEST_CASE("settings with an odd number or deep nesting are rejected") {
  const std::string deep =
      std::string(450'000, '[') + std::string(450'000, ']');
  for (const char* pointer :
       {"/PortRange/0", "/Platform/ReadsPerS", "/Platform/WritesPerS",
        "/Bounds/GraceS", "/Bounds/DrainMs", "/Bounds/RetryRatio",
        "/Bounds/RetrySlack", "/Bounds/RetryWindowS", "/Limits/CpuShare",
        "/Limits/Cores", "/Limits/MemoryMb", "/Zones"}) {
    const bool is_number = std::string_view(pointer) != "/Zones";
    for (const std::string& text :
         {std::string("-1"), std::string("1e300"), std::string("1e999"),
          std::string("\"\xff\""), deep}) {
      if (!is_number && (text == "-1" || text == "1e300")) continue;
      CAPTURE(pointer);
      CAPTURE(text.substr(0, 60));
      auto json = nlohmann::json::parse(kSettings);
      json[nlohmann::json::json_pointer(pointer)] = "@";
      std::string settings_text = json.dump();
      settings_text.replace(settings_text.find("\"@\""), 3, text);
      HostSettings settings;
      std::string problem;
      CHECK(ParseSettings(settings_text, settings, problem) ==
            Errc::kSettingsInvalid);
      CHECK_FALSE(problem.empty());
      CHECK(problem.size() < 1000);
    }
  }
  for (const char* port : {"0", "65535", "70000", "7340.5"}) {
    auto json = nlohmann::json::parse(kSettings);
    json["PortRange"][0] = nlohmann::json::parse(port);
    HostSettings settings;
    std::string problem;
    CHECK(ParseSettings(json.dump(), settings, problem) ==
          Errc::kSettingsInvalid);
    CHECK(problem.find("PortRange") != std::string::npos);
  }
}

TEST_CASE("malformed target entries are rejected") {
  TargetEntry entry;
  const std::string valid =
      R"({"Service":"s","Addr":"10.0.0.1:1","Slots":4,"State":"draining"})";
  REQUIRE(ReadTarget("i1", valid, entry));
  CHECK(entry.target.leaving);
  for (const char* invalid :
       {"", "x", "[]", "{}",
        R"({"Service":"s","Addr":7,"Slots":4,"State":"ready"})",
        R"({"Service":"s","Addr":"a:1","Slots":"4","State":"ready"})",
        R"({"Service":"s","Addr":"a:1","Slots":4,"State":"other"})",
        R"({"Service":"","Addr":"a:1","Slots":4,"State":"ready"})"}) {
    CHECK_FALSE(ReadTarget("i1", invalid, entry));
  }
}

TEST_CASE("a forwarded request has neither the key nor connection headers") {
  const auto edge = MakeEdge();
  http::Request request;
  request.method = "POST";
  request.target = "/x/2f?a=%20b&";
  request.fields = CallerFields();
  request.body = "body";
  gateway::ForwardHead head;
  head.target = "i1";
  head.account = "account1";
  head.remaining = milliseconds(900);
  head.helpers = {{"10.0.0.2:1", "t81"}, {"10.0.0.3:1", ""}};
  const auto out = edge.write_request(request, head);
  CHECK(out.target == "/x/2f?a=%20b&");
  CHECK(out.body == "body");
  CHECK(http::FieldValue(out.fields, "x-deadline-ms") == "900");
  CHECK(http::FieldValue(out.fields, "x-tenant") == "account1");
  CHECK(http::FieldValue(out.fields, "x-target-instance") == "i1");
  CHECK(http::FieldValue(out.fields, "x-helpers") ==
        "10.0.0.2:1/t81,10.0.0.3:1");
  CHECK(http::FieldValue(out.fields, "x-prefix-hash") == "ab:800");
  for (const char* dropped : {"authorization", "x-hop", "connection",
                              "keep-alive", "transfer-encoding"}) {
    CHECK_FALSE(http::HasField(out.fields, dropped));
  }
  int kept = 0;
  int accounts = 0;
  for (const auto& field : out.fields) {
    kept += field.name == "x-kept" ? 1 : 0;
    accounts += field.name == "x-tenant" ? 1 : 0;
  }
  CHECK(kept == 2);
  CHECK(accounts == 1);
}

TEST_CASE("accounts that can't be read open the routes") {
  const auto read = [](const char* accounts) {
    RouteDocument document;
    const std::string text = R"({"Version": 7, "Routes": [], "Services": [])" +
                             std::string(accounts) + "}";
    const auto error = ReadDocument(text, document);
    return std::pair(ToErrc(error), document.needs_keys);
  };
  const auto is = [](bool needs_keys) {
    return std::pair(Errc::kOk, needs_keys);
  };
  CHECK(read("") == is(false));
  CHECK(read(R"(, "Tenants": null)") == is(false));
  CHECK(read(R"(, "Tenants": [])") == is(true));
  for (const char* accounts : {"{}", "0", "false", R"("")", "[1]"}) {
    CAPTURE(accounts);
    const std::string field = std::string(R"(, "Tenants": )") + accounts;
    CHECK(read(field.c_str()).first == Errc::kConfigInvalid);
  }
}

TEST_CASE("an account whose name targets can't be told is told as none") {
  const auto read = [](const std::string& name) {
    RouteDocument document;
    const nlohmann::json config = {
        {"Version", 7},
        {"Routes", nlohmann::json::array()},
        {"Services", nlohmann::json::array()},
        {"Tenants", {{{"Name", name}, {"ApiKeys", {"k1"}}}}}};
    return ToErrc(ReadDocument(config.dump(), document));
  };
  CHECK(read("b\xc3\xbcro 7") == Errc::kOk);
  for (const char* name :
       {"", " a", "a ", "\ta", "a\r\nx-tenant: b", "a\x7f"}) {
    CAPTURE(name);
    CHECK(read(name) == Errc::kConfigInvalid);
  }
}

TEST_CASE("a caller's headers are parsed, and invalid numbers are ignored") {
  const auto edge = MakeEdge();
  http::Request request;
  request.fields = CallerFields();
  auto read = edge.read_request(request);
  CHECK(read.credentials.key == "k1");
  CHECK(read.prompt_tokens == 1460);
  CHECK(read.max_output_tokens == 80);
  CHECK(read.remaining == milliseconds(1500));
  request.fields = {{"x-token-count", "99999999999999999999,-4"},
                    {"x-deadline-ms", "soon"},
                    {"authorization", "Bearer k1"}};
  read = edge.read_request(request);
  CHECK(read.prompt_tokens == 0);
  CHECK(read.max_output_tokens == 0);
  CHECK_FALSE(read.remaining.has_value());
  CHECK(read.credentials.key.empty());
}

TEST_CASE("the parts that prompts share are read, without the last one") {
  const auto edge = MakeEdge();
  const auto parts = [&edge](const std::string& list) {
    http::Request request;
    request.fields = {{"x-prefix-hash", list}};
    return edge.read_request(request).shared_parts;
  };
  CHECK(parts("").empty());
  CHECK(parts("ab:800").empty());
  const auto two = parts("ab:800,cd:40, ef:9");
  REQUIRE(two.size() == 2);
  CHECK(two[0] != two[1]);
  CHECK(parts("ab:1,ef:9")[0] == two[0]);
  CHECK(parts(" ab ,ef:9")[0] == two[0]);
  CHECK(parts(",,:4,").empty());
  std::string long_list = "last:1";
  for (int i = 0; i < 5000; ++i)
    long_list.insert(0, "p" + std::to_string(i) + ":1,");
  CHECK(parts(long_list).size() <= 32);
}

TEST_CASE(
    "a response is authentic only with x-seal and without content encoding") {
  const auto edge = MakeEdge();
  http::Response response;
  response.fields = {{"x-seal", "s"}, {"content-type", "text/event-stream"}};
  CHECK(edge.read_head(response).authentic);
  CHECK(edge.read_head(response).event_stream);
  response.fields.push_back({"content-encoding", "gzip"});
  CHECK_FALSE(edge.read_head(response).authentic);
  response.fields = {{"x-not-run", "1"}, {"at-server", "i9"}};
  response.status = 503;
  CHECK(edge.read_head(response).reported_not_run);
  CHECK(edge.read_head(response).at_fault == "i9");
  response.status = 421;
  response.fields.clear();
  CHECK(edge.read_head(response).misdirected);
}

TEST_CASE("only failures of requests that did not run carry retry-after") {
  const auto edge = MakeEdge();
  const auto refused =
      edge.write_failure(Errc::kDraining, milliseconds(250), "r");
  CHECK(refused.status == 503);
  CHECK(http::FieldValue(refused.fields, "retry-after") == "0.250");
  const auto quarantined = edge.write_failure(Errc::kQuarantined, {}, "r");
  CHECK(quarantined.status == 503);
  CHECK_FALSE(http::HasField(quarantined.fields, "retry-after"));
  const auto failed = edge.write_failure(Errc::kTargetFailed, {}, "r");
  CHECK(failed.status == 502);
  CHECK_FALSE(http::HasField(failed.fields, "retry-after"));
}

TEST_CASE(
    "a target's leaving state and back-off are parsed from its response") {
  const auto edge = MakeEdge();
  const auto read = [&edge](int status, http::Fields fields) {
    http::Response response;
    response.status = status;
    response.fields = std::move(fields);
    return edge.read_head(response);
  };
  for (const int status : {200, 421, 500, 503}) {
    CHECK(read(status, {{"server-leaving", "1"}}).leaving);
    CHECK_FALSE(read(status, {{"server-leaving", "0"}}).leaving);
    CHECK_FALSE(read(status, {}).leaving);
  }
  struct Case {
    const char* text;
    std::optional<Duration> back_off;
  };
  for (const Case& given :
       std::vector<Case>{{"2", seconds(2)},
                         {"0.25", milliseconds(250)},
                         {"1.5 ", milliseconds(1500)},
                         {"0", Duration::zero()},
                         {"1e99", kMaxBackOff},
                         {"99999999999999999999", kMaxBackOff},
                         {"-1", std::nullopt},
                         {"nan", std::nullopt},
                         {"inf", std::nullopt},
                         {"", std::nullopt},
                         {"2 seconds", std::nullopt},
                         {"soon", std::nullopt},
                         {"Sun, 06 Nov 1994 08:49:37 GMT", Duration::zero()}}) {
    CAPTURE(given.text);
    const auto head = read(503, {{"retry-after", given.text}});
    CHECK(head.back_off == given.back_off);
    CHECK(head.back_off_unreadable == !given.back_off);
    // Only a response that refuses the request sets a back-off.
    CHECK_FALSE(read(500, {{"retry-after", given.text}}).back_off);
  }
  const auto later = std::time(nullptr) + 60;
  char date[64];
  std::strftime(date, sizeof(date), "%a, %d %b %Y %T GMT", std::gmtime(&later));
  const auto at = read(503, {{"retry-after", date}}).back_off;
  REQUIRE(at);
  CHECK(*at > seconds(50));
  CHECK(*at <= seconds(60));
  const auto several = read(
      503, {{"retry-after", "3"}, {"retry-after", "x"}, {"retry-after", "1"}});
  CHECK(several.back_off == seconds(3));
  CHECK(several.back_off_unreadable);
}

TEST_CASE("a target's rate limit is parsed from every response") {
  const auto edge = MakeEdge();
  const auto read = [&edge](int status, http::Fields fields) {
    http::Response response;
    response.status = status;
    response.fields = std::move(fields);
    return edge.read_head(response);
  };
  for (const int status : {200, 202, 409, 421, 429, 500, 503}) {
    CAPTURE(status);
    CHECK(read(status, {{"server-limit", "1.5"}}).rate_limit == 1.5);
    CHECK_FALSE(read(status, {}).rate_limit);
    CHECK_FALSE(read(status, {}).rate_limit_unreadable);
  }
  struct Case {
    const char* text;
    std::optional<double> limit;
  };
  for (const Case& given : std::vector<Case>{{"0", 0.0},
                                             {"0.2", 0.2},
                                             {"1", 1.0},
                                             {"1.5 ", 1.5},
                                             {"1000000", 1e6},
                                             {"99999999999", kMaxLimit},
                                             {"-1", std::nullopt},
                                             {"-0", std::nullopt},
                                             {"1e3", std::nullopt},
                                             {"nan", std::nullopt},
                                             {"inf", std::nullopt},
                                             {"", std::nullopt},
                                             {"2 a second", std::nullopt},
                                             {"few", std::nullopt}}) {
    CAPTURE(given.text);
    const auto head = read(200, {{"server-limit", given.text}});
    CHECK(head.rate_limit == given.limit);
    CHECK(head.rate_limit_unreadable == !given.limit);
  }
  const auto several = read(
      200,
      {{"server-limit", "3"}, {"server-limit", "x"}, {"server-limit", "1"}});
  CHECK(several.rate_limit == 1.0);
  CHECK(several.rate_limit_unreadable);
  const auto all = read(
      503,
      {{"server-limit", "2"}, {"server-leaving", "1"}, {"retry-after", "3"}});
  CHECK(all.rate_limit == 2.0);
  CHECK(all.leaving);
  CHECK(all.back_off == seconds(3));
}
