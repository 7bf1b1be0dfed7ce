// Permits for requests under the rate limits that targets named.
#include "comfreyflow/target-limits.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <vector>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Time kStart{std::chrono::hours(1)};
const TargetName kA{"a"};
constexpr seconds kWindow{4};
constexpr milliseconds kStep{10};

/// The highest number of `sent`, which is sorted, within any window.
std::size_t MostInWindow(const std::vector<Time>& sent) {
  std::size_t most = 0;
  for (std::size_t first = 0, last = 0; last < sent.size(); ++last) {
    while (sent[last] - sent[first] > kWindow) ++first;
    most = std::max(most, last - first + 1);
  }
  return most;
}

/// The requests of a host that always has requests to send.
std::vector<Time> SendAll(TargetLimits& limits, Time from, Duration length) {
  std::vector<Time> sent;
  for (Time now = from; now < from + length; now += kStep) {
    while (limits.Allows(kA, 1, now)) {
      limits.Consume(kA, 1, 1, now);
      sent.push_back(now);
    }
  }
  return sent;
}

}  // namespace

TEST_CASE("a target without a limit accepts all requests") {
  TargetLimits limits;
  CHECK(limits.empty());
  CHECK(limits.Allows(kA, 1, kStart));
  CHECK_FALSE(limits.RateOf(kA, 1));
  limits.Consume(kA, 1, 5, kStart);
  CHECK(limits.Allows(kA, 1, kStart));
}

TEST_CASE(
    "a limit is not exceeded in any window and is used fully while requests "
    "wait") {
  for (const double rate : {0.2, 1.0, 1.5, 7.3, 50.0, 400.0}) {
    CAPTURE(rate);
    TargetLimits limits;
    limits.RecordLimit(kA, 1, rate, kStart);
    const auto sent = SendAll(limits, kStart, seconds(60));
    const double most = 4 * rate + std::max(1.0, rate / 4);
    CHECK(static_cast<double>(MostInWindow(sent)) <= most);
    CHECK(static_cast<double>(sent.size()) >= std::floor(60 * rate * 0.98));
  }
}

TEST_CASE("unused permits do not accumulate") {
  TargetLimits limits;
  limits.RecordLimit(kA, 1, 1.5, kStart);
  const auto sent = SendAll(limits, kStart + seconds(100), seconds(4));
  CHECK(sent.size() <= 7);
}

TEST_CASE("a limit of zero leaves an occasional request to detect its end") {
  TargetLimits limits;
  limits.RecordLimit(kA, 1, 0, kStart);
  CHECK(limits.RateOf(kA, 1) == 0);
  CHECK(SendAll(limits, kStart, seconds(29)).empty());
  CHECK(SendAll(limits, kStart + seconds(29), seconds(31)).size() == 1);
}

TEST_CASE("a changed limit applies immediately") {
  TargetLimits limits;
  limits.RecordLimit(kA, 1, 10, kStart);
  SendAll(limits, kStart, seconds(10));
  CHECK(limits.RecordLimit(kA, 1, 1, kStart + seconds(10)));
  CHECK(SendAll(limits, kStart + seconds(10), seconds(4)).size() <= 5);
  CHECK(limits.RecordLimit(kA, 1, 10, kStart + seconds(14)));
  CHECK(SendAll(limits, kStart + seconds(14), seconds(4)).size() >= 39);
  CHECK_FALSE(limits.RecordLimit(kA, 1, 10, kStart + seconds(18)));
}

TEST_CASE("a limit ends with an answer to a later request that names none") {
  TargetLimits limits;
  limits.RecordLimit(kA, 1, 2, kStart + seconds(5));
  // Sent before the limit was named: its answer may be older than the limit.
  CHECK_FALSE(
      limits.RecordNoLimit(kA, 1, kStart + seconds(4), kStart + seconds(6)));
  CHECK(limits.RecordNoLimit(kA, 1, kStart + seconds(6), kStart + seconds(6)));
  CHECK(limits.Allows(kA, 1, kStart + seconds(6)));
  CHECK_FALSE(
      limits.RecordNoLimit(kA, 1, kStart + seconds(7), kStart + seconds(7)));
}

TEST_CASE(
    "a repeated report of another host does not renew the time when a limit "
    "was named") {
  TargetLimits limits;
  using MergeResult = TargetLimits::MergeResult;
  CHECK(limits.Merge({kA, 1, 1, 2.0}, kStart) == MergeResult::kChanged);
  CHECK(limits.Merge({kA, 1, 1, 2.0}, kStart + seconds(9)) ==
        MergeResult::kUnchanged);
  CHECK(limits.RecordNoLimit(kA, 1, kStart + seconds(1), kStart + seconds(9)));
}

TEST_CASE("an outdated report neither restores a limit nor ends one") {
  using MergeResult = TargetLimits::MergeResult;
  TargetLimits one;
  TargetLimits other;
  one.RecordLimit(kA, 1, 2, kStart);
  const auto named = one.ReportOf(kA, 1);
  REQUIRE(named);
  other.Merge(*named, kStart);
  REQUIRE(other.RecordNoLimit(kA, 1, kStart + seconds(1), kStart + seconds(1)));
  const auto ended = other.ReportOf(kA, 1);
  REQUIRE(ended);
  CHECK(other.Merge(*named, kStart + seconds(2)) == MergeResult::kOutdated);
  CHECK(one.Merge(*ended, kStart + seconds(2)) == MergeResult::kChanged);
  CHECK(one.empty());
  // Named again: the report of the end that is still in transit has no effect.
  CHECK(one.RecordLimit(kA, 1, 2, kStart + seconds(3)));
  CHECK(one.Merge(*ended, kStart + seconds(4)) == MergeResult::kOutdated);
  CHECK(other.Merge(*one.ReportOf(kA, 1), kStart + seconds(4)) ==
        MergeResult::kChanged);
  CHECK(other.RateOf(kA, 1) == 2);
}

TEST_CASE("two hosts that see different limits at once agree on one of them") {
  TargetLimits one;
  TargetLimits other;
  one.RecordLimit(kA, 1, 2, kStart);
  other.RecordLimit(kA, 1, 5, kStart);
  const auto first = one.ReportOf(kA, 1);
  const auto second = other.ReportOf(kA, 1);
  one.Merge(*second, kStart);
  other.Merge(*first, kStart);
  CHECK(one.ReportOf(kA, 1) == other.ReportOf(kA, 1));
  CHECK(one.RateOf(kA, 1) == 2);
}

TEST_CASE("the end of a limit is reported for some time") {
  TargetLimits limits;
  CHECK_FALSE(limits.RecentReportOf(kA, 1, kStart));
  limits.RecordLimit(kA, 1, 2, kStart);
  CHECK(limits.RecentReportOf(kA, 1, kStart + seconds(900)));
  limits.RecordNoLimit(kA, 1, kStart + seconds(1), kStart + seconds(1));
  CHECK(limits.RecentReportOf(kA, 1, kStart + seconds(20)));
  CHECK_FALSE(limits.RecentReportOf(kA, 1, kStart + seconds(90)));
}

TEST_CASE("a limit applies to one start of a target") {
  TargetLimits limits;
  limits.RecordLimit(kA, 1, 1, kStart);
  CHECK(limits.Allows(kA, 2, kStart));
  limits.RecordLimit(kA, 2, 5, kStart);
  // The answer of the earlier start arrives last.
  limits.RecordLimit(kA, 1, 1, kStart);
  CHECK(limits.RateOf(kA, 2) == 5);
  CHECK(limits.RecordNoLimit(kA, 1, kStart + seconds(1), kStart + seconds(1)));
  CHECK(limits.RateOf(kA, 2) == 5);
  CHECK(limits.size() == 1);
}

TEST_CASE("a host that takes over a placer restarts the count of permits") {
  TargetLimits limits;
  limits.RecordLimit(kA, 1, 1, kStart);
  const Time later = kStart + seconds(30);
  CHECK(limits.Allows(kA, 1, later));
  limits.RestartPermits(later);
  CHECK_FALSE(limits.Allows(kA, 1, later));
  CHECK(limits.NextAt(kA, 1, later) == later + seconds(1));
}

TEST_CASE("the number of limits is bounded and the oldest are dropped first") {
  TargetLimits limits;
  for (int i = 0; i < 4200; ++i) {
    limits.RecordLimit({"t" + std::to_string(i)}, 1, 1,
                       kStart + milliseconds(i));
  }
  CHECK(limits.size() == 4096);
  CHECK_FALSE(limits.RateOf({"t0"}, 1));
  CHECK(limits.RateOf({"t4199"}, 1) == 1);
}

TEST_CASE(
    "hosts on both sides of a partition grant less than one and a half "
    "limits") {
  struct Side {
    std::size_t live;
    std::size_t requesting;
    bool is_holder;
  };
  const auto sum = [](std::size_t fleet, const std::vector<Side>& sides) {
    double total = 0;
    for (const auto& side : sides) {
      total +=
          PartOfLimits({fleet, 0, side.live, side.requesting, side.is_holder})
              .share;
    }
    return total;
  };
  CHECK(sum(6, {{6, 6, true}}) == 1);
  // The holder for all hosts, and a host that cannot reach it.
  CHECK(sum(6, {{6, 5, true}, {6, 1, false}}) <= 1.2);
  CHECK(sum(6, {{4, 4, true}, {2, 2, true}}) <= 1.4);
  CHECK(sum(6, {{3, 3, true}, {3, 3, true}}) <= 1);
  CHECK(sum(295, {{148, 148, true}, {147, 147, true}}) < 1.5);
  const std::vector<Side> alone(295, {1, 1, true});
  CHECK(sum(295, alone) < 1.01);
  CHECK(PartOfLimits({0, 0, 0, 0, false}).share == 1);
}

TEST_CASE("hosts that died count as possible senders for a minute") {
  RecentHosts fleet;
  for (int i = 0; i < 6; ++i) fleet.MarkLive({"h" + std::to_string(i)}, kStart);
  fleet.MarkLive({"h0"}, kStart + seconds(50));
  CHECK(fleet.size(kStart + seconds(50)) == 6);
  CHECK(fleet.RankOf({"h2"}) == 2);
  CHECK(fleet.size(kStart + seconds(61)) == 1);
}

TEST_CASE(
    "hosts that grant independently of each other keep the limit together") {
  for (const std::size_t hosts : {6U, 70U, 295U}) {
    for (const double rate : {0.2, 1.0, 1.5, 20.0}) {
      CAPTURE(hosts);
      CAPTURE(rate);
      std::vector<Time> all;
      for (std::size_t host = 0; host < hosts; ++host) {
        TargetLimits limits;
        // Known for a long time and not used here while another host granted.
        limits.Merge({kA, 1, 1, rate}, kStart - seconds(100));
        // They lose contact with each other within half a second.
        const Time isolated_at = kStart + milliseconds(host * 37 % 500);
        limits.SetPart(PartOfLimits({hosts, host, 1, 1, true}), isolated_at);
        const auto sent = SendAll(limits, isolated_at, seconds(60));
        all.insert(all.end(), sent.begin(), sent.end());
      }
      std::sort(all.begin(), all.end());
      CHECK(static_cast<double>(MostInWindow(all)) <= 1.5 * rate * 4 + 5);
      CHECK(static_cast<double>(all.size()) >= 0.7 * rate * 60);
    }
  }
}
