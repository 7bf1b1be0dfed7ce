// Repeats that targets get from all hosts together while placers move.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "platform/stand-ins.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

/// Of the hosts' settings: the rule that the hosts keep together.
constexpr double kRatio = 0.2;
constexpr double kSlack = 100;

}  // namespace

TEST_CASE("each new holder of a placer grants a whole budget of retries") {
  constexpr std::size_t kHosts = 5;
  Site site;
  std::vector<FakeTarget*> targets;
  for (int i = 1; i <= 3; ++i) {
    FakeTarget& target = site.AddTarget("app", "a" + std::to_string(i));
    target.OnRequest([&target](const http::ExchangePtr& exchange) {
      exchange->Respond(target.Head(exchange->request(), 500));
    });
    site.SetSlots("app", target, 1000);
    targets.push_back(&target);
  }
  site.PutConfig(1);
  for (std::size_t i = 0; i < kHosts; ++i) site.AddHost();
  for (std::size_t i = 0; i < kHosts; ++i) REQUIRE(site.UntilReady(i));
  const auto pause = [&site](milliseconds time) {
    const auto end = Clock::now() + time;
    site.Until([end] { return Clock::now() >= end; });
  };
  pause(milliseconds(700));
  std::vector<std::shared_ptr<Answer>> answers;
  for (std::size_t stopped = 0; stopped < kHosts; ++stopped) {
    for (int round = 0; round < 20; ++round) {
      for (std::size_t host = stopped; host < kHosts; ++host) {
        answers.push_back(site.Send(host, "GET", "/safe/1"));
      }
      answers.push_back(site.Send(kHosts - 1, "GET", "/safe/1"));
      pause(milliseconds(20));
    }
    if (stopped + 1 < kHosts) site.host(stopped).Stop();
    pause(milliseconds(400));
  }
  std::set<std::string> requests;
  std::size_t arrivals = 0;
  for (const auto* target : targets) {
    for (const auto& request : target->requests()) {
      requests.insert(
          std::string(http::FieldValue(request.fields, "x-request-id")));
      ++arrivals;
    }
  }
  const auto count = static_cast<double>(answers.size());
  const auto repeats = static_cast<double>(arrivals - requests.size());
  MESSAGE(repeats << " repeats of " << count << " requests");
  CHECK(repeats <= kRatio * count + kSlack);
}

TEST_CASE("attempts that reach no target use up the budget of retries") {
  constexpr int kRequests = 30;
  Site site;
  FakeTarget& target = site.AddTarget("app", "a1");
  target.OnRequest([&target](const http::ExchangePtr& exchange) {
    target.After(milliseconds(50), [&target, exchange] {
      exchange->Respond(target.Head(exchange->request()));
    });
  });
  site.SetSlots("app", target, 4);
  for (int i = 1; i <= 5; ++i) {
    site.store().Put("servers", "dead" + std::to_string(i),
                     SampleEntry("app", "127.0.0.1:1", "z1", "ready"));
  }
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  std::vector<std::shared_ptr<Answer>> answers;
  for (int i = 0; i < kRequests; ++i) {
    answers.push_back(site.Send(host, "GET", "/safe/1"));
  }
  REQUIRE(site.Until([&answers] {
    return std::all_of(answers.begin(), answers.end(),
                       [](const auto& answer) { return answer->ended; });
  }));
  CHECK(std::stod(
            site.Metric(host, "comfreyflow_repeats_left{service=\"app\"}")) ==
        doctest::Approx(kSlack / 2 + kRatio * kRequests));
}
