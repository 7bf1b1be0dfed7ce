// Who holds a placer: large and old hosts, and few moves.
#include "comfreyflow/holder.h"

#include <doctest/doctest.h>

#include <set>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)

namespace {

std::vector<HolderCandidate> Hosts(int count, std::uint64_t started) {
  std::vector<HolderCandidate> hosts;
  for (int i = 0; i < count; ++i) {
    hosts.push_back({{"h" + std::to_string(i)}, {started}, 25});
  }
  return hosts;
}

}  // namespace

TEST_CASE("no candidate, no holder") {
  CHECK(ChooseHolder({}, {"s"}).value.empty());
}

TEST_CASE("a host that starts takes no placer over") {
  auto hosts = Hosts(6, 1'000'000);
  const HostName before = ChooseHolder(hosts, {"s"});
  for (int i = 0; i < 20; ++i) {
    hosts.push_back({{"new" + std::to_string(i)}, {1'010'000}, 25});
    CHECK(ChooseHolder(hosts, {"s"}) == before);
  }
}

TEST_CASE("the end of a host moves only what it held") {
  const auto hosts = Hosts(8, 1'000'000);
  const HostName holder = ChooseHolder(hosts, {"s"});
  for (const auto& gone : hosts) {
    std::vector<HolderCandidate> rest;
    for (const auto& host : hosts) {
      if (host.name != gone.name) rest.push_back(host);
    }
    const HostName next = ChooseHolder(rest, {"s"});
    CHECK((next == holder) == (gone.name != holder));
  }
}

TEST_CASE("a host that was cut off takes nothing over when it is back") {
  auto hosts = Hosts(6, 1'000'000);
  const HostName holder = ChooseHolder(hosts, {"s"});
  std::vector<HolderCandidate> rest;
  for (const auto& host : hosts) {
    if (host.name != holder) rest.push_back(host);
  }
  const HostName next = ChooseHolder(rest, {"s"});
  for (auto& host : hosts) host.was_detached = host.name == holder;
  CHECK(ChooseHolder(hosts, {"s"}) == next);
  for (auto& host : hosts) host.was_detached = true;
  CHECK(ChooseHolder(hosts, {"s"}) == holder);
}

TEST_CASE("services spread over hosts of one start") {
  const auto hosts = Hosts(8, 1'000'000);
  std::set<HostName> holders;
  for (int i = 0; i < 40; ++i) {
    holders.insert(ChooseHolder(hosts, {"s" + std::to_string(i)}));
  }
  CHECK(holders.size() >= 6);
}

TEST_CASE("a small host holds nothing beside a large one") {
  auto hosts = Hosts(20, 1'000'000);
  for (auto& host : hosts) host.capacity = 12;
  hosts.push_back({{"large"}, {1'050'000}, 50});
  for (int i = 0; i < 10; ++i) {
    CHECK(ChooseHolder(hosts, {"s" + std::to_string(i)}).value == "large");
  }
}

TEST_CASE("a host that is cut off alone loses its duties after a while") {
  HolderEligibility eligibility;
  Time now{std::chrono::hours(1)};
  std::vector<HostView> hosts = {{{"a"}}, {{"b"}}, {{"c"}}};
  eligibility.Update(hosts, now);
  CHECK(eligibility.MayHold({"a"}));
  hosts[0].is_detached = true;
  eligibility.Update(hosts, now);
  CHECK(eligibility.MayHold({"a"}));
  now += kDetachedGrace + std::chrono::milliseconds(1);
  eligibility.Update(hosts, now);
  CHECK_FALSE(eligibility.MayHold({"a"}));
  CHECK(eligibility.IsExcluded({"a"}));
  CHECK(eligibility.MayHold({"b"}));
  hosts[0].is_detached = false;
  eligibility.Update(hosts, now);
  CHECK(eligibility.MayHold({"a"}));
  CHECK_FALSE(eligibility.IsExcluded({"a"}));
}

TEST_CASE("nothing moves when all hosts lose the store one after another") {
  HolderEligibility eligibility;
  Time now{std::chrono::hours(1)};
  std::vector<HostView> hosts;
  for (int i = 0; i < 10; ++i) hosts.push_back({{"h" + std::to_string(i)}});
  for (auto& host : hosts) {
    host.is_detached = true;
    eligibility.Update(hosts, now);
    for (const auto& each : hosts) CHECK(eligibility.MayHold(each.name));
    now += std::chrono::milliseconds(150);
  }
  for (int i = 0; i < 40; ++i) {
    eligibility.Update(hosts, now += std::chrono::milliseconds(250));
    for (const auto& each : hosts) CHECK(eligibility.MayHold(each.name));
  }
}

TEST_CASE("hosts that stop or know nothing hold nothing, unless all do") {
  HolderEligibility eligibility;
  std::vector<HostView> hosts = {{{"a"}, true}, {{"b"}}};
  eligibility.Update(hosts, Time{});
  CHECK_FALSE(eligibility.MayHold({"a"}));
  hosts[1].is_unavailable = true;
  eligibility.Update(hosts, Time{});
  CHECK(eligibility.MayHold({"a"}));
}
