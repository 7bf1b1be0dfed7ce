// What callers get under overload with and without the cost-aware queue, by the
// project's model of the engines, and the cost of a decision by the number of
// waiting requests.
//   bench-overload [SEEDS [SCENE]]
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>

#include "comfreyflow/overload-plan.h"
#include "overload-simulation.h"

namespace {

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::overload;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kDecisions = 20'000;
constexpr int kDefaultSeeds = 5;

PlanJob WaitingJob(std::uint64_t sequence, Time now) {
  PlanJob job;
  job.id = {{"h"}, {1}, sequence};
  job.account.value = "a" + std::to_string(sequence % 300);
  job.priority = sequence % 3;
  job.objective = seconds(20 + sequence % 3);
  job.work = milliseconds(20 + sequence * 7919 % 400);
  job.due = now + seconds(60) + milliseconds(sequence * 104729 % 30'000);
  job.last = job.due + seconds(30);
  return job;
}

/// Microseconds for a request that arrives while `waiting` wait, and for
/// another one that is served meanwhile.
double DecisionCost(std::size_t waiting) {
  OverloadPlan plan;
  plan.SetPool(PlanLane::kPlain, 1000);
  Time now = kBegin;
  std::uint64_t sequence = 0;
  while (plan.size() < waiting) plan.Add(WaitingJob(++sequence, now), now);
  plan.TakeNotes();
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kDecisions; ++i) {
    now += std::chrono::microseconds(100);
    plan.Add(WaitingJob(++sequence, now), now);
    if (i % 100 == 0) plan.Advance(now);
    const auto first = plan.InOrder(1);
    PlanJob job;
    job.id = first.front().id;
    job.work = milliseconds(100);
    plan.Granted(job, now);
    plan.TakeNotes();
  }
  const std::chrono::duration<double, std::micro> taken =
      std::chrono::steady_clock::now() - start;
  return taken.count() / kDecisions;
}

/// Microseconds per arrival at a complete placer whose targets are all busy.
double PlacerCost(std::size_t waiting) {
  PlacerSettings settings;
  settings.cost_aware = true;
  Placer placer(settings);
  std::vector<PoolTarget> targets(1);
  targets[0].name.value = "t";
  targets[0].address = "10.0.0.1:1";
  targets[0].slots = 400;
  placer.SetTargets(targets, kBegin);
  Time now = kBegin;
  std::uint64_t sequence = 0;
  const auto submit = [&] {
    PlaceJob job;
    job.id = {{"h"}, {1}, ++sequence};
    job.account.value = "a" + std::to_string(sequence % 300);
    job.priority = sequence % 3;
    job.arrival = now;
    job.objective = seconds(60);
    job.deadline = now + seconds(90);
    placer.Submit(job, now);
  };
  while (placer.waiting() < waiting) submit();
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kDecisions / 4; ++i) {
    now += std::chrono::microseconds(100);
    submit();
    if (i % 100 == 0) placer.Tick(now);
    placer.TakeDecisions();
    placer.TakeNotes();
  }
  const std::chrono::duration<double, std::micro> taken =
      std::chrono::steady_clock::now() - start;
  return 4 * taken.count() / kDecisions;
}

std::string only_scene;  // All if empty.

void Print(const char* scene, const Load& load, bool cost_aware, int seeds,
           Duration length, const Rate& rate) {
  if (!only_scene.empty() && only_scene != scene) return;
  std::map<std::string, Served> kinds;
  std::map<std::string, Served> largest;
  for (int seed = 1; seed <= seeds; ++seed) {
    PlacerSettings settings;
    settings.cost_aware = cost_aware;
    Simulation simulation(load, settings, seed);
    const Result result = simulation.Run(length, rate);
    const auto add = [](auto& to, const auto& from) {
      for (const auto& [name, served] : from) {
        Served& sum = to[name];
        sum.in_time += served.in_time;
        sum.late += served.late;
        sum.refused += served.refused;
        sum.gave_up += served.gave_up;
        sum.refused_after_ms += served.refused_after_ms;
      }
    };
    add(kinds, result.kinds);
    add(largest, result.largest);
  }
  for (const auto& [name, served] : kinds) {
    std::printf(
        "%s %s %s %s all=%d in_time=%.3f late=%.3f refused=%.3f gave_up=%.3f "
        "refused_after_ms=%.0f largest_served=%.3f\n",
        load.name.c_str(), scene, cost_aware ? "on" : "off", name.c_str(),
        served.all(), 1.0 * served.in_time / served.all(),
        1.0 * served.late / served.all(), 1.0 * served.refused / served.all(),
        1.0 * served.gave_up / served.all(),
        served.refused_after_ms / std::max(1, served.refused),
        largest[name].share());
  }
}

}  // namespace

int main(int argc, char** argv) {
  const int seeds = argc > 1 ? std::atoi(argv[1]) : kDefaultSeeds;
  if (argc > 2) only_scene = argv[2];
  for (const std::size_t waiting : {100, 1'000, 4'000, 16'000}) {
    std::printf("waiting=%zu plan_us=%.2f placer_us=%.2f\n", waiting,
                DecisionCost(waiting), PlacerCost(waiting));
  }
  const Rate steady = [](const Kind&, Duration) { return 1.0; };
  const Rate fourfold = [](const Kind&, Duration) { return 4.0; };
  const Rate sixfold = [](const Kind&, Duration) { return 6.0; };
  const Rate shift = [](const Kind& kind, Duration at) {
    const bool is_short = kind.name == "short";
    const bool in_burst = at >= seconds(8) && at < seconds(18);
    return in_burst ? (is_short ? 1.0 : 10.0) : 1.0;
  };
  for (const auto& load : {DeploymentA(), DeploymentB()}) {
    for (const bool on : {false, true}) {
      Print("steady", load, on, seeds, seconds(30), steady);
      Print("fourfold", load, on, seeds, seconds(30), fourfold);
      Print("sixfold", load, on, seeds, seconds(30), sixfold);
      Print("shift", load, on, seeds, seconds(30), shift);
    }
  }
  const Rate overload = [](const Kind&, Duration) { return 18.0; };
  for (const bool on : {false, true})
    Print("overload", PlainService(), on, seeds, seconds(30), overload);
  return 0;
}
