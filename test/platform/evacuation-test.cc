// Hosts while operators take failure domains out of service and put them back.
// Guards against requests that reach a target of an evacuated domain, running
// work that is cut off there, and a domain that stays out of service.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <vector>

#include "node/log.h"
#include "platform/stand-ins.h"
#include "wire/codec.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

namespace {

/// `Bounds.EvacMs` of the deployments that have evacuations.
constexpr seconds kBound{5};
constexpr const char* kKind = "evacuations";
/// The domain of the hosts, whose targets they prefer.
constexpr const char* kNear = "z1";
constexpr const char* kFar = "z2";

/// Lines of the log about domains, as JSON, and a check that the table of
/// events has all their fields.
std::vector<json>& DomainLines() {
  static std::vector<json> lines;
  return lines;
}

const bool kTapped = [] {
  node::SetLogTap([](node::Event event, const std::string& line) {
    if (event != node::Event::kDomainEvacuated &&
        event != node::Event::kDomainRestored) {
      return;
    }
    const auto parsed = json::parse(line);
    for (auto at = parsed.begin(); at != parsed.end(); ++at) {
      const bool known =
          at.key() == "event" || node::HasField(node::SpecOf(event), at.key());
      CHECK_MESSAGE(known, "unknown field " << at.key());
    }
    DomainLines().push_back(parsed);
  });
  return true;
}();

/// A plain service with one target in each of two domains.
struct Drill {
  explicit Drill(std::size_t hosts = 1) {
    DomainLines().clear();
    site.SetEvacuationTime(kBound);
    site.ListIn(kNear, "app", near);
    site.ListIn(kFar, "app", far);
    site.PutConfig(5);
    for (std::size_t i = 0; i < hosts; ++i) site.AddHost();
    for (std::size_t i = 0; i < hosts; ++i) REQUIRE(site.UntilReady(i));
    // By then the hosts know each other.
    if (hosts > 1) Wait(milliseconds(600));
  }

  void Evacuate(const std::string& domain) {
    site.store().Put(kKind, domain, json::object());
    evacuated_at = Clock::now();
  }
  void Wait(milliseconds time) {
    const auto end = Clock::now() + time;
    site.Until([end] { return Clock::now() > end; });
  }
  /// Sends requests and returns how many of them the target ran.
  std::size_t RunsOf(const FakeTarget& target, std::size_t host = 0) {
    constexpr int kRequests = 12;
    const std::size_t before = target.requests().size();
    for (int i = 0; i < kRequests; ++i) site.Call(host, "GET", "/safe/x");
    return target.requests().size() - before;
  }
  /// Sends requests until the host knows so many evacuated domains; whether it
  /// did within the bound.
  bool UntilKnown(std::size_t domains, std::size_t host = 0) {
    const std::string wanted = std::to_string(domains);
    const bool known = site.Until([&] {
      site.Call(host, "GET", "/safe/x");
      return site.Metric(host, "comfreyflow_domains_evacuated") == wanted;
    });
    return known && Clock::now() - evacuated_at < kBound;
  }
  /// Whether the host uses the target again.
  bool UntilUsed(const FakeTarget& target, std::size_t host = 0) {
    return site.Until([&] { return RunsOf(target, host) > 0; });
  }

  Site site;
  FakeTarget& near = site.AddTarget("app", "i1");
  FakeTarget& far = site.AddTarget("app", "i2");
  Clock::time_point evacuated_at;
};

}  // namespace

TEST_CASE("a request reaches a domain after it was evacuated in the store") {
  Drill drill;
  CHECK(drill.RunsOf(drill.near) > 0);
  drill.Evacuate(kNear);
  REQUIRE(drill.UntilKnown(1));
  CHECK(drill.RunsOf(drill.near) == 0);
  CHECK(drill.RunsOf(drill.far) == 12);
  drill.site.store().Remove(kKind, kNear);
  CHECK(drill.UntilUsed(drill.near));
  REQUIRE(DomainLines().size() == 2);
  CHECK(DomainLines()[0]["event"] == "domain_evacuated");
  CHECK(DomainLines()[0]["failure_domain"] == kNear);
  CHECK(DomainLines()[0]["targets"] == 1);
  CHECK(DomainLines()[1]["event"] == "domain_restored");
}

TEST_CASE("a host without the store sends to a domain that peers know of") {
  Drill drill(2);
  drill.site.SetStorePath(1, false);
  drill.Wait(milliseconds(300));
  drill.Evacuate(kNear);
  REQUIRE(drill.UntilKnown(1, 1));
  CHECK(drill.RunsOf(drill.near, 1) == 0);
  drill.site.store().Remove(kKind, kNear);
  CHECK(drill.UntilUsed(drill.near, 1));
}

TEST_CASE("a watch that went silent hides an evacuation") {
  Drill drill;
  drill.site.store().LoseWatches();
  drill.Evacuate(kNear);
  REQUIRE(drill.UntilKnown(1));
  CHECK(drill.RunsOf(drill.near) == 0);
}

TEST_CASE("a host that starts sends to a domain before it knows evacuations") {
  Drill drill;
  drill.Evacuate(kNear);
  REQUIRE(drill.UntilKnown(1));
  const std::size_t before = drill.near.requests().size();
  std::vector<std::shared_ptr<Answer>> answers;
  const auto started = drill.site.AddHost();
  // Callers use a host's address again before it is ready.
  bool ready = false;
  REQUIRE(drill.site.Until([&] {
    answers.push_back(drill.site.Send(started, "GET", "/safe/x"));
    drill.Wait(milliseconds(10));
    ready = drill.site.Get(drill.site.settings(started).readiness, "/readyz")
                .response.status == 200;
    return ready;
  }));
  CHECK(drill.RunsOf(drill.near, started) == 0);
  REQUIRE(drill.site.Until([&] {
    return std::all_of(answers.begin(), answers.end(),
                       [](const auto& answer) { return answer->ended; });
  }));
  CHECK(drill.near.requests().size() == before);
  // Zero would tell the operator that no target names the domain.
  const json& line = DomainLines().back();
  CHECK(line.value("targets", 1) == 1);
}

TEST_CASE("a host that starts sends although nobody tells what is evacuated") {
  Drill drill(0);
  drill.site.store().SetKindDown(kKind, true);
  const auto host = drill.site.AddHost();
  drill.Wait(milliseconds(1500));
  const Answer answer = drill.site.Call(host, "GET", "/safe/x");
  CHECK(answer.response.status == 503);
  CHECK(drill.site.Get(drill.site.settings(host).readiness, "/readyz")
            .response.status == 503);
  CHECK(drill.near.requests().empty());
  CHECK(drill.far.requests().empty());
  drill.site.store().SetKindDown(kKind, false);
  REQUIRE(drill.site.UntilReady(host));
  CHECK(drill.RunsOf(drill.near, host) == 12);
}

TEST_CASE("a host that starts uses grants before it knows what is evacuated") {
  // The other host, which grants, has settings without a bound.
  Site site;
  FakeTarget& target = site.AddTarget("app", "i1");
  site.PutConfig(5);
  site.AddHost();
  REQUIRE(site.UntilReady(0));
  // Without a list of its own the host can't tell that a target was removed.
  for (const char* kind : {kKind, "servers"})
    site.store().SetKindDown(kind, true);
  site.SetEvacuationTime(kBound);
  const auto started = site.AddHost();
  for (int i = 0; i < 30; ++i) {
    const Answer answer = site.Call(started, "GET", "/safe/x");
    if (answer.response.status == 0) continue;  // It does not listen yet.
    CHECK(answer.response.status == 503);
    const auto end = Clock::now() + milliseconds(40);
    site.Until([end] { return Clock::now() > end; });
  }
  CHECK(target.requests().empty());
  for (const char* kind : {kKind, "servers"})
    site.store().SetKindDown(kind, false);
  REQUIRE(site.UntilReady(started));
  CHECK(site.Call(started, "GET", "/safe/x").response.status == 200);
}

TEST_CASE("a host that starts waits for the store although a peer has told") {
  Drill drill;
  drill.site.store().SetKindDown(kKind, true);
  const auto started = drill.site.AddHost();
  REQUIRE(drill.site.UntilReady(started));
  CHECK(drill.RunsOf(drill.near, started) == 12);
}

TEST_CASE("a stream that runs in a domain is cut off by its evacuation") {
  Drill drill;
  FakeTarget& engine = drill.site.AddTarget("model", "m1");
  drill.site.ListIn(kNear, "model", engine);
  http::ExchangePtr stream;
  engine.OnRequest([&](const http::ExchangePtr& exchange) {
    http::Response head = engine.Head(exchange->request());
    head.content_type = "text/event-stream";
    exchange->StartStream(std::move(head));
    FakeTarget::WriteEvents(exchange, 1, 2);
    stream = exchange;
  });
  const auto answer =
      drill.site.Send(0, "POST", "/stream/1", {{"x-token-count", "2000,100"}});
  REQUIRE(drill.site.Until([&] { return stream != nullptr; }));
  drill.Evacuate(kNear);
  REQUIRE(drill.UntilKnown(1));
  drill.Wait(milliseconds(200));
  CHECK_FALSE(answer->ended);
  FakeTarget::WriteEvents(stream, 3, 2);
  stream->End();
  REQUIRE(drill.site.Until([&] { return answer->ended; }));
  CHECK(answer->whole);
  CHECK(answer->response.body.find("word4") != std::string::npos);
  CHECK(engine.requests().size() == 1);
}

TEST_CASE("a stream that broke off in a domain is resumed there") {
  Drill drill;
  FakeTarget& near = drill.site.AddTarget("model", "m1");
  FakeTarget& far = drill.site.AddTarget("model", "m2");
  drill.site.ListIn(kNear, "model", near);
  drill.site.ListIn(kFar, "model", far);
  http::ExchangePtr stream;
  for (FakeTarget* target : {&near, &far}) {
    target->OnRequest([&stream, target](const http::ExchangePtr& exchange) {
      const auto last =
          http::FieldValue(exchange->request().fields, "last-event-id");
      const int first = last.empty() ? 1 : std::stoi(std::string(last)) + 1;
      http::Response head = target->Head(exchange->request());
      head.content_type = "text/event-stream";
      exchange->StartStream(std::move(head));
      FakeTarget::WriteEvents(exchange, first, 2);
      stream = exchange;
    });
  }
  const auto answer =
      drill.site.Send(0, "POST", "/stream/1", {{"x-token-count", "2000,100"}});
  REQUIRE(drill.site.Until([&] { return stream != nullptr; }));
  FakeTarget& first = near.requests().empty() ? far : near;
  FakeTarget& other = near.requests().empty() ? near : far;
  drill.Evacuate(&first == &near ? kNear : kFar);
  REQUIRE(drill.UntilKnown(1));
  std::exchange(stream, nullptr)->Abort();
  REQUIRE(drill.site.Until([&] { return stream != nullptr; }));
  CHECK(first.requests().size() == 1);
  CHECK(other.requests().size() == 1);
  stream->End();
  REQUIRE(drill.site.Until([&] { return answer->ended; }));
  CHECK(answer->whole);
}

TEST_CASE("a host carries another host's request into an evacuated domain") {
  Drill drill;
  drill.Evacuate(kNear);
  REQUIRE(drill.UntilKnown(1));
  const HostSettings& settings = drill.site.settings(0);
  const auto carry = [&](const FakeTarget& target) {
    wire::CarryHead head;
    head.sender = "host9";
    head.request = "id1";
    head.service_name = "app";
    head.address = target.address();
    head.progress_ms = 1000;
    head.idle_limit_ms = 1000;
    head.method = "GET";
    head.target = "/safe/1";
    wire::CarriedField& field = head.fields.emplace_back();
    field.name = "x-target-instance";
    field.value = target.name();
    http::Request request;
    request.method = "POST";
    request.path = "/peer/carry";
    request.body =
        wire::EncodeCarry(head, "", {"comfreyflow " + settings.deployment});
    return drill.site.Fetch(
        settings.ip + ":" + std::to_string(settings.placement_port),
        std::move(request));
  };
  const std::size_t before = drill.near.requests().size();
  CHECK(http::FieldValue(carry(drill.near).response.fields, "carry-failed") ==
        "declined");
  CHECK(drill.near.requests().size() == before);
  CHECK(http::FieldValue(carry(drill.far).response.fields, "carried") == "1");
}

TEST_CASE("requests wait for their deadline while all domains are evacuated") {
  Drill drill;
  drill.Evacuate(kNear);
  drill.Evacuate(kFar);
  REQUIRE(drill.UntilKnown(2));
  const std::size_t before =
      drill.near.requests().size() + drill.far.requests().size();
  for (const char* path : {"/safe/1", "/unsafe/1"}) {
    const auto sent_at = Clock::now();
    const Answer answer = drill.site.Call(0, "POST", path);
    CHECK(Clock::now() - sent_at < milliseconds(150));
    CHECK(answer.response.status == 503);
    CHECK(json::parse(answer.response.body)["outcome"] == "not_run");
    const auto retry_after =
        http::FieldValue(answer.response.fields, "retry-after");
    REQUIRE_FALSE(retry_after.empty());
    CHECK(std::stod(std::string(retry_after)) > 0);
  }
  CHECK(drill.near.requests().size() + drill.far.requests().size() == before);
  drill.site.store().Remove(kKind, kFar);
  CHECK(drill.UntilUsed(drill.far));
}

TEST_CASE("an entry whose content cannot be read evacuates nothing") {
  Drill drill;
  for (const std::string text :
       {"null", "17", "[1, 2]", "\"\\ud800\"", "\"\"", "{\"a\": 1e999}"}) {
    CAPTURE(text);
    drill.site.store().PutText(kKind, kNear, text);
    drill.evacuated_at = Clock::now();
    REQUIRE(drill.UntilKnown(1));
    CHECK(drill.RunsOf(drill.near) == 0);
    drill.site.store().Remove(kKind, kNear);
    REQUIRE(drill.UntilKnown(0));
  }
}

TEST_CASE("an entry of an unknown domain stops requests") {
  Drill drill;
  drill.Evacuate("no-such-domain");
  REQUIRE(drill.UntilKnown(1));
  CHECK(drill.RunsOf(drill.near) > 0);
  REQUIRE(DomainLines().size() == 1);
  CHECK(DomainLines()[0]["targets"] == 0);
}

TEST_CASE("an entry without a name evacuates targets without a domain") {
  Drill drill(0);
  drill.site.ListIn("", "app", drill.near);
  drill.site.ListIn("", "app", drill.far);
  SUBCASE("listed") {
    drill.site.store().Put(kKind, "", json::object());
    drill.site.AddHost();
    REQUIRE(drill.site.UntilReady(0));
  }
  SUBCASE("watched") {
    drill.site.AddHost();
    REQUIRE(drill.site.UntilReady(0));
    drill.site.store().Put(kKind, "", json::object());
    drill.Evacuate("no-such-domain");
    REQUIRE(drill.UntilKnown(1));
  }
  CHECK(drill.site.Call(0, "GET", "/safe/x").response.status == 200);
}

TEST_CASE("settings without a bound make the host call for evacuations") {
  Site site;
  FakeTarget& target = site.AddTarget("app", "i1");
  site.ListIn(kNear, "app", target);
  site.PutConfig(5);
  site.store().Put(kKind, kNear, json::object());
  site.AddHost();
  site.AddHost();
  REQUIRE(site.UntilReady(0));
  REQUIRE(site.UntilReady(1));
  CHECK(site.Call(0, "GET", "/safe/x").response.status == 200);
  CHECK(site.store().calls(kKind) == 0);
  CHECK(site.Metric(0, "comfreyflow_domains_evacuated") == "absent");
}

TEST_CASE("a domain is put back while the store is unavailable") {
  Drill drill;
  drill.Evacuate(kNear);
  REQUIRE(drill.UntilKnown(1));
  drill.site.store().SetDown(true);
  drill.site.store().Remove(kKind, kNear);
  drill.Wait(milliseconds(1500));
  CHECK(drill.RunsOf(drill.near) == 0);
  drill.site.store().SetDown(false);
  CHECK(drill.UntilUsed(drill.near));
}

TEST_CASE("a domain is used again as an older copy of the store lacks it") {
  Drill drill;
  const auto copy = drill.site.store().TakeCopy();
  drill.Evacuate(kNear);
  REQUIRE(drill.UntilKnown(1));
  const std::size_t lists = drill.site.store().lists(kKind);
  drill.site.store().Restore(copy);
  REQUIRE(drill.site.Until(
      [&] { return drill.site.store().lists(kKind) > lists; }));
  drill.Wait(milliseconds(200));
  CHECK(drill.RunsOf(drill.near) == 0);
  // The operator's later word ends it at once.
  drill.Evacuate(kNear);
  drill.Wait(milliseconds(200));
  drill.site.store().Remove(kKind, kNear);
  CHECK(drill.UntilUsed(drill.near));
}

TEST_CASE("a domain is used although an older copy of the store evacuates it") {
  Drill drill;
  drill.Evacuate(kNear);
  REQUIRE(drill.UntilKnown(1));
  const auto copy = drill.site.store().TakeCopy();
  drill.site.store().Remove(kKind, kNear);
  REQUIRE(drill.UntilUsed(drill.near));
  drill.site.store().Restore(copy);
  drill.evacuated_at = Clock::now();
  REQUIRE(drill.UntilKnown(1));
  CHECK(drill.RunsOf(drill.near) == 0);
}
