// The era of a store that may come back from an older copy.
#include "comfreyflow/store-version.h"

#include <doctest/doctest.h>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;
using Change = StoreEra::Change;

namespace {
const Time kStart{std::chrono::hours(1)};
}  // namespace

TEST_CASE("a version of a later era is later whatever its revision") {
  CHECK(StoreVersion{2, 5} > StoreVersion{1, 900});
  CHECK(StoreVersion{2, 5} < StoreVersion{2, 6});
  CHECK(StoreVersion{2, 5} == StoreVersion{2, 5});
}

TEST_CASE("an era that rises is reported once, also by more than one") {
  StoreEra era;
  CHECK(era.Observe(3, kStart) == Change::kNone);
  CHECK(era.current() == 3);
  CHECK(era.Observe(4, kStart) == Change::kRose);
  CHECK(era.Observe(4, kStart) == Change::kNone);
  CHECK(era.Observe(7, kStart) == Change::kRose);
  CHECK(era.current() == 7);
}

TEST_CASE("a store that begins to name its era has changed it") {
  StoreEra era;
  CHECK(era.Observe(std::nullopt, kStart) == Change::kNone);
  CHECK(era.Observe(5, kStart) == Change::kRose);
}

TEST_CASE("late answers of an earlier era are outdated") {
  StoreEra era;
  era.Observe(3, kStart);
  era.Observe(4, kStart);
  for (int i = 0; i < 100; ++i) {
    const Time now = kStart + seconds(i);
    CHECK(era.Observe(3, now) == Change::kOutdated);
    CHECK(era.Observe(4, now) == Change::kNone);
  }
  CHECK(era.current() == 4);
}

TEST_CASE("an era that stays lower is accepted after the longest delay") {
  StoreEra era;
  era.Observe(9, kStart);
  CHECK(era.Observe(2, kStart) == Change::kOutdated);
  CHECK(era.Observe(2, kStart + kMaxAnswerDelay - milliseconds(1)) ==
        Change::kOutdated);
  CHECK(era.Observe(2, kStart + kMaxAnswerDelay) == Change::kFell);
  CHECK(era.current() == 2);
  CHECK(era.Observe(3, kStart + kMaxAnswerDelay) == Change::kRose);
}

TEST_CASE("answers without a readable era do not end the wait of a fall") {
  StoreEra era;
  era.Observe(9, kStart);
  era.Observe(2, kStart);
  CHECK(era.Observe(std::nullopt, kStart + seconds(5)) == Change::kNone);
  CHECK(era.Observe(2, kStart + kMaxAnswerDelay) == Change::kFell);
}

TEST_CASE("an era that is too far ahead is not believed") {
  StoreEra era;
  era.Observe(3, kStart);
  CHECK(era.Observe(kMaxStoreEra, kStart) == Change::kNone);
  CHECK(era.Observe(3 + kMaxEraRise + 1, kStart) == Change::kNone);
  CHECK(era.current() == 3);
  CHECK(era.Observe(3 + kMaxEraRise, kStart) == Change::kRose);
}
