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
