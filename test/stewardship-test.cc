// Rendezvous hashing: balance, few reassignments, independence of the host
// order.
#include "comfreyflow/stewardship.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)

namespace {

std::vector<HostName> Hosts(int count) {
  std::vector<HostName> hosts;
  for (int i = 0; i < count; ++i) hosts.push_back({"h" + std::to_string(i)});
  return hosts;
}

std::vector<TargetName> Targets(int count) {
  std::vector<TargetName> targets;
  for (int i = 0; i < count; ++i) targets.push_back({"t" + std::to_string(i)});
  return targets;
}

}  // namespace

TEST_CASE("when a host leaves, only its own targets get another steward") {
  const auto before = Hosts(8);
  auto after = before;
  after.erase(after.begin() + 3);
  int moved = 0;
  for (const TargetName& target : Targets(600)) {
    const HostName old = StewardOf(before, target);
    const HostName now = StewardOf(after, target);
    if (old == now) continue;
    CHECK(old == before[3]);
    ++moved;
  }
  CHECK(moved > 40);
  CHECK(moved < 120);
}

TEST_CASE("duties are balanced and do not depend on the order of the hosts") {
  auto hosts = Hosts(350);
  std::map<HostName, int> duties;
  for (const TargetName& target : Targets(600))
    ++duties[StewardOf(hosts, target)];
  int max_duties = 0;
  for (const auto& [host, count] : duties)
    max_duties = std::max(max_duties, count);
  CHECK(max_duties <= 9);
  const HostName first = StewardOf(hosts, {"t7"});
  std::reverse(hosts.begin(), hosts.end());
  CHECK(StewardOf(hosts, {"t7"}) == first);
  CHECK(StewardOf({}, {"t7"}) == HostName{});
}

TEST_CASE(
    "ranked hosts are distinct, and the second becomes first when the first "
    "leaves") {
  auto hosts = Hosts(8);
  const auto ranked = RankHosts(hosts, "duty", 3);
  REQUIRE(ranked.size() == 3);
  std::erase(hosts, ranked[0]);
  CHECK(RankHosts(hosts, "duty", 1)[0] == ranked[1]);
  CHECK(RankHosts(hosts, "duty", 99).size() == 7);
}

TEST_CASE("each target is the duty of exactly one host") {
  const auto hosts = Hosts(8);
  const auto targets = Targets(100);
  std::size_t total = 0;
  for (const HostName& host : hosts) {
    total += DutiesOf(host, hosts, targets).size();
  }
  CHECK(total == targets.size());
}
