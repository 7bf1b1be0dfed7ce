// What targets say of themselves in their answers: that they leave, and that
// they want nothing for a while.
#include <doctest/doctest.h>

#include "platform/two-targets.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {
const http::Fields kStreamFields = {{"x-token-count", "2000,100"}};
}  // namespace

TEST_CASE("a target that says in an answer that it leaves gets nothing more") {
  TwoTargets two;
  two.first.OnRequest(Says(two.first, "server-leaving", "1"));
  two.UntilFirstAsked();
  const auto before = two.first.requests().size();
  // The list calls it ready still, and does so again.
  List(two.site, "app", two.first, kBorn, 2);
  for (int i = 0; i < 8; ++i) {
    CHECK(two.site.Call(two.host, "GET", "/safe/1").response.body ==
          "answer of i2");
  }
  CHECK(two.first.requests().size() == before);
  CHECK(two.Metric("comfreyflow_targets_told_leaving") == "1");
  SUBCASE("until a later start of it is listed") {
    two.first.OnRequest(Sound(two.first));
    List(two.site, "app", two.first, kBorn + 1, 1);
    two.UntilFirstAsked();
  }
}

TEST_CASE("a refusal, a failure and an outage of the store change nothing") {
  for (const int status : {503, 500}) {
    TwoTargets two;
    two.site.store().SetDown(true);
    two.first.OnRequest(Says(two.first, "server-leaving", "1", status));
    two.UntilFirstAsked();
    const auto before = two.first.requests().size();
    for (int i = 0; i < 8; ++i) two.site.Call(two.host, "GET", "/safe/1");
    CHECK(two.first.requests().size() == before);
  }
}

TEST_CASE(
    "a stream's head tells that its target leaves, not the stream's end") {
  TwoTargets two("model");
  std::vector<http::ExchangePtr> open;
  for (FakeTarget* target : {&two.first, &two.second}) {
    target->OnRequest([target, &open](const http::ExchangePtr& exchange) {
      http::Response head = target->Head(exchange->request());
      head.content_type = "text/event-stream";
      head.fields.push_back({"server-leaving", "1"});
      exchange->StartStream(std::move(head));
      FakeTarget::WriteEvents(exchange, 1, 1);
      open.push_back(exchange);
    });
  }
  const auto one = two.site.Send(two.host, "POST", "/stream/1", kStreamFields);
  REQUIRE(two.site.Until([&] { return open.size() == 1; }));
  REQUIRE(two.site.Until(
      [&] { return two.Metric("comfreyflow_targets_told_leaving") == "1"; }));
  two.site.Send(two.host, "POST", "/stream/2", kStreamFields);
  REQUIRE(two.site.Until([&] { return open.size() == 2; }));
  CHECK(two.first.requests().size() == 1);
  CHECK(two.second.requests().size() == 1);
  FakeTarget::WriteEvents(open[0], 2, 1);
  open[0]->End();
  REQUIRE(two.site.Until([&] { return one->ended; }));
  CHECK(one->whole);
}

TEST_CASE("hosts hear from each other that a target leaves by its own word") {
  TwoTargets two;
  const auto other = two.site.AddHost();
  REQUIRE(two.site.UntilReady(other));
  REQUIRE(two.site.Until([&] {
    const auto answer =
        two.site.Get(two.site.settings(other).directory, "/resolve?Zone=z1");
    const auto json =
        nlohmann::json::parse(answer.response.body, nullptr, false);
    return json.is_object() && json["Addrs"].size() == 2;
  }));
  two.first.OnRequest(Says(two.first, "server-leaving", "1"));
  two.UntilFirstAsked();
  CHECK(two.site.Until([&] {
    return two.Metric(other, "comfreyflow_targets_told_leaving") == "1";
  }));
  const auto before = two.first.requests().size();
  for (int i = 0; i < 8; ++i) two.site.Call(other, "GET", "/safe/1");
  CHECK(two.first.requests().size() == before);
}

TEST_CASE("a target that wants nothing for a while gets nothing meanwhile") {
  TwoTargets two;
  two.first.OnRequest(Says(two.first, "retry-after", "5", 503));
  two.UntilFirstAsked();
  const auto told = std::chrono::steady_clock::now();
  const auto before = two.first.requests().size();
  CHECK(two.Metric("comfreyflow_targets_resting") == "1");
  two.first.OnRequest(Sound(two.first));
  while (std::chrono::steady_clock::now() - told < milliseconds(1500)) {
    CHECK(two.site.Call(two.host, "GET", "/safe/1").response.status == 200);
  }
  CHECK(two.first.requests().size() == before);
  two.UntilFirstAsked();
}

TEST_CASE("a request that all targets turn away is refused at once") {
  TwoTargets two;
  for (FakeTarget* target : {&two.first, &two.second}) {
    target->OnRequest(Says(*target, "retry-after", "20", 503));
  }
  for (int i = 0; i < 4; ++i) {
    const Answer answer = two.site.Call(two.host, "POST", "/unsafe/1");
    CHECK(answer.response.status == 503);
    const auto after = std::stod(
        std::string(http::FieldValue(answer.response.fields, "retry-after")) +
        "0");
    // No other host may send to them either.
    if (i > 1) CHECK(after > 15);
  }
  CHECK(two.first.requests().size() == 1);
  CHECK(two.second.requests().size() == 1);
}

TEST_CASE("a time that can't be read closes nothing") {
  TwoTargets two;
  two.first.OnRequest(Says(two.first, "retry-after", "soon", 503));
  two.UntilFirstAsked();
  two.first.OnRequest(Sound(two.first));
  two.UntilFirstAsked();
  CHECK(two.Metric("comfreyflow_targets_resting") == "0");
}
