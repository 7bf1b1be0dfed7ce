// Selection of the holder of a placer: large and long-running hosts are
// preferred, and placers move rarely.
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

TEST_CASE("without candidates there is no holder") {
  CHECK(ChooseHolder({}, {"s"}).value.empty());
}

TEST_CASE("a newly started host does not take over placers") {
  auto hosts = Hosts(6, 1'000'000);
  const HostName before = ChooseHolder(hosts, {"s"});
  for (int i = 0; i < 20; ++i) {
    hosts.push_back({{"new" + std::to_string(i)}, {1'010'000}, 25});
    CHECK(ChooseHolder(hosts, {"s"}) == before);
  }
}

TEST_CASE("the end of a host moves only the placers that it held") {
  const auto hosts = Hosts(8, 1'000'000);
  const HostName holder = ChooseHolder(hosts, {"s"});
  for (const auto& removed : hosts) {
    std::vector<HolderCandidate> remaining;
    for (const auto& host : hosts) {
      if (host.name != removed.name) remaining.push_back(host);
    }
    const HostName next = ChooseHolder(remaining, {"s"});
    CHECK((next == holder) == (removed.name != holder));
  }
}

TEST_CASE(
    "a host that was cut off does not take over placers when it returns") {
  auto hosts = Hosts(6, 1'000'000);
  const HostName holder = ChooseHolder(hosts, {"s"});
  std::vector<HolderCandidate> remaining;
  for (const auto& host : hosts) {
    if (host.name != holder) remaining.push_back(host);
  }
  const HostName next = ChooseHolder(remaining, {"s"});
  for (auto& host : hosts) host.was_detached = host.name == holder;
  CHECK(ChooseHolder(hosts, {"s"}) == next);
  for (auto& host : hosts) host.was_detached = true;
  CHECK(ChooseHolder(hosts, {"s"}) == holder);
}

TEST_CASE("services are spread over hosts that started together") {
  const auto hosts = Hosts(8, 1'000'000);
  std::set<HostName> holders;
  for (int i = 0; i < 40; ++i) {
    holders.insert(ChooseHolder(hosts, {"s" + std::to_string(i)}));
  }
  CHECK(holders.size() >= 6);
}

TEST_CASE("a small host holds no placer if there is a large one") {
  auto hosts = Hosts(20, 1'000'000);
  for (auto& host : hosts) host.capacity = 12;
  hosts.push_back({{"large"}, {1'050'000}, 50});
  for (int i = 0; i < 10; ++i) {
    CHECK(ChooseHolder(hosts, {"s" + std::to_string(i)}).value == "large");
  }
}

TEST_CASE(
    "a host that alone is cut off from the store loses its placers after a "
    "delay") {
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

TEST_CASE("no placer moves when all hosts lose the store one after another") {
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

TEST_CASE("hosts of a large fleet that are cut off lose their placers") {
  // Detached hosts that do not read for the fleet count as well, so they
  // outnumber the readers although most hosts are attached.
  HolderEligibility eligibility;
  Time now{std::chrono::hours(1)};
  std::vector<HostView> hosts;
  for (int i = 0; i < 88; ++i) {
    hosts.push_back({{"h" + std::to_string(i)}, false, i < 29, i < 41});
  }
  for (int i = 0; i < 20; ++i) {
    eligibility.Update(hosts, now += std::chrono::milliseconds(250));
  }
  CHECK(eligibility.IsExcluded({"h0"}));
  CHECK_FALSE(eligibility.IsExcluded({"h80"}));
}

TEST_CASE("no placer moves when the readers of a large fleet lose the store") {
  HolderEligibility eligibility;
  Time now{std::chrono::hours(1)};
  std::vector<HostView> hosts;
  for (int i = 0; i < 88; ++i) {
    hosts.push_back({{"h" + std::to_string(i)}, false, false, i < 12});
  }
  eligibility.Update(hosts, now);
  now += std::chrono::minutes(1);
  // Each time the readers are all cut off, others read and notice it too.
  for (int cut_off = 12; cut_off <= 84; cut_off += 12) {
    for (int i = 0; i < 88; ++i) {
      auto& host = hosts[static_cast<std::size_t>(i)];
      host.is_detached = i < cut_off;
      host.reads_store = i < cut_off + 12;
    }
    for (int i = 0; i < 12; ++i) {
      eligibility.Update(hosts, now += std::chrono::milliseconds(250));
      CHECK_FALSE(eligibility.IsExcluded({"h0"}));
    }
  }
}

TEST_CASE("hosts that are cut off hold placers before hosts that cannot") {
  HolderEligibility eligibility;
  std::vector<HostView> hosts = {
      {{"a"}, false, true}, {{"b"}, true}, {{"c"}, true}, {{"d"}, true}};
  Time now{std::chrono::hours(1)};
  eligibility.Update(hosts, now);
  now += kDetachedGrace + std::chrono::milliseconds(1);
  eligibility.Update(hosts, now);
  CHECK(eligibility.IsExcluded({"a"}));
  CHECK(eligibility.MayHold({"a"}));
  CHECK_FALSE(eligibility.MayHold({"b"}));
}

TEST_CASE(
    "unavailable hosts hold no placers unless all hosts are unavailable") {
  HolderEligibility eligibility;
  std::vector<HostView> hosts = {{{"a"}, true}, {{"b"}}};
  eligibility.Update(hosts, Time{});
  CHECK_FALSE(eligibility.MayHold({"a"}));
  hosts[1].is_unavailable = true;
  eligibility.Update(hosts, Time{});
  CHECK(eligibility.MayHold({"a"}));
}
