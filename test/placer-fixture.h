/// Targets, requests and placers for the placer tests.
#pragma once

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <variant>
#include <vector>

#include "comfreyflow/placer.h"
#include "comfreyflow/routes.h"

namespace comfreyflow {

inline EngineModel TestEngine() {
  EngineModel engine;
  engine.slots = 16;
  engine.memory_tokens = 315'000;
  engine.step = std::chrono::microseconds(850);
  engine.step_per_sequence = std::chrono::microseconds(4);
  engine.step_per_1k_context = std::chrono::microseconds(3);
  engine.prefill_per_second = 177'000;
  engine.prefill_per_1m_pairs = std::chrono::microseconds(184);
  engine.event_tokens = 51;
  return engine;
}

inline const Time kStart{std::chrono::hours(1)};

inline std::vector<PoolTarget> PoolTargets(int count,
                                           std::uint32_t slots = 16) {
  std::vector<PoolTarget> targets;
  for (int i = 0; i < count; ++i) {
    PoolTarget target;
    target.name.value = "t" + std::to_string(i);
    target.address = "10.0.0." + std::to_string(i) + ":1";
    target.slots = slots;
    targets.push_back(target);
  }
  return targets;
}

inline PlaceJob Job(std::uint64_t sequence, Time now, std::uint32_t tokens,
                    const std::string& host = "h") {
  PlaceJob job;
  job.id = {{host}, {1}, sequence};
  job.stream = tokens > 0;
  job.prompt_tokens = tokens;
  job.output_tokens = 1000;
  job.arrival = now;
  job.deadline = now + std::chrono::seconds(10);
  job.objective = std::chrono::milliseconds(tokens > 30'000 ? 3000 : 300);
  job.max_gap = std::chrono::milliseconds(tokens > 30'000 ? 1000 : 250);
  return job;
}

inline Placer EnginePlacer(int engines) {
  Placer placer({});
  placer.SetEngine(TestEngine());
  placer.SetTargets(PoolTargets(engines), kStart);
  return placer;
}

inline Placer PlainPlacer(int targets, std::uint32_t slots) {
  Placer placer({});
  placer.SetTargets(PoolTargets(targets, slots), kStart);
  return placer;
}

/// Submits the request and returns its grant; fails the test if there is none.
inline PlaceGrant Granted(Placer& placer, const PlaceJob& job, Time now) {
  placer.Submit(job, now);
  for (const auto& decision : placer.TakeDecisions()) {
    const auto* grant = std::get_if<PlaceGrant>(&decision);
    if (grant != nullptr && grant->id == job.id) return *grant;
  }
  FAIL("not granted");
  return {};
}

}  // namespace comfreyflow
