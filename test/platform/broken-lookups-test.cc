// Connections that break at targets that live on, under lookups that many
// callers repeat.
#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <string>

#include "platform/stand-ins.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

void Wait(Site& site, milliseconds time) {
  const auto end = std::chrono::steady_clock::now() + time;
  site.Until([end] { return std::chrono::steady_clock::now() >= end; });
}

}  // namespace

TEST_CASE("a lookup is refused long after connections broke under it") {
  constexpr int kTargets = 5;
  constexpr int kHosts = 2;
  Site site;
  bool breaks = true;
  for (int i = 1; i <= kTargets; ++i) {
    FakeTarget& target = site.AddTarget("app", "i" + std::to_string(i));
    target.OnRequest([&target, &breaks](const http::ExchangePtr& exchange) {
      if (breaks) return exchange->Abort();
      exchange->Respond(target.Head(exchange->request()));
    });
  }
  site.PutConfig(1);
  for (std::size_t i = 0; i < kHosts; ++i) {
    site.AddHost();
    REQUIRE(site.UntilReady(i));
  }
  const auto status = [&site](std::size_t host, const char* path) {
    return site.Call(host, "GET", path).response.status;
  };
  for (int i = 0; i < 12; ++i) status(i % kHosts, "/safe/lookup");
  CHECK(status(0, "/safe/lookup") == 503);
  breaks = false;
  Wait(site, milliseconds(1100));
  for (int i = 0; i < 20; ++i) {
    CHECK(status(i % kHosts, "/safe/lookup") == 200);
    CHECK(status(i % kHosts, "/safe/other") == 200);
  }
}

TEST_CASE(
    "a host holds back a lookup under which connections broke at others") {
  Site site;
  for (const char* name : {"i1", "i2", "i3", "i4"}) {
    site.AddTarget("app", name)
        .OnRequest(
            [](const http::ExchangePtr& exchange) { exchange->Abort(); });
  }
  site.PutConfig(1);
  for (std::size_t host = 0; host < 2; ++host) {
    site.AddHost();
    REQUIRE(site.UntilReady(host));
  }
  const auto is_held_back = [&site](std::size_t host) {
    const Answer answer = site.Call(host, "GET", "/safe/lookup");
    return answer.response.body.find("quarantined") != std::string::npos;
  };
  REQUIRE(site.Until([&] { return is_held_back(0); }));
  Wait(site, milliseconds(600));  // News between hosts take no longer.
  CHECK_FALSE(is_held_back(1));
}

TEST_CASE("a lookup that crashes targets goes on to crash them") {
  constexpr int kHosts = 3;
  // The third crash is the last but for three more.
  constexpr int kMostCrashes = 6;
  Site site;
  int added = 0;
  int crashes = 0;
  const std::function<void()> add = [&] {
    FakeTarget& target = site.AddTarget("app", "i" + std::to_string(++added));
    target.OnRequest([&](const http::ExchangePtr& exchange) {
      if (exchange->request().path != "/safe/bad") {
        return exchange->Respond(target.Head(exchange->request()));
      }
      ++crashes;
      target.Crash();
      site.store().Remove("servers", target.name());
      add();
    });
  };
  for (int i = 0; i < 6; ++i) add();
  site.PutConfig(1);
  for (std::size_t host = 0; host < kHosts; ++host) {
    site.AddHost();
    REQUIRE(site.UntilReady(host));
  }
  for (int i = 0; i < 40; ++i) {
    site.Call(i % kHosts, "GET", "/safe/bad");
    CHECK(site.Call(i % kHosts, "GET", "/safe/good").response.status == 200);
    Wait(site, milliseconds(100));
  }
  CHECK(crashes >= 3);
  CHECK(crashes <= kMostCrashes);
}
