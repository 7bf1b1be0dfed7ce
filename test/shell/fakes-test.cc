// The stand-ins keep the contracts of docs/TARGET-API.md and PLATFORM-API.md.
#include <doctest/doctest.h>

#include <future>
#include <sstream>

#include "fakes/fake-engine.h"
#include "fakes/fake-platform.h"
#include "fakes/fake-service.h"

namespace fakes = comfreyflow::fakes;
using fakes::Fetch;
using fakes::Json;

namespace {

fakes::FakeEngineSettings Fast() {
  fakes::FakeEngineSettings settings;
  settings.speed = 1000;
  settings.cache.event_delay = {};
  settings.cache.event_gap = 0;
  settings.restart_time = std::chrono::milliseconds(50);
  return settings;
}

Json Prompt(std::uint32_t max_tokens) {
  return {{"model", "bento-llm"},
          {"prompt", "Rice, twelve crates, Kokura."},
          {"max_tokens", max_tokens},
          {"stream", true}};
}

fakes::FetchAnswer Ask(const std::string& address, const Json& body,
                       const std::string& id) {
  return Fetch(address, "POST", "/v1/completions", body.dump(),
               {{"x-attempt-id", id}});
}

/// Joins the text of a stream's events at their offsets, from `at` on; empty
/// when there is a gap or no end.
std::string Join(const std::string& stream, std::size_t at = 0) {
  std::string text;
  std::istringstream lines(stream);
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind("data: ", 0) != 0) continue;
    const Json event = Json::parse(line.substr(6));
    if (event.contains("error")) return "";
    const std::size_t offset = event["offset"];
    if (event.value("done", false)) {
      return offset == at + text.size() ? text : "";
    }
    if (offset == at + text.size()) text += event["text"].get<std::string>();
  }
  return "";
}

}  // namespace

TEST_CASE("an engine gives the whole answer, and the rest from any offset") {
  fakes::FakeEngine engine(Fast());
  const Json body = Prompt(40);
  const std::string whole = fakes::FakeAnswer(body).Whole();
  CHECK(Join(Ask(engine.address(), body, "a").body) == whole);
  for (const std::size_t offset :
       {std::size_t{1}, std::size_t{77}, whole.size() - 1}) {
    Json rest = body;
    rest["offset"] = offset;
    const auto answer = Ask(engine.address(), rest, "b");
    CHECK(Join(answer.body, offset) == whole.substr(offset));
  }
  Json past = body;
  past["offset"] = whole.size() + 1;
  CHECK(Ask(engine.address(), past, "c").status == 416);
  CHECK(engine.Attempts().empty());
}

TEST_CASE("an engine holds memory until an attempt is cancelled") {
  fakes::FakeEngineSettings settings = Fast();
  settings.speed = 0.001;
  fakes::FakeEngine engine(settings);
  auto stream = std::async(std::launch::async, [&] {
    return Ask(engine.address(), Prompt(40), "held").body;
  });
  while (engine.Attempts().empty()) std::this_thread::yield();
  CHECK(Ask(engine.address(), Prompt(40), "held").status == 409);
  const std::string cancel = "/v1/attempts/held/cancel";
  const auto first = Fetch(engine.address(), "POST", cancel);
  CHECK(Json::parse(first.body)["cancelled"] == true);
  const auto again = Fetch(engine.address(), "POST", cancel);
  CHECK(Json::parse(again.body)["cancelled"] == false);
  CHECK(stream.get().find("cancelled") != std::string::npos);
  CHECK(engine.Attempts().empty());
}

TEST_CASE("an engine caches prefixes by salt and tells of them") {
  fakes::FakeEngine engine(Fast());
  Json body = Prompt(4);
  body["prompt"] = std::string(4096, 'x');
  body["prefix"] = {"00000000000000aa", "00000000000000bb"};
  body["cache_salt"] = "1";
  const auto cached = [&](const char* id) {
    const std::string text = Ask(engine.address(), body, id).body;
    return text.find("\"cached_tokens\":512") != std::string::npos;
  };
  CHECK_FALSE(cached("a"));
  CHECK(cached("b"));
  body["cache_salt"] = "2";
  CHECK_FALSE(cached("c"));
  const auto events =
      Fetch(engine.address(), "GET", "/v1/cache/events?since=2");
  CHECK(Json::parse(events.body)["events"].size() == 2);
  CHECK(Json::parse(events.body)["next"] == 4);
}

TEST_CASE("a marked prompt kills the engine, which comes back empty") {
  fakes::FakeEngine engine(Fast());
  const auto epoch = [&] {
    fakes::FetchAnswer answer;
    while (answer.status != 200) {
      answer = Fetch(engine.address(), "GET", "/v1/attempts");
    }
    return Json::parse(answer.body)["epoch"].get<std::uint64_t>();
  };
  const std::uint64_t before = epoch();
  Json body = Prompt(4);
  body["prompt"] = "[[crash]]";
  CHECK(Join(Ask(engine.address(), body, "a").body).empty());
  CHECK(epoch() > before);
  CHECK_FALSE(Join(Ask(engine.address(), Prompt(4), "b").body).empty());
}

TEST_CASE("an engine refuses old fencing numbers only when it checks them") {
  for (const bool checks : {true, false}) {
    fakes::FakeEngineSettings settings = Fast();
    settings.checks_fence = checks;
    fakes::FakeEngine engine(settings);
    Json order = {{"fence", 7}, {"kind", "role"}, {"role", "long"}};
    const auto send = [&] {
      return Fetch(engine.address(), "POST", "/v1/orders", order.dump()).status;
    };
    CHECK(send() == 202);
    order["fence"] = 6;
    CHECK(send() == (checks ? 409 : 202));
  }
}

TEST_CASE("a plain service counts runs, also those whose answer is lost") {
  fakes::FakeService service;
  const auto pay = [&] {
    return Fetch(service.address(), "POST", "/pay", "{}",
                 {{"idempotency-key", "k"}})
        .status;
  };
  service.SetFaults({{"refuse", 1}});
  CHECK(pay() == 503);
  service.SetFaults({{"lose_answers", 1}});
  CHECK(pay() == 0);
  CHECK(pay() == 200);
  CHECK(service.Runs()["runs"]["k"] == 2);
}

TEST_CASE("the platform's writes are conditional and its watches wake") {
  fakes::FakePlatform platform;
  const std::string path = "/objects/config/trial";
  const auto put = [&](const char* value, const char* header,
                       const char* condition) {
    return Fetch(platform.address(), "PUT", path, Json{{"value", value}}.dump(),
                 {{header, condition}});
  };
  CHECK(put("a", "if-none-match", "*").status == 200);
  CHECK(put("b", "if-none-match", "*").status == 409);
  CHECK(put("b", "if-match", "9").status == 409);
  auto watch = std::async(std::launch::async, [&] {
    return Fetch(platform.address(), "GET", "/watch/config?since=1").body;
  });
  platform.SetFaults({{"lose_answers", 1}});
  CHECK(put("b", "if-match", "1").status == 0);
  const Json changes = Json::parse(watch.get())["changes"];
  REQUIRE(changes.size() == 1);
  CHECK(changes[0]["value"] == "b");
  platform.SetFaults({{"lose_requests", 1}});
  CHECK(put("c", "if-match", "2").status == 0);
  const auto read = Fetch(platform.address(), "GET", path);
  CHECK(Json::parse(read.body) == Json{{"version", 2}, {"value", "b"}});
  platform.SetFaults({{"outage", true}});
  CHECK(Fetch(platform.address(), "GET", path).status == 503);
}

TEST_CASE("the platform gives versions out again after it came from a copy") {
  fakes::FakePlatform platform;
  const std::string path = "/objects/claims/slot";
  const auto create = [&](const std::string& name) {
    return Fetch(platform.address(), "PUT", path + name, R"({"value":"x"})",
                 {{"if-none-match", "*"}});
  };
  CHECK(create("1").status == 200);
  platform.SetFaults({{"keep_copy", true}});
  CHECK(Json::parse(create("2").body)["version"] == 2);
  CHECK(create("2").status == 409);
  platform.SetFaults({{"restore_copy", true}});
  CHECK(Fetch(platform.address(), "GET", path + "1").status == 200);
  CHECK(Fetch(platform.address(), "GET", path + "2").status == 404);
  CHECK(Fetch(platform.address(), "GET", "/watch/claims?since=2").status ==
        410);
  // What was acknowledged before is granted to another writer.
  CHECK(Json::parse(create("2").body)["version"] == 2);
}
