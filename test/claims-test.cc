// The claim log under the failures that it is meant for, in virtual time.
#include "comfreyflow/claims.h"

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "claim-store.h"

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

/// What happens to one store call.
enum class Fate { kNormal, kLostAnswer, kLostCall, kHold };

ClaimSettings SettingsOf(const std::string& host) {
  ClaimSettings settings;
  settings.host = {host};
  settings.incarnation = {1};
  settings.shards = 1;
  return settings;
}

/// Some hosts before one store; each command is carried out at once unless
/// `fate` says otherwise.
struct Fleet {
  std::map<std::string, Claims> hosts;
  testing::ClaimStore store;
  Time now{1h};
  std::map<RequestId, std::vector<ClaimVerdict>> verdicts;
  std::function<Fate(const std::string&, const ClaimCommand&)> fate;
  std::vector<std::pair<std::string, StoreAnswered>> held;
  bool peers_deaf = false;
  std::uint64_t sequence = 0;

  Claims& Add(const ClaimSettings& settings) {
    return hosts.emplace(settings.host.value, Claims(settings)).first->second;
  }
  Claims& Add(const std::string& host) { return Add(SettingsOf(host)); }

  void Give(const std::string& host, const ClaimEvent& event) {
    const auto at = hosts.find(host);
    if (at == hosts.end()) return;
    for (const ClaimCommand& command : at->second.Handle(event, now)) {
      Carry(host, command);
    }
  }

  void Carry(const std::string& host, const ClaimCommand& command) {
    if (const auto* told = std::get_if<ClaimAnswered>(&command)) {
      verdicts[told->request].push_back(told->verdict);
    } else if (const auto* ask = std::get_if<AskClaimSteward>(&command)) {
      if (!peers_deaf)
        Give(ask->steward.value, PeerClaims{{host}, ask->records});
    } else if (const auto* answer = std::get_if<AnswerPeer>(&command)) {
      if (!peers_deaf)
        Give(answer->to.value, PeerVerdicts{{host}, answer->verdicts});
    } else {
      Call(host, command);
    }
  }

  void Call(const std::string& host, const ClaimCommand& command) {
    const Fate how = fate ? fate(host, command) : Fate::kNormal;
    StoreAnswered answer;
    if (how == Fate::kLostCall) {
      testing::ClaimStore scratch;
      scratch.Apply(command, answer);
    } else {
      store.Apply(command, answer);
    }
    if (how == Fate::kHold) {
      held.emplace_back(host, answer);
      return;
    }
    if (how != Fate::kNormal) answer = {answer.op, StoreResult::kNoAnswer, {}};
    Give(host, answer);
  }

  RequestId Want(const std::string& host, const std::string& key,
                 const std::string& account = "a",
                 std::uint64_t body = 1ULL << 40) {
    const RequestId id{{host}, {1}, ++sequence};
    Give(host, WantClaim{id, {account}, key, body, now + 30s});
    return id;
  }

  void Run(Duration time) {
    const Time end = now + time;
    while (now < end) {
      now += 10ms;
      for (const auto& item : hosts) Give(item.first, Tick{});
    }
  }

  ClaimVerdict Verdict(const RequestId& id) {
    REQUIRE(verdicts[id].size() == 1);
    return verdicts[id].front();
  }
};

bool IsCreate(const ClaimCommand& command) {
  return std::holds_alternative<StoreCreate>(command);
}

}  // namespace

TEST_CASE("a batch survives its text form, and damaged text is refused") {
  ClaimBatch batch{77, 5, {}};
  batch.records.push_back({ClaimRecord::Kind::kClaim, "abcdefghijklmnop", 99,
                           12345, 30s, Outcome::kUnknown});
  batch.records.push_back({ClaimRecord::Kind::kOutcome, "abcdefghijklmnop", 99,
                           0, 0s, Outcome::kDone});
  const std::string text = EncodeBatch(batch);
  ClaimBatch read;
  REQUIRE(DecodeBatch(text, read));
  CHECK(EncodeBatch(read) == text);
  CHECK(read.records.size() == 2);
  for (std::size_t cut = 1; cut < text.size(); ++cut) {
    ClaimBatch part;
    if (DecodeBatch(text.substr(0, cut), part)) CHECK(part.records.size() < 2);
  }
  CHECK_FALSE(DecodeBatch("", read));
  CHECK_FALSE(DecodeBatch("1,0;xabc,1,1;", read));
}

TEST_CASE("of two hosts with one key exactly one gets it") {
  Fleet fleet;
  fleet.Add("a");
  fleet.Add("b");
  const RequestId first = fleet.Want("a", "k");
  const RequestId second = fleet.Want("b", "k");
  fleet.Run(1s);
  CHECK(fleet.Verdict(first) == ClaimVerdict::kClaimed);
  CHECK(fleet.Verdict(second) == ClaimVerdict::kDuplicateRunning);
  fleet.Give("a", RecordOutcome{first, Outcome::kDone});
  fleet.Run(3s);
  CHECK(fleet.Verdict(fleet.Want("b", "k")) == ClaimVerdict::kDuplicateDone);
}

TEST_CASE("keys of two accounts are apart, and another body is refused") {
  Fleet fleet;
  fleet.Add("a");
  CHECK(fleet.Verdict(fleet.Want("a", "k", "x")) == ClaimVerdict::kClaimed);
  const RequestId other = fleet.Want("a", "k", "y");
  const RequestId body = fleet.Want("a", "k", "x", 9ULL << 40);
  fleet.Run(1s);
  CHECK(fleet.Verdict(other) == ClaimVerdict::kClaimed);
  CHECK(fleet.Verdict(body) == ClaimVerdict::kBodyMismatch);
}

TEST_CASE("a lost answer is settled by reading the log back") {
  for (const Fate how : {Fate::kLostAnswer, Fate::kLostCall}) {
    Fleet fleet;
    fleet.Add("a");
    fleet.Add("b");
    int creates = 0;
    fleet.fate = [&](const std::string& host, const ClaimCommand& command) {
      if (host != "a" || !IsCreate(command)) return Fate::kNormal;
      return ++creates == 1 ? how : Fate::kNormal;
    };
    const RequestId first = fleet.Want("a", "k");
    fleet.Run(1s);
    CHECK(fleet.Verdict(first) == ClaimVerdict::kClaimed);
    const RequestId second = fleet.Want("b", "k");
    fleet.Run(1s);
    CHECK(fleet.Verdict(second) == ClaimVerdict::kDuplicateRunning);
  }
}

TEST_CASE("a store out of reach is told at once, and the key is free after") {
  Fleet fleet;
  fleet.Add("a");
  bool down = true;
  fleet.fate = [&](const std::string&, const ClaimCommand& command) {
    // Some calls still take effect.
    if (!down) return Fate::kNormal;
    return IsCreate(command) ? Fate::kLostAnswer : Fate::kNormal;
  };
  fleet.Run(100ms);
  const RequestId early = fleet.Want("a", "k");
  fleet.fate = [&](const std::string&, const ClaimCommand&) {
    return down ? Fate::kLostCall : Fate::kNormal;
  };
  fleet.Run(2s);
  CHECK(fleet.verdicts[early].size() == 1);
  const RequestId late = fleet.Want("a", "k2");
  CHECK(fleet.Verdict(late) == ClaimVerdict::kUnavailable);
  down = false;
  fleet.Run(3s);
  const RequestId again = fleet.Want("a", "k2");
  fleet.Run(1s);
  CHECK(fleet.Verdict(again) == ClaimVerdict::kClaimed);
}

TEST_CASE("a claim given up on is released when the store is back") {
  Fleet fleet;
  fleet.Add("a");
  fleet.Add("b");
  bool down = false;
  fleet.fate = [&](const std::string& host, const ClaimCommand& command) {
    if (host == "a" && IsCreate(command) && fleet.now < Time(1h + 200ms)) {
      down = true;
      return Fate::kLostAnswer;
    }
    return down && host == "a" ? Fate::kLostCall : Fate::kNormal;
  };
  const RequestId first = fleet.Want("a", "k");
  fleet.Run(2s);
  CHECK(fleet.Verdict(first) == ClaimVerdict::kUnavailable);
  const RequestId during = fleet.Want("b", "k");
  fleet.Run(1s);
  CHECK(fleet.Verdict(during) == ClaimVerdict::kDuplicateRunning);
  down = false;
  fleet.Run(5s);
  const RequestId after = fleet.Want("b", "k");
  fleet.Run(1s);
  CHECK(fleet.Verdict(after) == ClaimVerdict::kClaimed);
}

TEST_CASE("a steward gathers claims, and its silence costs time only") {
  Fleet fleet;
  for (const char* name : {"a", "b", "c"}) fleet.Add(name);
  for (const char* name : {"a", "b", "c"})
    fleet.Give(name, ClaimStewards{{{"c"}}});
  fleet.Run(1s);
  const auto before = fleet.store.writes;
  std::vector<RequestId> all;
  for (int i = 0; i < 10; ++i) {
    all.push_back(fleet.Want(i % 2 == 0 ? "a" : "b", "k" + std::to_string(i)));
  }
  fleet.Run(1s);
  for (const RequestId& id : all)
    CHECK(fleet.Verdict(id) == ClaimVerdict::kClaimed);
  CHECK(fleet.store.writes - before <= 3);
  fleet.peers_deaf = true;
  const RequestId alone = fleet.Want("a", "alone");
  const RequestId seen = fleet.Want("b", "k0");
  fleet.Run(1s);
  CHECK(fleet.Verdict(alone) == ClaimVerdict::kClaimed);
  CHECK(fleet.Verdict(seen) == ClaimVerdict::kDuplicateRunning);
}

TEST_CASE("a slow append below the trim mark claims nothing") {
  Fleet fleet;
  ClaimSettings quick = SettingsOf("b");
  quick.retention = 2min;
  ClaimSettings slow = SettingsOf("a");
  slow.retention = 2min;
  slow.store_timeout = 24h;
  slow.claim_timeout = 24h;
  fleet.Add(slow);
  fleet.Add(quick);
  fleet.Give("b", ClaimStewards{{{"b"}}});
  // a's create of slot 0 is on its way for long.
  ClaimCommand delayed;
  bool once = true;
  fleet.fate = [&](const std::string& host, const ClaimCommand& command) {
    if (host != "a" || !IsCreate(command) || !once) return Fate::kNormal;
    once = false;
    delayed = command;
    fleet.store.objects.clear();
    return Fate::kHold;
  };
  const RequestId late = fleet.Want("a", "k");
  fleet.store.objects.clear();
  fleet.held.clear();
  const RequestId first = fleet.Want("b", "k");
  fleet.Run(1s);
  CHECK(fleet.Verdict(first) == ClaimVerdict::kClaimed);
  fleet.Run(2min);
  const RequestId fresh = fleet.Want("b", "k");
  fleet.Run(30s);
  CHECK(fleet.Verdict(fresh) == ClaimVerdict::kClaimed);
  CHECK(fleet.store.objects.find("000-000000000000") ==
        fleet.store.objects.end());
  fleet.Call("a", delayed);
  fleet.Run(1s);
  CHECK(fleet.Verdict(late) != ClaimVerdict::kClaimed);
}

TEST_CASE("stewards share the shards evenly and few move with a host") {
  std::vector<HostName> hosts;
  for (int i = 0; i < 8; ++i) hosts.push_back({"h" + std::to_string(i)});
  const auto stewards = AssignClaimStewards(hosts, 8);
  std::map<HostName, int> load;
  for (const HostName& host : stewards) ++load[host];
  CHECK(load.size() == 8);
  CHECK(AssignClaimStewards({}, 8).size() == 8);
}
