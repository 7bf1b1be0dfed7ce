// How hosts come by the configuration in force, with the store's failures.
#include "comfreyflow/config-state.h"

#include <doctest/doctest.h>

#include <functional>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string Text(int weight) {
  return "[environment trial]\n[service s]\nkind = plain\ntarget_class = c\n"
         "[account a]\nkeys = " +
         Sha256("k").value +
         "\ntokens_per_second = 10\nconcurrent_tokens = 10\nservices = s\n"
         "weight = " +
         std::to_string(weight) + "\n";
}

/// Hosts with their states, one store, and gossip that takes 300 ms.
class Fleet {
 public:
  explicit Fleet(int count) : hosts_(count) {
    for (int i = 0; i < count; ++i) Start(i);
  }

  void Start(int i) {
    hosts_[i] = {};
    hosts_[i].state = std::make_unique<ConfigState>(100 + i, now_);
    hosts_[i].cut = false;
  }
  void Kill(int i) { hosts_[i].state.reset(); }

  /// Steps of 100 ms.
  void Run(Duration length) {
    for (const Time end = now_ + length; now_ < end;) {
      now_ += milliseconds(100);
      Gossip();
      for (int i = 0; i < size(); ++i) {
        if (!up(i)) continue;
        Tell(i, MembershipViewReceived{Majority(i), Rank(i)});
        Tell(i, ConfigTick{});
        CheckWatch(i);
      }
    }
  }
  Duration RunUntil(const std::function<bool()>& done, Duration limit) {
    const Time begin = now_;
    while (!done() && now_ < begin + limit) Run(milliseconds(100));
    return now_ - begin;
  }
  bool InForce(std::uint64_t generation) const {
    for (const Host& host : hosts_) {
      if (host.state && host.state->generation() != generation) return false;
    }
    return true;
  }
  void Tell(int i, const ConfigEvent& event) {
    Host& host = hosts_[i];
    const std::uint64_t before = host.state->generation();
    for (const ConfigCommand& command : host.state->Handle(event, now_)) {
      if (std::holds_alternative<ReadStoredConfig>(command)) ++reads;
      if (std::holds_alternative<ConfigRejected>(command)) ++rejections;
      host.todo.push_back(command);
    }
    went_back = went_back || host.state->generation() < before;
    while (!host.todo.empty()) {
      const ConfigCommand command = host.todo.front();
      host.todo.erase(host.todo.begin());
      Do(i, command);
    }
  }

  int size() const { return static_cast<int>(hosts_.size()); }
  bool up(int i) const { return hosts_[i].state != nullptr; }
  ConfigState& state(int i) { return *hosts_[i].state; }
  void Cut(int i, bool cut) { hosts_[i].cut = cut; }
  Time now() const { return now_; }

  StoredConfig stored;
  bool store_up = true;
  bool watches_work = true;
  bool went_back = false;
  int reads = 0;
  int rejections = 0;

 private:
  struct Host {
    std::unique_ptr<ConfigState> state;
    std::vector<ConfigCommand> todo;
    std::optional<std::uint64_t> watch;
    Time watch_ends;
    bool cut = false;
  };

  static HostName Name(int i) { return {"h" + std::to_string(i)}; }
  bool Talks(int a, int b) const {
    return up(a) && up(b) && !hosts_[a].cut && !hosts_[b].cut;
  }
  bool Majority(int i) const { return !hosts_[i].cut; }
  std::size_t Rank(int i) const {
    std::size_t rank = 0;
    for (int j = 0; j < i; ++j) rank += up(j) && j % 3 == i % 3 ? 1 : 0;
    return rank;
  }
  void Gossip() {
    if (++steps_ % 3 != 0) return;
    for (int i = 0; i < size(); ++i) {
      const int j = static_cast<int>((i + steps_ / 3) % size());
      if (i == j || !Talks(i, j)) continue;
      Tell(j, PeerConfigAnnounced{
                  Name(i), MarkOf(state(i).generation(), state(i).hash())});
    }
  }
  void Do(int i, const ConfigCommand& command) {
    const bool reaches = store_up && !hosts_[i].cut;
    if (std::holds_alternative<ReadStoredConfig>(command)) {
      if (!reaches) {
        Tell(i, StoreFailed{});
      } else if (stored.generation > state(i).generation()) {
        Tell(i, StoreDocumentReceived{stored});
      } else {
        Tell(i, StoreUnchanged{});
      }
    }
    if (const auto* watch = std::get_if<WatchStoredConfig>(&command)) {
      hosts_[i].watch = watch->since;
      hosts_[i].watch_ends = now_ + kWatchTime;
    }
    if (const auto* fetch = std::get_if<FetchConfig>(&command)) {
      for (int j = 0; j < size(); ++j) {
        if (Name(j) != fetch->from) continue;
        if (!Talks(i, j)) {
          Tell(i, PeerFetchFailed{fetch->from});
        } else {
          Tell(i, PeerDocumentReceived{
                      fetch->from, {state(j).generation(), state(j).text()}});
        }
      }
    }
  }
  void CheckWatch(int i) {
    Host& host = hosts_[i];
    // A broken watch stays open and says nothing.
    if (!host.watch || !watches_work || !store_up || host.cut) return;
    if (stored.generation > *host.watch) {
      host.watch.reset();
      Tell(i, StoreDocumentReceived{stored});
      Tell(i, WatchEnded{});
    } else if (now_ >= host.watch_ends) {
      host.watch.reset();
      Tell(i, StoreUnchanged{});
      Tell(i, WatchEnded{});
    }
  }

  std::vector<Host> hosts_;
  Time now_{std::chrono::hours(1)};
  int steps_ = 0;
};

void Settle(Fleet& fleet) {
  fleet.stored = {10, Text(1)};
  REQUIRE(fleet.RunUntil([&] { return fleet.InForce(10); }, seconds(20)) <
          seconds(8));
  fleet.Run(seconds(5));
}

}  // namespace

TEST_CASE("an accepted document is in force everywhere within two seconds") {
  Fleet fleet(24);
  Settle(fleet);
  fleet.stored = {11, Text(2)};
  CHECK(fleet.RunUntil([&] { return fleet.InForce(11); }, seconds(20)) <=
        seconds(2));
  CHECK_FALSE(fleet.went_back);
}

TEST_CASE("broken watches are made good by reads within the bound") {
  Fleet fleet(24);
  Settle(fleet);
  fleet.watches_work = false;
  fleet.Run(seconds(30));
  fleet.stored = {11, Text(2)};
  CHECK(fleet.RunUntil([&] { return fleet.InForce(11); }, seconds(20)) <=
        seconds(8));
}

TEST_CASE("store down right after acceptance: one host told is enough") {
  Fleet fleet(24);
  Settle(fleet);
  fleet.store_up = false;
  fleet.stored = {11, Text(2)};
  fleet.Tell(5, ConfigUpdateAccepted{fleet.stored});
  CHECK(fleet.RunUntil([&] { return fleet.InForce(11); }, seconds(20)) <=
        seconds(8));
  fleet.Run(seconds(120));
  for (int i = 0; i < fleet.size(); ++i) CHECK(fleet.state(i).admitting());
}

TEST_CASE("a host started during the outage gets the document from peers") {
  Fleet fleet(8);
  Settle(fleet);
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

TEST_CASE("a host cut off stops admitting, says why, and comes back") {
  Fleet fleet(8);
  Settle(fleet);
  fleet.Cut(2, true);
  fleet.stored = {11, Text(2)};
  const auto stopped = [&] { return !fleet.state(2).admitting(); };
  CHECK(fleet.RunUntil(stopped, seconds(20)) <= seconds(8));
  CHECK(fleet.state(2).reason() == Errc::kCutOff);
  CHECK(fleet.state(2).generation() == 10);
  fleet.Cut(2, false);
  CHECK(fleet.RunUntil([&] { return fleet.state(2).admitting(); },
                       seconds(20)) <= seconds(4));
  fleet.Run(seconds(4));
  CHECK(fleet.state(2).generation() == 11);
}

TEST_CASE("no generation falls over restarts of every host but one") {
  Fleet fleet(8);
  Settle(fleet);
  fleet.stored = {11, Text(2)};
  fleet.Run(seconds(5));
  REQUIRE(fleet.InForce(11));
  fleet.store_up = false;
  for (int i = 0; i < 7; ++i) fleet.Start(i);
  fleet.RunUntil([&] { return fleet.InForce(11); }, seconds(20));
  CHECK(fleet.InForce(11));
  fleet.store_up = true;
  for (int i = 0; i < 8; ++i) fleet.Start(i);
  CHECK(fleet.RunUntil([&] { return fleet.InForce(11); }, seconds(20)) <=
        seconds(8));
}

TEST_CASE("a starting host waits while a peer announces a later generation") {
  Time now{std::chrono::hours(1)};
  ConfigState state(1, now);
  state.Handle(PeerConfigAnnounced{{"old"}, {10, 1}}, now);
  state.Handle(PeerConfigAnnounced{{"new"}, {11, 2}}, now);
  state.Handle(PeerDocumentReceived{{"old"}, {10, Text(1)}}, now + seconds(2));
  CHECK(state.generation() == 0);
  state.Handle(PeerDocumentReceived{{"new"}, {11, Text(2)}}, now + seconds(2));
  CHECK(state.generation() == 11);
  state.Handle(PeerDocumentReceived{{"old"}, {10, Text(1)}}, now + seconds(3));
  CHECK(state.generation() == 11);
  CHECK(state.text() == Text(2));
}

TEST_CASE("a document that is not valid is reported and not applied") {
  Fleet fleet(8);
  Settle(fleet);
  fleet.stored = {11, "[environment trial]\nbroken"};
  fleet.Run(seconds(10));
  CHECK(fleet.InForce(10));
  CHECK(fleet.rejections > 0);
  fleet.stored = {12, Text(3)};
  CHECK(fleet.RunUntil([&] { return fleet.InForce(12); }, seconds(20)) <=
        seconds(8));
}

TEST_CASE("reads of the store do not grow with the fleet") {
  const auto reads = [](int hosts) {
    Fleet fleet(hosts);
    Settle(fleet);
    fleet.reads = 0;
    fleet.Run(seconds(120));
    return fleet.reads;
  };
  const int small = reads(12);
  const int large = reads(48);
  CHECK(small > 0);
  // Six watchers read every two seconds; the other 36 once a minute each.
  CHECK(large - small <= 36 * 3);
}

TEST_CASE("an update whose answer was lost is settled by reading back") {
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

  ConfigUpdate raced(10, "mine");
  raced.OnPut(PutReply::kConflict, 11);
  const auto conflict = std::get<UpdateEnded>(raced.OnRead({11, "theirs"}));
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

TEST_CASE("of two parts of a fleet at most one hears a majority") {
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
