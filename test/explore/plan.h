/// What goes wrong in one run of the exploration: a list of faults drawn from a
/// seed, which can be shortened as long as the run still fails.
#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow::explore {

enum class FaultKind : std::uint8_t {
  kCrashHost,        ///< Restarts with a new incarnation after `length`.
  kPauseHost,        ///< Stopped and continued after `length`.
  kCrashTarget,      ///< Restarts empty after `length`.
  kStoreDown,        ///< Calls are lost.
  kStoreDeaf,        ///< Calls take effect, their answers are lost.
  kStoreSlow,        ///< Answers come late by `length`.
  kLoseStoreAnswer,  ///< Of one call.
  kDelayStoreCall,   ///< One call takes effect late by `length`.
  kCutLink,          ///< All messages of one kind are lost.
  kDropMessage,      ///< One message, as the three below.
  kDelayMessage,
  kDoubleMessage,
  kSilence,        ///< Open streams of a target go silent for good.
  kCallerGone,     ///< The caller of a request hangs up.
  kTargetRefuses,  ///< The target says of calls that it ran nothing.
  kTruncate,       ///< A target ends answers early.
  kFalseDeath,     ///< A live host is reported dead.
  kTwoStewards,    ///< A second host acts as steward of a target.
  kTargetLeaves,   ///< A target says that it takes no more work.
  kStopHost,       ///< Planned stop; restarts later.
  kPoison,         ///< A request that crashes engines, sent again and again.
  kCount
};

struct Fault {
  FaultKind kind = FaultKind::kCrashHost;
  Duration at{};
  Duration length{};
  std::uint32_t which = 0;  ///< Host, target, link or request, by number.
};

struct Plan {
  std::uint64_t seed = 0;
  std::vector<Fault> faults;
};

std::string ToString(const Fault& fault);

/// The faults of a seed; a seed's workload depends on the seed alone.
Plan MakePlan(std::uint64_t seed);

/// Whether the plan has a fault of one of these kinds.
bool Has(const Plan& plan, std::initializer_list<FaultKind> kinds);

/// Removes faults as long as `fails` holds, by halves and then one by one.
Plan Shrink(Plan plan, const std::function<bool(const Plan&)>& fails);

}  // namespace comfreyflow::explore
