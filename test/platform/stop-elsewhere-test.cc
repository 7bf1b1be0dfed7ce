// What a host that ends leaves behind at its targets.
#include <doctest/doctest.h>

#include "platform/stand-ins.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

/// Streams an event at a time and never ends.
void StreamsOn(const FakeTarget& target, const http::ExchangePtr& exchange,
               int next) {
  constexpr milliseconds kPause{100};
  FakeTarget::WriteEvents(exchange, next, 1);
  target.After(kPause, [&target, exchange, next] {
    StreamsOn(target, exchange, next + 1);
  });
}

}  // namespace

TEST_CASE(
    "a host that ends does not release the memory of a prompt's helpers") {
  constexpr int kTargets = 13;
  Site site;
  std::vector<FakeTarget*> targets;
  for (int i = 1; i <= kTargets; ++i) {
    FakeTarget& target = site.AddTarget("model", "i" + std::to_string(i));
    target.OnRequest([&target](const http::ExchangePtr& exchange) {
      http::Response head = target.Head(exchange->request());
      head.content_type = "text/event-stream";
      exchange->StartStream(std::move(head));
      StreamsOn(target, exchange, 1);
    });
    targets.push_back(&target);
  }
  site.PutConfig(1, [](nlohmann::json& config) {
    config["Services"][1]["Engine"]["KvTokens"] = 60000;
  });
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  const auto answer =
      site.Send(host, "POST", "/stream/1", {{"x-token-count", "90000,100"}});
  const auto runs = [&] {
    return std::any_of(targets.begin(), targets.end(), [](const auto* target) {
      return !target->requests().empty();
    });
  };
  REQUIRE(site.Until(runs));
  site.host(host).Stop();
  REQUIRE(site.Until([&] { return site.stopped(); }));
  std::size_t reserved = 0;
  for (const FakeTarget* target : targets) {
    if (target->orders().empty()) continue;
    ++reserved;
    CHECK(target->orders().back()["Op"] == "release");
  }
  CHECK(reserved > 0);
}
