/// The engines that tests of placement place on.
#pragma once

#include <chrono>

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

}  // namespace comfreyflow
