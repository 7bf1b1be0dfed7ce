// Duration of back-offs that targets asked for.
#include "comfreyflow/target-rests.h"

#include <doctest/doctest.h>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
const Time kStart{std::chrono::hours(1)};
const TargetName kA{"a"};
}  // namespace

TEST_CASE("a back-off lasts for the time that the target named") {
  TargetBackOffs back_offs;
  CHECK(back_offs.Add(kA, 1, milliseconds(1500), kStart));
  CHECK(back_offs.Remaining(kA, 1, kStart + milliseconds(500)) == seconds(1));
  CHECK(back_offs.Remaining(kA, 1, kStart + milliseconds(1500)) ==
        Duration::zero());
  CHECK(back_offs.size(kStart) == 1);
  CHECK(back_offs.size(kStart + seconds(2)) == 0);
}

TEST_CASE(
    "a back-off of zero has no effect, and a restarted target accepts "
    "requests") {
  TargetBackOffs back_offs;
  CHECK_FALSE(back_offs.Add(kA, 1, Duration::zero(), kStart));
  CHECK(back_offs.size(kStart) == 0);
  back_offs.Add(kA, 1, seconds(9), kStart);
  CHECK(back_offs.Remaining(kA, 2, kStart) == Duration::zero());
}

TEST_CASE("a shorter back-off does not end a longer one sooner") {
  TargetBackOffs back_offs;
  back_offs.Add(kA, 1, seconds(9), kStart);
  CHECK_FALSE(back_offs.Add(kA, 1, seconds(1), kStart + seconds(1)));
  CHECK(back_offs.Remaining(kA, 1, kStart + seconds(1)) == seconds(8));
  CHECK(back_offs.Add(kA, 1, seconds(9), kStart + seconds(1)));
}

TEST_CASE("an excessive back-off does not close a target forever") {
  TargetBackOffs back_offs;
  back_offs.Add(kA, 1, Duration::max(), kStart);
  CHECK(back_offs.Remaining(kA, 1, kStart) == kMaxBackOff);
}

TEST_CASE("expired back-offs are removed") {
  TargetBackOffs back_offs;
  for (int i = 0; i < 1000; ++i) {
    back_offs.Add({"t" + std::to_string(i)}, 1, seconds(1),
                  kStart + seconds(i));
  }
  int left = 0;
  back_offs.ForEach(kStart, [&left](const TargetName&, Duration) { ++left; });
  CHECK(left <= 2);
}
