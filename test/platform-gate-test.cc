// Budget, back-off and outage detection for calls to the platform's store.
#include "comfreyflow/platform-gate.h"

#include <doctest/doctest.h>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Time kStart{std::chrono::hours(1)};
constexpr auto kRead = PlatformCall::kRead;
constexpr auto kWrite = PlatformCall::kWrite;

/// Starts a call, ends it at once if permitted, and returns the permit's code.
Errc Call(PlatformGate& gate, PlatformCall call, PlatformEnd end, Time now) {
  const PlatformPermit permit = gate.Start(call, now);
  if (permit.code == Errc::kOk) gate.Ended(call, permit, end, now);
  return permit.code;
}

PlatformGate InOutage(Time now) {
  PlatformGate gate;
  while (!gate.outage()) Call(gate, kRead, PlatformEnd::kFailed, now);
  return gate;
}

}  // namespace

TEST_CASE("the budgets of reads and writes each bound calls in any interval") {
  PlatformLimits limits;
  limits.writes_per_second = 10;
  limits.burst = seconds(1);
  PlatformGate gate(limits);
  int writes = 0;
  for (int ms = 0; ms < 10000; ++ms) {
    const Time now = kStart + milliseconds(ms);
    writes += Call(gate, kWrite, PlatformEnd::kAnswered, now) == Errc::kOk;
  }
  CHECK(writes <= 10 + 100);
  CHECK(writes >= 100);
  const Time end = kStart + milliseconds(9999);
  CHECK(gate.Start(kWrite, end).code == Errc::kPlatformRateLimited);
  CHECK(gate.Start(kRead, end).code == Errc::kOk);
  const Duration wait = gate.RetryAfter(kWrite, end);
  CHECK(wait > Duration::zero());
  CHECK(gate.Start(kWrite, end + wait).code == Errc::kOk);
}

TEST_CASE("consecutive failures are an outage, which a single probe ends") {
  PlatformGate gate = InOutage(kStart);
  CHECK(gate.Start(kWrite, kStart).code == Errc::kPlatformUnavailable);
  const Time later = kStart + gate.RetryAfter(kRead, kStart);
  const PlatformPermit probe = gate.Start(kRead, later);
  REQUIRE(probe.code == Errc::kOk);
  CHECK(probe.probe);
  CHECK(gate.Start(kRead, later + seconds(9)).code ==
        Errc::kPlatformUnavailable);
  gate.Ended(kRead, probe, PlatformEnd::kAnswered, later);
  CHECK_FALSE(gate.outage());
  CHECK_FALSE(gate.Start(kRead, later).probe);
}

TEST_CASE(
    "probes back off up to the maximum; a new outage starts at the base") {
  PlatformGate gate = InOutage(kStart);
  Time now = kStart;
  Duration wait{};
  for (int i = 0; i < 12; ++i) {
    wait = gate.RetryAfter(kRead, now);
    CHECK(wait <= PlatformLimits().backoff_max);
    now += wait;
    REQUIRE(Call(gate, kRead, PlatformEnd::kFailed, now) == Errc::kOk);
  }
  CHECK(wait >= PlatformLimits().backoff_max / 2);
  now += gate.RetryAfter(kRead, now);
  REQUIRE(Call(gate, kRead, PlatformEnd::kAnswered, now) == Errc::kOk);
  while (!gate.outage()) Call(gate, kRead, PlatformEnd::kFailed, now);
  CHECK(gate.RetryAfter(kRead, now) <= PlatformLimits().backoff_base);
}

TEST_CASE("calls that started before an outage do not lengthen its back-off") {
  PlatformGate gate;
  std::vector<PlatformPermit> open;
  for (int i = 0; i < 40; ++i) open.push_back(gate.Start(kRead, kStart));
  for (const PlatformPermit& permit : open) {
    gate.Ended(kRead, permit, PlatformEnd::kFailed, kStart);
  }
  CHECK(gate.RetryAfter(kRead, kStart) <= PlatformLimits().backoff_base);
}

TEST_CASE(
    "a refusal by the platform's rate limit pauses that kind of call and is no "
    "outage") {
  PlatformGate gate;
  for (int i = 0; i < 5; ++i) {
    const Time now = kStart + seconds(10 * i);
    REQUIRE(Call(gate, kWrite, PlatformEnd::kThrottled, now) == Errc::kOk);
    CHECK(gate.Start(kWrite, now).code == Errc::kPlatformRateLimited);
    CHECK(gate.Start(kRead, now).code == Errc::kOk);
  }
  CHECK_FALSE(gate.outage());
  CHECK(gate.RetryAfter(kWrite, kStart + seconds(40)) >= milliseconds(800));
}

TEST_CASE("only reads are sent again on a new connection") {
  CHECK(RetryOnNewConnection(kRead, false));
  CHECK_FALSE(RetryOnNewConnection(kRead, true));
  CHECK_FALSE(RetryOnNewConnection(kWrite, false));
  CHECK_FALSE(RetryOnNewConnection(PlatformCall::kWatch, false));
}
