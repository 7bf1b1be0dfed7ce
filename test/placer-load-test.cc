// Bursts of long prompts played through the placer, and what callers get.
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
  double spread = 0;  ///< Of the logarithm of a prompt's tokens.
  std::uint32_t events = 0;
  Duration objective{};
  Duration max_gap{};
  Duration patience{};
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
  int left = 0;  ///< Callers that went away without an event or a refusal.
  int all() const { return in_time + late + refused + left; }
};

/// Engines read one after the other what is placed on them.
class Play {
 public:
  explicit Play(bool tell_patience) : tell_patience_(tell_patience) {
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
        if (!request.placed) placer_.Submit(request.job, now);
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
    Time leaves;  ///< Without an event.
    bool placed = false;
    bool is_started = false;
    Time begins;
    Time ends;
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
      request.leaves = now + kind.patience;
      if (tell_patience_) job.first_event_deadline = request.leaves;
      open_[job.id] = request;
    }
  }

  static Duration ReadTime(std::uint32_t tokens) {
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
      if (at == open_.end() || at->second.placed) continue;
      Place(at->second, grant, now);
    }
  }

  void Place(Request& request, const PlaceGrant& grant, Time now) {
    const Duration part = ReadTime(request.job.prompt_tokens) /
                          static_cast<int>(grant.targets.size());
    Time read = now;
    for (const auto& target : grant.targets) {
      Time& busy = busy_[target.name];
      busy = std::max(busy, now) + part;
      read = std::max(read, busy);
    }
    const Duration event = TestEngine().step * TestEngine().event_tokens;
    request.placed = true;
    request.begins = read + event;
    request.ends = request.begins + event * request.kind->events;
  }

  void Advance(Time now) {
    std::vector<RequestId> over;
    for (auto& [id, request] : open_) {
      if (!request.is_started && now >= request.leaves) {
        ++outcomes_[request.kind].left;
        over.push_back(id);
      } else if (request.placed && !request.is_started &&
                 now >= request.begins) {
        request.is_started = true;
        placer_.Started(id, now);
      } else if (request.is_started && now >= request.ends) {
        const Time due = request.job.arrival + request.job.objective;
        ++(request.begins <= due ? outcomes_[request.kind].in_time
                                 : outcomes_[request.kind].late);
        over.push_back(id);
      }
    }
    for (const auto& id : over) {
      placer_.Ended(id, WorkEnd::kDone, now);
      open_.erase(id);
    }
  }

  const bool tell_patience_;
  Placer placer_{{}};
  std::mt19937_64 random_{7};
  std::uint64_t last_ = 0;
  std::map<RequestId, Request> open_;
  std::map<TargetName, Time> busy_;
  std::map<const Kind*, Served> outcomes_;
};

}  // namespace

TEST_CASE("in a burst of long prompts no caller waits for nothing") {
  auto told = Play(true).Run(seconds(12));
  auto untold = Play(false).Run(seconds(12));
  const Served& after = told[&kLong];
  const Served& before = untold[&kLong];
  MESSAGE("long prompts of "
          << after.all() << ": in time " << after.in_time << ", late "
          << after.late << ", refused " << after.refused << ", left "
          << after.left << "; patience untold: " << before.in_time << ", "
          << before.late << ", " << before.refused << ", " << before.left);
  CHECK(after.all() == before.all());
  // What is held is served before its caller leaves, or refused before.
  CHECK(after.left * 20 <= after.all());
  CHECK(after.left < before.left);
  CHECK(after.in_time + after.late >= before.in_time + before.late);
  // Short prompts are not held up by it.
  CHECK(told[&kShort].in_time * 100 >= untold[&kShort].in_time * 97);
}
