// A planned stop whose signal a busy host sees late.
#include <doctest/doctest.h>

#include "comfreyflow/stop-plan.h"

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a request sent 3 s after the signal is accepted without certainty") {
  constexpr Time kSignal{seconds(100)};
  constexpr Duration kSeenLate = milliseconds(300);
  StopPlan plan(seconds(8));
  plan.Begin(kSignal + kSeenLate);
  const LateWork stream{seconds(10), seconds(1)};
  CHECK(plan.Accepts(stream, kSignal + milliseconds(2500)));
  CHECK_FALSE(plan.Accepts(stream, kSignal + milliseconds(3100)));
}
