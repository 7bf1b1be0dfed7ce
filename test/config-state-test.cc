// Distribution of the configuration to the hosts, also while the store fails.
#include "comfreyflow/config-state.h"

#include <doctest/doctest.h>

#include <functional>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string DocumentText(int weight) {
  return "[environment trial]\n[service s]\nkind = plain\ntarget_class = c\n"
         "[account a]\nkeys = " +
         Sha256("k").value +
         "\ntokens_per_second = 10\nconcurrent_tokens = 10\nservices = s\n"
         "weight = " +
         std::to_string(weight) + "\n";
}

/// A simulated fleet with one store. Each host sends its announcement to one
/// peer every 300 ms.
class Fleet {
 public:
  explicit Fleet(int count) : hosts_(count) {
    for (int i = 0; i < count; ++i) Start(i);
  }

  void Start(int i) {
    hosts_[i] = {};
    hosts_[i].state = std::make_unique<ConfigState>(100 + i, now_);
    hosts_[i].isolated = false;
  }
  void Kill(int i) { hosts_[i].state.reset(); }

  /// Advances the time in steps of 100 ms.
  void Run(Duration length) {
    for (const Time end = now_ + length; now_ < end;) {
      now_ += milliseconds(100);
      Gossip();
      for (int i = 0; i < size(); ++i) {
        if (!up(i)) continue;
        Send(i, MembershipViewReceived{HasMajority(i), Rank(i)});
        Send(i, ConfigTick{});
        AnswerWatch(i);
      }
    }
  }
  Duration RunUntil(const std::function<bool()>& done, Duration limit) {
    const Time begin = now_;
    while (!done() && now_ < begin + limit) Run(milliseconds(100));
    return now_ - begin;
  }
  bool AllInForce(std::uint64_t generation) const {
    for (const Host& host : hosts_) {
      if (host.state && host.state->generation() != generation) return false;
    }
    return true;
  }
  void Send(int i, const ConfigEvent& event) {
    Host& host = hosts_[i];
    const std::uint64_t before = host.state->generation();
    for (const ConfigCommand& command : host.state->Handle(event, now_)) {
      if (std::holds_alternative<ReadStoredConfig>(command)) ++reads;
      if (std::holds_alternative<ConfigRejected>(command)) ++rejections;
      host.commands.push_back(command);
    }
    generation_decreased =
        generation_decreased || host.state->generation() < before;
    while (!host.commands.empty()) {
      const ConfigCommand command = host.commands.front();
      host.commands.erase(host.commands.begin());
      Execute(i, command);
    }
  }

  int size() const { return static_cast<int>(hosts_.size()); }
  bool up(int i) const { return hosts_[i].state != nullptr; }
  ConfigState& state(int i) { return *hosts_[i].state; }
  void SetIsolated(int i, bool isolated) { hosts_[i].isolated = isolated; }
  Time now() const { return now_; }

  StoredConfig stored;
  bool store_up = true;
  bool watches_work = true;
  bool generation_decreased = false;
  int reads = 0;
  int rejections = 0;

 private:
  struct Host {
    std::unique_ptr<ConfigState> state;
    std::vector<ConfigCommand> commands;
    std::optional<std::uint64_t> watch;
    Time watch_ends_at;
    bool isolated = false;
  };

  static HostName Name(int i) { return {"h" + std::to_string(i)}; }
  bool CanReach(int a, int b) const {
    return up(a) && up(b) && !hosts_[a].isolated && !hosts_[b].isolated;
  }
  bool HasMajority(int i) const { return !hosts_[i].isolated; }
  std::size_t Rank(int i) const {
    std::size_t rank = 0;
    for (int j = 0; j < i; ++j) rank += up(j) && j % 3 == i % 3 ? 1 : 0;
    return rank;
  }
  void Gossip() {
    if (++steps_ % 3 != 0) return;
    for (int i = 0; i < size(); ++i) {
      const int j = static_cast<int>((i + steps_ / 3) % size());
      if (i == j || !CanReach(i, j)) continue;
      Send(j, PeerConfigAnnounced{
                  Name(i), MarkOf(state(i).generation(), state(i).hash())});
    }
  }
  void Execute(int i, const ConfigCommand& command) {
    const bool store_reachable = store_up && !hosts_[i].isolated;
    if (std::holds_alternative<ReadStoredConfig>(command)) {
      if (!store_reachable) {
        Send(i, StoreFailed{});
      } else if (stored.generation > state(i).generation()) {
        Send(i, StoreDocumentReceived{stored});
      } else {
        Send(i, StoreUnchanged{});
      }
    }
    if (const auto* watch = std::get_if<WatchStoredConfig>(&command)) {
      hosts_[i].watch = watch->since;
      hosts_[i].watch_ends_at = now_ + kWatchTime;
    }
    if (const auto* fetch = std::get_if<FetchConfig>(&command)) {
      for (int j = 0; j < size(); ++j) {
        if (Name(j) != fetch->from) continue;
        if (!CanReach(i, j)) {
          Send(i, PeerFetchFailed{fetch->from});
        } else {
          Send(i, PeerDocumentReceived{
                      fetch->from, {state(j).generation(), state(j).text()}});
        }
      }
    }
  }
  void AnswerWatch(int i) {
    Host& host = hosts_[i];
    // A broken watch stays open and never answers.
    if (!host.watch || !watches_work || !store_up || host.isolated) return;
    if (stored.generation > *host.watch) {
      host.watch.reset();
      Send(i, StoreDocumentReceived{stored});
      Send(i, WatchEnded{});
    } else if (now_ >= host.watch_ends_at) {
      host.watch.reset();
      Send(i, StoreUnchanged{});
      Send(i, WatchEnded{});
    }
  }

  std::vector<Host> hosts_;
  Time now_{std::chrono::hours(1)};
  int steps_ = 0;
};

void StartWithDocument(Fleet& fleet) {
  fleet.stored = {10, DocumentText(1)};
  REQUIRE(fleet.RunUntil([&] { return fleet.AllInForce(10); }, seconds(20)) <
          seconds(8));
  fleet.Run(seconds(5));
}

}  // namespace

TEST_CASE("an accepted document is in force everywhere within two seconds") {
  Fleet fleet(24);
  StartWithDocument(fleet);
  fleet.stored = {11, DocumentText(2)};
  CHECK(fleet.RunUntil([&] { return fleet.AllInForce(11); }, seconds(20)) <=
        seconds(2));
  CHECK_FALSE(fleet.generation_decreased);
}

TEST_CASE(
    "a new document reaches all hosts in time by reads if the watches "
    "are broken") {
  Fleet fleet(24);
  StartWithDocument(fleet);
  fleet.watches_work = false;
  fleet.Run(seconds(30));
  fleet.stored = {11, DocumentText(2)};
  CHECK(fleet.RunUntil([&] { return fleet.AllInForce(11); }, seconds(20)) <=
        seconds(8));
}

TEST_CASE(
    "a document known to one host only reaches all hosts while the "
    "store is down") {
  Fleet fleet(24);
  StartWithDocument(fleet);
  fleet.store_up = false;
  fleet.stored = {11, DocumentText(2)};
  fleet.Send(5, ConfigUpdateAccepted{fleet.stored});
  CHECK(fleet.RunUntil([&] { return fleet.AllInForce(11); }, seconds(20)) <=
        seconds(8));
  fleet.Run(seconds(120));
  for (int i = 0; i < fleet.size(); ++i) CHECK(fleet.state(i).admitting());
}

TEST_CASE(
    "a host started while the store is down gets the document from peers") {
  Fleet fleet(8);
  StartWithDocument(fleet);
  fleet.store_up = false;
  fleet.Run(seconds(60));
  fleet.Kill(3);
  fleet.Run(seconds(2));
  fleet.Start(3);
  CHECK_FALSE(fleet.state(3).admitting());
  CHECK(fleet.state(3).reason() == Errc::kNoConfiguration);
  CHECK(fleet.RunUntil([&] { return fleet.state(3).admitting(); },
                       seconds(20)) <= seconds(8));
  CHECK(fleet.state(3).generation() == 10);
}

TEST_CASE(
    "an isolated host stops admitting with a reason, and resumes when "
    "connected") {
  Fleet fleet(8);
  StartWithDocument(fleet);
  fleet.SetIsolated(2, true);
  fleet.stored = {11, DocumentText(2)};
  const auto stopped = [&] { return !fleet.state(2).admitting(); };
  CHECK(fleet.RunUntil(stopped, seconds(20)) <= seconds(8));
  CHECK(fleet.state(2).reason() == Errc::kCutOff);
  CHECK(fleet.state(2).generation() == 10);
  fleet.SetIsolated(2, false);
  CHECK(fleet.RunUntil([&] { return fleet.state(2).admitting(); },
                       seconds(20)) <= seconds(4));
  fleet.Run(seconds(4));
  CHECK(fleet.state(2).generation() == 11);
}

TEST_CASE("generations do not decrease if all hosts but one restart") {
  Fleet fleet(8);
  StartWithDocument(fleet);
  fleet.stored = {11, DocumentText(2)};
  fleet.Run(seconds(5));
  REQUIRE(fleet.AllInForce(11));
  fleet.store_up = false;
  for (int i = 0; i < 7; ++i) fleet.Start(i);
  fleet.RunUntil([&] { return fleet.AllInForce(11); }, seconds(20));
  CHECK(fleet.AllInForce(11));
  fleet.store_up = true;
  for (int i = 0; i < 8; ++i) fleet.Start(i);
  CHECK(fleet.RunUntil([&] { return fleet.AllInForce(11); }, seconds(20)) <=
        seconds(8));
}

TEST_CASE("a starting host waits while a peer announces a later generation") {
  Time now{std::chrono::hours(1)};
  ConfigState state(1, now);
  state.Handle(PeerConfigAnnounced{{"old"}, {10, 1}}, now);
  state.Handle(PeerConfigAnnounced{{"new"}, {11, 2}}, now);
  state.Handle(PeerDocumentReceived{{"old"}, {10, DocumentText(1)}},
               now + seconds(2));
  CHECK(state.generation() == 0);
  state.Handle(PeerDocumentReceived{{"new"}, {11, DocumentText(2)}},
               now + seconds(2));
  CHECK(state.generation() == 11);
  state.Handle(PeerDocumentReceived{{"old"}, {10, DocumentText(1)}},
               now + seconds(3));
  CHECK(state.generation() == 11);
  CHECK(state.text() == DocumentText(2));
}

TEST_CASE("an invalid document is reported and not applied") {
  Fleet fleet(8);
  StartWithDocument(fleet);
  fleet.stored = {11, "[environment trial]\nbroken"};
  fleet.Run(seconds(10));
  CHECK(fleet.AllInForce(10));
  CHECK(fleet.rejections > 0);
  fleet.stored = {12, DocumentText(3)};
  CHECK(fleet.RunUntil([&] { return fleet.AllInForce(12); }, seconds(20)) <=
        seconds(8));
}

TEST_CASE(
    "hosts that do not watch the store add few reads as the fleet grows") {
  const auto reads = [](int hosts) {
    Fleet fleet(hosts);
    StartWithDocument(fleet);
    fleet.reads = 0;
    fleet.Run(seconds(120));
    return fleet.reads;
  };
  const int small_fleet_reads = reads(12);
  const int large_fleet_reads = reads(48);
  CHECK(small_fleet_reads > 0);
  // Both fleets have six watchers, which read every two seconds. The 36
  // additional hosts of the large fleet read once a minute each.
  CHECK(large_fleet_reads - small_fleet_reads <= 36 * 3);
}

TEST_CASE(
    "an update whose answer was lost is resolved by reading the document") {
  ConfigUpdate done(10, "mine");
  CHECK(std::get<PutConfig>(done.Start()).if_version == 10);
  CHECK(std::holds_alternative<ReadBack>(done.OnPut(PutReply::kNoAnswer, 0)));
  CHECK(std::get<UpdateEnded>(done.OnRead({11, "mine"})).code == Errc::kOk);

  ConfigUpdate lost(10, "mine");
  lost.OnPut(PutReply::kNoAnswer, 0);
  const UpdateStep again = lost.OnRead({10, "base"});
  CHECK(std::get<PutConfig>(again).if_version == 10);
  CHECK(std::get<UpdateEnded>(lost.OnPut(PutReply::kDone, 12)).code ==
        Errc::kOk);

  ConfigUpdate conflicting(10, "mine");
  conflicting.OnPut(PutReply::kConflict, 11);
  const auto conflict =
      std::get<UpdateEnded>(conflicting.OnRead({11, "theirs"}));
  CHECK(conflict.code == Errc::kConfigConflict);
  CHECK(conflict.current.text == "theirs");
  CHECK_FALSE(conflict.replaced);

  ConfigUpdate replaced(10, "mine");
  replaced.OnPut(PutReply::kNoAnswer, 0);
  CHECK(std::get<UpdateEnded>(replaced.OnRead({12, "theirs"})).replaced);

  ConfigUpdate down(10, "mine");
  UpdateStep step = down.OnPut(PutReply::kNoAnswer, 0);
  for (int i = 0; i < 10 && std::holds_alternative<ReadBack>(step); ++i) {
    step = down.OnReadFailed();
  }
  CHECK(std::get<UpdateEnded>(step).code == Errc::kOutcomeUnknown);
}

TEST_CASE("at most one of two parts of a partitioned fleet has a quorum") {
  std::map<HostName, Member> all;
  for (int i = 0; i < 8; ++i) {
    all[{"h" + std::to_string(i)}].state = MemberState::kAlive;
  }
  for (unsigned part = 0; part < 256; ++part) {
    auto here = all;
    auto there = all;
    for (unsigned i = 0; i < 8; ++i) {
      auto& dead = (part >> i) & 1 ? there : here;
      dead[{"h" + std::to_string(i)}].state = MemberState::kDead;
    }
    CHECK((HasQuorum(here) != HasQuorum(there)));
  }
}
