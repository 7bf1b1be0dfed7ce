// How long targets want nothing of a host.
#include "comfreyflow/target-rests.h"

#include <doctest/doctest.h>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
const Time kStart{std::chrono::hours(1)};
const TargetName kA{"a"};
}  // namespace

TEST_CASE("a target rests for as long as it said") {
  TargetRests rests;
  CHECK(rests.Told(kA, 1, milliseconds(1500), kStart));
  CHECK(rests.Left(kA, 1, kStart + milliseconds(500)) == seconds(1));
  CHECK(rests.Left(kA, 1, kStart + milliseconds(1500)) == Duration::zero());
  CHECK(rests.size(kStart) == 1);
  CHECK(rests.size(kStart + seconds(2)) == 0);
}

TEST_CASE("zero is no rest, and a later start takes requests") {
  TargetRests rests;
  CHECK_FALSE(rests.Told(kA, 1, Duration::zero(), kStart));
  CHECK(rests.size(kStart) == 0);
  rests.Told(kA, 1, seconds(9), kStart);
  CHECK(rests.Left(kA, 2, kStart) == Duration::zero());
}

TEST_CASE("a shorter time after a longer one ends nothing sooner") {
  TargetRests rests;
  rests.Told(kA, 1, seconds(9), kStart);
  CHECK_FALSE(rests.Told(kA, 1, seconds(1), kStart + seconds(1)));
  CHECK(rests.Left(kA, 1, kStart + seconds(1)) == seconds(8));
  CHECK(rests.Told(kA, 1, seconds(9), kStart + seconds(1)));
}

TEST_CASE("an absurd time closes no target for good") {
  TargetRests rests;
  rests.Told(kA, 1, Duration::max(), kStart);
  CHECK(rests.Left(kA, 1, kStart) == kLongestRest);
}

TEST_CASE("rests that are over leave nothing behind") {
  TargetRests rests;
  for (int i = 0; i < 1000; ++i) {
    rests.Told({"t" + std::to_string(i)}, 1, seconds(1), kStart + seconds(i));
  }
  int left = 0;
  rests.ForEach(kStart, [&left](const TargetName&, Duration) { ++left; });
  CHECK(left <= 2);
}
