// Targets that name the requests a second that they take from all hosts.
#include <doctest/doctest.h>

#include <vector>

#include "platform/two-targets.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)

namespace {

constexpr double kLimit = 0.5;
using Clock = std::chrono::steady_clock;

/// Requests that reach the first target while `calls` go to the hosts in turn,
/// over what its limit allows in that time.
double OverLimit(TwoTargets& two, const std::vector<std::size_t>& hosts,
                 double limit, int calls) {
  const auto before = two.first.requests().size();
  const auto begin = Clock::now();
  for (int i = 0; i < calls; ++i) {
    const auto host = hosts[static_cast<std::size_t>(i) % hosts.size()];
    two.site.Call(host, "GET", "/safe/1");
  }
  const std::chrono::duration<double> passed = Clock::now() - begin;
  const auto got = static_cast<double>(two.first.requests().size() - before);
  return got - limit * passed.count();
}

}  // namespace

TEST_CASE("all hosts together send a target no more than the limit it named") {
  TwoTargets two;
  const auto other = two.site.AddHost();
  REQUIRE(two.site.UntilReady(other));
  two.first.OnRequest(Says(two.first, "server-limit", "0.5"));
  two.UntilFirstAsked();
  // One request that may go at once, and one on its way.
  CHECK(OverLimit(two, {two.host, other}, kLimit, 80) <= 2);
  CHECK(two.Metric("comfreyflow_targets_limited") == "1");
}

TEST_CASE("a refusal, a failure and a word on leaving name limits as well") {
  for (const int status : {503, 500}) {
    CAPTURE(status);
    TwoTargets two;
    two.first.OnRequest(Says(two.first, "server-limit", "0.5", status));
    two.UntilFirstAsked();
    CHECK(two.Metric("comfreyflow_targets_limited") == "1");
    two.first.OnRequest(Says(two.first, "server-limit", "0.5"));
    CHECK(OverLimit(two, {two.host}, kLimit, 60) <= 2);
  }
}

TEST_CASE("a stream's head names a limit, not the stream's end") {
  TwoTargets two("model");
  std::vector<http::ExchangePtr> open;
  for (FakeTarget* target : {&two.first, &two.second}) {
    target->OnRequest([target, &open](const http::ExchangePtr& exchange) {
      http::Response head = target->Head(exchange->request());
      head.content_type = "text/event-stream";
      head.fields.push_back({"server-limit", "0.1"});
      exchange->StartStream(std::move(head));
      FakeTarget::WriteEvents(exchange, 1, 1);
      open.push_back(exchange);
    });
  }
  const http::Fields tokens = {{"x-token-count", "2000,100"}};
  for (const char* path : {"/stream/1", "/stream/2"}) {
    const auto before = open.size();
    two.site.Send(two.host, "POST", path, tokens);
    REQUIRE(two.site.Until([&] { return open.size() > before; }));
    const auto known = std::to_string(open.size());
    REQUIRE(two.site.Until(
        [&] { return two.Metric("comfreyflow_targets_limited") == known; }));
  }
  // The one that was packed first got nothing more.
  CHECK(two.first.requests().size() == 1);
  CHECK(two.second.requests().size() == 1);
}

TEST_CASE("a limit is over with an answer that names none") {
  TwoTargets two;
  const auto other = two.site.AddHost();
  REQUIRE(two.site.UntilReady(other));
  two.first.OnRequest(Says(two.first, "server-limit", "2"));
  two.UntilFirstAsked();
  two.first.OnRequest(Sound(two.first));
  two.UntilFirstAsked();
  CHECK(two.site.Until([&] {
    return two.Metric("comfreyflow_targets_limited") == "0" &&
           two.Metric(other, "comfreyflow_targets_limited") == "0";
  }));
  CHECK(OverLimit(two, {two.host, other}, 2, 60) > 20);
}

TEST_CASE("hosts that did not ask hear of a limit from the one that grants") {
  TwoTargets two;
  const auto other = two.site.AddHost();
  REQUIRE(two.site.UntilReady(other));
  two.first.OnRequest(Says(two.first, "server-limit", "0.5"));
  two.UntilFirstAsked();
  CHECK(two.site.Until(
      [&] { return two.Metric(other, "comfreyflow_targets_limited") == "1"; }));
}

TEST_CASE(
    "a request whose turn comes too late is refused with the time of it") {
  TwoTargets two;
  for (FakeTarget* target : {&two.first, &two.second}) {
    target->OnRequest(Says(*target, "server-limit", "0.02"));
  }
  two.UntilFirstAsked();
  // Until both have named their limits.
  REQUIRE(two.site.Until([&] {
    return two.site.Call(two.host, "POST", "/unsafe/1").response.status == 503;
  }));
  const Answer answer = two.site.Call(two.host, "POST", "/unsafe/1");
  CHECK(answer.response.status == 503);
  CHECK(answer.response.body.find("targets_limited") != std::string::npos);
  const auto after = std::stod(
      std::string(http::FieldValue(answer.response.fields, "retry-after")));
  CHECK(after > 20);
  CHECK(after <= 50);
  CHECK(two.first.requests().size() == 1);
  CHECK(two.second.requests().size() == 1);
}

TEST_CASE("a limit that can't be read limits nothing and ends nothing") {
  TwoTargets two;
  two.first.OnRequest(Says(two.first, "server-limit", "few"));
  two.UntilFirstAsked();
  two.UntilFirstAsked();
  CHECK(two.Metric("comfreyflow_targets_limited") == "0");
  two.first.OnRequest(Says(two.first, "server-limit", "2"));
  two.UntilFirstAsked();
  two.first.OnRequest(Says(two.first, "server-limit", "few"));
  two.UntilFirstAsked();
  CHECK(two.Metric("comfreyflow_targets_limited") == "1");
}

TEST_CASE("a later start of a target is not bound by the earlier one's limit") {
  TwoTargets two;
  two.first.OnRequest(Says(two.first, "server-limit", "0.02"));
  two.UntilFirstAsked();
  two.first.OnRequest(Sound(two.first));
  List(two.site, "app", two.first, kBorn + 1, 1);
  two.UntilFirstAsked();
  two.UntilFirstAsked();
}

TEST_CASE("a target that answers at another's address names its own limit") {
  TwoTargets two;
  two.first.OnRequest([&two](const http::ExchangePtr& exchange) {
    http::Response answer = two.first.Head(exchange->request(), 421);
    answer.fields.push_back({"server-limit", "0.5"});
    answer.fields.push_back({"at-server", "nobody"});
    exchange->Respond(std::move(answer));
  });
  two.UntilFirstAsked();
  CHECK(two.Metric("comfreyflow_targets_limited") == "0");
}

TEST_CASE("after a pause a request finds the turn that nobody took") {
  TwoTargets two;
  for (FakeTarget* target : {&two.first, &two.second}) {
    target->OnRequest(Says(*target, "server-limit", "0.5"));
  }
  REQUIRE(two.site.Until([&] {
    two.site.Call(two.host, "POST", "/unsafe/1", {{"x-deadline-ms", "400"}});
    return two.Metric("comfreyflow_targets_limited") == "2";
  }));
  // Longer than a turn, and than a placer counts as asked.
  const auto since = Clock::now();
  two.site.Until(
      [&] { return Clock::now() - since > std::chrono::seconds(5); });
  const Answer answer =
      two.site.Call(two.host, "POST", "/unsafe/1", {{"x-deadline-ms", "400"}});
  CHECK(answer.response.status == 200);
}

TEST_CASE("an answer to an order about memory names a limit as well") {
  Site site;
  for (int i = 1; i < 14; ++i) {
    site.AddTarget("model", "i" + std::to_string(i))
        .SetOrderFields({{"server-limit", "2"}});
  }
  site.PutConfig(1, [](nlohmann::json& config) {
    config["Services"][1]["Engine"]["KvTokens"] = 60000;
  });
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  site.Send(host, "POST", "/stream/1", {{"x-token-count", "90000,100"}});
  CHECK(site.Until(
      [&] { return site.Metric(host, "comfreyflow_targets_limited") == "1"; }));
}
