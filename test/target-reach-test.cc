// Which targets a host reaches, decided from its own connections.
#include "comfreyflow/target-reach.h"

#include <doctest/doctest.h>

#include <string>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceName kModel{"model"};
const ServiceName kApp{"app"};
constexpr Time kStart{seconds(100)};

std::string Target(int number) { return "10.0.0." + std::to_string(number); }

}  // namespace

TEST_CASE("one dead target makes a host believe that it reaches none") {
  TargetReach reach;
  for (int i = 0; i < 10; ++i) {
    const Time now = kStart + i * milliseconds(100);
    CHECK_FALSE(reach.RecordFailed(kModel, Target(1), now));
    CHECK(reach.IsOutOfReach(kModel, Target(1), now));
    CHECK_FALSE(reach.IsOutOfReach(kModel, Target(2), now));
  }
}

TEST_CASE("a host tries each target in turn before it knows that it is cut") {
  TargetReach reach;
  reach.RecordReached(kModel, Target(1), kStart);
  CHECK_FALSE(reach.RecordFailed(kModel, Target(2), kStart + milliseconds(10)));
  CHECK(reach.RecordFailed(kModel, Target(3), kStart + milliseconds(20)));
  CHECK(reach.IsOutOfReach(kModel, Target(1), kStart + milliseconds(20)));
  CHECK_FALSE(reach.IsOutOfReach(kApp, Target(9), kStart + milliseconds(20)));
  CHECK(reach.services_out_of_reach(kStart + milliseconds(20)) == 1);
}

TEST_CASE("targets that failed at different times are taken for a cut") {
  TargetReach reach;
  reach.RecordFailed(kModel, Target(1), kStart);
  reach.RecordReached(kModel, Target(3), kStart + milliseconds(10));
  CHECK_FALSE(reach.RecordFailed(kModel, Target(2), kStart + milliseconds(20)));
  CHECK_FALSE(reach.IsOutOfReach(kModel, Target(3), kStart + milliseconds(20)));
  CHECK(reach.IsOutOfReach(kModel, Target(1), kStart + milliseconds(20)));
}

TEST_CASE("a host goes on avoiding its own way after the cut has ended") {
  TargetReach reach;
  reach.RecordFailed(kModel, Target(1), kStart);
  reach.RecordFailed(kModel, Target(2), kStart);
  CHECK(reach.RecordReached(kModel, Target(1), kStart + seconds(1)));
  CHECK_FALSE(reach.IsOutOfReach(kModel, Target(1), kStart + seconds(1)));
  CHECK_FALSE(reach.IsOutOfReach(kModel, Target(2), kStart + seconds(1)));
  CHECK_FALSE(reach.IsServiceOutOfReach(kModel, kStart + seconds(1)));
}

TEST_CASE("the belief in a cut outlives its evidence") {
  TargetReach reach;
  reach.RecordFailed(kModel, Target(1), kStart);
  reach.RecordFailed(kModel, Target(2), kStart);
  CHECK(reach.IsServiceOutOfReach(kModel, kStart + seconds(4)));
  CHECK_FALSE(reach.IsServiceOutOfReach(kModel, kStart + seconds(6)));
  CHECK(reach.failing(kModel, kStart + seconds(6)) == 0);
}

TEST_CASE("a belief in a cut ends although probes go on failing") {
  TargetReach reach;
  reach.RecordFailed(kModel, Target(1), kStart);
  reach.RecordFailed(kModel, Target(2), kStart);
  for (int i = 1; i < 40; ++i) {
    const Time now = kStart + i * milliseconds(300);
    CHECK(reach.IsServiceOutOfReach(kModel, now));
    CHECK(reach.TakeProbe(kModel, now));
    reach.RecordFailed(kModel, Target(1), now);
  }
}

TEST_CASE("each request probes a target that is out of reach") {
  TargetReach reach;
  int probes = 0;
  for (int i = 0; i < 1000; ++i) {
    probes += reach.TakeProbe(kModel, kStart + i * milliseconds(1)) ? 1 : 0;
  }
  CHECK(probes <= 4);
}
