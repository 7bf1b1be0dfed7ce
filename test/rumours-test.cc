// Dissemination of marks between hosts.
#include "core/membership/rumours.h"

#include <doctest/doctest.h>

#include <string>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using detail::MarkDissemination;

namespace {

const Time kStart{std::chrono::hours(1)};
constexpr int kMaxSends = 2;

TargetMark Mark(int target, std::uint64_t version = 1) {
  return {{"target" + std::to_string(target)}, {0, version}, true};
}

}  // namespace

TEST_CASE(
    "marks of targets that left over months make room for marks of new ones") {
  MarkDissemination marks;
  Time now = kStart;
  for (int target = 0; target < 40'000; ++target) {
    REQUIRE(marks.Merge(Mark(target), kMaxSends, now));
    now += std::chrono::seconds(1);
    marks.Expire(now);
  }
}

TEST_CASE(
    "a mark is sent a bounded number of times, and a later one replaces it") {
  MarkDissemination marks;
  CHECK(marks.Merge(Mark(1, 5), kMaxSends, kStart));
  CHECK_FALSE(marks.Merge(Mark(1, 5), kMaxSends, kStart));
  CHECK_FALSE(marks.Merge(Mark(1, 4), kMaxSends, kStart));
  CHECK(marks.Merge(Mark(1, 6), kMaxSends, kStart));
  for (int i = 0; i < kMaxSends + 1; ++i) {
    Datagram datagram;
    marks.AddTo(datagram);
    CHECK(datagram.targets.size() == (i < kMaxSends ? 1 : 0));
  }
}

TEST_CASE(
    "a mark for a start that announced its leaving is new at any version") {
  MarkDissemination marks;
  CHECK(marks.Merge(Mark(1, 5), kMaxSends, kStart));
  TargetMark announced = Mark(1, 4);
  announced.start = 77;
  CHECK(marks.Merge(announced, kMaxSends, kStart));
  CHECK_FALSE(marks.Merge(announced, kMaxSends, kStart));
  // A later mark that names no start keeps the known start.
  CHECK(marks.Merge(Mark(1, 6), kMaxSends, kStart));
  Datagram datagram;
  marks.AddTo(datagram);
  REQUIRE(datagram.targets.size() == 1);
  CHECK(datagram.targets[0].start == 77);
  CHECK(datagram.targets[0].version.revision == 6);
}
