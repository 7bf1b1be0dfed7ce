// A large fleet that follows the store through a few readers, in virtual time.
// Guards against changes that reach hosts too late because the readers ended or
// lost the store, and against store calls that grow with the fleet.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <optional>
#include <string>

#include "comfreyflow/announced-document.h"
#include "comfreyflow/evacuations.h"
#include "comfreyflow/follow-plan.h"
#include "comfreyflow/store-readers.h"
#include "gossip-net-impl.h"

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using comfreyflow::testing::GossipNet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kConfig = 0;
constexpr std::size_t kTargets = 1;
constexpr std::size_t kEvacuations = 2;
constexpr std::size_t kKinds = 3;

constexpr Duration kStep = milliseconds(25);
constexpr Duration kCallTime = milliseconds(5);
constexpr Duration kCallTimeout = milliseconds(1500);
constexpr Duration kFetchTime = milliseconds(20);
constexpr Duration kFactsPeriod = milliseconds(250);
constexpr Duration kStoreDeliveryWait = milliseconds(700);
constexpr Duration kStoreHistory = seconds(20);
/// By then all hosts know each other and have their roles.
constexpr Duration kWarmUp = seconds(15);
const FailureDomain kEvacuated{"domain-1"};

/// How calls of a host to the store end.
enum class Link : std::uint8_t {
  kUp,
  kRefused,  ///< They fail at once, and open watches break.
  kSilent,   ///< They get no answer.
};

class FakeStore {
 public:
  FakeStore() { changes_.fill({{1, Time{}}}); }
  void Write(std::size_t kind, Time now) {
    changes_.at(kind).push_back({++revision_, now});
  }
  std::uint64_t revision() const { return revision_; }
  bool HasChange(std::size_t kind, std::uint64_t since) const {
    return changes_.at(kind).back().first > since;
  }
  bool IsHistoryGone(std::uint64_t since, Time now) const {
    for (const auto& kind : changes_) {
      for (const auto& [revision, at] : kind) {
        if (revision > since && at != Time{} && now - at > kStoreHistory)
          return true;
      }
    }
    return false;
  }
  std::uint64_t era = 1;
  std::uint64_t generation = 1;
  std::set<FailureDomain> evacuated;

 private:
  using Change = std::pair<std::uint64_t, Time>;
  std::uint64_t revision_ = 1;
  std::array<std::vector<Change>, kKinds> changes_;
};

struct OpenCall {
  FollowPlan::Step step;
  Time ends_at;  ///< When it gets no answer with changes before.
  bool is_silent = false;
  std::uint64_t generation = 0;  ///< Read by a call without wait.
};

struct FleetHost {
  FleetHost(int index, Time now)
      : plan(kKinds, 77 + static_cast<std::uint64_t>(index)),
        document(kStoreDeliveryWait, milliseconds(index * 37 % 400)),
        next_facts(now + milliseconds(index * 31 % 250)) {}
  FollowPlan plan;
  StoreReaderChoice choice;
  AnnouncedDocument document;
  Evacuations evacuations;
  std::uint64_t generation = 0;
  std::array<std::optional<OpenCall>, kKinds> calls;
  std::array<std::optional<Time>, kKinds> steps;  ///< When the next one is due.
  std::optional<std::pair<Time, int>> fetch;  ///< End and peer of a request.
  Time next_facts;
  Link link = Link::kUp;
  std::uint64_t store_calls = 0;
  bool is_lost = false;  ///< As the plan found.
  bool was_listed = false;
};

class StoreFleet {
 public:
  StoreFleet(int hosts, bool all_read, std::uint64_t seed = 5)
      : all_read_(all_read),
        net_({.hosts = hosts,
              .domains = 3,
              .loss = 0.01,
              .seed = seed,
              .large_hosts = 6}),
        hosts_(static_cast<std::size_t>(hosts)) {
    for (int i = 0; i < hosts; ++i) StartHost(i);
    Run(kWarmUp);
  }

  FakeStore store;
  GossipNet& net() { return net_; }
  FleetHost& host(int index) {
    return *hosts_.at(static_cast<std::size_t>(index));
  }
  int size() const { return static_cast<int>(hosts_.size()); }

  void StartHost(int index) {
    net_.Start(index);
    hosts_.at(static_cast<std::size_t>(index)).emplace(index, net_.now());
    for (auto& step : host(index).steps) step = net_.now();
  }
  void Kill(int index) {
    net_.Kill(index);
    hosts_.at(static_cast<std::size_t>(index)).reset();
  }
  bool up(int index) const {
    return hosts_.at(static_cast<std::size_t>(index)).has_value();
  }
  void SetLink(int index, Link link) {
    FleetHost& changed = host(index);
    changed.link = link;
    for (auto& call : changed.calls) {
      if (!call) continue;
      if (link == Link::kRefused) call->ends_at = net_.now();
      call->is_silent = link != Link::kUp;
    }
  }
  std::vector<int> Readers() {
    std::vector<int> readers;
    for (int i = 0; i < size(); ++i) {
      if (up(i) && host(i).choice.role() == StoreRole::kReader)
        readers.push_back(i);
    }
    return readers;
  }

  void PutConfig() {
    ++store.generation;
    store.Write(kConfig, net_.now());
  }
  void Evacuate() {
    store.evacuated.insert(kEvacuated);
    store.Write(kEvacuations, net_.now());
  }
  void ChangeEra() {
    ++store.era;
    for (int i = 0; i < size(); ++i) {
      if (!up(i)) continue;
      FleetHost& at = host(i);
      for (const auto& relist : at.plan.EraChanged(store.era, Fleet(i).hosts)) {
        at.calls.at(relist.kind).reset();
        at.steps.at(relist.kind) = net_.now() + relist.wait;
      }
    }
  }

  void Run(Duration length) {
    const Time end = net_.now() + length;
    while (net_.now() < end) Step();
  }
  /// Time until all hosts that run have the store's present configuration in
  /// force and know its evacuations; more than `limit` if they don't.
  Duration TimeToAll(Duration limit) {
    const Time start = net_.now();
    while (!AllCurrent()) {
      if (net_.now() - start > limit) return net_.now() - start;
      Step();
    }
    return net_.now() - start;
  }
  std::uint64_t calls() {
    std::uint64_t sum = 0;
    for (const auto& at : hosts_) sum += at ? at->store_calls : 0;
    return sum;
  }

 private:
  bool AllCurrent() {
    return std::all_of(hosts_.begin(), hosts_.end(), [this](const auto& at) {
      return !at || (at->generation == store.generation &&
                     at->evacuations.domains() == store.evacuated);
    });
  }

  FleetInfo Fleet(int index) {
    return {net_.node(index).Live().size(), index == 0,
            all_read_ ? StoreRole::kOneOfAll : host(index).choice.role()};
  }

  void Step() {
    net_.Run(kStep);
    for (int i = 0; i < size(); ++i) {
      if (!up(i)) continue;
      Receive(i);
      if (net_.now() >= host(i).next_facts) PollFacts(i);
      EndFetch(i);
      for (std::size_t kind = 0; kind < kKinds; ++kind) EndCall(i, kind);
      for (std::size_t kind = 0; kind < kKinds; ++kind) {
        auto& due = host(i).steps.at(kind);
        if (!due || net_.now() < *due) continue;
        due.reset();
        StartCall(i, kind);
      }
      Publish(i);
    }
  }

  void Publish(int index) {
    FleetHost& at = host(index);
    Membership& node = net_.node(index);
    node.SetFacts({at.generation, 0, false, at.is_lost && at.was_listed});
    node.SetConfig({at.generation, at.generation});
    node.SetEvacuations(at.evacuations.Shared());
  }

  void Receive(int index) {
    FleetHost& at = host(index);
    auto& events = net_.events().at(static_cast<std::size_t>(index));
    for (const auto& event : events) {
      if (const auto* config = std::get_if<ConfigAnnounced>(&event)) {
        at.document.OnAnnouncement(config->config.generation, config->host,
                                   at.generation, net_.now());
        Fetch(index);
      } else if (const auto* told = std::get_if<EvacuationsAnnounced>(&event)) {
        at.evacuations.Merge(told->state, net_.now());
      }
    }
    events.clear();
  }

  void PollFacts(int index) {
    FleetHost& at = host(index);
    at.next_facts = net_.now() + kFactsPeriod;
    at.choice.Update(
        net_.node(index).members(),
        {net_.name(index), index == 0, at.is_lost && at.was_listed},
        net_.now());
    net_.node(index).SetStoreReaders(at.choice.attached_readers());
    Fetch(index);
  }

  void Fetch(int index) {
    FleetHost& at = host(index);
    if (at.fetch) return;
    const auto peer = at.document.PeerToAsk(
        at.generation, !at.is_lost, Fleet(index).role == StoreRole::kPassive,
        net_.now());
    if (!peer) return;
    for (int i = 0; i < size(); ++i) {
      if (net_.name(i) != *peer) continue;
      at.fetch = {net_.now() + (up(i) ? kFetchTime : seconds(1)), i};
    }
  }

  void EndFetch(int index) {
    FleetHost& at = host(index);
    if (!at.fetch || net_.now() < at.fetch->first) return;
    const int peer = at.fetch->second;
    at.fetch.reset();
    if (up(peer))
      at.generation = std::max(at.generation, host(peer).generation);
  }

  void StartCall(int index, std::size_t kind) {
    FleetHost& at = host(index);
    const FleetInfo fleet = Fleet(index);
    if (kind != kTargets) {
      if (const auto rest = at.plan.RestTime(kind, fleet, false, net_.now())) {
        at.steps.at(kind) = net_.now() + *rest;
        return;
      }
    }
    const auto step = at.plan.Next(kind, fleet);
    if (!step) return;
    ++at.store_calls;
    OpenCall call{*step, net_.now() + kCallTime};
    const bool waits = !step->list && step->wait > Duration::zero();
    if (waits) call.ends_at = net_.now() + step->wait;
    if (at.link == Link::kRefused) call.ends_at = net_.now() + kCallTime;
    call.is_silent = at.link == Link::kSilent;
    if (call.is_silent)
      call.ends_at = net_.now() + (waits ? step->wait : kCallTimeout);
    at.calls.at(kind) = call;
  }

  void EndCall(int index, std::size_t kind) {
    FleetHost& at = host(index);
    auto& open = at.calls.at(kind);
    if (!open) return;
    const OpenCall call = *open;
    const StoreVersion known = at.plan.version(kind);
    const bool has_changes =
        !call.step.list && store.HasChange(kind, known.revision);
    const bool is_up = !call.is_silent && at.link == Link::kUp;
    const bool is_early = is_up && has_changes;
    const Duration grace =
        call.is_silent && !call.step.list && call.step.wait > Duration::zero()
            ? kWatchGrace
            : Duration::zero();
    if (net_.now() < call.ends_at + grace && !is_early) return;
    open.reset();
    if (!is_up) return Continue(index, kind, at.plan.Failed(kind));
    const StoreVersion version{store.era, store.revision()};
    if (call.step.list) {
      const auto effect = at.plan.Listed(kind, version);
      if (at.plan.listed(kind)) Deliver(index, kind, version);
      at.was_listed = true;
      return Continue(index, kind, effect);
    }
    if (store.IsHistoryGone(known.revision, net_.now()))
      return Continue(index, kind, at.plan.HistoryExpired(kind));
    const auto effect =
        at.plan.Changed(kind, version, has_changes, Fleet(index));
    if (has_changes) Deliver(index, kind, version);
    Continue(index, kind, effect);
  }

  void Deliver(int index, std::size_t kind, const StoreVersion& version) {
    FleetHost& at = host(index);
    if (kind == kConfig)
      at.generation = std::max(at.generation, store.generation);
    if (kind == kEvacuations)
      at.evacuations.SetList(version, store.evacuated, net_.now());
  }

  void Continue(int index, std::size_t kind, const FollowPlan::Effect& effect) {
    FleetHost& at = host(index);
    if (effect.store_lost) at.is_lost = true;
    if (effect.store_recovered) at.is_lost = false;
    for (const std::size_t resumed : effect.resumed)
      at.steps.at(resumed) = net_.now();
    if (effect.pause) at.steps.at(kind) = net_.now() + *effect.pause;
  }

  const bool all_read_;
  GossipNet net_;
  std::vector<std::optional<FleetHost>> hosts_;
};

constexpr Duration kConfigBound = seconds(3);
constexpr Duration kEvacuationBound = seconds(5);

void CheckConfigInTime(StoreFleet& fleet) {
  fleet.PutConfig();
  const Duration took = fleet.TimeToAll(2 * kConfigBound);
  INFO("took ms: ", took / milliseconds(1));
  CHECK(took <= kConfigBound);
}

void CheckEvacuationInTime(StoreFleet& fleet) {
  fleet.Evacuate();
  const Duration took = fleet.TimeToAll(2 * kEvacuationBound);
  INFO("took ms: ", took / milliseconds(1));
  CHECK(took <= kEvacuationBound);
}

/// Calls of all hosts per second, with a change of the targets each second and
/// a new configuration in the eleventh one of each 15.
double CallsPerSecond(int hosts, bool all_read, int seconds_long) {
  StoreFleet fleet(hosts, all_read);
  const std::uint64_t before = fleet.calls();
  for (int second = 0; second < seconds_long; ++second) {
    fleet.store.Write(kTargets, fleet.net().now());
    if (second % 15 == 10) fleet.PutConfig();
    fleet.Run(seconds(1));
  }
  return static_cast<double>(fleet.calls() - before) / seconds_long;
}

/// Eight of the readers and 21 other hosts of 88.
void LoseThird(StoreFleet& fleet, Link link) {
  int lost = 0;
  for (const int reader : fleet.Readers()) {
    if (++lost <= 8) fleet.SetLink(reader, link);
  }
  for (int i = 50; i < 71; ++i) fleet.SetLink(i, link);
}

}  // namespace

TEST_CASE("a change reaches all hosts in time although few of them read it") {
  for (const int hosts : {60, 90}) {
    CAPTURE(hosts);
    StoreFleet fleet(hosts, false);
    CHECK(fleet.Readers().size() == kStoreReaders);
    CheckConfigInTime(fleet);
    CheckEvacuationInTime(fleet);
    // Both at once, and one after another.
    fleet.Run(seconds(3));
    fleet.PutConfig();
    fleet.store.evacuated.clear();
    fleet.store.Write(kEvacuations, fleet.net().now());
    fleet.Run(milliseconds(100));
    CheckConfigInTime(fleet);
  }
}

TEST_CASE("a change is known in time when all readers end at once") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    for (const Duration later : {seconds(0), seconds(1)}) {
      CAPTURE(seed);
      CAPTURE(later / seconds(1));
      StoreFleet fleet(88, false, seed);
      for (const int reader : fleet.Readers()) fleet.Kill(reader);
      fleet.Run(later);
      CheckConfigInTime(fleet);
      CheckEvacuationInTime(fleet);
    }
  }
}

TEST_CASE(
    "a change is known in time when a third of the hosts lose the store") {
  for (const Link link : {Link::kRefused, Link::kSilent}) {
    for (const Duration later : {seconds(0), seconds(20)}) {
      CAPTURE(link == Link::kSilent);
      CAPTURE(later / seconds(1));
      StoreFleet fleet(88, false);
      LoseThird(fleet, link);
      fleet.Run(later);
      CheckConfigInTime(fleet);
      CheckEvacuationInTime(fleet);
    }
  }
}

TEST_CASE("other hosts read when all readers lose the store") {
  StoreFleet fleet(88, false);
  for (const int reader : fleet.Readers())
    fleet.SetLink(reader, Link::kRefused);
  CheckConfigInTime(fleet);
  CheckEvacuationInTime(fleet);
}

TEST_CASE(
    "a change is known in time when all readers lose the store silently") {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6}) {
    CAPTURE(seed);
    StoreFleet fleet(88, false, seed);
    for (const int reader : fleet.Readers())
      fleet.SetLink(reader, Link::kSilent);
    CheckConfigInTime(fleet);
    CheckEvacuationInTime(fleet);
  }
}

TEST_CASE("a host that is cut off from its peers reads the store itself") {
  StoreFleet fleet(88, false);
  fleet.net().Partition([](int host) { return host == 80 ? 1 : 0; });
  CheckConfigInTime(fleet);
  CheckEvacuationInTime(fleet);
}

TEST_CASE("hosts that are cut off from all readers read the store themselves") {
  StoreFleet fleet(88, false);
  const auto readers = fleet.Readers();
  fleet.net().Partition([readers](int host) {
    return std::count(readers.begin(), readers.end(), host);
  });
  CheckConfigInTime(fleet);
  CheckEvacuationInTime(fleet);
}

TEST_CASE("a change during an outage of the store is known soon after it") {
  StoreFleet fleet(88, false);
  for (int i = 0; i < fleet.size(); ++i) fleet.SetLink(i, Link::kRefused);
  fleet.Run(seconds(15));
  fleet.PutConfig();
  fleet.Run(seconds(5));
  for (int i = 0; i < fleet.size(); ++i) fleet.SetLink(i, Link::kUp);
  CHECK(fleet.TimeToAll(2 * kConfigBound) <= kConfigBound);
  fleet.Run(seconds(20));
  CHECK(fleet.Readers().size() == kStoreReaders);
}

TEST_CASE(
    "hosts that start learn of a change in time and do not go on reading") {
  StoreFleet fleet(88, false);
  for (int i = 40; i < 70; ++i) fleet.Kill(i);
  fleet.Run(seconds(10));
  for (int i = 40; i < 70; ++i) fleet.StartHost(i);
  CheckConfigInTime(fleet);
  fleet.Run(seconds(20));
  CHECK(fleet.Readers().size() == kStoreReaders);
  const std::uint64_t before = fleet.host(60).store_calls;
  fleet.Run(seconds(20));
  CHECK(fleet.host(60).store_calls - before <= 4);
}

TEST_CASE("changes are known in time although the store's history is gone") {
  StoreFleet fleet(88, false);
  for (int second = 0; second < 120; ++second) {
    fleet.store.Write(kTargets, fleet.net().now());
    fleet.Run(seconds(1));
  }
  CheckConfigInTime(fleet);
  CheckEvacuationInTime(fleet);
}

TEST_CASE("changes are known in time in the minutes after a change of era") {
  StoreFleet fleet(88, false);
  fleet.ChangeEra();
  CheckConfigInTime(fleet);
  fleet.Run(seconds(70));
  CheckEvacuationInTime(fleet);
  CheckConfigInTime(fleet);
}

TEST_CASE("store calls of a host do not grow with the fleet") {
  const double small = CallsPerSecond(60, false, 30);
  const double large = CallsPerSecond(350, false, 12);
  const double before = CallsPerSecond(88, true, 15);
  const double now = CallsPerSecond(88, false, 15);
  MESSAGE("calls per second: 60 hosts ", small, ", 350 hosts ", large,
          ", 88 hosts ", now, ", 88 hosts that all read ", before);
  CHECK(large / 350 <= small / 60);
  CHECK(2 * now <= before);
}
