// Steps after a failed attempt: requests run again only where the route permits
// it, and errors state correctly whether a request may have run.
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

RelayProgress After(std::uint32_t attempts, std::uint32_t run) {
  RelayProgress progress;
  progress.attempts = attempts;
  progress.attempts_run = run;
  progress.remaining = seconds(5);
  return progress;
}

constexpr AttemptFailure kResponseLost{true, false, false};
constexpr AttemptFailure kNotRun{true, true, false};
constexpr AttemptFailure kNotSent{false, false, false};

}  // namespace

TEST_CASE("an unsafe request is not retried after its response was lost") {
  const Route route = RouteOf(RouteKind::kUnsafe);
  CHECK(AfterFailure(route, kResponseLost, After(1, 1)) ==
        NextStep::kAnswerFailed);
}

TEST_CASE(
    "a request that did not run is retried whatever the kind of its route") {
  for (const auto kind :
       {RouteKind::kUnsafe, RouteKind::kSafe, RouteKind::kStream}) {
    const Route route = RouteOf(kind);
    CHECK(AfterFailure(route, kNotRun, After(1, 0)) == NextStep::kRetry);
    CHECK(AfterFailure(route, kNotSent, After(1, 0)) == NextStep::kRetry);
  }
}

TEST_CASE("a safe request runs on at most max_attempts targets") {
  const Route route = RouteOf(RouteKind::kSafe);
  CHECK(AfterFailure(route, kResponseLost, After(1, 1)) == NextStep::kRetry);
  CHECK(AfterFailure(route, kResponseLost, After(2, 2)) ==
        NextStep::kAnswerFailed);
}

TEST_CASE("not-run is reported only if no target may have run the request") {
  const Route route = RouteOf(RouteKind::kUnsafe);
  CHECK(AfterFailure(route, kNotRun, After(kMaxSends, 0)) ==
        NextStep::kAnswerNotRun);
  CHECK(AfterFailure(route, kNotRun, After(kMaxSends, 1)) ==
        NextStep::kAnswerFailed);
}

TEST_CASE("a started stream is resumed or aborted, never restarted") {
  RelayProgress progress = After(1, 1);
  progress.head_sent = true;
  const AttemptFailure resumable{true, false, true};
  CHECK(AfterFailure(RouteOf(RouteKind::kStream, true), resumable, progress) ==
        NextStep::kRetry);
  CHECK(AfterFailure(RouteOf(RouteKind::kStream), kResponseLost, progress) ==
        NextStep::kAbort);
  progress.attempts_run = 2;
  CHECK(AfterFailure(RouteOf(RouteKind::kStream, true), resumable, progress) ==
        NextStep::kAbort);
}

TEST_CASE("no attempt is started without enough time left") {
  RelayProgress progress = After(1, 0);
  progress.remaining = kMinAttemptTime;
  CHECK(AfterFailure(RouteOf(RouteKind::kSafe), kNotRun, progress) ==
        NextStep::kAnswerNotRun);
}

TEST_CASE("the stall timeout of a stream grows with its maximum gap") {
  Route route = RouteOf(RouteKind::kStream, true);
  const Duration short_gap = StallTimeout(route, true, {});
  CHECK(short_gap < seconds(2));  // Callers abandon the stream after 2 s.
  route.max_gap = seconds(1);
  CHECK(StallTimeout(route, true, {}) > short_gap);
  CHECK(StallTimeout(route, false, seconds(4)) >= seconds(4));
}

TEST_CASE("the stall timeout of a plain request leaves time for a retry") {
  Route route = RouteOf(RouteKind::kSafe);
  route.latency_objective = milliseconds(150);
  CHECK(StallTimeout(route, false, {}) > route.latency_objective);
  CHECK(StallTimeout(route, false, {}) < milliseconds(400));
}
