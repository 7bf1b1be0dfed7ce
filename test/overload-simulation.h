/// Simulates a service under a load of several kinds of requests at its placer,
/// and counts what callers get.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "comfreyflow/placer.h"

namespace comfreyflow::overload {

inline constexpr Duration kTick = std::chrono::milliseconds(10);
inline const Time kBegin{std::chrono::hours(1)};

/// Requests of one kind.
struct Kind {
  std::string name;
  double per_second = 0;
  double mean_tokens = 0;  ///< 0: plain requests.
  double spread = 0;       ///< Of the logarithm of the tokens.
  std::uint32_t events = 0;
  Duration service{};  ///< Of plain requests.
  Duration objective{};
  Duration max_gap{};
  Duration caller_timeout{};  ///< To the first event.
  Duration deadline{};
  std::uint32_t priority = 1;
};

struct Served {
  int in_time = 0;
  int late = 0;
  int refused = 0;
  int gave_up = 0;  ///< Callers that gave up without an event or a refusal.
  double refused_after_ms = 0;  ///< Sum.
  double served_work = 0;       ///< Seconds of prefill.
  int all() const { return in_time + late + refused + gave_up; }
  int served() const { return in_time + late; }
  double share() const { return all() == 0 ? 1 : 1.0 * served() / all(); }
};

struct Load {
  std::string name;
  std::optional<EngineModel> engine;
  StreamTerms terms;
  int targets = 0;
  std::uint32_t slots = 12;
  std::vector<Kind> kinds;
  int accounts = 20;
  /// Share of the requests that the first account sends.
  double first_account = 0;
};

struct Result {
  std::map<std::string, Served> kinds;
  std::map<std::string, Served> largest;  ///< Tenth of the sizes.
  std::map<std::string, Served> accounts;
  int retry_afters = 0;
  Served all() const {
    Served sum;
    for (const auto& [name, kind] : kinds) {
      sum.in_time += kind.in_time;
      sum.late += kind.late;
      sum.refused += kind.refused;
      sum.gave_up += kind.gave_up;
      sum.refused_after_ms += kind.refused_after_ms;
      sum.served_work += kind.served_work;
    }
    return sum;
  }
};

/// Factor of the rate of a kind at a time after the start.
using Rate = std::function<double(const Kind&, Duration)>;

class Simulation {
 public:
  Simulation(Load load, const PlacerSettings& settings, std::uint64_t seed)
      : load_(std::move(load)),
        placer_(settings),
        random_(seed),
        service_random_(seed) {
    placer_.SetEngine(load_.engine, load_.terms);
    std::vector<PoolTarget> targets;
    for (int i = 0; i < load_.targets; ++i) {
      PoolTarget target;
      target.name.value = "t" + std::to_string(i);
      target.address = "10.0.0." + std::to_string(i) + ":1";
      target.slots = load_.slots;
      targets.push_back(target);
    }
    placer_.SetTargets(targets, kBegin);
  }

  Result Run(Duration length, const Rate& rate) {
    Duration longest{};
    for (const auto& kind : load_.kinds)
      longest = std::max(longest, kind.deadline);
    const Time end = kBegin + length + longest + std::chrono::seconds(10);
    for (Time now = kBegin; now < end; now += kTick) {
      if (now < kBegin + length) {
        Arrive(rate, now);
      }
      Advance(now);
      Take(now);  // Before requests that are decided are sent again.
      if ((now - kBegin) % std::chrono::milliseconds(250) == Duration::zero()) {
        for (auto& [id, request] : open_) {
          if (!request.is_placed) placer_.Submit(request.job, now);
        }
      }
      placer_.Tick(now);
      Take(now);
    }
    return result_;
  }

 private:
  struct Request {
    const Kind* kind = nullptr;
    PlaceJob job;
    bool is_large = false;
    Time gives_up_at;
    bool is_placed = false;
    bool is_started = false;
    Time starts_at;
    Time ends_at;
  };

  /// Requests of all kinds arrive in random order.
  void Arrive(const Rate& rate, Time now) {
    std::vector<const Kind*> arrivals;
    for (const auto& kind : load_.kinds) {
      const double mean = rate(kind, now - kBegin) * kind.per_second *
                          std::chrono::duration<double>(kTick).count();
      if (mean <= 0) continue;
      std::poisson_distribution<int> count(mean);
      arrivals.insert(arrivals.end(), count(random_), &kind);
    }
    std::shuffle(arrivals.begin(), arrivals.end(), random_);
    for (const Kind* kind : arrivals) Arrive(*kind, now);
  }

  void Arrive(const Kind& kind, Time now) {
    std::normal_distribution<double> size(0, 1);
    std::uniform_real_distribution<double> uniform(0, 1);
    Request request;
    request.kind = &kind;
    PlaceJob& job = request.job;
    job.id = {{"h"}, {1}, ++last_};
    const double draw = size(random_);
    const bool is_first = uniform(random_) < load_.first_account;
    const int other = static_cast<int>(uniform(random_) * (load_.accounts - 1));
    job.account.value = "a" + std::to_string(is_first ? 0 : 1 + other);
    job.stream = kind.mean_tokens > 0;
    if (job.stream) {
      job.prompt_tokens = static_cast<std::uint32_t>(std::min(
          1e6, kind.mean_tokens * std::exp(kind.spread * draw -
                                           kind.spread * kind.spread / 2)));
      job.output_tokens = kind.events * load_.engine->event_tokens;
      request.is_large = draw > 1.2816;  // The 90th percentile.
    }
    job.priority = kind.priority;
    job.arrival = now;
    job.deadline = now + kind.deadline;
    job.objective = kind.objective;
    job.max_gap = kind.max_gap;
    request.gives_up_at = now + kind.caller_timeout;
    job.first_event_deadline = request.gives_up_at;
    open_[job.id] = request;
    placer_.Submit(job, now);
  }

  Duration PrefillTime(std::uint32_t tokens) const {
    const double n = tokens;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(n / load_.engine->prefill_per_second) +
        n * n / 2 / 1e6 *
            std::chrono::duration<double>(load_.engine->prefill_per_1m_pairs));
  }

  void Take(Time now) {
    placer_.TakeNotes();
    for (const auto& decision : placer_.TakeDecisions()) {
      if (const auto* refusal = std::get_if<PlaceRefusal>(&decision)) {
        const auto at = open_.find(refusal->id);
        if (at == open_.end()) continue;
        if (refusal->retry_after > Duration::zero()) ++result_.retry_afters;
        const double after = std::chrono::duration<double, std::milli>(
                                 now - at->second.job.arrival)
                                 .count();
        Count(at->second, [after](Served& served) {
          ++served.refused;
          served.refused_after_ms += after;
        });
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
    request.is_placed = true;
    if (!request.job.stream) {
      std::exponential_distribution<double> spread(1);
      request.starts_at = now + std::chrono::duration_cast<Duration>(
                                    request.kind->service *
                                    (0.5 + 0.5 * spread(service_random_)));
      request.ends_at = request.starts_at;
      return;
    }
    const Duration part = PrefillTime(request.job.prompt_tokens) /
                          static_cast<int>(grant.targets.size());
    Time prefilled_at = now;
    for (const auto& target : grant.targets) {
      Time& busy_until = busy_until_[target.name];
      busy_until = std::max(busy_until, now) + part;
      prefilled_at = std::max(prefilled_at, busy_until);
    }
    const Duration event = load_.engine->step * load_.engine->event_tokens;
    request.starts_at = prefilled_at + event;
    request.ends_at = request.starts_at + event * request.kind->events;
  }

  template <class Change>
  void Count(const Request& request, Change change) {
    change(result_.kinds[request.kind->name]);
    if (request.is_large) change(result_.largest[request.kind->name]);
    change(result_.accounts[request.job.account.value]);
  }

  void Advance(Time now) {
    std::vector<RequestId> finished;
    for (auto& [id, request] : open_) {
      if (!request.is_started && now >= request.gives_up_at) {
        Count(request, [](Served& served) { ++served.gave_up; });
        finished.push_back(id);
      } else if (request.is_placed && !request.is_started &&
                 now >= request.starts_at) {
        request.is_started = true;
        placer_.Started(id, now);
      }
      if (request.is_started && now >= request.ends_at) {
        const Time due = request.job.arrival + request.job.objective;
        const bool in_time = request.starts_at <= due;
        const double work = request.job.stream
                                ? std::chrono::duration<double>(
                                      PrefillTime(request.job.prompt_tokens))
                                      .count()
                                : 0;
        Count(request, [in_time, work](Served& served) {
          ++(in_time ? served.in_time : served.late);
          served.served_work += work;
        });
        finished.push_back(id);
      }
    }
    for (const auto& id : finished) {
      placer_.Ended(id, WorkEnd::kDone, now);
      open_.erase(id);
    }
  }

  const Load load_;
  Placer placer_;
  std::mt19937_64 random_;  ///< Of arrivals, which don't depend on decisions.
  std::mt19937_64 service_random_;
  std::uint64_t last_ = 0;
  std::map<RequestId, Request> open_;
  std::map<TargetName, Time> busy_until_;
  Result result_;
};

/// Streams like those of deployment A; `factor` multiplies the rates.
inline Load DeploymentA() {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  Load load;
  load.name = "A";
  EngineModel engine;
  engine.slots = 12;
  engine.memory_tokens = 382'500;
  engine.step = std::chrono::microseconds(925);
  engine.prefill_per_second = 256'000;
  engine.event_tokens = 52;
  load.engine = engine;
  load.terms.shortest_objective = milliseconds(250);
  load.terms.smallest_gap = milliseconds(200);
  load.targets = 60;
  load.kinds = {{"short",
                 76.5,
                 4'960,
                 0.5,
                 33,
                 {},
                 milliseconds(250),
                 milliseconds(200),
                 seconds(2),
                 seconds(10),
                 0},
                {"medium",
                 12.2,
                 45'000,
                 0.3,
                 20,
                 {},
                 milliseconds(1500),
                 milliseconds(500),
                 seconds(6),
                 seconds(10),
                 1},
                {"long",
                 2.08,
                 300'000,
                 0.5,
                 16,
                 {},
                 seconds(8),
                 milliseconds(800),
                 seconds(12),
                 seconds(15),
                 2}};
  return load;
}

/// Streams like those of deployment B, all of one priority.
inline Load DeploymentB() {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  Load load;
  load.name = "B";
  EngineModel engine;
  engine.slots = 12;
  engine.memory_tokens = 267'750;
  engine.step = std::chrono::microseconds(850);
  engine.prefill_per_second = 177'000;
  engine.event_tokens = 57;
  load.engine = engine;
  load.terms.shortest_objective = milliseconds(300);
  load.terms.smallest_gap = milliseconds(250);
  load.targets = 78;
  load.kinds = {{"short",
                 111,
                 4'960,
                 0.5,
                 33,
                 {},
                 milliseconds(300),
                 milliseconds(250),
                 seconds(2),
                 seconds(10),
                 1},
                {"medium",
                 7.01,
                 45'000,
                 0.3,
                 20,
                 {},
                 milliseconds(1500),
                 milliseconds(600),
                 seconds(6),
                 seconds(10),
                 1},
                {"long",
                 3,
                 220'000,
                 0.5,
                 16,
                 {},
                 seconds(4),
                 seconds(1),
                 seconds(12),
                 seconds(15),
                 1}};
  return load;
}

/// Plain requests on three targets, as of both deployments.
inline Load PlainService() {
  using std::chrono::milliseconds;
  Load load;
  load.name = "plain";
  load.targets = 3;
  load.slots = 6;
  load.kinds = {{"unsafe",
                 12.7,
                 0,
                 0,
                 0,
                 milliseconds(80),
                 milliseconds(120),
                 {},
                 milliseconds(1500),
                 milliseconds(1500),
                 1},
                {"safe",
                 2.93,
                 0,
                 0,
                 0,
                 milliseconds(80),
                 milliseconds(120),
                 {},
                 milliseconds(1500),
                 milliseconds(1500),
                 1}};
  return load;
}

}  // namespace comfreyflow::overload
