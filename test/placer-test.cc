// Placement: short streams and long prompts apart, exact counts over lost
// messages, deaths and moves, and targets that fail.
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

/// Invariant of a placer without work: nothing is counted anywhere.
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

TEST_CASE("short streams are packed, so that whole engines stay free") {
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

TEST_CASE("unread prompts are spread, so that no pass grows long") {
  Placer placer = EnginePlacer(20);
  std::map<TargetName, int> prefilling;
  for (std::uint64_t i = 1; i <= 15; ++i) {
    ++prefilling[Granted(placer, Job(i, kStart, 4000), kStart).targets[0].name];
  }
  for (const auto& [name, count] : prefilling) CHECK(count <= 1);
}

TEST_CASE("a long prompt takes as many readers as its objective needs") {
  Placer placer = EnginePlacer(21);
  CHECK(Granted(placer, Job(1, kStart, 60'000), kStart).targets.size() == 1);
  CHECK(Granted(placer, Job(2, kStart, 200'000), kStart).targets.size() >= 3);
}

TEST_CASE("streams on an engine bear only reads within their pauses") {
  Placer placer = EnginePlacer(2);
  const PlaceJob first = Job(1, kStart, 60'000);
  const auto busy = Granted(placer, first, kStart).targets[0].name;
  placer.Started(first.id, kStart + milliseconds(800));
  // The stream that was begun bears 1 s: 60k tokens fit into that, 140k don't.
  placer.Submit(Job(2, kStart, 140'000), kStart + milliseconds(800));
  for (const auto& decision : placer.TakeDecisions()) {
    const auto* grant = std::get_if<PlaceGrant>(&decision);
    if (grant == nullptr) continue;
    for (const auto& target : grant->targets) CHECK(target.name != busy);
  }
}

TEST_CASE("a short stream never joins an engine that reads a long prompt") {
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

TEST_CASE("a prompt over one engine's memory sets memory aside at others") {
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
    "a prompt over one engine's memory gets a gang, however fast it reads") {
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

TEST_CASE("long prompts leave engines to short streams by their demand") {
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

TEST_CASE("a long prompt that waits in a flood of short ones gets engines") {
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

TEST_CASE("a slow engine takes what the others can't take now") {
  Placer placer = EnginePlacer(4);
  Time now = kStart;
  // Three engines begin each of their streams far too late.
  std::set<TargetName> slow;
  for (std::uint64_t i = 1; slow.size() < 3; ++i) {
    const PlaceGrant grant = Granted(placer, Job(i, now, 8000), now);
    if (slow.size() < 3) {
      slow.insert(grant.targets[0].name);
      placer.Started({{"h"}, {1}, i}, now + 20 * grant.estimate);
    }
  }
  now += seconds(1);
  // The fourth reads a long prompt, which no short stream may join.
  const PlaceGrant read = Granted(placer, Job(100, now, 60'000), now);
  REQUIRE(read.targets.size() == 1);
  REQUIRE_FALSE(slow.contains(read.targets[0].name));
  const PlaceGrant grant = Granted(placer, Job(101, now, 2000), now);
  CHECK(slow.contains(grant.targets[0].name));
}

TEST_CASE("plain servers queue at the placer, not at the server") {
  Placer placer = PlainPlacer(2, 3);
  for (std::uint64_t i = 1; i <= 8; ++i)
    placer.Submit(Job(i, kStart, 0), kStart);
  CHECK(placer.TakeDecisions().size() == 6);
  CHECK(placer.waiting() == 2);
  placer.Ended(Job(1, kStart, 0).id, WorkEnd::kDone, kStart);
  CHECK(placer.TakeDecisions().size() == 1);
}

TEST_CASE("the same ask again is granted once, and answered again") {
  Placer placer = PlainPlacer(3, 6);
  const PlaceJob job = Job(1, kStart, 0);
  const auto first = Granted(placer, job, kStart);
  const auto again = Granted(placer, job, kStart + milliseconds(40));
  CHECK(first.targets == again.targets);
  CHECK(Running(placer) == 1);
}

TEST_CASE("a host's word ends what it does not name") {
  Placer placer = EnginePlacer(8);
  const PlaceJob kept = Job(1, kStart, 3000);
  const PlaceJob lost = Job(2, kStart, 200'000);
  const auto grant = Granted(placer, kept, kStart);
  Granted(placer, lost, kStart);
  const RunningWork told{kept.id, grant.targets, true,        true,
                         3000,    1000,          kept.max_gap};
  placer.Adopt({"h"}, {told}, kStart + milliseconds(100));
  CHECK(Running(placer) == 2);  // The word may be older than the grant.
  placer.Adopt({"h"}, {told}, kStart + seconds(1));
  CHECK(Running(placer) == 1);
  placer.Adopt({"h"}, {}, kStart + seconds(2));
  CheckEmpty(placer);
}

TEST_CASE("adopted work ends with the next word, however soon") {
  Placer placer = EnginePlacer(8);
  const RunningWork told{
      {{"h"}, {1}, 7}, {{{"t1"}, "a", 0}}, true, false, 90'000, 1000,
      seconds(1)};
  placer.Adopt({"h"}, {told}, kStart);
  CHECK(Running(placer) == 1);
  placer.Adopt({"h"}, {}, kStart + milliseconds(10));
  CheckEmpty(placer);
}

TEST_CASE("adopted work that its host tells of no more ends soon") {
  // The host asks another placer by now, which hears of the end.
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

TEST_CASE("work heard of before the list of targets leaves no trace") {
  Placer placer({});
  placer.SetEngine(TestEngine());
  const RunningWork told{{{"h"}, {1}, 7},
                         {{{"t1"}, "a", 0}, {{"t2"}, "b", 50'000}},
                         true,
                         false,
                         400'000,
                         1000,
                         seconds(1)};
  placer.Adopt({"h"}, {told}, kStart);
  placer.SetTargets(PoolTargets(4), kStart);
  placer.Started(told.id, kStart + milliseconds(5));
  placer.Ended(told.id, WorkEnd::kDone, kStart + milliseconds(10));
  CheckEmpty(placer);
}

TEST_CASE("targets that leave the list and return keep exact counts") {
  Placer placer = EnginePlacer(4);
  const PlaceJob job = Job(1, kStart, 150'000);
  Granted(placer, job, kStart);
  placer.SetTargets({}, kStart + milliseconds(10));
  placer.SetTargets(PoolTargets(4), kStart + milliseconds(20));
  placer.Ended(job.id, WorkEnd::kDone, kStart + milliseconds(30));
  CheckEmpty(placer);
}

TEST_CASE("a host's earlier starts are forgotten, its present one is not") {
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

TEST_CASE("work whose end was never heard of ends with its deadline") {
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
  CHECK(placer.TakeDecisions().size() == 1);  // Work from before still runs.
  placer.Ended(Job(3, kStart, 0).id, WorkEnd::kDone, later);
  placer.Ended(Job(4, kStart, 0).id, WorkEnd::kDone, later);
  placer.Tick(later);
  placer.Submit(Job(5, later, 0), later);
  placer.Submit(Job(6, later, 0), later);
  CHECK(placer.TakeDecisions().size() >= 2);
}

TEST_CASE("a target whose address another has taken gets nothing") {
  Placer placer = PlainPlacer(2, 6);
  const PlaceJob job = Job(1, kStart, 0);
  const auto wrong = Granted(placer, job, kStart).targets[0].name;
  placer.Ended(job.id, WorkEnd::kWrongTarget, kStart);
  placer.SetTargets(PoolTargets(2, 6), kStart + milliseconds(1));
  for (std::uint64_t i = 2; i < 8; ++i) {
    CHECK(Granted(placer, Job(i, kStart, 0), kStart).targets[0].name != wrong);
  }
}

TEST_CASE("leaving targets get nothing, from the moment they are told") {
  Placer placer = PlainPlacer(2, 6);
  auto targets = PoolTargets(2, 6);
  targets[0].leaving = true;
  placer.SetTargets(targets, kStart);
  for (std::uint64_t i = 1; i <= 6; ++i) {
    const auto grant = Granted(placer, Job(i, kStart, 0), kStart);
    CHECK(grant.targets[0].name == targets[1].name);
  }
}

TEST_CASE("repeats stay within their budget in any window") {
  PlacerSettings settings;
  settings.retry_ratio = 0.2;
  settings.retry_slack = 5;
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

TEST_CASE("hosts that go by themselves share the budget of repeats") {
  constexpr std::size_t kHosts = 6;
  PlacerSettings settings;
  settings.retry_slack = 50;
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

TEST_CASE("nothing is granted before the other hosts' work is known") {
  Placer placer = PlainPlacer(2, 6);
  placer.HoldUntil(kStart + milliseconds(120));
  placer.Submit(Job(1, kStart, 0), kStart);
  CHECK(placer.TakeDecisions().empty());
  placer.Tick(kStart + milliseconds(120));
  CHECK(placer.TakeDecisions().size() == 1);
}

TEST_CASE("what can't be served any more is refused, not held") {
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

TEST_CASE("hosts that place without knowing of each other choose apart") {
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

TEST_CASE("a target that rests for a host is granted to others, as the last") {
  Placer placer = PlainPlacer(2, 4);
  placer.SetHosts(2);
  const Time until = kStart + seconds(1);
  placer.BackOff({"t0"}, {"h"}, until, kStart);
  for (std::uint64_t i = 1; i <= 4; ++i) {
    CHECK(Granted(placer, Job(i, kStart, 0), kStart).targets[0].name.value ==
          "t1");
  }
  // Full: the other host may still send to the one that rests for the first.
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

TEST_CASE("a host that all targets rest for refuses at once, or waits") {
  Placer placer = PlainPlacer(2, 4);
  const auto rest = [&placer](const char* host, Duration time) {
    for (const char* target : {"t0", "t1"}) {
      placer.BackOff({target}, {host}, kStart + time, kStart);
    }
  };
  const auto decision = [&placer](const PlaceJob& job) {
    placer.Submit(job, kStart);
    return placer.TakeDecisions();
  };
  SUBCASE("and its callers come to another host at once") {
    placer.SetHosts(2);
    rest("h", seconds(4));
    const auto got = decision(Job(1, kStart, 0));
    REQUIRE(got.size() == 1);
    const auto& refusal = std::get<PlaceRefusal>(got[0]);
    CHECK(refusal.code == Errc::kOverloaded);
    CHECK(refusal.retry_after == Duration::zero());
    // What ran before can't be refused as not run; it waits.
    PlaceJob again = Job(2, kStart, 0);
    again.is_retry = true;
    CHECK(decision(again).empty());
  }
  SUBCASE("when it alone may send, as long as there is time") {
    rest("h", seconds(4));
    CHECK(decision(Job(1, kStart, 0)).empty());
  }
  SUBCASE("and not beyond the deadline") {
    rest("h", seconds(20));
    const auto got = decision(Job(1, kStart, 0));
    REQUIRE(got.size() == 1);
    CHECK(std::get<PlaceRefusal>(got[0]).retry_after == seconds(20));
  }
  SUBCASE("when the rest is over within its objective") {
    placer.SetHosts(2);
    rest("h", milliseconds(200));
    CHECK(decision(Job(1, kStart, 0)).empty());
  }
}

TEST_CASE("a later start of a target wants requests") {
  Placer placer = PlainPlacer(1, 4);
  placer.BackOff({"t0"}, {"h"}, kStart + seconds(9), kStart);
  auto targets = PoolTargets(1, 4);
  targets[0].born = 7;
  placer.SetTargets(targets, kStart);
  CHECK(Granted(placer, Job(1, kStart, 0), kStart).targets.size() == 1);
}

TEST_CASE("a prompt whose caller would have left by its first event") {
  Placer placer = EnginePlacer(4);
  PlaceJob job = Job(1, kStart, 300'000);
  // Four engines read it in 2.5 s.
  job.first_event_deadline = kStart + seconds(2);
  placer.Submit(job, kStart);
  const auto decisions = placer.TakeDecisions();
  REQUIRE(decisions.size() == 1);
  CHECK(std::get<PlaceRefusal>(decisions[0]).code == Errc::kDeadlineInfeasible);
}

TEST_CASE("a late long prompt goes first when its caller would leave soon") {
  const auto first_of = [](Duration patience) {
    Placer placer = EnginePlacer(2);
    const PlaceJob reads = Job(1, kStart, 200'000);
    Granted(placer, reads, kStart);
    PlaceJob late = Job(2, kStart, 60'000);
    late.objective = milliseconds(500);
    late.first_event_deadline = kStart + patience;
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
