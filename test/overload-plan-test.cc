// The cost-aware queue: which of the waiting requests are served, deferred and
// refused under overload. Guards against requests of a lower priority that are
// served at the expense of a higher one, requests that starve or are deferred
// again and again, and refusals that come late or bring callers back together.
#include "comfreyflow/overload-plan.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <variant>
#include <vector>

#include "overload-simulation.h"
#include "placer-fixture.h"

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

PlanJob Planned(std::uint64_t sequence, Time now, Duration work,
                Duration objective, std::uint32_t priority = 1) {
  PlanJob job;
  job.id = {{"h"}, {1}, sequence};
  job.account.value = "a";
  job.priority = priority;
  job.objective = objective;
  job.work = work;
  job.due = now + objective;
  job.last = job.due + seconds(5);
  return job;
}

OverloadPlan PlanOf(double slots) {
  OverloadPlan plan;
  plan.SetPool(PlanLane::kPlain, slots);
  return plan;
}

std::vector<std::uint64_t> Order(const OverloadPlan& plan) {
  std::vector<std::uint64_t> out;
  for (const auto& next : plan.InOrder(1000)) out.push_back(next.id.sequence);
  return out;
}

const PlanNote* Find(const std::vector<PlanNote>& notes, std::uint64_t sequence,
                     PlanOutcome outcome) {
  const auto at =
      std::find_if(notes.begin(), notes.end(), [&](const PlanNote& note) {
        return note.id.sequence == sequence && note.outcome == outcome;
      });
  return at == notes.end() ? nullptr : &*at;
}

PlaceJob Plain(std::uint64_t sequence, Time now, std::uint32_t priority = 1) {
  PlaceJob job = Job(sequence, now, 0);
  job.account.value = "a" + std::to_string(sequence % 7);
  job.priority = priority;
  return job;
}

Placer CostAware(int targets, std::uint32_t slots) {
  PlacerSettings settings;
  settings.cost_aware = true;
  Placer placer(settings);
  placer.SetTargets(PoolTargets(targets, slots), kStart);
  return placer;
}

std::vector<std::uint64_t> Grants(Placer& placer) {
  std::vector<std::uint64_t> out;
  for (const auto& decision : placer.TakeDecisions()) {
    if (const auto* grant = std::get_if<PlaceGrant>(&decision))
      out.push_back(grant->id.sequence);
  }
  return out;
}

}  // namespace

TEST_CASE("of equal work and deadline a higher priority is not served later") {
  OverloadPlan plan = PlanOf(1);
  plan.Add(Planned(1, kStart, milliseconds(100), seconds(2), 2), kStart);
  plan.Add(Planned(2, kStart, milliseconds(100), seconds(2), 0), kStart);
  plan.Add(Planned(3, kStart, milliseconds(100), seconds(2), 1), kStart);
  CHECK(Order(plan) == std::vector<std::uint64_t>{2, 3, 1});
}

TEST_CASE("a lower priority does not make a higher one late") {
  OverloadPlan plan = PlanOf(1);
  // The lower priority is due first and takes less work.
  for (std::uint64_t i = 1; i <= 20; ++i)
    plan.Add(Planned(i, kStart, milliseconds(50), milliseconds(900), 2),
             kStart);
  for (std::uint64_t i = 21; i <= 28; ++i)
    plan.Add(Planned(i, kStart, milliseconds(100), seconds(1), 0), kStart);
  const auto order = Order(plan);
  for (std::size_t i = 0; i < 8; ++i) CHECK(order[i] >= 21);
  for (std::uint64_t i = 21; i <= 28; ++i)
    CHECK_FALSE(plan.IsDeferred({{"h"}, {1}, i}));
  CHECK(plan.IsDeferred({{"h"}, {1}, 20}));
}

TEST_CASE("a request does not take the slot that a higher priority waits for") {
  Placer placer = CostAware(1, 1);
  placer.Submit(Plain(1, kStart), kStart);
  placer.Submit(Plain(2, kStart, 2), kStart);
  placer.Submit(Plain(3, kStart, 0), kStart);
  CHECK(Grants(placer) == std::vector<std::uint64_t>{1});
  placer.Ended({{"h"}, {1}, 1}, WorkEnd::kDone, kStart + milliseconds(50));
  CHECK(Grants(placer) == std::vector<std::uint64_t>{3});
}

TEST_CASE("a long prompt of a low priority does not go before a short one") {
  // Without the plan a late long prompt goes before everything else.
  PlacerSettings settings;
  settings.cost_aware = true;
  Placer placer(settings);
  placer.SetEngine(TestEngine());
  placer.SetTargets(PoolTargets(1, 1), kStart);
  Granted(placer, Job(1, kStart, 1000), kStart);
  PlaceJob late = Job(2, kStart, 200'000);
  late.priority = 2;
  late.objective = milliseconds(300);
  late.first_event_deadline = kStart + milliseconds(2800);
  placer.Submit(late, kStart);
  const Time now = kStart + milliseconds(100);
  PlaceJob first = Job(3, now, 1000);
  first.priority = 0;
  first.objective = seconds(1);
  placer.Submit(first, now);
  placer.Ended({{"h"}, {1}, 1}, WorkEnd::kDone, now + milliseconds(100));
  CHECK(Grants(placer) == std::vector<std::uint64_t>{3});
}

TEST_CASE("the largest of several that cannot all be in time is deferred") {
  OverloadPlan plan = PlanOf(1);
  plan.Add(Planned(1, kStart, milliseconds(800), milliseconds(500)), kStart);
  for (std::uint64_t i = 2; i <= 6; ++i)
    plan.Add(Planned(i, kStart, milliseconds(100), milliseconds(600)), kStart);
  CHECK(plan.IsDeferred({{"h"}, {1}, 1}));
  for (std::uint64_t i = 2; i <= 6; ++i)
    CHECK_FALSE(plan.IsDeferred({{"h"}, {1}, i}));
  const auto notes = plan.TakeNotes();
  const auto* note = Find(notes, 1, PlanOutcome::kDeferred);
  REQUIRE(note != nullptr);
  CHECK(note->measure == PlanMeasure::kWork);
  CHECK(note->preferred->sequence == 2);
}

TEST_CASE("notes name the measure by which others were preferred") {
  OverloadPlan plan = PlanOf(1);
  plan.Add(Planned(1, kStart, milliseconds(100), seconds(1), 1), kStart);
  plan.Add(Planned(2, kStart, milliseconds(100), seconds(2), 1), kStart);
  plan.Add(Planned(3, kStart, milliseconds(100), seconds(1), 2), kStart);
  const auto notes = plan.TakeNotes();
  const auto* second = Find(notes, 2, PlanOutcome::kWaits);
  const auto* third = Find(notes, 3, PlanOutcome::kWaits);
  REQUIRE(second != nullptr);
  REQUIRE(third != nullptr);
  CHECK(second->measure == PlanMeasure::kDeadline);
  CHECK(second->preferred->sequence == 1);
  CHECK(third->measure == PlanMeasure::kPriority);
  CHECK(third->ahead == 2);
}

TEST_CASE("a request without a chance is refused at once and not at its end") {
  OverloadPlan plan = PlanOf(1);
  std::uint64_t sequence = 0;
  std::vector<PlanNote> refused;
  while (refused.empty() && sequence < 1000) {
    plan.Add(Planned(++sequence, kStart, milliseconds(100), milliseconds(200)),
             kStart);
    for (auto& note : plan.TakeNotes()) {
      if (note.outcome == PlanOutcome::kRefused) refused.push_back(note);
    }
  }
  REQUIRE_FALSE(refused.empty());
  // The pool works off 10 a second, and callers wait for 5.2 s.
  CHECK(sequence <= 70);
  CHECK(refused.front().retry_after > milliseconds(500));
}

TEST_CASE("a refusal by the placer says not run and when to come back") {
  Placer placer = CostAware(1, 1);
  std::set<Duration> times;
  int refused = 0;
  for (std::uint64_t i = 1; i <= 300; ++i) {
    placer.Submit(Plain(i, kStart), kStart);
    for (const auto& decision : placer.TakeDecisions()) {
      const auto* refusal = std::get_if<PlaceRefusal>(&decision);
      if (refusal == nullptr) continue;
      ++refused;
      CHECK(refusal->code == Errc::kOverloaded);
      CHECK(Info(refusal->code).outcome == Outcome::kNotRun);
      CHECK(refusal->retry_after > Duration::zero());
      times.insert(refusal->retry_after);
    }
  }
  CHECK(refused > 50);
  // They don't come back together.
  CHECK(times.size() * 10 >= static_cast<std::size_t>(refused) * 9);
  CHECK(*times.rbegin() - *times.begin() > seconds(2));
}

TEST_CASE("a request that may have run is not refused by the plan") {
  OverloadPlan plan = PlanOf(1);
  PlanJob retry = Planned(1, kStart, seconds(5), milliseconds(100));
  retry.may_refuse = false;
  plan.Add(retry, kStart);
  for (std::uint64_t i = 2; i <= 500; ++i)
    plan.Add(Planned(i, kStart, milliseconds(100), milliseconds(200)), kStart);
  plan.Advance(kStart + seconds(6));  // Its deadline has passed.
  CHECK(plan.Contains({{"h"}, {1}, 1}));
}

TEST_CASE("later requests do not defer a deferred one again and again") {
  OverloadPlan plan = PlanOf(1);
  Time now = kStart;
  std::uint64_t sequence = 0;
  // Twice as much arrives as can be served. The first request is large.
  plan.Add(Planned(++sequence, now, milliseconds(400), milliseconds(300)), now);
  const RequestId first{{"h"}, {1}, 1};
  std::size_t most_ahead = 0;
  bool was_aged = false;
  double capacity = 0;
  while (plan.Contains(first) && now < kStart + seconds(6)) {
    now += milliseconds(50);
    plan.Add(Planned(++sequence, now, milliseconds(100), milliseconds(300)),
             now);
    plan.Advance(now);
    capacity += 0.05;
    while (capacity >= 0.1) {
      const auto order = plan.InOrder(1);
      if (order.empty()) break;
      PlanJob job;
      job.id = order.front().id;
      job.work = job.id.sequence == 1 ? milliseconds(400) : milliseconds(100);
      capacity -= std::chrono::duration<double>(job.work).count();
      plan.Granted(job, now);
    }
    // It has waited for half of its time: no deferred one goes before it.
    if (now > kStart + milliseconds(2700) && plan.Contains(first)) {
      was_aged = true;
      most_ahead = std::max(most_ahead, plan.Ahead(first));
    }
  }
  CAPTURE(was_aged);
  // It is served in time, or is told at once; not at its deadline.
  CHECK_FALSE(plan.Contains(first));
  CHECK(now < kStart + milliseconds(5300));
  CHECK(most_ahead <= 8);
}

TEST_CASE("an aged deferred request is not refused for a smaller later one") {
  OverloadPlan plan = PlanOf(1);
  plan.Add(Planned(1, kStart, milliseconds(900), Duration::zero()), kStart);
  REQUIRE(plan.IsDeferred({{"h"}, {1}, 1}));
  const Time now = kStart + milliseconds(2600);
  for (std::uint64_t i = 2; i <= 200; ++i)
    plan.Add(Planned(i, now, milliseconds(50), milliseconds(100)), now);
  CHECK(plan.Contains({{"h"}, {1}, 1}));
}

TEST_CASE("accounts, kinds and sizes are not starved by those that cost less") {
  overload::Load load = overload::DeploymentB();
  load.targets = 20;
  load.first_account = 0.6;
  overload::Result sums;
  overload::Served all;
  PlacerSettings settings;
  settings.cost_aware = true;
  overload::Simulation simulation(load, settings, 11);
  const auto result = simulation.Run(
      seconds(60), [](const overload::Kind&, Duration) { return 1.5; });
  const double all_share = result.all().share();
  CHECK(all_share < 0.97);  // It is overload.
  for (const auto& kind : result.kinds) {
    CAPTURE(kind.first);
    CHECK(kind.second.share() * 4 >= all_share);
    CHECK(result.largest.at(kind.first).share() * 2 >= kind.second.share());
  }
  for (const auto& account : result.accounts) {
    CAPTURE(account.first);
    CHECK(account.second.share() * 4 >= all_share);
  }
}

TEST_CASE("under overload more callers are in time and refusals come sooner") {
  for (const auto& load : {overload::PlainService(), overload::DeploymentB()}) {
    overload::Load smaller = load;
    const bool is_plain = !load.engine;
    if (!is_plain) smaller.targets = 20;
    const double factor = is_plain ? 18 : 1.5;
    overload::Served served[2];
    for (const bool on : {false, true}) {
      PlacerSettings settings;
      settings.cost_aware = on;
      overload::Simulation simulation(smaller, settings, 3);
      served[on ? 1 : 0] =
          simulation
              .Run(seconds(20),
                   [factor](const overload::Kind&, Duration) { return factor; })
              .all();
    }
    MESSAGE(load.name << " in time of " << served[0].all() << ": off "
                      << served[0].in_time << ", on " << served[1].in_time
                      << "; refused: " << served[0].refused << ", "
                      << served[1].refused);
    CHECK(served[0].all() == served[1].all());
    CHECK(served[1].in_time > served[0].in_time);
    CHECK(served[1].gave_up * 50 <= served[1].all());
    if (served[0].refused > 0 && served[1].refused > 0) {
      CHECK(served[1].refused_after_ms / served[1].refused <
            served[0].refused_after_ms / served[0].refused);
    }
  }
}

TEST_CASE("without overload callers get the same as without the plan") {
  for (const auto& load : {overload::DeploymentA(), overload::DeploymentB()}) {
    overload::Served served[2];
    for (const bool on : {false, true}) {
      PlacerSettings settings;
      settings.cost_aware = on;
      overload::Simulation simulation(load, settings, 5);
      served[on ? 1 : 0] = simulation
                               .Run(seconds(10), [](const overload::Kind&,
                                                    Duration) { return 1.0; })
                               .all();
    }
    CHECK(served[1].in_time >= served[0].in_time);
    CHECK(served[1].refused <= served[0].refused);
  }
}

TEST_CASE("requests are not refused for load before targets are known") {
  PlacerSettings settings;
  settings.cost_aware = true;
  Placer empty(settings);
  Placer held = CostAware(1, 1);
  held.HoldUntil(kStart + milliseconds(120));
  for (Placer* placer : {&empty, &held}) {
    for (std::uint64_t i = 1; i <= 100; ++i)
      placer->Submit(Plain(i, kStart), kStart);
    CHECK(placer->TakeDecisions().empty());
    CHECK(placer->waiting() == 100);
  }
  held.Tick(kStart + milliseconds(130));
  CHECK_FALSE(Grants(held).empty());
}

TEST_CASE("the switch off: no notes, and the order of urgency as before") {
  Placer placer = PlainPlacer(1, 1);
  placer.Submit(Plain(1, kStart), kStart);
  placer.Submit(Plain(2, kStart, 2), kStart);
  placer.Submit(Plain(3, kStart, 0), kStart);
  CHECK(placer.waiting() == 2);
  CHECK(placer.TakeNotes().empty());
}

TEST_CASE("a decision costs little more with many times as many waiting") {
  // Counts work instead of time: the requests that a decision visits.
  OverloadPlan plan = PlanOf(1000);
  Time now = kStart;
  for (std::uint64_t i = 1; i <= 5000; ++i)
    plan.Add(Planned(i, now, milliseconds(1 + i % 50), seconds(30)), now);
  plan.TakeNotes();
  CHECK(plan.size() == 5000);
  CHECK(plan.InOrder(16).size() == 16);
  plan.Add(Planned(5001, now, milliseconds(1), seconds(30), 0), now);
  CHECK(plan.TakeNotes().size() == 1);
  CHECK(plan.Ahead({{"h"}, {1}, 5001}) == 0);
}
