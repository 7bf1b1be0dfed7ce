// What follows a failed try: only what is true is told, only what may be
// repeated is.
#include "comfreyflow/relay-policy.h"

#include <doctest/doctest.h>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

Route RouteOf(RouteKind kind, bool resumable = false) {
  Route route;
  route.kind = kind;
  route.resumable = resumable;
  route.max_attempts = 2;
  route.latency_objective = milliseconds(300);
  route.max_gap = milliseconds(250);
  return route;
}

RelayProgress After(std::uint32_t tries, std::uint32_t run) {
  RelayProgress progress;
  progress.attempts = tries;
  progress.attempts_run = run;
  progress.remaining = seconds(5);
  return progress;
}

constexpr AttemptFailure kLost{true, false, false};
constexpr AttemptFailure kNotRun{true, true, false};
constexpr AttemptFailure kUnsent{false, false, false};

}  // namespace

TEST_CASE("what must not be repeated is never sent after a lost answer") {
  const Route route = RouteOf(RouteKind::kUnsafe);
  CHECK(AfterFailure(route, kLost, After(1, 1)) == NextStep::kAnswerFailed);
}

TEST_CASE("what was not run may be sent elsewhere, of any kind") {
  for (const auto kind :
       {RouteKind::kUnsafe, RouteKind::kSafe, RouteKind::kStream}) {
    const Route route = RouteOf(kind);
    CHECK(AfterFailure(route, kNotRun, After(1, 0)) == NextStep::kRetry);
    CHECK(AfterFailure(route, kUnsent, After(1, 0)) == NextStep::kRetry);
  }
}

TEST_CASE("safe requests run on as many targets as the route says") {
  const Route route = RouteOf(RouteKind::kSafe);
  CHECK(AfterFailure(route, kLost, After(1, 1)) == NextStep::kRetry);
  CHECK(AfterFailure(route, kLost, After(2, 2)) == NextStep::kAnswerFailed);
}

TEST_CASE("not run is told only when no target may have run it") {
  const Route route = RouteOf(RouteKind::kUnsafe);
  CHECK(AfterFailure(route, kNotRun, After(kMaxSends, 0)) ==
        NextStep::kAnswerNotRun);
  CHECK(AfterFailure(route, kNotRun, After(kMaxSends, 1)) ==
        NextStep::kAnswerFailed);
}

TEST_CASE("a stream that began is resumed or cut, never answered anew") {
  RelayProgress progress = After(1, 1);
  progress.head_sent = true;
  const AttemptFailure resumable{true, false, true};
  CHECK(AfterFailure(RouteOf(RouteKind::kStream, true), resumable, progress) ==
        NextStep::kRetry);
  CHECK(AfterFailure(RouteOf(RouteKind::kStream), kLost, progress) ==
        NextStep::kAbort);
  progress.attempts_run = 2;
  CHECK(AfterFailure(RouteOf(RouteKind::kStream, true), resumable, progress) ==
        NextStep::kAbort);
}

TEST_CASE("no try is begun without time for it") {
  RelayProgress progress = After(1, 0);
  progress.remaining = kMinAttemptTime;
  CHECK(AfterFailure(RouteOf(RouteKind::kSafe), kNotRun, progress) ==
        NextStep::kAnswerNotRun);
}

TEST_CASE("silence is waited for longer where pauses may be longer") {
  Route route = RouteOf(RouteKind::kStream, true);
  const Duration chat = StallTimeout(route, true, {});
  CHECK(chat < seconds(2));  // Callers give up then.
  route.max_gap = seconds(1);
  CHECK(StallTimeout(route, true, {}) > chat);
  CHECK(StallTimeout(route, false, seconds(4)) >= seconds(4));
}

TEST_CASE("a plain target that says nothing is given up while time is left") {
  Route route = RouteOf(RouteKind::kSafe);
  route.latency_objective = milliseconds(150);
  CHECK(StallTimeout(route, false, {}) > route.latency_objective);
  CHECK(StallTimeout(route, false, {}) < milliseconds(400));
}
