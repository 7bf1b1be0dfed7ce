// Passing on of marks between hosts.
#include "core/membership/rumours.h"

#include <doctest/doctest.h>

#include <string>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using detail::Rumours;

namespace {

const Time kStart{std::chrono::hours(1)};
constexpr int kSends = 2;

TargetMark Mark(int target, std::uint64_t version = 1) {
  return {{"target" + std::to_string(target)}, version, true};
}

}  // namespace

TEST_CASE("targets that left over months leave room for marks of new ones") {
  Rumours rumours;
  Time now = kStart;
  for (int target = 0; target < 40'000; ++target) {
    REQUIRE(rumours.Learn(Mark(target), kSends, now));
    now += std::chrono::seconds(1);
    rumours.Expire(now);
  }
}

TEST_CASE("a mark is passed on a bounded number of times, the later one wins") {
  Rumours rumours;
  CHECK(rumours.Learn(Mark(1, 5), kSends, kStart));
  CHECK_FALSE(rumours.Learn(Mark(1, 5), kSends, kStart));
  CHECK_FALSE(rumours.Learn(Mark(1, 4), kSends, kStart));
  CHECK(rumours.Learn(Mark(1, 6), kSends, kStart));
  for (int i = 0; i < kSends + 1; ++i) {
    Datagram datagram;
    rumours.Fill(datagram);
    CHECK(datagram.targets.size() == (i < kSends ? 1 : 0));
  }
}

TEST_CASE("a start that leaves by its own word is news at any version") {
  Rumours rumours;
  CHECK(rumours.Learn(Mark(1, 5), kSends, kStart));
  TargetMark own = Mark(1, 4);
  own.start = 77;
  CHECK(rumours.Learn(own, kSends, kStart));
  CHECK_FALSE(rumours.Learn(own, kSends, kStart));
  // A later mark without a start keeps the one that is known.
  CHECK(rumours.Learn(Mark(1, 6), kSends, kStart));
  Datagram datagram;
  rumours.Fill(datagram);
  REQUIRE(datagram.targets.size() == 1);
  CHECK(datagram.targets[0].start == 77);
  CHECK(datagram.targets[0].version == 6);
}
