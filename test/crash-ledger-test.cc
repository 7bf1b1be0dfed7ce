// Which requests crashes condemn, and which they must not.
#include "comfreyflow/crash-ledger.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr SubjectId kShared = 1;
constexpr SubjectId kCulprit = 2;
constexpr SubjectId kOther = 3;
constexpr std::uint64_t kAccount = 10;
constexpr std::uint64_t kOtherAccount = 11;
constexpr Time kStart{std::chrono::hours(1)};

/// A request that is like no other but in these parts.
RequestSubjects Request(std::vector<SubjectId> parts,
                        std::uint64_t account = kAccount) {
  static std::uint64_t next = 1000;
  return {++next, account, std::move(parts)};
}

CrashReport Crash(Time at, std::vector<RequestSubjects> requests) {
  static std::uint64_t next = 0;
  return {{"s"}, {"t" + std::to_string(++next)}, 1, at, std::move(requests)};
}

bool IsSent(CrashLedger& ledger, const RequestSubjects& request, Time now) {
  return ledger.FindVerdict(request, false, now) == nullptr;
}

/// Crashes by `kCulprit` with `kShared`, 400 ms apart; returns the time after.
Time CrashTimes(CrashLedger& ledger, int count, Time now,
                std::uint64_t account = kAccount) {
  for (int i = 0; i < count; ++i) {
    now += milliseconds(400);
    ledger.AddCrash(Crash(now, {Request({kShared, kCulprit}, account)}), now);
    ledger.Answered(Request({kShared}), now + milliseconds(100));
  }
  return now + milliseconds(200);
}

}  // namespace

TEST_CASE("connections that break condemn a request that targets serve") {
  CrashLedger ledger;
  const RequestSubjects lookup = Request({});
  const RequestSubjects other = Request({}, kOtherAccount);
  Time now = kStart;
  const auto break_at = [&](const char* target) {
    return ledger.AddBreak(lookup, {target}, now);
  };
  CHECK(break_at("t1") == 1);
  CHECK(break_at("t1") == 0);
  CHECK(break_at("t2") == 2);
  CHECK(ledger.HoldOf(lookup, false, now) == Hold::kNone);
  CHECK(break_at("t3") == 3);
  CHECK(ledger.HoldOf(lookup, false, now) == Hold::kHeld);
  CHECK(ledger.HoldOf(other, false, now) == Hold::kNone);
  // It crashed nothing, so that no host condemns it.
  CHECK(IsSent(ledger, lookup, now));
  CHECK(ledger.verdicts().empty());
  // One is tried after a while, and ends it if it is served.
  now += seconds(1);
  CHECK(ledger.HoldOf(lookup, false, now) == Hold::kTrial);
  CHECK(ledger.HoldOf(lookup, false, now) == Hold::kHeld);
  break_at("t3");
  CHECK(ledger.HoldOf(lookup, false, now + milliseconds(999)) == Hold::kHeld);
  now += seconds(1);
  CHECK(ledger.HoldOf(lookup, false, now) == Hold::kTrial);
  ledger.Answered(lookup, now);
  CHECK(ledger.HoldOf(lookup, false, now) == Hold::kNone);
  // An answer in between makes breaks of connections no row.
  break_at("t1");
  break_at("t2");
  ledger.Answered(lookup, now);
  break_at("t3");
  CHECK(ledger.HoldOf(lookup, false, now) == Hold::kNone);
}

TEST_CASE("broken connections are remembered for ever, or without bound") {
  CrashLedgerSettings settings;
  settings.max_broken = 4;
  CrashLedger ledger(settings);
  const RequestSubjects first = Request({});
  for (const char* target : {"t1", "t2", "t3"})
    ledger.AddBreak(first, {target}, kStart);
  CHECK(ledger.HoldOf(first, false, kStart) == Hold::kHeld);
  CHECK(ledger.HoldOf(first, false, kStart + seconds(61)) == Hold::kNone);
  for (int i = 0; i < 4; ++i)
    ledger.AddBreak(Request({}), {"t1"}, kStart + seconds(1));
  CHECK(ledger.HoldOf(first, false, kStart) == Hold::kNone);
}

TEST_CASE(
    "a request that crashed three targets at once goes on at other hosts") {
  // Of another host, so that this one saw no connection break.
  CrashLedger ledger;
  const RequestSubjects bad = Request({});
  Time now = kStart;
  for (int i = 0; i < 3; ++i) ledger.AddCrash(Crash(now, {bad}), now);
  CHECK(IsSent(ledger, bad, now));  // One occasion.
  CHECK(ledger.HoldOf(bad, true, now) == Hold::kHeld);
  now += seconds(1);
  // One host of all tries it.
  CHECK(ledger.HoldOf(bad, false, now) == Hold::kHeld);
  CHECK(ledger.HoldOf(bad, true, now) == Hold::kTrial);
  CHECK(ledger.HoldOf(bad, true, now) == Hold::kHeld);
  // The trials that crash targets condemn it.
  ledger.AddCrash(Crash(now, {bad}), now);
  CHECK(IsSent(ledger, bad, now));
  now += seconds(1);
  ledger.AddCrash(Crash(now, {bad}), now);
  CHECK_FALSE(IsSent(ledger, bad, now));
  // The verdict's trial is not held back.
  CHECK(ledger.FindVerdict(bad, true, now + minutes(5)) == nullptr);
  CHECK(ledger.HoldOf(bad, true, now + minutes(5)) == Hold::kNone);
  // One that is served ends it at all hosts.
  ledger.AddAcquittal({bad.request, now + seconds(1)}, now + seconds(1));
  CHECK(ledger.HoldOf(bad, false, now + seconds(1)) == Hold::kNone);
}

TEST_CASE(
    "three crashes condemn a part that no answer acquits, not its neighbours") {
  CrashLedger ledger;
  Time now = CrashTimes(ledger, 2, kStart);
  CHECK(IsSent(ledger, Request({kShared, kCulprit}), now));
  CHECK(ledger.IsSuspect(Request({kCulprit})));
  now = CrashTimes(ledger, 1, now);
  CHECK_FALSE(IsSent(ledger, Request({kShared, kCulprit}), now));
  CHECK_FALSE(IsSent(ledger, Request({kCulprit, kOther}), now));
  CHECK(IsSent(ledger, Request({kShared}), now));
  CHECK(IsSent(ledger, Request({kShared, kOther}), now));
}

TEST_CASE("a request that is repeated is condemned by itself") {
  CrashLedger ledger;
  const RequestSubjects same = Request({kShared, kOther});
  Time now = kStart;
  for (int i = 0; i < 3; ++i) {
    now += seconds(2);
    ledger.AddCrash(Crash(now, {same}), now);
    ledger.Answered(Request({kShared}), now + milliseconds(50));
  }
  now += seconds(1);
  CHECK_FALSE(IsSent(ledger, same, now));
  CHECK(IsSent(ledger, Request({kShared, kOther}), now));
}

TEST_CASE("crashes that different hosts saw add up in any order") {
  std::vector<CrashReport> reports;
  for (int i = 0; i < 3; ++i) {
    reports.push_back(
        Crash(kStart + milliseconds(400) * i, {Request({kShared, kCulprit})}));
  }
  const Time now = kStart + seconds(2);
  const Acquittal shared{kShared, kStart + seconds(1)};
  for (const auto& order : {std::vector{0, 1, 2}, {2, 0, 1}, {1, 2, 0}}) {
    CrashLedger ledger;
    ledger.AddAcquittal(shared, now);
    for (const int i : order) ledger.AddCrash(reports[i], now);
    for (const int i : order)
      CHECK_FALSE(ledger.AddCrash(reports[i], now).is_new);
    CHECK_FALSE(IsSent(ledger, Request({kShared, kCulprit}), now));
    CHECK(IsSent(ledger, Request({kShared}), now));
  }
}

TEST_CASE("the loss of many targets at one moment condemns nothing") {
  CrashLedger ledger;
  for (SubjectId i = 0; i < 60; ++i) {
    const Time at = kStart + milliseconds(3 * i);
    ledger.AddCrash(Crash(at, {Request({kShared, 100 + i % 4})}), at);
  }
  const Time now = kStart + seconds(1);
  CHECK(ledger.verdicts().empty());
  CHECK(IsSent(ledger, Request({kShared, 100}), now));
}

TEST_CASE(
    "an answer lifts a verdict, and parts that can't be told apart narrow") {
  CrashLedger ledger;
  Time now = kStart;
  for (int i = 0; i < 3; ++i) {
    now += milliseconds(400);
    ledger.AddCrash(Crash(now, {Request({kOther, kCulprit})}), now);
  }
  now += milliseconds(100);
  CHECK_FALSE(IsSent(ledger, Request({kOther, kCulprit}), now));
  // Only together are they known to crash targets.
  CHECK(IsSent(ledger, Request({kOther}), now));
  ledger.Answered(Request({kOther}), now);
  CHECK_FALSE(IsSent(ledger, Request({kCulprit}), now));
  const auto change = ledger.Lift(kCulprit, now + milliseconds(1));
  CHECK(change.lifted.size() == 1);
  CHECK(IsSent(ledger, Request({kCulprit}), now + milliseconds(1)));
}

TEST_CASE(
    "one account's crashes condemn a part for others only with their own") {
  CrashLedger ledger;
  Time now = CrashTimes(ledger, 3, kStart);
  const auto others = Request({kShared, kCulprit}, kOtherAccount);
  CHECK(IsSent(ledger, others, now));
  now = CrashTimes(ledger, 1, now, kOtherAccount);
  CHECK_FALSE(IsSent(ledger, others, now));
  CHECK_FALSE(IsSent(ledger, Request({kCulprit}, 12), now));
}

TEST_CASE("a condemned request is tried once, later and later, by one host") {
  CrashLedger ledger;
  Time now = CrashTimes(ledger, 3, kStart);
  const auto request = Request({kCulprit});
  CHECK(ledger.FindVerdict(request, true, now) != nullptr);
  now += minutes(5);
  ledger.Tick(now);
  CHECK(ledger.FindVerdict(request, false, now) != nullptr);
  CHECK(ledger.FindVerdict(request, true, now) == nullptr);
  CHECK(ledger.FindVerdict(request, true, now + minutes(5)) != nullptr);
  CHECK(ledger.FindVerdict(request, true, now + minutes(10)) == nullptr);
}

TEST_CASE("a host adopts another's verdict unless it knows an answer since") {
  CrashLedger ledger;
  const Time now = CrashTimes(ledger, 3, kStart);
  REQUIRE(ledger.verdicts().size() == 1);
  const CrashVerdict verdict = ledger.verdicts().front();
  CrashLedger late;
  CHECK(late.AddVerdict(verdict, now).is_new);
  CHECK_FALSE(IsSent(late, Request({kCulprit}), now));
  CrashLedger knows;
  knows.Answered(Request({kCulprit}), now);
  CHECK(knows.AddVerdict(verdict, now).acquittals.size() == 1);
  CHECK(IsSent(knows, Request({kCulprit}), now));
}

TEST_CASE(
    "an account that crashes targets with ever new parts stays in bounds") {
  CrashLedgerSettings settings;
  CrashLedger ledger(settings);
  Time now = CrashTimes(ledger, 3, kStart);
  for (SubjectId i = 0; i < 20'000; ++i) {
    now += milliseconds(100);
    const auto request = Request({100 + i / 6, 50'000 + i}, kOtherAccount);
    ledger.AddCrash(Crash(now, {request}), now);
    ledger.Tick(now);
  }
  CHECK(ledger.crashes() <= settings.max_crashes);
  CHECK(ledger.verdicts().size() <= settings.max_verdicts);
}

TEST_CASE("sound parts beside a culprit and chance crashes are not condemned") {
  // Requests of one culprit and of sound parts with these shares of traffic.
  constexpr double kShares[] = {0.9, 0.5, 0.1, 0.01};
  constexpr int kSeeds = 400;
  constexpr milliseconds kDay{20'000};
  constexpr milliseconds kStep{20};
  int late = 0;
  int wrong = 0;
  for (int seed = 0; seed < kSeeds; ++seed) {
    std::mt19937 random(static_cast<unsigned>(seed));
    const auto chance = [&random](double p) {
      return std::uniform_real_distribution<>(0, 1)(random) < p;
    };
    CrashLedger ledger;
    int crashes = 0;
    for (Time now = kStart; now < kStart + kDay; now += kStep) {
      const auto sound = [&] {
        std::vector<SubjectId> parts;
        for (SubjectId i = 0; i < std::size(kShares); ++i) {
          if (chance(kShares[i])) parts.push_back(100 + i);
        }
        return Request(parts, kAccount + random() % 3);
      };
      // One request in a step is answered; at a crash two sound ones begin.
      ledger.Answered(sound(), now);
      const bool by_chance = chance(0.01);
      RequestSubjects culprit = sound();
      culprit.parts.push_back(kCulprit);
      const bool by_culprit = chance(0.05) && IsSent(ledger, culprit, now);
      if (!by_chance && !by_culprit) continue;
      std::vector<RequestSubjects> running = {sound()};
      if (by_culprit) running.push_back(culprit);
      if (by_culprit) ++crashes;
      ledger.AddCrash(Crash(now, std::move(running)), now);
    }
    if (crashes > 8) ++late;
    for (const auto& verdict : ledger.verdicts()) {
      const auto& ids = verdict.subjects;
      if (std::find(ids.begin(), ids.end(), kCulprit) == ids.end()) ++wrong;
    }
  }
  MESSAGE("wrong verdicts: ", wrong, ", late ones: ", late, " of ", kSeeds);
  CHECK(late <= kSeeds / 100);
  CHECK(wrong <= kSeeds / 100);
}
