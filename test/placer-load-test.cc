// Simulates a burst of long prompts at the placer. Guards against long prompts
// that wait in the queue until their callers give up, instead of being served
// or refused in time.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>

#include "comfreyflow/placer.h"
#include "placer-fixture.h"

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kTick = milliseconds(10);
constexpr int kEngines = 18;

/// Requests of one kind.
struct Kind {
  double per_second = 0;
  double mean_tokens = 0;
  /// Standard deviation of the logarithm of the prompt tokens.
  double spread = 0;
  std::uint32_t events = 0;
  Duration objective{};
  Duration max_gap{};
  Duration caller_timeout{};
  Duration deadline{};
};

const Kind kShort{
    100,        5'000,      0.3, 33, milliseconds(300), milliseconds(250),
    seconds(2), seconds(10)};
const Kind kMiddle{
    5,          40'000,     0.3, 20, milliseconds(1500), milliseconds(600),
    seconds(6), seconds(10)};
const Kind kLong{3.5,        140'000,    0.5,         16,
                 seconds(3), seconds(1), seconds(12), seconds(15)};

struct Served {
  int in_time = 0;
  int late = 0;
  int refused = 0;
  int gave_up = 0;  ///< Callers that gave up without an event or a refusal.
  int all() const { return in_time + late + refused + gave_up; }
};

/// Simulates engines that prefill the prompts placed on them one after the
/// other.
class Simulation {
 public:
  explicit Simulation(bool send_caller_timeout, std::uint64_t seed = 7)
      : send_caller_timeout_(send_caller_timeout), random_(seed) {
    placer_.SetEngine(TestEngine());
    placer_.SetTargets(PoolTargets(kEngines, TestEngine().slots), kStart);
  }

  std::map<const Kind*, Served> Run(Duration burst) {
    Time now = kStart;
    const Time end = kStart + burst + seconds(16);
    for (; now < end; now += kTick) {
      if (now < kStart + burst) {
        for (const Kind* kind : {&kShort, &kMiddle, &kLong}) Arrive(*kind, now);
      }
      Advance(now);
      for (auto& [id, request] : open_) {
        if (!request.is_placed) placer_.Submit(request.job, now);
      }
      placer_.Tick(now);
      Take(now);
    }
    return outcomes_;
  }

 private:
  struct Request {
    const Kind* kind = nullptr;
    PlaceJob job;
    Time gives_up_at;  ///< When the caller gives up if there is no event.
    bool is_placed = false;
    bool is_started = false;
    Time starts_at;
    Time ends_at;
  };

  void Arrive(const Kind& kind, Time now) {
    const double share =
        kind.per_second * std::chrono::duration<double>(kTick).count();
    std::poisson_distribution<int> count(share);
    std::lognormal_distribution<double> size(
        std::log(kind.mean_tokens) - kind.spread * kind.spread / 2,
        kind.spread);
    for (int i = count(random_); i > 0; --i) {
      Request request;
      request.kind = &kind;
      PlaceJob& job = request.job;
      job.id = {{"h"}, {1}, ++last_};
      job.stream = true;
      job.prompt_tokens = static_cast<std::uint32_t>(size(random_));
      job.output_tokens = kind.events * TestEngine().event_tokens;
      job.arrival = now;
      job.deadline = now + kind.deadline;
      job.objective = kind.objective;
      job.max_gap = kind.max_gap;
      request.gives_up_at = now + kind.caller_timeout;
      if (send_caller_timeout_) job.first_event_deadline = request.gives_up_at;
      open_[job.id] = request;
    }
  }

  static Duration PrefillTime(std::uint32_t tokens) {
    const double n = tokens;
    return duration_cast<Duration>(
        std::chrono::duration<double>(n / 177'000 + n * n / 2 * 184e-12));
  }

  void Take(Time now) {
    for (const auto& decision : placer_.TakeDecisions()) {
      if (const auto* refusal = std::get_if<PlaceRefusal>(&decision)) {
        const auto at = open_.find(refusal->id);
        if (at == open_.end()) continue;
        Served& outcome = outcomes_[at->second.kind];
        ++outcome.refused;
        open_.erase(at);
        continue;
      }
      const auto& grant = std::get<PlaceGrant>(decision);
      const auto at = open_.find(grant.id);
      if (at == open_.end() || at->second.is_placed) continue;
      Place(at->second, grant, now);
    }
  }

  void Place(Request& request, const PlaceGrant& grant, Time now) {
    const Duration part = PrefillTime(request.job.prompt_tokens) /
                          static_cast<int>(grant.targets.size());
    Time prefilled_at = now;
    for (const auto& target : grant.targets) {
      Time& busy_until = busy_until_[target.name];
      busy_until = std::max(busy_until, now) + part;
      prefilled_at = std::max(prefilled_at, busy_until);
    }
    const Duration event = TestEngine().step * TestEngine().event_tokens;
    request.is_placed = true;
    request.starts_at = prefilled_at + event;
    request.ends_at = request.starts_at + event * request.kind->events;
  }

  void Advance(Time now) {
    std::vector<RequestId> finished;
    for (auto& [id, request] : open_) {
      if (!request.is_started && now >= request.gives_up_at) {
        ++outcomes_[request.kind].gave_up;
        finished.push_back(id);
      } else if (request.is_placed && !request.is_started &&
                 now >= request.starts_at) {
        request.is_started = true;
        placer_.Started(id, now);
      } else if (request.is_started && now >= request.ends_at) {
        const Time due = request.job.arrival + request.job.objective;
        ++(request.starts_at <= due ? outcomes_[request.kind].in_time
                                    : outcomes_[request.kind].late);
        finished.push_back(id);
      }
    }
    for (const auto& id : finished) {
      placer_.Ended(id, WorkEnd::kDone, now);
      open_.erase(id);
    }
  }

  const bool send_caller_timeout_;
  Placer placer_{{}};
  std::mt19937_64 random_;
  std::uint64_t last_ = 0;
  std::map<RequestId, Request> open_;
  std::map<TargetName, Time> busy_until_;
  std::map<const Kind*, Served> outcomes_;
};

}  // namespace

TEST_CASE(
    "in a burst of long prompts callers are served or refused before they give "
    "up") {
  auto with_timeouts = Simulation(true).Run(seconds(12));
  auto without_timeouts = Simulation(false).Run(seconds(12));
  const Served& after = with_timeouts[&kLong];
  const Served& before = without_timeouts[&kLong];
  MESSAGE("long prompts of "
          << after.all() << ": in time " << after.in_time << ", late "
          << after.late << ", refused " << after.refused << ", gave up "
          << after.gave_up << "; without caller time-outs: " << before.in_time
          << ", " << before.late << ", " << before.refused << ", "
          << before.gave_up);
  CHECK(after.all() == before.all());
  // A held request is served before its caller gives up, or refused before.
  CHECK(after.gave_up * 20 <= after.all());
  CHECK(after.gave_up < before.gave_up);
  CHECK(after.in_time + after.late >= before.in_time + before.late);
  // Short prompts are not delayed by it.
  CHECK(with_timeouts[&kShort].in_time * 100 >=
        without_timeouts[&kShort].in_time * 97);
}

TEST_CASE(
    "in bursts of long prompts 95 in 100 of the shorter ones are in time") {
  std::map<const Kind*, Served> sums;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    auto outcomes = Simulation(true, seed).Run(seconds(10));
    for (const Kind* kind : {&kShort, &kMiddle, &kLong}) {
      sums[kind].in_time += outcomes[kind].in_time;
      sums[kind].late += outcomes[kind].late;
      sums[kind].refused += outcomes[kind].refused;
      sums[kind].gave_up += outcomes[kind].gave_up;
    }
  }
  for (const Kind* kind : {&kShort, &kMiddle}) {
    CHECK(sums[kind].in_time * 100 >= sums[kind].all() * 95);
  }
  MESSAGE("long prompts of " << sums[&kLong].all() << ": in time "
                             << sums[&kLong].in_time << ", late "
                             << sums[&kLong].late);
}
