// Placement of short streams and long prompts, accounting of work when messages
// are lost, hosts die or targets come and go, and failing targets.
#include "comfreyflow/placer.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

#include "placer-fixture.h"
using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::uint32_t Running(const Placer& placer) {
  std::uint32_t total = 0;
  for (const auto& load : placer.Loads()) total += load.running;
  return total;
}

/// Invariant of a placer without work: all counts are zero.
void CheckEmpty(const Placer& placer) {
  CHECK(placer.running() == 0);
  for (const auto& load : placer.Loads()) {
    CHECK(load.running == 0);
    CHECK(load.shorts == 0);
    CHECK(load.long_prefills == 0);
    CHECK(load.prefill_backlog == Duration::zero());
    CHECK(load.memory == 0);
  }
}

}  // namespace

TEST_CASE("short streams are packed, so that other engines stay free") {
  Placer placer = EnginePlacer(20);
  Time now = kStart;
  for (std::uint64_t i = 1; i <= 40; ++i) {
    const PlaceJob job = Job(i, now, 4000);
    Granted(placer, job, now);
    placer.Started(job.id, now + milliseconds(90));
    now += milliseconds(100);
  }
  std::size_t used = 0;
  for (const auto& load : placer.Loads()) used += load.running > 0 ? 1 : 0;
  CHECK(used <= 4);
}

TEST_CASE(
    "prompts in prefill are spread, so that no engine gets a long backlog") {
  Placer placer = EnginePlacer(20);
  std::map<TargetName, int> prefilling;
  for (std::uint64_t i = 1; i <= 15; ++i) {
    ++prefilling[Granted(placer, Job(i, kStart, 4000), kStart).targets[0].name];
  }
  for (const auto& [name, count] : prefilling) CHECK(count <= 1);
}

TEST_CASE("a long prompt gets as many engines as its objective requires") {
  Placer placer = EnginePlacer(21);
  CHECK(Granted(placer, Job(1, kStart, 60'000), kStart).targets.size() == 1);
  CHECK(Granted(placer, Job(2, kStart, 200'000), kStart).targets.size() >= 3);
}

TEST_CASE("a prefill never exceeds the maximum gap of streams on the engine") {
  Placer placer = EnginePlacer(2);
  const PlaceJob first = Job(1, kStart, 60'000);
  const auto busy = Granted(placer, first, kStart).targets[0].name;
  placer.Started(first.id, kStart + milliseconds(800));
  // The running stream allows gaps of 1 s: a prefill of 60k tokens fits into
  // that, one of 140k tokens does not.
  placer.Submit(Job(2, kStart, 140'000), kStart + milliseconds(800));
  for (const auto& decision : placer.TakeDecisions()) {
    const auto* grant = std::get_if<PlaceGrant>(&decision);
    if (grant == nullptr) continue;
    for (const auto& target : grant->targets) CHECK(target.name != busy);
  }
}

TEST_CASE("a short stream never joins an engine that prefills a long prompt") {
  Placer placer = EnginePlacer(4);
  const auto reader = Granted(placer, Job(1, kStart, 120'000), kStart);
  std::set<TargetName> reading;
  for (const auto& target : reader.targets) reading.insert(target.name);
  for (std::uint64_t i = 2; i <= 12; ++i) {
    const PlaceJob job = Job(i, kStart, 2000);
    const auto grant = Granted(placer, job, kStart);
    CHECK_FALSE(reading.contains(grant.targets[0].name));
    placer.Started(job.id, kStart);
  }
}

TEST_CASE("a prompt above the memory of one engine reserves memory on others") {
  Placer placer = EnginePlacer(21);
  const PlaceJob job = Job(1, kStart, 700'000);
  const auto grant = Granted(placer, job, kStart);
  std::uint64_t reserved = 0;
  for (const auto& target : grant.targets) reserved += target.reserve_tokens;
  CHECK(grant.targets[0].reserve_tokens == 0);
  CHECK(reserved + 0.95 * 315'000 >= 701'000);
  for (const auto& load : placer.Loads()) CHECK(load.memory <= 315'000);
  placer.Ended(job.id, WorkEnd::kDone, kStart + seconds(5));
  CheckEmpty(placer);
}

TEST_CASE(
    "a prompt above the memory of one engine gets a gang, however fast its "
    "prefill is") {
  EngineModel fast = TestEngine();
  fast.memory_tokens = 100'000;
  fast.prefill_per_second = 1'000'000;
  fast.prefill_per_1m_pairs = {};
  Placer placer({});
  placer.SetEngine(fast);
  placer.SetTargets(PoolTargets(6), kStart);
  const PlaceGrant grant = Granted(placer, Job(1, kStart, 180'000), kStart);
  CHECK(grant.targets.size() >= 2);
  CHECK(grant.targets[1].reserve_tokens > 0);
}

TEST_CASE("a prompt that no gang can hold is refused at once") {
  Placer placer = EnginePlacer(40);
  placer.Submit(Job(1, kStart, 6'000'000), kStart);
  const auto decisions = placer.TakeDecisions();
  REQUIRE(decisions.size() == 1);
  const auto* refusal = std::get_if<PlaceRefusal>(&decisions[0]);
  REQUIRE(refusal != nullptr);
  CHECK(refusal->code == Errc::kPromptTooLong);
  CHECK(placer.waiting() == 0);
}

TEST_CASE("long prompts leave engines to short streams according to demand") {
  Placer placer = EnginePlacer(20);
  Time now = kStart;
  for (std::uint64_t i = 1; i <= 200; ++i) {
    const PlaceJob job = Job(i, now, 5000);
    placer.Submit(job, now);
    placer.Started(job.id, now);
    now += milliseconds(10);
  }
  placer.TakeDecisions();
  for (std::uint64_t i = 1000; i < 1040; ++i) {
    placer.Submit(Job(i, now, 300'000), now);
  }
  const auto sum = placer.Summarize(now);
  CHECK(sum.reserve >= 8);
  CHECK(sum.targets - sum.long_engines >= sum.reserve);
}

TEST_CASE("a long prompt gets engines under constant load of short prompts") {
  Placer placer = EnginePlacer(10);
  Time now = kStart;
  std::uint64_t next = 1;
  std::map<std::uint64_t, Time> running;
  Time placed{};
  const PlaceJob late = Job(100'000, kStart + seconds(3), 100'000);
  while (now < kStart + seconds(12) && placed == Time{}) {
    for (int i = 0; i < 2; ++i, ++next) {
      placer.Submit(Job(next, now, 4000), now);
      placer.Started(Job(next, now, 4000).id, now);
      running[next] = now + milliseconds(1500);
    }
    for (auto at = running.begin(); at != running.end();) {
      if (at->second > now) {
        ++at;
        continue;
      }
      placer.Ended(Job(at->first, now, 0).id, WorkEnd::kDone, now);
      at = running.erase(at);
    }
    if (now >= late.arrival) placer.Submit(late, now);
    placer.Tick(now);
    for (const auto& decision : placer.TakeDecisions()) {
      const auto* grant = std::get_if<PlaceGrant>(&decision);
      if (grant != nullptr && grant->id == late.id) placed = now;
    }
    now += milliseconds(20);
  }
  REQUIRE(placed != Time{});
  CHECK(placed - late.arrival <= seconds(3));
}

TEST_CASE("a slow engine is used if the others cannot take a request now") {
  Placer placer = EnginePlacer(4);
  Time now = kStart;
  // Three engines start each of their streams far too late.
  std::set<TargetName> slow;
  for (std::uint64_t i = 1; slow.size() < 3; ++i) {
    const PlaceGrant grant = Granted(placer, Job(i, now, 8000), now);
    if (slow.size() < 3) {
      slow.insert(grant.targets[0].name);
      placer.Started({{"h"}, {1}, i}, now + 20 * grant.estimate);
    }
  }
  now += seconds(1);
  // The fourth engine prefills a long prompt, so short streams must not join
  // it.
  const PlaceGrant read = Granted(placer, Job(100, now, 60'000), now);
  REQUIRE(read.targets.size() == 1);
  REQUIRE_FALSE(slow.contains(read.targets[0].name));
  const PlaceGrant grant = Granted(placer, Job(101, now, 2000), now);
  CHECK(slow.contains(grant.targets[0].name));
}

TEST_CASE("requests for plain servers queue at the placer, not at the server") {
  Placer placer = PlainPlacer(2, 3);
  for (std::uint64_t i = 1; i <= 8; ++i)
    placer.Submit(Job(i, kStart, 0), kStart);
  CHECK(placer.TakeDecisions().size() == 6);
  CHECK(placer.waiting() == 2);
  placer.Ended(Job(1, kStart, 0).id, WorkEnd::kDone, kStart);
  CHECK(placer.TakeDecisions().size() == 1);
}

TEST_CASE("a request submitted twice is granted once and answered twice") {
  Placer placer = PlainPlacer(3, 6);
  const PlaceJob job = Job(1, kStart, 0);
  const auto first = Granted(placer, job, kStart);
  const auto again = Granted(placer, job, kStart + milliseconds(40));
  CHECK(first.targets == again.targets);
  CHECK(Running(placer) == 1);
}

TEST_CASE("work that is missing from the report of its host ends") {
  Placer placer = EnginePlacer(8);
  const PlaceJob kept = Job(1, kStart, 3000);
  const PlaceJob lost = Job(2, kStart, 200'000);
  const auto grant = Granted(placer, kept, kStart);
  Granted(placer, lost, kStart);
  const RunningWork reported{kept.id, grant.targets, true,        true,
                             3000,    1000,          kept.max_gap};
  placer.Adopt({"h"}, {reported}, kStart + milliseconds(100));
  CHECK(Running(placer) == 2);  // The report may be older than the grant.
  placer.Adopt({"h"}, {reported}, kStart + seconds(1));
  CHECK(Running(placer) == 1);
  placer.Adopt({"h"}, {}, kStart + seconds(2));
  CheckEmpty(placer);
}

TEST_CASE("adopted work ends with the next report, however soon") {
  Placer placer = EnginePlacer(8);
  const RunningWork reported{
      {{"h"}, {1}, 7}, {{{"t1"}, "a", 0}}, true, false, 90'000, 1000,
      seconds(1)};
  placer.Adopt({"h"}, {reported}, kStart);
  CHECK(Running(placer) == 1);
  placer.Adopt({"h"}, {}, kStart + milliseconds(10));
  CheckEmpty(placer);
}

TEST_CASE("adopted work ends soon when its host stops reporting it") {
  // The host uses another placer by now, which receives the end of the work.
  Placer placer = EnginePlacer(2);
  Time now = kStart;
  const std::vector<RunningWork> running = {
      {{{"h"}, {1}, 1}, {{{"t0"}, "", 0}}, true, false, 100'000, 100, {}},
      {{{"h"}, {1}, 2}, {{{"t1"}, "", 0}}, true, false, 100'000, 100, {}}};
  for (int i = 0; i < 10; ++i) {
    placer.Adopt({"h"}, running, now);
    now += milliseconds(500);
    placer.Tick(now);
    CHECK(placer.running() == 2);
  }
  now += seconds(2);
  placer.Tick(now);
  CHECK(placer.running() == 0);
  CHECK(Granted(placer, Job(9, now, 100'000), now).targets.size() == 1);
}

TEST_CASE("work reported before the list of targets leaves no counts behind") {
  Placer placer({});
  placer.SetEngine(TestEngine());
  const RunningWork reported{{{"h"}, {1}, 7},
                             {{{"t1"}, "a", 0}, {{"t2"}, "b", 50'000}},
                             true,
                             false,
                             400'000,
                             1000,
                             seconds(1)};
  placer.Adopt({"h"}, {reported}, kStart);
  placer.SetTargets(PoolTargets(4), kStart);
  placer.Started(reported.id, kStart + milliseconds(5));
  placer.Ended(reported.id, WorkEnd::kDone, kStart + milliseconds(10));
  CheckEmpty(placer);
}

TEST_CASE("targets that disappear from the list and return keep exact counts") {
  Placer placer = EnginePlacer(4);
  const PlaceJob job = Job(1, kStart, 150'000);
  Granted(placer, job, kStart);
  placer.SetTargets({}, kStart + milliseconds(10));
  placer.SetTargets(PoolTargets(4), kStart + milliseconds(20));
  placer.Ended(job.id, WorkEnd::kDone, kStart + milliseconds(30));
  CheckEmpty(placer);
}

TEST_CASE(
    "work of earlier incarnations of a host is dropped, that of the present "
    "one is kept") {
  Placer placer = PlainPlacer(3, 6);
  PlaceJob before = Job(1, kStart, 0);
  PlaceJob after = Job(2, kStart, 0);
  after.id.incarnation = {2};
  Granted(placer, before, kStart);
  Granted(placer, after, kStart);
  placer.Forget({"h"}, {2});
  CHECK(Running(placer) == 1);
  placer.Forget({"h"}, {3});
  CheckEmpty(placer);
}

TEST_CASE("work whose end was never reported ends after its deadline") {
  Placer placer = PlainPlacer(3, 6);
  Granted(placer, Job(1, kStart, 0), kStart);
  placer.Tick(kStart + seconds(10));
  CHECK(Running(placer) == 1);
  placer.Tick(kStart + seconds(12));
  CheckEmpty(placer);
}

TEST_CASE("a target that failed is closed, then gets one trial at a time") {
  Placer placer = PlainPlacer(1, 6);
  const PlaceJob first = Job(1, kStart, 0);
  const PlaceJob beside = Job(2, kStart, 0);
  Granted(placer, first, kStart);
  Granted(placer, beside, kStart);
  placer.Ended(first.id, WorkEnd::kBroken, kStart);
  placer.Submit(Job(3, kStart, 0), kStart + milliseconds(10));
  CHECK(placer.TakeDecisions().empty());
  const Time later = kStart + milliseconds(300);
  placer.Submit(Job(4, later, 0), later);
  placer.Tick(later);
  CHECK(placer.TakeDecisions().size() ==
        1);  // Work from before the failure still runs.
  placer.Ended(Job(3, kStart, 0).id, WorkEnd::kDone, later);
  placer.Ended(Job(4, kStart, 0).id, WorkEnd::kDone, later);
  placer.Tick(later);
  placer.Submit(Job(5, later, 0), later);
  placer.Submit(Job(6, later, 0), later);
  CHECK(placer.TakeDecisions().size() >= 2);
}

TEST_CASE("a target whose address was taken by another target gets no work") {
  Placer placer = PlainPlacer(2, 6);
  const PlaceJob job = Job(1, kStart, 0);
  const auto wrong = Granted(placer, job, kStart).targets[0].name;
  placer.Ended(job.id, WorkEnd::kWrongTarget, kStart);
  placer.SetTargets(PoolTargets(2, 6), kStart + milliseconds(1));
  for (std::uint64_t i = 2; i < 8; ++i) {
    CHECK(Granted(placer, Job(i, kStart, 0), kStart).targets[0].name != wrong);
  }
}

TEST_CASE(
    "leaving targets get no work from the moment they are listed as leaving") {
  Placer placer = PlainPlacer(2, 6);
  auto targets = PoolTargets(2, 6);
  targets[0].leaving = true;
  placer.SetTargets(targets, kStart);
  for (std::uint64_t i = 1; i <= 6; ++i) {
    const auto grant = Granted(placer, Job(i, kStart, 0), kStart);
    CHECK(grant.targets[0].name == targets[1].name);
  }
}

TEST_CASE("retries stay within their budget in any window") {
  PlacerSettings settings;
  settings.retries.ratio = 0.2;
  settings.retries.slack = 5;
  Placer placer(settings);
  placer.SetTargets(PoolTargets(3, 1000), kStart);
  std::uint32_t retries = 0;
  Time now = kStart;
  for (std::uint64_t i = 1; i <= 100; ++i) {
    now += milliseconds(20);
    PlaceJob job = Job(i, now, 0);
    Granted(placer, job, now);
    placer.Ended(job.id, WorkEnd::kTargetError, now);
    job.number = 2;
    job.is_retry = true;
    placer.Submit(job, now);
    for (const auto& decision : placer.TakeDecisions()) {
      if (std::holds_alternative<PlaceGrant>(decision)) ++retries;
    }
  }
  CHECK(retries <= 0.2 * 100 + 5);
  CHECK(retries >= 20);
}

TEST_CASE("retries that waited together are granted beyond the budget") {
  constexpr std::uint64_t kSlots = 40;
  PlacerSettings settings;
  settings.retries.ratio = 0.2;
  settings.retries.slack = 5;
  Placer placer(settings);
  placer.SetTargets(PoolTargets(1, kSlots), kStart);
  for (std::uint64_t i = 1; i <= kSlots; ++i) {
    Granted(placer, Job(i, kStart, 0), kStart);
  }
  const auto count_granted = [&placer] {
    int granted = 0;
    for (const auto& decision : placer.TakeDecisions()) {
      granted += std::holds_alternative<PlaceGrant>(decision) ? 1 : 0;
    }
    return granted;
  };
  int granted = 0;
  for (std::uint64_t i = 1; i <= kSlots; ++i) {
    PlaceJob job = Job(kSlots + i, kStart, 0);
    job.is_retry = true;
    placer.Submit(job, kStart);
    granted += count_granted();
  }
  for (std::uint64_t i = 1; i <= kSlots; ++i) {
    placer.Ended({{"h"}, {1}, i}, WorkEnd::kDone, kStart + milliseconds(10));
    placer.Tick(kStart + milliseconds(10));
    granted += count_granted();
  }
  CHECK(granted <= 0.2 * kSlots + 5);
  CHECK(granted >= 12);
}

TEST_CASE("hosts that place independently share the retry budget") {
  constexpr std::size_t kHosts = 6;
  PlacerSettings settings;
  settings.retries.slack = 50;
  std::uint32_t retries = 0;
  for (std::size_t host = 0; host < kHosts; ++host) {
    Placer placer(settings);
    placer.SetTargets(PoolTargets(3, 1000), kStart);
    placer.SetPart(PartOfLimits({kHosts, host, 1, 1, true}), kStart);
    for (std::uint64_t i = 1; i <= 100; ++i) {
      PlaceJob job = Job(i, kStart, 0);
      job.is_retry = true;
      placer.Submit(job, kStart);
      for (const auto& decision : placer.TakeDecisions()) {
        if (std::holds_alternative<PlaceGrant>(decision)) ++retries;
      }
    }
  }
  CHECK(retries <= 50);
  CHECK(retries >= 40);
}

TEST_CASE(
    "nothing is granted before the running work of other hosts is known") {
  Placer placer = PlainPlacer(2, 6);
  placer.HoldUntil(kStart + milliseconds(120));
  placer.Submit(Job(1, kStart, 0), kStart);
  CHECK(placer.TakeDecisions().empty());
  placer.Tick(kStart + milliseconds(120));
  CHECK(placer.TakeDecisions().size() == 1);
}

TEST_CASE("a request that cannot be served in time any more is refused") {
  Placer placer = PlainPlacer(1, 1);
  Granted(placer, Job(1, kStart, 0), kStart);
  PlaceJob job = Job(2, kStart, 0);
  job.deadline = kStart + milliseconds(400);
  placer.Submit(job, kStart);
  CHECK(placer.TakeDecisions().empty());
  placer.Submit(job, kStart + milliseconds(395));
  placer.Tick(kStart + milliseconds(395));
  const auto decisions = placer.TakeDecisions();
  REQUIRE(decisions.size() == 1);
  CHECK(std::holds_alternative<PlaceRefusal>(decisions[0]));
}

TEST_CASE("hosts that place independently choose different targets") {
  std::set<TargetName> chosen;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    PlacerSettings settings;
    settings.seed = seed;
    Placer placer(settings);
    placer.SetEngine(TestEngine());
    placer.SetTargets(PoolTargets(20), kStart);
    chosen.insert(
        Granted(placer, Job(1, kStart, 3000), kStart).targets[0].name);
  }
  CHECK(chosen.size() >= 4);
}

TEST_CASE(
    "a target that asked a host to back off is granted to other hosts last") {
  Placer placer = PlainPlacer(2, 4);
  placer.SetHosts(2);
  const Time until = kStart + seconds(1);
  placer.BackOff({"t0"}, {"h"}, until, kStart);
  for (std::uint64_t i = 1; i <= 4; ++i) {
    CHECK(Granted(placer, Job(i, kStart, 0), kStart).targets[0].name.value ==
          "t1");
  }
  // No free slot on t1: another host may send to the target that asked the
  // first host to back off.
  CHECK(Granted(placer, Job(1, kStart, 0, "other"), kStart)
            .targets[0]
            .name.value == "t0");
  placer.Submit(Job(5, kStart, 0), kStart);
  CHECK(placer.TakeDecisions().empty());
  placer.Tick(until);
  const auto decisions = placer.TakeDecisions();
  REQUIRE(decisions.size() == 1);
  CHECK(std::get<PlaceGrant>(decisions[0]).targets[0].name.value == "t0");
}

TEST_CASE(
    "a host that all targets asked to back off refuses at once or waits") {
  Placer placer = PlainPlacer(2, 4);
  const auto back_off = [&placer](const char* host, Duration time) {
    for (const char* target : {"t0", "t1"}) {
      placer.BackOff({target}, {host}, kStart + time, kStart);
    }
  };
  const auto decision = [&placer](const PlaceJob& job) {
    placer.Submit(job, kStart);
    return placer.TakeDecisions();
  };
  SUBCASE("refuses for an immediate retry at another host") {
    placer.SetHosts(2);
    back_off("h", seconds(4));
    const auto got = decision(Job(1, kStart, 0));
    REQUIRE(got.size() == 1);
    const auto& refusal = std::get<PlaceRefusal>(got[0]);
    CHECK(refusal.code == Errc::kOverloaded);
    CHECK(refusal.retry_after == Duration::zero());
    // A request that already ran can't be refused as not run, so it waits.
    PlaceJob again = Job(2, kStart, 0);
    again.is_retry = true;
    CHECK(decision(again).empty());
  }
  SUBCASE("waits within the deadline if it is the only host") {
    back_off("h", seconds(4));
    CHECK(decision(Job(1, kStart, 0)).empty());
  }
  SUBCASE("refuses if the back-off ends after the deadline") {
    back_off("h", seconds(20));
    const auto got = decision(Job(1, kStart, 0));
    REQUIRE(got.size() == 1);
    CHECK(std::get<PlaceRefusal>(got[0]).retry_after == seconds(20));
  }
  SUBCASE("waits if the back-off ends within the objective") {
    placer.SetHosts(2);
    back_off("h", milliseconds(200));
    CHECK(decision(Job(1, kStart, 0)).empty());
  }
}

TEST_CASE("a restarted target gets requests in spite of an earlier back-off") {
  Placer placer = PlainPlacer(1, 4);
  placer.BackOff({"t0"}, {"h"}, kStart + seconds(9), kStart);
  auto targets = PoolTargets(1, 4);
  targets[0].born = 7;
  placer.SetTargets(targets, kStart);
  CHECK(Granted(placer, Job(1, kStart, 0), kStart).targets.size() == 1);
}

TEST_CASE(
    "a prompt is refused if its caller would give up before the first event") {
  Placer placer = EnginePlacer(4);
  PlaceJob job = Job(1, kStart, 300'000);
  // Four engines prefill it in 2.5 s.
  job.first_event_deadline = kStart + seconds(2);
  placer.Submit(job, kStart);
  const auto decisions = placer.TakeDecisions();
  REQUIRE(decisions.size() == 1);
  CHECK(std::get<PlaceRefusal>(decisions[0]).code == Errc::kDeadlineInfeasible);
}

TEST_CASE("a late long prompt goes first if its caller would give up soon") {
  const auto first_of = [](Duration caller_timeout) {
    Placer placer = EnginePlacer(2);
    const PlaceJob reads = Job(1, kStart, 200'000);
    Granted(placer, reads, kStart);
    PlaceJob late = Job(2, kStart, 60'000);
    late.objective = milliseconds(500);
    late.first_event_deadline = kStart + caller_timeout;
    placer.Submit(late, kStart);
    const Time now = kStart + milliseconds(1000);
    placer.Submit(late, now);
    placer.Submit(Job(3, now, 60'000), now);
    placer.TakeDecisions();
    placer.Ended(reads.id, WorkEnd::kDone, now);
    const auto decisions = placer.TakeDecisions();
    REQUIRE(decisions.size() == 1);
    return std::get<PlaceGrant>(decisions[0]).id.sequence;
  };
  CHECK(first_of(seconds(9)) == 3);
  CHECK(first_of(milliseconds(2500)) == 2);
}

TEST_CASE("a prompt that can't be in time any more waits for those that can") {
  Placer placer = EnginePlacer(2);
  // One engine reads, the other is left to short streams.
  PlaceJob reading = Job(1, kStart, 100'000);
  Granted(placer, reading, kStart);
  // 2.5 s of prefill: too late for its objective from 2 s on.
  PlaceJob late = Job(2, kStart, 130'000);
  late.objective = milliseconds(1000);
  placer.Submit(late, kStart);
  PlaceJob in_time = Job(3, kStart + milliseconds(10), 60'000);
  placer.Submit(in_time, kStart + milliseconds(10));
  CHECK(placer.TakeDecisions().empty());
  const Time free_at = kStart + milliseconds(20);
  placer.Ended(reading.id, WorkEnd::kDone, free_at);
  placer.Tick(free_at);
  const auto decisions = placer.TakeDecisions();
  REQUIRE_FALSE(decisions.empty());
  const auto* grant = std::get_if<PlaceGrant>(&decisions.front());
  REQUIRE(grant != nullptr);
  CHECK(grant->id == in_time.id);
}

TEST_CASE("a gang is wider than usual only if its objective requires it") {
  Placer placer = EnginePlacer(18);
  const auto engines = [&placer](std::uint64_t sequence, std::uint32_t tokens) {
    const PlaceJob job = Job(sequence, kStart, tokens);
    const std::size_t size = Granted(placer, job, kStart).targets.size();
    placer.Ended(job.id, WorkEnd::kDone, kStart);
    return size;
  };
  CHECK(engines(1, 150'000) <= 4);
  // 9.8 s of prefill; a tenth of the objective would take 17 engines.
  CHECK(engines(2, 300'000) == 8);
  // 31 s of prefill, which 8 engines can't do in 3 s.
  CHECK(engines(3, 550'000) > 8);
}

TEST_CASE("retries that were never granted use up the retry budget") {
  Placer placer = PlainPlacer(1, 16);
  for (std::uint64_t i = 1; i <= 10; ++i)
    Granted(placer, Job(i, kStart, 0), kStart);
  const double before = placer.Summarize(kStart).retries_left;
  const TargetName only = placer.Loads().front().name;
  for (std::uint64_t i = 101; i <= 110; ++i) {
    PlaceJob retry = Job(i, kStart, 0);
    retry.is_retry = true;
    retry.excluded = {only};
    placer.Submit(retry, kStart);
    CHECK(placer.TakeDecisions().empty());
    placer.Ended(retry.id, WorkEnd::kCancelled, kStart + milliseconds(10));
  }
  CHECK(placer.Summarize(kStart + milliseconds(10)).retries_left == before);
}
