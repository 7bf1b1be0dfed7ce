// Tests of the claim log under lost store calls, store outages, unresponsive
// stewards and delayed appends, in virtual time.
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

/// The fault injected into one store call.
enum class CallFault {
  kNone,
  kLostAnswer,  ///< Takes effect, but the host gets no answer.
  kLostCall,    ///< Takes no effect, and the host gets no answer.
  kHeldAnswer   ///< Takes effect; the answer goes to `Fleet::held_answers`.
};

ClaimSettings MakeSettings(const std::string& host) {
  ClaimSettings settings;
  settings.host = {host};
  settings.incarnation = {1};
  settings.shards = 1;
  return settings;
}

/// Several hosts that share one store. Commands are executed immediately, with
/// the faults that `fault_for` injects into store calls.
struct Fleet {
  std::map<std::string, Claims> hosts;
  testing::ClaimStore store;
  Time now{1h};
  std::map<RequestId, std::vector<ClaimVerdict>> verdicts;
  std::function<CallFault(const std::string&, const ClaimCommand&)> fault_for;
  std::vector<std::pair<std::string, StoreAnswered>> held_answers;
  bool peer_messages_lost = false;
  std::uint64_t sequence = 0;

  Claims& Add(const ClaimSettings& settings) {
    return hosts.emplace(settings.host.value, Claims(settings)).first->second;
  }
  Claims& Add(const std::string& host) { return Add(MakeSettings(host)); }

  void Deliver(const std::string& host, const ClaimEvent& event) {
    const auto at = hosts.find(host);
    if (at == hosts.end()) return;
    for (const ClaimCommand& command : at->second.Handle(event, now)) {
      Execute(host, command);
    }
  }

  void Execute(const std::string& host, const ClaimCommand& command) {
    if (const auto* answered = std::get_if<ClaimAnswered>(&command)) {
      verdicts[answered->request].push_back(answered->verdict);
    } else if (const auto* ask = std::get_if<AskClaimSteward>(&command)) {
      if (!peer_messages_lost)
        Deliver(ask->steward.value, PeerClaims{{host}, ask->records});
    } else if (const auto* answer = std::get_if<AnswerPeer>(&command)) {
      if (!peer_messages_lost)
        Deliver(answer->to.value, PeerVerdicts{{host}, answer->verdicts});
    } else {
      CallStore(host, command);
    }
  }

  void CallStore(const std::string& host, const ClaimCommand& command) {
    const CallFault fault =
        fault_for ? fault_for(host, command) : CallFault::kNone;
    StoreAnswered answer;
    if (fault == CallFault::kLostCall) {
      testing::ClaimStore scratch;
      scratch.Apply(command, answer);
    } else {
      store.Apply(command, answer);
    }
    if (fault == CallFault::kHeldAnswer) {
      held_answers.emplace_back(host, answer);
      return;
    }
    if (fault != CallFault::kNone)
      answer = {answer.op, StoreResult::kNoAnswer, {}};
    Deliver(host, answer);
  }

  RequestId SendClaim(const std::string& host, const std::string& key,
                      const std::string& account = "a",
                      std::uint64_t body = 1ULL << 40) {
    const RequestId id{{host}, {1}, ++sequence};
    Deliver(host, WantClaim{id, {account}, key, body, now + 30s});
    return id;
  }

  void AdvanceTime(Duration time) {
    const Time end = now + time;
    while (now < end) {
      now += 10ms;
      for (const auto& item : hosts) Deliver(item.first, Tick{});
    }
  }

  ClaimVerdict Verdict(const RequestId& id) {
    REQUIRE(verdicts[id].size() == 1);
    return verdicts[id].front();
  }
};

bool IsSlotCreation(const ClaimCommand& command) {
  return std::holds_alternative<StoreCreate>(command);
}

}  // namespace

TEST_CASE("a batch round-trips as text, and malformed text is refused") {
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

TEST_CASE("exactly one of two hosts that claim the same key gets it") {
  Fleet fleet;
  fleet.Add("a");
  fleet.Add("b");
  const RequestId first = fleet.SendClaim("a", "k");
  const RequestId second = fleet.SendClaim("b", "k");
  fleet.AdvanceTime(1s);
  CHECK(fleet.Verdict(first) == ClaimVerdict::kClaimed);
  CHECK(fleet.Verdict(second) == ClaimVerdict::kDuplicateRunning);
  fleet.Deliver("a", RecordOutcome{first, Outcome::kDone});
  fleet.AdvanceTime(3s);
  CHECK(fleet.Verdict(fleet.SendClaim("b", "k")) ==
        ClaimVerdict::kDuplicateDone);
}

TEST_CASE("accounts do not share keys, and a different body is refused") {
  Fleet fleet;
  fleet.Add("a");
  CHECK(fleet.Verdict(fleet.SendClaim("a", "k", "x")) ==
        ClaimVerdict::kClaimed);
  const RequestId other = fleet.SendClaim("a", "k", "y");
  const RequestId body = fleet.SendClaim("a", "k", "x", 9ULL << 40);
  fleet.AdvanceTime(1s);
  CHECK(fleet.Verdict(other) == ClaimVerdict::kClaimed);
  CHECK(fleet.Verdict(body) == ClaimVerdict::kBodyMismatch);
}

TEST_CASE("after a lost store answer the log decides the claim") {
  for (const CallFault fault : {CallFault::kLostAnswer, CallFault::kLostCall}) {
    Fleet fleet;
    fleet.Add("a");
    fleet.Add("b");
    int creates = 0;
    fleet.fault_for = [&](const std::string& host,
                          const ClaimCommand& command) {
      if (host != "a" || !IsSlotCreation(command)) return CallFault::kNone;
      return ++creates == 1 ? fault : CallFault::kNone;
    };
    const RequestId first = fleet.SendClaim("a", "k");
    fleet.AdvanceTime(1s);
    CHECK(fleet.Verdict(first) == ClaimVerdict::kClaimed);
    const RequestId second = fleet.SendClaim("b", "k");
    fleet.AdvanceTime(1s);
    CHECK(fleet.Verdict(second) == ClaimVerdict::kDuplicateRunning);
  }
}

TEST_CASE("claims fail at once during a store outage and succeed after it") {
  Fleet fleet;
  fleet.Add("a");
  bool is_store_down = true;
  fleet.fault_for = [&](const std::string&, const ClaimCommand& command) {
    // Slot creations take effect without an answer; other calls still succeed.
    if (!is_store_down) return CallFault::kNone;
    return IsSlotCreation(command) ? CallFault::kLostAnswer : CallFault::kNone;
  };
  fleet.AdvanceTime(100ms);
  const RequestId early = fleet.SendClaim("a", "k");
  fleet.fault_for = [&](const std::string&, const ClaimCommand&) {
    return is_store_down ? CallFault::kLostCall : CallFault::kNone;
  };
  fleet.AdvanceTime(2s);
  CHECK(fleet.verdicts[early].size() == 1);
  const RequestId late = fleet.SendClaim("a", "k2");
  CHECK(fleet.Verdict(late) == ClaimVerdict::kUnavailable);
  is_store_down = false;
  fleet.AdvanceTime(3s);
  const RequestId again = fleet.SendClaim("a", "k2");
  fleet.AdvanceTime(1s);
  CHECK(fleet.Verdict(again) == ClaimVerdict::kClaimed);
}

TEST_CASE("a claim that failed in a store outage is released after it") {
  Fleet fleet;
  fleet.Add("a");
  fleet.Add("b");
  bool is_store_down = false;
  fleet.fault_for = [&](const std::string& host, const ClaimCommand& command) {
    if (host == "a" && IsSlotCreation(command) &&
        fleet.now < Time(1h + 200ms)) {
      is_store_down = true;
      return CallFault::kLostAnswer;
    }
    return is_store_down && host == "a" ? CallFault::kLostCall
                                        : CallFault::kNone;
  };
  const RequestId first = fleet.SendClaim("a", "k");
  fleet.AdvanceTime(2s);
  CHECK(fleet.Verdict(first) == ClaimVerdict::kUnavailable);
  const RequestId during = fleet.SendClaim("b", "k");
  fleet.AdvanceTime(1s);
  CHECK(fleet.Verdict(during) == ClaimVerdict::kDuplicateRunning);
  is_store_down = false;
  fleet.AdvanceTime(5s);
  const RequestId after = fleet.SendClaim("b", "k");
  fleet.AdvanceTime(1s);
  CHECK(fleet.Verdict(after) == ClaimVerdict::kClaimed);
}

TEST_CASE("a steward batches claims, and hosts can claim without it") {
  Fleet fleet;
  for (const char* name : {"a", "b", "c"}) fleet.Add(name);
  for (const char* name : {"a", "b", "c"})
    fleet.Deliver(name, ClaimStewards{{{"c"}}});
  fleet.AdvanceTime(1s);
  const auto before = fleet.store.writes;
  std::vector<RequestId> all;
  for (int i = 0; i < 10; ++i) {
    all.push_back(
        fleet.SendClaim(i % 2 == 0 ? "a" : "b", "k" + std::to_string(i)));
  }
  fleet.AdvanceTime(1s);
  for (const RequestId& id : all)
    CHECK(fleet.Verdict(id) == ClaimVerdict::kClaimed);
  CHECK(fleet.store.writes - before <= 3);
  fleet.peer_messages_lost = true;
  const RequestId without_steward = fleet.SendClaim("a", "alone");
  const RequestId duplicate = fleet.SendClaim("b", "k0");
  fleet.AdvanceTime(1s);
  CHECK(fleet.Verdict(without_steward) == ClaimVerdict::kClaimed);
  CHECK(fleet.Verdict(duplicate) == ClaimVerdict::kDuplicateRunning);
}

TEST_CASE("a delayed append below the trim mark claims nothing") {
  Fleet fleet;
  ClaimSettings fast_settings = MakeSettings("b");
  fast_settings.retention = 2min;
  ClaimSettings slow_settings = MakeSettings("a");
  slow_settings.retention = 2min;
  slow_settings.store_timeout = 24h;
  slow_settings.claim_timeout = 24h;
  fleet.Add(slow_settings);
  fleet.Add(fast_settings);
  fleet.Deliver("b", ClaimStewards{{{"b"}}});
  // Host a's creation of slot 0 is delayed: the store gets it only after host b
  // has trimmed that slot.
  ClaimCommand delayed;
  bool is_first_create = true;
  fleet.fault_for = [&](const std::string& host, const ClaimCommand& command) {
    if (host != "a" || !IsSlotCreation(command) || !is_first_create)
      return CallFault::kNone;
    is_first_create = false;
    delayed = command;
    fleet.store.objects.clear();
    return CallFault::kHeldAnswer;
  };
  const RequestId late = fleet.SendClaim("a", "k");
  fleet.store.objects.clear();
  fleet.held_answers.clear();
  const RequestId first = fleet.SendClaim("b", "k");
  fleet.AdvanceTime(1s);
  CHECK(fleet.Verdict(first) == ClaimVerdict::kClaimed);
  fleet.AdvanceTime(2min);
  const RequestId fresh = fleet.SendClaim("b", "k");
  fleet.AdvanceTime(30s);
  CHECK(fleet.Verdict(fresh) == ClaimVerdict::kClaimed);
  CHECK(fleet.store.objects.find("000-000000000000") ==
        fleet.store.objects.end());
  fleet.CallStore("a", delayed);
  fleet.AdvanceTime(1s);
  CHECK(fleet.Verdict(late) != ClaimVerdict::kClaimed);
}

TEST_CASE("the shards are assigned evenly to the hosts as stewards") {
  std::vector<HostName> hosts;
  for (int i = 0; i < 8; ++i) hosts.push_back({"h" + std::to_string(i)});
  const auto stewards = AssignClaimStewards(hosts, 8);
  std::map<HostName, int> load;
  for (const HostName& host : stewards) ++load[host];
  CHECK(load.size() == 8);
  CHECK(AssignClaimStewards({}, 8).size() == 8);
}
