// Failures between a caller and its whole answer, with hosts and stand-ins on
// loopback.
#include <doctest/doctest.h>

#include <optional>

#include "fakes/fake-platform.h"
#include "shell/host-fixture.h"

using namespace comfreyflow;        // NOLINT(google-build-using-namespace)
using namespace comfreyflow::test;  // NOLINT(google-build-using-namespace)

namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;

const std::string kPath = "/v1/completions";

/// Two engines, a plain service and hosts that share a document.
struct Fleet {
  explicit Fleet(double speed)
      : first(Engine(speed)),
        second(Engine(speed)),
        file(ConfigText({first.address(), second.address()},
                        service.address())) {}

  static fakes::FakeEngineSettings Engine(double speed) {
    fakes::FakeEngineSettings settings;
    settings.speed = speed;
    return settings;
  }

  HostSettings MakeSettings(const std::string& name) const {
    HostSettings settings = Settings(name);
    settings.config_file = file.path();
    settings.silence_limit = std::chrono::milliseconds(1500);
    settings.address_life = std::chrono::milliseconds(100);
    return settings;
  }

  fakes::FakeEngine& busy() {
    return first.Attempts().empty() ? second : first;
  }
  std::size_t attempts() {
    return first.Attempts().size() + second.Attempts().size();
  }

  fakes::FakeEngine first;
  fakes::FakeEngine second;
  fakes::FakeService service;
  TempFile file;
};

std::string StreamRequest(const std::string& body, const Fields& more = {},
                          const std::string& path = kPath) {
  Fields fields = {{"authorization", Bearer(kAccountKey)}};
  fields.insert(fields.end(), more.begin(), more.end());
  return RequestText("POST", path, fields, body);
}

std::string HeaderOf(const std::string& text, const std::string& name) {
  const auto at = text.find(name + ": ");
  if (at == std::string::npos) return {};
  const auto begin = at + name.size() + 2;
  return text.substr(begin, text.find("\r\n", begin) - begin);
}

/// Sends a long stream and reads until its answer has begun.
struct OpenStreamCaller {
  OpenStreamCaller(const std::string& address, const std::string& body)
      : caller(address) {
    caller.Send(StreamRequest(body));
    begun = caller.ReadUntil("data: {");
  }
  RawCaller caller;
  std::string begun;
};

/// Waits until `done` holds; the test's own limit of time ends a wait in vain.
template <class Condition>
void WaitFor(Condition done) {
  while (!done()) std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

}  // namespace

TEST_CASE("an engine that dies in mid-stream costs its caller nothing") {
  Fleet fleet(1);
  TestHost host(fleet.MakeSettings("h1"));
  const std::string body = Prompt("a long plan", 150, true);
  OpenStreamCaller stream(host.callers(), body);
  fleet.busy().SetFaults({{"crash", true}});
  const std::string all = stream.caller.ReadAll();
  CHECK(StreamText(all) == WholeText(body));
  CHECK(all.find("data: [DONE]") != std::string::npos);
  CHECK(all.find(": resume ") != std::string::npos);
}

TEST_CASE("a silent connection is given up for another target") {
  Fleet fleet(1);
  TestHost host(fleet.MakeSettings("h1"));
  const std::string body = Prompt("another long plan", 150, true);
  OpenStreamCaller stream(host.callers(), body);
  fleet.busy().SetFaults({{"silence", true}});
  const std::string all = stream.caller.ReadAll();
  CHECK(StreamText(all) == WholeText(body));
  CHECK(all.find("data: [DONE]") != std::string::npos);
}

TEST_CASE("an engine's pause ends a request that may not be sent again") {
  Fleet fleet(1);
  fakes::FakePlatform platform;
  HostSettings settings = fleet.MakeSettings("h1");
  settings.platform = platform.address();
  TestHost host(settings);
  const std::string body = Prompt("a plan to run once", 150, true);
  RawCaller caller(host.callers());
  caller.Send(StreamRequest(
      body, {{"x-repeatable", "false"}, {"idempotency-key", "k1"}}));
  caller.ReadUntil("data: {");
  fleet.busy().SetFaults({{"freeze_ms", 2'500}});
  const std::string all = caller.ReadAll();
  CHECK(StreamText(all) == WholeText(body));
  CHECK(all.find("data: [DONE]") != std::string::npos);
}

TEST_CASE("repeated and missing chunks do not reach the caller") {
  Fleet fleet(10);
  for (auto* engine : {&fleet.first, &fleet.second}) {
    engine->SetFaults({{"seed", 7}, {"repeat_chunk", 0.3}});
  }
  TestHost host(fleet.MakeSettings("h1"));
  const std::string body = Prompt("a plan with echoes", 100, true);
  const auto answer = Ask(host.callers(), StreamRequest(body));
  CHECK(StreamText(answer.body) == WholeText(body));
  fleet.first.SetFaults({{"repeat_chunk", 0.0}, {"drop_chunk", 0.1}});
  const std::string other = Prompt("a plan with gaps", 100, true);
  const auto again = Ask(host.callers(), StreamRequest(other));
  CHECK(StreamText(again.body) == WholeText(other));
}

TEST_CASE("when the caller goes, the engine's memory is free again") {
  Fleet fleet(1);
  TestHost host(fleet.MakeSettings("h1"));
  {
    OpenStreamCaller stream(host.callers(), Prompt("never read", 5000, true));
    CHECK(fleet.attempts() == 1);
    stream.caller.Close();
  }
  WaitFor([&fleet] { return fleet.attempts() == 0; });
  CHECK(fleet.attempts() == 0);
}

TEST_CASE("a caller whose host died continues at another host") {
  Fleet fleet(1);
  std::optional<TestHost> first(std::in_place, fleet.MakeSettings("h1"));
  TestHost second(fleet.MakeSettings("h2"));
  const std::string body = Prompt("a steward's summary", 300, true);
  OpenStreamCaller stream(first->callers(), body);
  first.reset();
  const std::string lost = stream.caller.ReadAll();
  CHECK(lost.find("[DONE]") == std::string::npos);
  const std::string begun = StreamText(lost);
  const std::string token = HeaderOf(lost, "x-resume-token");
  REQUIRE_FALSE(token.empty());
  const auto rest =
      Ask(second.callers(),
          StreamRequest(body,
                        {{"x-resume-token", token},
                         {"x-resume-offset", std::to_string(begun.size())}},
                        "/v1/resume"));
  CHECK(rest.status == 200);
  CHECK(begun + StreamText(rest.body) == WholeText(body));
  const auto forged =
      Ask(second.callers(),
          StreamRequest(Prompt("another body", 300, true),
                        {{"x-resume-token", token}, {"x-resume-offset", "0"}},
                        "/v1/resume"));
  CHECK(forged.body.find("resume_token_invalid") != std::string::npos);
}

TEST_CASE("a planned stop cuts no stream") {
  Fleet fleet(1);
  TestHost host(fleet.MakeSettings("h1"));
  const std::string body = Prompt("the last one", 400, true);
  OpenStreamCaller stream(host.callers(), body);
  host.node().Drain();
  const std::string all = stream.caller.ReadAll();
  CHECK(StreamText(all) == WholeText(body));
  CHECK(host.WaitForExit() == 0);
}

TEST_CASE("a call that is not repeatable runs once, however often it is sent") {
  Fleet fleet(1);
  fakes::FakePlatform platform;
  HostSettings settings = fleet.MakeSettings("h1");
  settings.platform = platform.address();
  TestHost host(settings);
  const auto send = [&host](const std::string& key, const std::string& body) {
    return Ask(host.callers(),
               RequestText("POST", "/services/rounds/orders",
                           {{"authorization", Bearer(kAccountKey)},
                            {"idempotency-key", key}},
                           body));
  };
  CHECK(send("k1", "order 7").status == 200);
  CHECK(send("k1", "order 7").status == 409);
  CHECK(send("k1", "order 8").body.find("idempotency_key_reused") !=
        std::string::npos);
  fleet.service.SetFaults({{"lose_answers", 1}});
  const RawAnswer lost = send("k2", "order 9");
  CHECK(lost.status >= 500);
  CHECK(lost.body.find("\"outcome\":\"unknown\"") != std::string::npos);
  CHECK(send("k2", "order 9").status == 409);
  platform.SetFaults({{"lose_answers", 1}});
  CHECK(send("k3", "order 10").status == 200);
  platform.SetFaults({{"outage", true}});
  CHECK(send("k4", "order 11").body.find("store_unavailable") !=
        std::string::npos);
  const auto runs = fleet.service.Runs();
  CHECK(runs.at("runs").at("k1") == 1);
  CHECK(runs.at("runs").at("k2") == 1);
  CHECK(runs.at("runs").at("k3") == 1);
  CHECK_FALSE(runs.at("runs").contains("k4"));
}
