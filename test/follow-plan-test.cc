// When a host lists and watches the object kinds that it follows in the store.
#include "comfreyflow/follow-plan.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kTargets = 0;
constexpr std::size_t kDocument = 1;

/// A plan with two kinds, both of which have been listed.
FollowPlan Listed(std::uint64_t seed = 1) {
  FollowPlan plan(2, seed);
  for (const std::size_t kind : {kTargets, kDocument}) {
    REQUIRE(plan.Next(kind, 1)->list);
    plan.Listed(kind, {0, 5});
  }
  return plan;
}

}  // namespace

TEST_CASE("in a small fleet an unresponsive watch is detected within 3 s") {
  constexpr Duration kConnectedAfter = seconds(3);
  constexpr Duration kCheckInterval = milliseconds(100);
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    FollowPlan plan = Listed(seed);
    for (const std::size_t hosts : {1, 2, 6, 8}) {
      const auto step = plan.Next(kTargets, hosts);
      REQUIRE(step);
      CHECK_FALSE(step->list);
      CHECK(step->wait + kWatchGrace + kCheckInterval <= kConnectedAfter);
      plan.Changed(kTargets, {0, 5}, false, {hosts});
    }
  }
}

TEST_CASE(
    "of many watches that started together some end early, and none exceeds "
    "the maximum") {
  for (const std::size_t hosts : {30, 65, 83, 350}) {
    Duration first = kMaxWatchTime;
    Duration last{};
    Duration total{};
    for (std::size_t host = 0; host < hosts; ++host) {
      FollowPlan plan = Listed(host + 1);
      const Duration wait = plan.Next(kTargets, hosts)->wait;
      first = std::min(first, wait);
      last = std::max(last, wait);
      total += wait;
    }
    CHECK(first <= milliseconds(3500));
    CHECK(last <= kMaxWatchTime);
    // The whole fleet makes 5 calls per second for one kind, and more only if
    // the maximum watch time limits the wait.
    const double mean = std::chrono::duration<double>(total).count() /
                        static_cast<double>(hosts);
    CHECK(static_cast<double>(hosts) / mean <
          std::max(6.0, static_cast<double>(hosts) / 14));
  }
}

TEST_CASE("watches that get no answer do not count as an outage of the store") {
  FollowPlan plan = Listed();
  for (const std::size_t kind : {kTargets, kDocument}) plan.Next(kind, 6);
  for (const std::size_t kind : {kTargets, kDocument}) {
    const auto effect = plan.Failed(kind);
    CHECK_FALSE(effect.store_lost);
    CHECK(effect.pause == Duration::zero());
  }
  // The next call does not wait; its answer shows that the store is reachable.
  CHECK(plan.Next(kTargets, 6)->wait == Duration::zero());
  const auto effect = plan.Changed(kTargets, {0, 9}, true, {6});
  CHECK_FALSE(effect.store_recovered);
  CHECK(plan.store_up());
  CHECK(plan.Next(kTargets, 6)->wait > Duration::zero());
}

TEST_CASE(
    "two consecutive failed calls are an outage, and only one kind probes it") {
  FollowPlan plan = Listed();
  for (const std::size_t kind : {kTargets, kDocument}) {
    plan.Next(kind, 6);
    plan.Failed(kind);
    REQUIRE(plan.Next(kind, 6));
  }
  CHECK_FALSE(plan.Failed(kTargets).store_lost);
  CHECK(plan.Failed(kDocument).store_lost);
  CHECK_FALSE(plan.store_up());
  CHECK_FALSE(plan.Next(kTargets, 6));
  CHECK(plan.Next(kDocument, 6)->wait == Duration::zero());
  CHECK(plan.Failed(kDocument).pause <= milliseconds(600));
  const auto effect = plan.Changed(kDocument, {0, 7}, true, {6});
  CHECK(effect.store_recovered);
  CHECK(effect.pause == Duration::zero());
  CHECK(effect.resumed == std::vector<std::size_t>{kTargets});
  CHECK(plan.store_up());
}

TEST_CASE("the retry delay grows with consecutive watches that get no answer") {
  FollowPlan plan = Listed();
  Duration before{};
  for (int i = 0; i < 12; ++i) {
    CHECK(plan.Next(kTargets, 6)->wait > Duration::zero());
    const auto effect = plan.Failed(kTargets);
    CHECK(*effect.pause >= before);
    CHECK(*effect.pause <= milliseconds(600));
    before = *effect.pause;
    plan.Next(kTargets, 6);
    plan.Changed(kTargets, {0, 5}, false, {6});
  }
  CHECK(before == milliseconds(600));
  plan.Next(kTargets, 6);
  plan.Changed(kTargets, {0, 5}, false, {6});
  plan.Next(kTargets, 6);
  CHECK(plan.Failed(kTargets).pause == Duration::zero());
}

TEST_CASE(
    "a kind that is known to be outdated is read at once, without waiting") {
  FollowPlan plan = Listed();
  plan.Next(kTargets, 83);
  CHECK(plan.Behind(kTargets));
  CHECK(plan.Next(kTargets, 83)->wait == Duration::zero());
  CHECK_FALSE(plan.Behind(kTargets));
  plan.Changed(kTargets, {0, 9}, true, {83});
  CHECK(plan.Next(kTargets, 83)->wait > Duration::zero());
}

TEST_CASE("a kind is listed again if the store no longer keeps its changes") {
  FollowPlan plan = Listed();
  plan.Next(kTargets, 6);
  CHECK(plan.HistoryExpired(kTargets).pause == Duration::zero());
  CHECK(plan.Next(kTargets, 6)->list);
}

TEST_CASE("before its first list a host retries at short intervals") {
  FollowPlan plan(2, 1);
  for (int i = 0; i < 6; ++i) {
    CHECK(plan.Next(kTargets, 1)->list);
    CHECK(*plan.Failed(kTargets).pause <= milliseconds(300));
  }
}

TEST_CASE(
    "in fleets of any size changes are in force in time, with few calls") {
  // `bound`: the time within which a change must be in force in a fleet of
  // `hosts` hosts, less the duration of a call.
  struct Fleet {
    std::size_t hosts;
    Duration bound;
  };
  for (const Fleet& fleet :
       {Fleet{6, milliseconds(2000)}, Fleet{70, milliseconds(3000)},
        Fleet{83, milliseconds(3000)}, Fleet{295, milliseconds(4000)},
        Fleet{350, milliseconds(4000)}}) {
    const Duration pause = PauseBetweenWatches({fleet.hosts, false});
    const Duration holder = PauseBetweenWatches({fleet.hosts, true});
    CHECK(pause + seconds(1) < fleet.bound);
    CHECK(holder <= pause);
    // Under continuous changes the fleet makes at most 200 calls per second for
    // a kind, a tenth of the 2,000 that the smallest store accepts.
    CHECK(static_cast<double>(fleet.hosts) /
              std::chrono::duration<double>(pause).count() <
          200);
  }
}

TEST_CASE(
    "in a large fleet enough watches end early, and most take the maximum "
    "time") {
  constexpr std::size_t kHosts = 295;
  int early = 0;
  int at_maximum = 0;
  for (std::size_t host = 0; host < kHosts; ++host) {
    FollowPlan plan = Listed(host + 1);
    const Duration wait = plan.Next(kTargets, kHosts)->wait;
    if (wait < seconds(10)) ++early;
    if (wait == kMaxWatchTime) ++at_maximum;
  }
  // About every half second one of the watches that started together ends.
  CHECK(early >= 16);
  CHECK(at_maximum > kHosts / 2);
}

TEST_CASE("in a new era each kind is listed again, whatever its revision") {
  FollowPlan plan(2, 1);
  for (const std::size_t kind : {kTargets, kDocument}) {
    REQUIRE(plan.Next(kind, 6)->list);
    plan.Listed(kind, {1, 5});
  }
  REQUIRE_FALSE(plan.Next(kTargets, 6)->list);
  const auto relists = plan.EraChanged(2, 6);
  REQUIRE(relists.size() == 2);
  for (const auto& relist : relists) {
    CHECK(relist.wait <= 6 * kRelistSpacing);
    CHECK(plan.Next(relist.kind, 6)->list);
  }
  SUBCASE("a list of the earlier era is not accepted") {
    CHECK(plan.Listed(kTargets, {1, 9}).pause > Duration::zero());
    CHECK(plan.Next(kTargets, 6)->list);
  }
  SUBCASE("a list of the new era is, at a lower revision") {
    plan.Listed(kTargets, {2, 3});
    CHECK_FALSE(plan.Next(kTargets, 6)->list);
    CHECK(plan.version(kTargets) == StoreVersion{2, 3});
  }
}

TEST_CASE("a list that shows the new era is not made twice") {
  FollowPlan plan(2, 1);
  REQUIRE(plan.Next(kTargets, 6)->list);
  REQUIRE(plan.Next(kDocument, 6)->list);
  plan.Listed(kDocument, {1, 5});
  const auto relists = plan.EraChanged(2, 6);
  REQUIRE(relists.size() == 1);
  CHECK(relists.front().kind == kDocument);
  plan.Listed(kTargets, {2, 5});
  CHECK_FALSE(plan.Next(kTargets, 6)->list);
}

TEST_CASE("the lists of a large fleet in a new era are spread in time") {
  constexpr std::size_t kHosts = 295;
  constexpr Duration kSlot = milliseconds(50);
  std::map<Duration::rep, int> calls;
  for (std::size_t host = 0; host < kHosts; ++host) {
    FollowPlan plan = Listed(host + 1);
    for (const auto& relist : plan.EraChanged(2, kHosts)) {
      CHECK(relist.wait <= milliseconds(600));
      ++calls[relist.wait / kSlot];
    }
  }
  // 1,000 calls a second on average; the store of a large fleet bears 6,000.
  for (const auto& [slot, count] : calls) CHECK(count <= 150);
}

TEST_CASE("a kind that waits for the store is listed when it answers") {
  FollowPlan plan = Listed();
  plan.Behind(kTargets);
  for (int i = 0; i < 3; ++i) {
    plan.Next(kTargets, 6);
    plan.Behind(kTargets);
    plan.Next(kTargets, 6);
    plan.Failed(kTargets);
  }
  REQUIRE_FALSE(plan.store_up());
  CHECK_FALSE(plan.Next(kDocument, 6));
  CHECK(plan.EraChanged(2, 6).size() == 1);
  CHECK(plan.Next(kTargets, 6)->list);
  const auto effect = plan.Listed(kTargets, {2, 1});
  CHECK(effect.store_recovered);
  REQUIRE(effect.resumed.size() == 1);
  CHECK(plan.Next(kDocument, 6)->list);
}

TEST_CASE("a later era that a peer announced is checked once a second") {
  FollowPlan plan = Listed();
  const Time now{std::chrono::hours(1)};
  CHECK_FALSE(plan.EraAnnounced(4, 4, 6, now));
  CHECK_FALSE(plan.EraAnnounced(3, 4, 6, now));
  CHECK_FALSE(plan.EraAnnounced(kMaxStoreEra + 1, 0, 6, now));
  CHECK_FALSE(plan.EraAnnounced(4 + kMaxEraRise + 1, 4, 6, now));
  const auto wait = plan.EraAnnounced(5, 4, 6, now);
  REQUIRE(wait);
  CHECK(*wait <= 6 * kRelistSpacing);
  CHECK_FALSE(plan.EraAnnounced(6, 4, 6, now + milliseconds(999)));
  CHECK(plan.EraAnnounced(6, 4, 6, now + seconds(1)));
}
