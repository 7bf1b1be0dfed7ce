// The membership under host failures, datagram loss, pauses, network partitions
// and restarts, in virtual time over a simulated network.
#include <doctest/doctest.h>

#include <set>

#include "comfreyflow/config-state.h"
#include "comfreyflow/stewardship.h"
#include "gossip-net-impl.h"

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using comfreyflow::testing::GossipNet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

void StartAll(GossipNet& net, Duration limit) {
  for (int i = 0; i < net.size(); ++i) net.Start(i);
  REQUIRE(net.RunUntil([&] { return net.Agreed(); }, limit) < limit);
  net.Run(seconds(5));
}

template <class Event>
int CountEvents(const std::vector<MembershipEvent>& events) {
  int count = 0;
  for (const auto& event : events)
    count += std::holds_alternative<Event>(event);
  return count;
}

int CountDeaths(const std::vector<MembershipEvent>& events) {
  int count = 0;
  for (const auto& event : events) {
    const auto* change = std::get_if<MemberChanged>(&event);
    count += change != nullptr && change->state == MemberState::kDead;
  }
  return count;
}

}  // namespace

TEST_CASE("eight hosts: all notice the death of a host within five seconds") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    GossipNet net({.hosts = 8, .seed = seed});
    StartAll(net, seconds(10));
    const int victim = static_cast<int>(seed % 8);
    net.Kill(victim);
    CHECK(net.RunUntil([&] { return net.AllDropped(victim); }, seconds(20)) <=
          seconds(5));
  }
}

TEST_CASE("350 hosts: all notice the death of a host within ten seconds") {
  GossipNet net({.hosts = 350, .domains = 7, .seed = 3});
  StartAll(net, seconds(60));
  net.Kill(17);
  CHECK(net.RunUntil([&] { return net.AllDropped(17); }, seconds(30)) <=
        seconds(10));
}

TEST_CASE(
    "the death of a complete failure domain is noticed within six seconds") {
  GossipNet net({.hosts = 8, .seed = 5});
  StartAll(net, seconds(10));
  for (int i = 0; i < 8; i += 3) net.Kill(i);
  CHECK(net.RunUntil([&] { return net.Agreed(); }, seconds(20)) <= seconds(6));
}

TEST_CASE("two percent loss: no host is declared dead in ten minutes") {
  GossipNet net({.hosts = 8, .loss = 0.02, .seed = 9});
  StartAll(net, seconds(10));
  for (auto& events : net.events()) events.clear();
  net.Run(seconds(600));
  for (const auto& events : net.events()) CHECK(CountDeaths(events) == 0);
  CHECK(net.Agreed());
}

TEST_CASE(
    "a paused host is live again after its pause and stays so, under loss") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    GossipNet net({.hosts = 8, .loss = 0.02, .seed = seed});
    StartAll(net, seconds(10));
    for (auto& events : net.events()) events.clear();
    net.Pause(2, seconds(15));
    net.Run(seconds(14));
    CHECK(net.node(0).members().at(net.name(2)).state == MemberState::kDead);
    net.Run(seconds(1));
    CHECK(net.RunUntil([&] { return net.Agreed(); }, seconds(30)) <=
          seconds(5));
    // The paused host declares no other host dead because of its own pause.
    CHECK(CountDeaths(net.events()[2]) == 0);
    net.Run(seconds(60));
    CHECK(net.Agreed());
  }
}

TEST_CASE("two halves of a partition agree within ten seconds of its healing") {
  for (const int hosts : {8, 64}) {
    CAPTURE(hosts);
    GossipNet net({.hosts = hosts, .loss = 0.02, .seed = 21});
    StartAll(net, seconds(30));
    net.Partition([](int host) { return host % 2; });
    net.Run(seconds(90));
    CHECK(net.node(0).Live().size() == static_cast<std::size_t>(hosts / 2));
    net.Heal();
    CHECK(net.RunUntil([&] { return net.Agreed(); }, seconds(30)) <=
          seconds(10));
  }
}

TEST_CASE(
    "a host cut off for long does not count itself as the complete fleet") {
  GossipNet net({.hosts = 8, .seed = 17});
  StartAll(net, seconds(10));
  net.Partition([](int host) { return host == 2 ? 1 : 0; });
  net.Run(std::chrono::minutes(15));
  CHECK_FALSE(HasQuorum(net.node(2).members()));
  CHECK(HasQuorum(net.node(0).members()));
  CHECK(net.node(0).members().size() == 7);
  net.Heal();
  CHECK(net.RunUntil([&] { return net.Agreed(); }, seconds(20)) <= seconds(10));
}

TEST_CASE("a restarted host replaces its previous incarnation") {
  GossipNet net({.hosts = 8, .seed = 4});
  StartAll(net, seconds(10));
  const Incarnation before =
      net.node(0).members().at(net.name(5)).record.incarnation;
  net.Kill(5);
  net.Start(5);
  net.Run(seconds(5));
  const Member& member = net.node(0).members().at(net.name(5));
  CHECK(member.record.incarnation > before);
  CHECK(member.state == MemberState::kAlive);
}

TEST_CASE("a host that starts knows the others within 250 milliseconds") {
  GossipNet net({.hosts = 8, .seed = 5});
  for (int i = 0; i < 8; ++i) net.Start(i);
  net.Run(seconds(30));
  net.Kill(3);
  net.Run(seconds(20));
  net.Start(3);
  std::vector<ListedHost> listed;
  for (int i = 0; i < 8; ++i) {
    const auto& self = net.node(i).members().at(net.name(i));
    listed.push_back({net.name(i), self.record.gossip, false});
  }
  net.node(3).SetPlatformList(listed);
  net.Run(milliseconds(250));
  CHECK(net.node(3).Live().size() == 8);
}

TEST_CASE("a host that announces its leaving is dropped and stays dropped") {
  GossipNet net({.hosts = 8, .seed = 6});
  StartAll(net, seconds(10));
  const MembershipOutput leave = net.node(3).Leave(net.now());
  net.Kill(3);
  for (const SendDatagram& send : leave.datagrams) {
    for (int i = 0; i < 8; ++i) {
      if (!net.up(i)) continue;
      if (net.node(i).members().at(net.name(i)).record.gossip == send.to) {
        net.node(i).Handle(send.datagram, "10.1.0.4:7400", net.now());
      }
    }
  }
  CHECK(net.RunUntil([&] { return net.AllDropped(3); }, seconds(5)) <=
        seconds(2));
  CHECK(net.node(0).members().at(net.name(3)).state == MemberState::kLeft);
}

TEST_CASE("every host sees that a host is draining within two seconds") {
  for (const int hosts : {8, 128}) {
    CAPTURE(hosts);
    GossipNet net({.hosts = hosts, .loss = 0.02, .seed = 8});
    StartAll(net, seconds(60));
    net.Run(seconds(20));
    net.node(2).SetFacts({0, 5, true});
    const auto all_see_draining = [&] {
      for (int i = 0; i < hosts; ++i) {
        if (net.node(i).Serving().size() + 1 != net.node(i).Live().size()) {
          return false;
        }
      }
      return true;
    };
    CHECK(net.RunUntil(all_see_draining, seconds(10)) <= seconds(2));
    CHECK(net.node(0).Live().size() == static_cast<std::size_t>(hosts));
  }
}

TEST_CASE("a target with two stewards has one again after a partition heals") {
  GossipNet net({.hosts = 8, .seed = 31});
  StartAll(net, seconds(10));
  const auto count_stewards = [&] {
    std::set<HostName> names;
    for (int i = 0; i < 8; ++i) {
      names.insert(StewardOf(net.node(i).Serving(), {"engine-1"}));
    }
    return names.size();
  };
  CHECK(count_stewards() == 1);
  net.Partition([](int host) { return host % 2; });
  net.Run(seconds(30));
  CHECK(count_stewards() == 2);
  net.Heal();
  CHECK(net.RunUntil([&] { return count_stewards() == 1; }, seconds(20)) <=
        seconds(10));
}

TEST_CASE("a mark reaches every host once, and an older mark changes nothing") {
  GossipNet net({.hosts = 32, .loss = 0.02, .seed = 10});
  StartAll(net, seconds(30));
  for (auto& events : net.events()) events.clear();
  net.node(0).ShareTarget({{"engine-1"}, {0, 7}, true});
  net.node(1).ShareSuspect({42, 2});
  net.Run(seconds(4));
  for (int i = 0; i < 32; ++i) {
    CAPTURE(i);
    CHECK(CountEvents<TargetMark>(net.events()[i]) == (i == 0 ? 0 : 1));
    CHECK(CountEvents<SuspectMark>(net.events()[i]) == (i == 1 ? 0 : 1));
  }
  for (auto& events : net.events()) events.clear();
  net.node(3).ShareTarget({{"engine-1"}, {0, 6}, false});
  net.Run(seconds(4));
  for (int i = 0; i < 32; ++i)
    CHECK(CountEvents<TargetMark>(net.events()[i]) == 0);
}

TEST_CASE("a new era of the store reaches every host within two seconds") {
  GossipNet net({.hosts = 64, .loss = 0.02, .seed = 12});
  StartAll(net, seconds(30));
  for (int i = 0; i < 64; ++i) net.node(i).SetStoreEra(4);
  for (auto& events : net.events()) events.clear();
  net.node(0).SetStoreEra(5);
  const auto has_heard = [&net](int host) {
    const auto& events = net.events()[host];
    return std::any_of(events.begin(), events.end(), [](const auto& event) {
      const auto* heard = std::get_if<StoreEraAnnounced>(&event);
      return heard != nullptr && heard->era == 5;
    });
  };
  // Each host that has heard of it sees it in its next call to the store.
  const Duration took = net.RunUntil(
      [&] {
        int known = 1;
        for (int i = 1; i < 64; ++i) {
          if (!has_heard(i)) continue;
          net.node(i).SetStoreEra(5);
          ++known;
        }
        return known == 64;
      },
      seconds(10));
  CHECK(took <= seconds(2));
}

TEST_CASE("every host knows within two seconds that one is not ready") {
  constexpr int kHosts = 64;
  GossipNet net({.hosts = kHosts, .loss = 0.02, .seed = 21});
  StartAll(net, seconds(30));
  const HostName name = net.name(0);
  for (const bool unready : {true, false}) {
    HostFacts facts;
    facts.unready = unready;
    net.node(0).SetFacts(facts);
    const Duration took = net.RunUntil(
        [&] {
          int known = 0;
          for (int i = 1; i < kHosts; ++i) {
            known += net.node(i).members().at(name).facts.unready == unready;
          }
          return known == kHosts - 1;
        },
        seconds(10));
    CHECK(took <= seconds(2));
  }
}

TEST_CASE("hosts that are not ready take on duties only if none is") {
  GossipNet net({.hosts = 3, .loss = 0, .seed = 4});
  StartAll(net, seconds(10));
  HostFacts unready;
  unready.unready = true;
  net.node(0).SetFacts(unready);
  net.Run(seconds(2));
  for (int i = 0; i < 3; ++i) {
    const auto serving = net.node(i).Serving();
    CHECK(serving.size() == 2);
    CHECK(std::count(serving.begin(), serving.end(), net.name(0)) == 0);
  }
  for (int i = 1; i < 3; ++i) net.node(i).SetFacts(unready);
  net.Run(seconds(2));
  for (int i = 0; i < 3; ++i) CHECK(net.node(i).Serving().size() == 3);
}

TEST_CASE("an evacuation reaches every host within two seconds") {
  constexpr int kHosts = 64;
  const EvacuationState before{{1, 6}, {}};
  const EvacuationState after{{1, 9}, {{"z1"}}};
  GossipNet net({.hosts = kHosts, .loss = 0.02, .seed = 12});
  StartAll(net, seconds(30));
  for (int i = 0; i < kHosts; ++i) net.node(i).SetEvacuations(before);
  for (auto& events : net.events()) events.clear();
  net.node(0).SetEvacuations(after);
  const Duration took = net.RunUntil(
      [&] {
        int known = 1;
        for (int i = 1; i < kHosts; ++i) {
          for (const auto& event : net.events()[i]) {
            const auto* heard = std::get_if<EvacuationsAnnounced>(&event);
            if (heard == nullptr) continue;
            CHECK(heard->state == after);
            net.node(i).SetEvacuations(heard->state);
            ++known;
            break;
          }
        }
        return known == kHosts;
      },
      seconds(10));
  CHECK(took <= seconds(2));
  // A host that lags tells nothing, and a host that follows no evacuations is
  // told them without an effect on the others.
  net.Run(seconds(1));
  for (auto& events : net.events()) events.clear();
  net.node(1).SetEvacuations(before);
  net.node(2).SetEvacuations(std::nullopt);
  net.Run(seconds(3));
  for (int i = 0; i < kHosts; ++i) {
    CAPTURE(i);
    const int heard = CountEvents<EvacuationsAnnounced>(net.events()[i]);
    CHECK((heard > 0) == (i == 1 || i == 2));
  }
}

TEST_CASE("a mark without an era is newer than one of the era before") {
  GossipNet net({.hosts = 4, .loss = 0, .seed = 3});
  StartAll(net, seconds(10));
  for (int i = 0; i < 4; ++i) net.node(i).SetStoreEra(2);
  net.node(0).ShareTarget({{"engine-1"}, {1, 90}, true});
  net.Run(seconds(3));
  for (auto& events : net.events()) events.clear();
  net.node(1).ShareTarget({{"engine-1"}, {0, 40}, true});
  net.Run(seconds(3));
  CHECK(CountEvents<TargetMark>(net.events()[2]) == 1);
}

TEST_CASE("a host exchanges less than four kilobytes a second on average") {
  for (const int hosts : {8, 128}) {
    CAPTURE(hosts);
    GossipNet net({.hosts = hosts, .domains = 7, .seed = 12});
    StartAll(net, seconds(60));
    net.ResetCounters();
    net.Run(seconds(30));
    CHECK(2 * net.bytes_sent() / 30 / hosts < 4096);
    CHECK(net.peak_bytes() < 2 * 4096);
  }
}

TEST_CASE("a replayed datagram does not keep its dead sender alive") {
  GossipNet net({.hosts = 8, .seed = 14});
  StartAll(net, seconds(10));
  Datagram replayed;
  const Member& victim = net.node(0).members().at(net.name(4));
  replayed.sender = victim.id;
  replayed.kind = DatagramKind::kAnswer;
  replayed.sequence = 1;
  net.Kill(4);
  const auto dropped = [&] {
    net.node(0).Handle(replayed, "10.1.0.5:7400", net.now());
    return net.AllDropped(4);
  };
  CHECK(net.RunUntil(dropped, seconds(20)) <= seconds(5));
}
