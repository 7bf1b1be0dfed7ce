// Targets that crash when they begin to write an answer on one part of a
// prompt, whatever else the request holds.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "platform/stand-ins.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)

namespace {

constexpr const char* kFirstPart = "a1:40";
constexpr const char* kCrashingPart = "bad:300";
constexpr int kEvents = 5;

/// Engines that crash on `kCrashingPart`, each replaced by a new one at once.
class Fleet {
 public:
  explicit Fleet(std::size_t targets) {
    for (std::size_t i = 0; i < targets; ++i) Add();
    site_.PutConfig(1);
    for (int i = 0; i < 2; ++i) {
      const auto host = site_.AddHost();
      REQUIRE(site_.UntilReady(host));
    }
  }

  /// Sends a prompt of these shared parts and a last one of its own.
  std::shared_ptr<Answer> Send(std::size_t host, const std::string& parts) {
    const std::string number = std::to_string(++sent_);
    return site_.Send(host, "POST", "/stream/" + number,
                      {{"x-token-count", "2000,100"},
                       {"x-prefix-hash", parts + ",e" + number + ":1660"}});
  }
  Answer Call(std::size_t host, const std::string& parts) {
    const auto answer = Send(host, parts);
    site_.Until([&answer] { return answer->ended; });
    return *answer;
  }
  bool IsServed(std::size_t host, const std::string& parts) {
    const Answer answer = Call(host, parts);
    return answer.whole && answer.response.status == 200;
  }
  /// Lets time pass.
  void Wait(std::chrono::milliseconds time) {
    const auto end = std::chrono::steady_clock::now() + time;
    site_.Until([end] { return std::chrono::steady_clock::now() >= end; });
  }

  Site& site() { return site_; }
  int crashes() const { return crashes_; }

 private:
  void Add() {
    FakeTarget& target =
        site_.AddTarget("model", "i" + std::to_string(++added_));
    target.OnRequest([this, &target](const http::ExchangePtr& exchange) {
      const auto parts =
          http::FieldValue(exchange->request().fields, "x-prefix-hash");
      if (parts.find(kCrashingPart) != std::string_view::npos) {
        ++crashes_;
        target.Crash();
        site_.store().Remove("servers", target.name());
        return Add();
      }
      http::Response head = target.Head(exchange->request());
      head.content_type = "text/event-stream";
      exchange->StartStream(std::move(head));
      FakeTarget::WriteEvents(exchange, 1, kEvents);
      exchange->End();
    });
  }

  Site site_;
  int added_ = 0;
  int sent_ = 0;
  int crashes_ = 0;
};

std::string CrashingParts() {
  return std::string(kFirstPart) + "," + kCrashingPart;
}

}  // namespace

TEST_CASE(
    "unlike prompts that share one crashing part do not go on crashing "
    "targets") {
  constexpr int kRequests = 20;
  constexpr int kCrashesUntilBound = 5;
  constexpr int kMostAfterBound = 3;
  Fleet fleet(6);
  for (int i = 0; i < kRequests; ++i) {
    const std::size_t host = static_cast<std::size_t>(i) % 2;
    CHECK(fleet.IsServed(host, kFirstPart));
    fleet.Call(host, CrashingParts());
    fleet.Wait(std::chrono::milliseconds(300));
  }
  CHECK(fleet.crashes() <= kCrashesUntilBound + kMostAfterBound);
  // Neighbours with the same account and first part are not refused.
  for (std::size_t i = 0; i < 10; ++i) {
    CHECK(fleet.IsServed(i % 2, kFirstPart));
  }
}
