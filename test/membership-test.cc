// The membership under deaths, loss, pauses, splits and restarts, in virtual
// time over a network that loses and delays.
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
int Count(const std::vector<MembershipEvent>& events) {
  int count = 0;
  for (const auto& event : events)
    count += std::holds_alternative<Event>(event);
  return count;
}

int Deaths(const std::vector<MembershipEvent>& events) {
  int count = 0;
  for (const auto& event : events) {
    const auto* change = std::get_if<MemberChanged>(&event);
    count += change != nullptr && change->state == MemberState::kDead;
  }
  return count;
}

}  // namespace

TEST_CASE("eight hosts: every death is noticed by all within five seconds") {
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

TEST_CASE("350 hosts: a death is noticed by all within ten seconds") {
  GossipNet net({.hosts = 350, .domains = 7, .seed = 3});
  StartAll(net, seconds(60));
  net.Kill(17);
  CHECK(net.RunUntil([&] { return net.AllDropped(17); }, seconds(30)) <=
        seconds(10));
}

TEST_CASE("a failure domain's death at once is noticed in time") {
  GossipNet net({.hosts = 8, .seed = 5});
  StartAll(net, seconds(10));
  for (int i = 0; i < 8; i += 3) net.Kill(i);
  CHECK(net.RunUntil([&] { return net.Agreed(); }, seconds(20)) <= seconds(6));
}

TEST_CASE("two percent loss: nobody is declared dead in ten minutes") {
  GossipNet net({.hosts = 8, .loss = 0.02, .seed = 9});
  StartAll(net, seconds(10));
  for (auto& events : net.events()) events.clear();
  net.Run(seconds(600));
  for (const auto& events : net.events()) CHECK(Deaths(events) == 0);
  CHECK(net.Agreed());
}

TEST_CASE("a paused host comes back, under loss, and nothing lasts") {
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
    // The paused host blames nobody else for its own silence.
    CHECK(Deaths(net.events()[2]) == 0);
    net.Run(seconds(60));
    CHECK(net.Agreed());
  }
}

TEST_CASE("two halves that parted agree within ten seconds of meeting") {
  for (const int hosts : {8, 64}) {
    CAPTURE(hosts);
    GossipNet net({.hosts = hosts, .loss = 0.02, .seed = 21});
    StartAll(net, seconds(30));
    net.Split([](int host) { return host % 2; });
    net.Run(seconds(90));
    CHECK(net.node(0).Live().size() == static_cast<std::size_t>(hosts / 2));
    net.Join();
    CHECK(net.RunUntil([&] { return net.Agreed(); }, seconds(30)) <=
          seconds(10));
  }
}

TEST_CASE("a host cut off for long does not take itself for the whole fleet") {
  GossipNet net({.hosts = 8, .seed = 17});
  StartAll(net, seconds(10));
  net.Split([](int host) { return host == 2 ? 1 : 0; });
  net.Run(std::chrono::minutes(15));
  CHECK_FALSE(HasQuorum(net.node(2).members()));
  CHECK(HasQuorum(net.node(0).members()));
  CHECK(net.node(0).members().size() == 7);
  net.Join();
  CHECK(net.RunUntil([&] { return net.Agreed(); }, seconds(20)) <= seconds(10));
}

TEST_CASE("a restarted host replaces its former incarnation") {
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

TEST_CASE("a host that starts knows the others within a quarter of a second") {
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

TEST_CASE("a host that says it leaves is left out at once and stays so") {
  GossipNet net({.hosts = 8, .seed = 6});
  StartAll(net, seconds(10));
  const MembershipOutput last = net.node(3).Leave(net.now());
  net.Kill(3);
  for (const SendDatagram& send : last.datagrams) {
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

TEST_CASE("draining shows in every view within two seconds") {
  for (const int hosts : {8, 128}) {
    CAPTURE(hosts);
    GossipNet net({.hosts = hosts, .loss = 0.02, .seed = 8});
    StartAll(net, seconds(60));
    net.Run(seconds(20));
    net.node(2).SetFacts({0, 5, true});
    const auto seen = [&] {
      for (int i = 0; i < hosts; ++i) {
        if (net.node(i).Serving().size() + 1 != net.node(i).Live().size()) {
          return false;
        }
      }
      return true;
    };
    CHECK(net.RunUntil(seen, seconds(10)) <= seconds(2));
    CHECK(net.node(0).Live().size() == static_cast<std::size_t>(hosts));
  }
}

TEST_CASE("two stewards of one target are one again after a split") {
  GossipNet net({.hosts = 8, .seed = 31});
  StartAll(net, seconds(10));
  const auto stewards = [&] {
    std::set<HostName> names;
    for (int i = 0; i < 8; ++i) {
      names.insert(StewardOf(net.node(i).Serving(), {"engine-1"}));
    }
    return names.size();
  };
  CHECK(stewards() == 1);
  net.Split([](int host) { return host % 2; });
  net.Run(seconds(30));
  CHECK(stewards() == 2);
  net.Join();
  CHECK(net.RunUntil([&] { return stewards() == 1; }, seconds(20)) <=
        seconds(10));
}

TEST_CASE("marks reach all once, and an older one changes nothing") {
  GossipNet net({.hosts = 32, .loss = 0.02, .seed = 10});
  StartAll(net, seconds(30));
  for (auto& events : net.events()) events.clear();
  net.node(0).ShareTarget({{"engine-1"}, 7, true});
  net.node(1).ShareSuspect({42, 2});
  net.Run(seconds(4));
  for (int i = 0; i < 32; ++i) {
    CAPTURE(i);
    CHECK(Count<TargetMark>(net.events()[i]) == (i == 0 ? 0 : 1));
    CHECK(Count<SuspectMark>(net.events()[i]) == (i == 1 ? 0 : 1));
  }
  for (auto& events : net.events()) events.clear();
  net.node(3).ShareTarget({{"engine-1"}, 6, false});
  net.Run(seconds(4));
  for (int i = 0; i < 32; ++i) CHECK(Count<TargetMark>(net.events()[i]) == 0);
}

TEST_CASE("control bytes of a host stay under four kilobytes a second") {
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

TEST_CASE("replayed datagrams keep nobody alive") {
  GossipNet net({.hosts = 8, .seed = 14});
  StartAll(net, seconds(10));
  Datagram old;
  const Member& victim = net.node(0).members().at(net.name(4));
  old.sender = victim.id;
  old.kind = DatagramKind::kAnswer;
  old.sequence = 1;
  net.Kill(4);
  const auto dropped = [&] {
    net.node(0).Handle(old, "10.1.0.5:7400", net.now());
    return net.AllDropped(4);
  };
  CHECK(net.RunUntil(dropped, seconds(20)) <= seconds(5));
}
