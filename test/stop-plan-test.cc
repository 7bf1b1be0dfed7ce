// What a stopping host accepts, in virtual time.
#include "comfreyflow/stop-plan.h"

#include <doctest/doctest.h>

#include <random>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kStopTime = seconds(8);
constexpr Time kBegan{seconds(100)};

StopPlan Stopping() {
  StopPlan plan(kStopTime);
  plan.Begin(kBegan);
  return plan;
}

}  // namespace

TEST_CASE("a host that is not asked to stop refuses long requests") {
  const StopPlan plan(kStopTime);
  CHECK_FALSE(plan.is_stopping());
  CHECK(plan.Accepts({seconds(60), seconds(30)}, kBegan));
  CHECK(plan.MaySend({seconds(60), seconds(30)}, kBegan));
}

TEST_CASE("an unsafe request is taken late and cut before its time limit") {
  const StopPlan plan = Stopping();
  const LateWork order{milliseconds(1500), milliseconds(60)};
  CHECK(plan.Accepts(order, kBegan + milliseconds(5400)));
  CHECK_FALSE(plan.Accepts(order, kBegan + milliseconds(5600)));
  CHECK_FALSE(plan.Accepts(order, kBegan + milliseconds(6300)));
}

TEST_CASE("a stream with a long deadline is taken after the pardoned time") {
  const StopPlan plan = Stopping();
  const LateWork stream{seconds(10), seconds(1)};
  CHECK(plan.Accepts(stream, kBegan + milliseconds(2600)));
  CHECK_FALSE(plan.Accepts(stream, kBegan + milliseconds(2700)));
}

TEST_CASE("a stream that needs longer than the stop is taken at its start") {
  const StopPlan plan = Stopping();
  CHECK_FALSE(plan.Accepts({seconds(15), seconds(6)}, kBegan));
}

TEST_CASE("a silent target makes an accepted stream too late") {
  const StopPlan plan = Stopping();
  const LateWork stream{seconds(10), milliseconds(5400)};
  CHECK(plan.Accepts(stream, kBegan));
  CHECK(plan.Accepts({seconds(10), milliseconds(2800)},
                     kBegan + milliseconds(2600)));
}

TEST_CASE("a request that waited too long is still sent to a target") {
  const StopPlan plan = Stopping();
  const LateWork work{seconds(6), seconds(1)};
  CHECK(plan.MaySend(work, kBegan + seconds(4)));
  CHECK_FALSE(plan.MaySend(work, kBegan + seconds(5)));
}

TEST_CASE("what is accepted outlasts the stop, over seeds") {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    std::mt19937_64 random(seed);
    const auto draw = [&random](int low, int high) {
      return milliseconds(
          std::uniform_int_distribution<int>(low, high)(random));
    };
    const StopPlan plan = Stopping();
    const Time now = kBegan + draw(0, 8000);
    const LateWork work{draw(10, 15'000), draw(10, 8000)};
    if (!plan.Accepts(work, now)) continue;
    CAPTURE(seed);
    const bool ends_in_time = now + work.limit < plan.AnswerBy();
    const bool is_early = now - kBegan <= milliseconds(2700);
    CHECK((ends_in_time || is_early));
    CHECK(now + std::min(work.limit, work.estimate + milliseconds(1500)) <
          plan.AnswerBy());
  }
}

TEST_CASE("answers are given too late to be written before the kill") {
  const StopPlan plan = Stopping();
  CHECK(plan.IdleFrom() < plan.AnswerBy());
  CHECK(plan.AnswerBy() - kBegan > kStopTime * 5 / 6);
  CHECK(plan.ExitBy() - plan.AnswerBy() >= milliseconds(400));
  CHECK(kBegan + kStopTime - plan.ExitBy() >= milliseconds(300));
}

TEST_CASE("a request sent 3 s after the signal is accepted without certainty") {
  constexpr Time kSignal{seconds(100)};
  constexpr Duration kSeenLate = milliseconds(300);
  StopPlan plan(seconds(8));
  plan.Begin(kSignal + kSeenLate);
  const LateWork stream{seconds(10), seconds(1)};
  CHECK(plan.Accepts(stream, kSignal + milliseconds(2500)));
  CHECK_FALSE(plan.Accepts(stream, kSignal + milliseconds(3100)));
}
