// Cold targets. Guards against more requests in one second than a cold target
// bears, summed over all hosts, and against cold targets that are left idle.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "comfreyflow/placer.h"
#include "comfreyflow/target-book.h"
#include "comfreyflow/target-limits.h"
#include "placer-fixture.h"

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double kPerSecond = 14;
const ColdLimit kCold{kPerSecond};
/// `kPerSecond` x 1.5 + 5, the default of the settings.
constexpr std::size_t kBound = 26;

Placer ColdPlacer(int targets) {
  Placer placer({});
  placer.SetCold(kCold, kStart);
  placer.SetTargets(PoolTargets(targets, 1000), kStart);
  return placer;
}

/// The largest number of times within any one second.
std::size_t MostInOneSecond(std::vector<Time> times) {
  std::sort(times.begin(), times.end());
  std::size_t most = 0;
  for (std::size_t i = 0, first = 0; i < times.size(); ++i) {
    while (times[i] - times[first] >= seconds(1)) ++first;
    most = std::max(most, i - first + 1);
  }
  return most;
}

}  // namespace

TEST_CASE("one target gets no more requests a second than it bears when cold") {
  Placer placer = ColdPlacer(1);
  std::vector<Time> granted;
  std::uint64_t sequence = 0;
  for (Time now = kStart; now < kStart + seconds(5); now += milliseconds(5)) {
    placer.Submit(Job(++sequence, now, 0), now);
    placer.Tick(now);
    for (const auto& decision : placer.TakeDecisions()) {
      if (std::holds_alternative<PlaceGrant>(decision)) granted.push_back(now);
    }
  }
  CHECK(MostInOneSecond(granted) <= kBound);
  CHECK(granted.size() >= static_cast<std::size_t>(4 * kPerSecond));
}

TEST_CASE("the bound holds as a sum over hosts that grant independently") {
  constexpr std::size_t kHosts = 88;
  std::vector<TargetLimits> hosts(kHosts);
  const TargetName target{"t0"};
  std::vector<Time> granted;
  for (std::size_t i = 0; i < kHosts; ++i) {
    hosts[i].SetPart(PartOfLimits({kHosts, i, 1, 1, false}), kStart);
    hosts[i].SetStanding({{target, 1, RateWithin(kBound)}}, kStart);
  }
  for (Time now = kStart; now < kStart + seconds(20); now += milliseconds(10)) {
    for (auto& host : hosts) {
      if (!host.Allows(target, 1, now)) continue;
      host.Consume(target, 1, 1, now);
      granted.push_back(now);
    }
  }
  CHECK(MostInOneSecond(granted) <= kBound);
}

TEST_CASE("a changed list of targets gives no permits anew") {
  TargetLimits limits;
  const StandingLimit limit{{"t0"}, 1, 10};
  limits.SetStanding({limit}, kStart);
  const Time later = kStart + seconds(1);
  while (limits.Allows(limit.target, 1, later))
    limits.Consume(limit.target, 1, 1, later);
  limits.SetStanding({limit, {{"t1"}, 1, 10}}, later);
  CHECK_FALSE(limits.Allows(limit.target, 1, later));
  CHECK(limits.size() == 0);  // No target named a limit.
}

TEST_CASE("a lower limit that the target names binds beside the standing one") {
  TargetLimits limits;
  limits.SetStanding({{{"t0"}, 1, 10}}, kStart);
  limits.RecordLimit({"t0"}, 1, 1, kStart);
  Time now = kStart + seconds(5);
  REQUIRE(limits.Allows({"t0"}, 1, now));
  limits.Consume({"t0"}, 1, 1, now);
  CHECK(limits.NextAt({"t0"}, 1, now) > now + milliseconds(900));
}

TEST_CASE("warm targets are chosen first and cold ones are not left idle") {
  auto targets = PoolTargets(2, 4);
  targets[0].cold_until = kStart + seconds(3);
  Placer placer({});
  placer.SetCold(kCold, kStart);
  placer.SetTargets(targets, kStart);
  const Time now = kStart + milliseconds(600);
  std::vector<std::string> names;
  for (std::uint64_t i = 0; i < 6; ++i) {
    const Time at = now + static_cast<int>(i) * milliseconds(100);
    names.push_back(
        Granted(placer, Job(i, at, 0), at).targets.front().name.value);
  }
  CHECK(std::count(names.begin(), names.begin() + 4, "t1") == 4);
  CHECK(std::count(names.begin() + 4, names.end(), "t0") == 2);
  CHECK(placer.Summarize(now).cold == 1);
  CHECK(placer.Summarize(kStart + seconds(4)).cold == 0);
}

TEST_CASE("a service that is never cold has no limit") {
  Placer placer({});
  placer.SetTargets(PoolTargets(1, 1000), kStart);
  for (std::uint64_t i = 0; i < 200; ++i) {
    Granted(placer, Job(i, kStart, 0), kStart);
  }
}

TEST_CASE("reports of one cold phase are one change of the list") {
  TargetBook book(seconds(2));
  TargetEntry entry;
  entry.service = {"llm"};
  entry.target = PoolTargets(1).front();
  entry.target.born = 7;
  entry.report = 3;
  entry.cold_left = milliseconds(2900);
  entry.target.cold_until = ColdUntil(entry.cold_left, kStart);
  book.Put(entry);
  CHECK(book.TakeChanged());
  const Time end = entry.target.cold_until;

  SUBCASE("a later report") {
    entry.report = 4;
    entry.cold_left = milliseconds(1900);
    entry.target.cold_until = ColdUntil(entry.cold_left, kStart + seconds(1));
  }
  SUBCASE("the same report, read again later") {
    entry.target.cold_until = ColdUntil(entry.cold_left, kStart + seconds(9));
  }
  book.Put(entry);
  CHECK_FALSE(book.TakeChanged());
  CHECK(book.Pool().at({"llm"}).front().cold_until == end);
}

TEST_CASE("repeated reports of one cold phase name the same end") {
  const Time end = ColdUntil(milliseconds(2900), kStart);
  CHECK(end >= kStart + milliseconds(2900));
  CHECK(end <= kStart + milliseconds(2900) + kColdStep);
  CHECK(ColdUntil(milliseconds(1900), kStart + seconds(1)) == end);
  CHECK(ColdUntil({}, kStart) == Time{});
}
