// The hosts that read the store in a large fleet. Guards against calls that
// grow with the fleet, and against changes that no host reads.
#include "comfreyflow/store-readers.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

#include "comfreyflow/follow-plan.h"

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Time kStart{std::chrono::hours(1)};

/// Hosts in three failure domains; the first `large` ones have more capacity.
std::vector<ReaderCandidate> Fleet(std::size_t hosts, std::size_t large) {
  std::vector<ReaderCandidate> out;
  for (std::size_t i = 0; i < hosts; ++i) {
    out.push_back({{"host-" + std::to_string(i)},
                   {"domain-" + std::to_string(i % 3)},
                   i < large ? 50U : 12U,
                   false,
                   false});
  }
  return out;
}

std::map<HostName, Member> Members(std::size_t hosts, Time seen) {
  std::map<HostName, Member> members;
  for (const auto& host : Fleet(hosts, 0)) {
    Member& member = members[host.name];
    member.record.name = host.name;
    member.record.failure_domain = host.domain;
    member.last_seen = seen;
    member.facts.generation = 1;
  }
  return members;
}

FleetInfo Info(StoreRole role) { return {88, false, role}; }

}  // namespace

TEST_CASE("all hosts of a small fleet read the store") {
  CHECK(ChooseStoreReaders(Fleet(kMaxFleetOfReaders, 6)).size() ==
        kMaxFleetOfReaders);
}

TEST_CASE("the number of readers does not grow with the fleet") {
  for (const std::size_t hosts : {49, 88, 350}) {
    CHECK(ChooseStoreReaders(Fleet(hosts, 6)).size() == kStoreReaders);
  }
}

TEST_CASE("hosts of more capacity read first, and each domain has a reader") {
  const auto fleet = Fleet(88, 6);
  const auto readers = ChooseStoreReaders(fleet);
  std::map<FailureDomain, std::size_t> by_domain;
  for (const auto& host : fleet) {
    if (host.capacity == 50) CHECK(readers.contains(host.name));
    if (readers.contains(host.name)) ++by_domain[host.domain];
  }
  for (const auto& [domain, count] : by_domain)
    CHECK(count == kStoreReaders / 3);
}

TEST_CASE("a host that holds a placer reads the store") {
  auto fleet = Fleet(88, kStoreReaders);
  fleet.back().holds_placer = true;
  const auto readers = ChooseStoreReaders(fleet);
  CHECK(readers.contains(fleet.back().name));
  CHECK(readers.size() == kStoreReaders + 1);
}

TEST_CASE("other hosts read in place of those that can't reach the store") {
  auto fleet = Fleet(88, 6);
  for (std::size_t i = 0; i < 6; ++i) fleet[i].is_detached = true;
  const auto readers = ChooseStoreReaders(fleet);
  CHECK(readers.size() == kStoreReaders + 6);
  const auto attached =
      std::count_if(fleet.begin(), fleet.end(), [&readers](const auto& host) {
        return !host.is_detached && readers.contains(host.name);
      });
  CHECK(static_cast<std::size_t>(attached) == kStoreReaders);
}

TEST_CASE("the end of readers moves no reader that is left") {
  auto fleet = Fleet(88, 6);
  const auto before = ChooseStoreReaders(fleet);
  std::erase_if(fleet, [&before](const auto& host) {
    return host.name == *before.begin();
  });
  const auto after = ChooseStoreReaders(fleet);
  CHECK(after.size() == kStoreReaders);
  const auto kept = std::count_if(
      before.begin(), before.end(),
      [&after](const auto& name) { return after.contains(name); });
  CHECK(static_cast<std::size_t>(kept) == kStoreReaders - 1);
}

TEST_CASE("in a small fleet suspects count as hosts that read the store") {
  // Else the majority of attached hosts is computed over fewer hosts, and
  // placers move that stayed before.
  StoreReaderChoice choice;
  auto members = Members(6, kStart);
  members.begin()->second.state = MemberState::kSuspect;
  choice.Update(members, {members.rbegin()->first}, kStart);
  CHECK(choice.role() == StoreRole::kOneOfAll);
  CHECK(choice.Reads(members.begin()->first));
}

TEST_CASE("a host that never reached the store reads for no other") {
  StoreReaderChoice choice;
  auto members = Members(88, kStart);
  const StoreReaderChoice::Self self{members.rbegin()->first};
  choice.Update(members, self, kStart);
  const std::set<HostName> before = choice.readers();
  for (const auto& name : before) members[name].facts.unready = true;
  choice.Update(members, self, kStart);
  CHECK(choice.readers().size() == kStoreReaders);
  for (const auto& name : before) CHECK_FALSE(choice.Reads(name));
}

TEST_CASE("a host that hears from no reader reads the store itself") {
  StoreReaderChoice choice;
  const auto members = Members(88, kStart);
  const StoreReaderChoice::Self self{{"host-87"}};
  choice.Update(members, self, kStart);
  REQUIRE(choice.role() == StoreRole::kPassive);
  CHECK_FALSE(choice.Update(members, self, kStart + kReaderSilence));
  const Time late = kStart + kReaderSilence + milliseconds(1);
  CHECK(choice.Update(members, self, late));
  CHECK(choice.role() == StoreRole::kReader);

  SUBCASE("news of one reader is enough") {
    auto heard = members;
    for (auto& [name, member] : heard) {
      if (!choice.Reads(name)) continue;
      member.last_seen = late;
      break;
    }
    choice.Update(heard, self, late);
    CHECK(choice.role() == StoreRole::kPassive);
  }
  SUBCASE("news of others is not") {
    auto heard = members;
    for (auto& [name, member] : heard) {
      if (!choice.Reads(name)) member.last_seen = late;
    }
    choice.Update(heard, self, late);
    CHECK(choice.role() == StoreRole::kReader);
  }
}

TEST_CASE("a passive host makes no calls for what peers tell") {
  FollowPlan plan(1, 7);
  REQUIRE_FALSE(plan.RestTime(0, Info(StoreRole::kPassive), false, kStart));
  plan.Next(0, Info(StoreRole::kPassive));
  plan.Listed(0, {0, 5});
  const auto rest = plan.RestTime(0, Info(StoreRole::kPassive), false, kStart);
  REQUIRE(rest);
  CHECK(*rest <= kRoleCheckInterval);

  SUBCASE("it checks the store after a while, without waiting") {
    const Time later = kStart + 2 * 88 * kPassiveCheckSpacing + seconds(1);
    REQUIRE_FALSE(plan.RestTime(0, Info(StoreRole::kPassive), false, later));
    CHECK(plan.Next(0, Info(StoreRole::kPassive))->wait == Duration::zero());
    plan.Changed(0, {0, 6}, false, Info(StoreRole::kPassive));
    CHECK(plan.RestTime(0, Info(StoreRole::kPassive), false, later));
  }
  SUBCASE("as a reader it watches at once") {
    CHECK_FALSE(plan.RestTime(0, Info(StoreRole::kReader), false, kStart));
    CHECK(plan.Next(0, Info(StoreRole::kReader))->wait >= kMinWatchTime);
  }
  SUBCASE("what it is known to lag is read at once") {
    CHECK(plan.Behind(0));
    CHECK_FALSE(plan.RestTime(0, Info(StoreRole::kPassive), false, kStart));
    CHECK(plan.Next(0, Info(StoreRole::kPassive))->wait == Duration::zero());
  }
}

TEST_CASE("a passive host lists nothing that peers have told completely") {
  FollowPlan plan(1, 7);
  CHECK(plan.RestTime(0, Info(StoreRole::kPassive), true, kStart));
  CHECK_FALSE(plan.RestTime(0, Info(StoreRole::kReader), true, kStart));
  CHECK(plan.Next(0, Info(StoreRole::kReader))->list);
}

TEST_CASE("readers hear of a change sooner than passive hosts ask") {
  CHECK(PauseBetweenWatches(Info(StoreRole::kReader)) <= milliseconds(600));
  CHECK(PauseBetweenWatches(Info(StoreRole::kPassive)) >=
        4 * PauseBetweenWatches(Info(StoreRole::kReader)));
}
