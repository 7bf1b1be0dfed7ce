/// The disturbances of one soak, drawn from a seed: they come in series and
/// overlap.
#pragma once

#include <cstdint>
#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow::soak {

enum class Trouble : std::uint8_t {
  kHostKill,
  kHostStop,  ///< SIGTERM; the process ends by itself and is started again.
  kHostPause,
  kHostReload,  ///< SIGHUP.
  kHostsKill,   ///< Half of them at once.
  kStoreSilent,
  kStoreReset,
  kStoreSlow,
  kStoreDown,         ///< Answers 503.
  kStoreForgets,      ///< Its history.
  kStorePathSilent,   ///< For one host only.
  kStoreAnswersLost,  ///< For one host only.
  kTargetDark,
  kTargetReset,
  kTargetErrors,   ///< Runs half of its requests and fails.
  kTargetRefuses,  ///< Says that it did not run them.
  kTargetLoses,    ///< Runs requests and breaks their connections.
  kTargetHangs,    ///< Runs requests and never answers.
  kTargetLeaves,   ///< Is listed as leaving, goes, and comes back.
  kTargetLapses,   ///< Its entry is missing for a while.
  kKeyChange,
  kKeyStorm,
  kCallersReset,
  kCallersSlow,
};
inline constexpr int kTroubles = 24;

const char* ToString(Trouble trouble);

struct Event {
  Duration at{};
  Trouble trouble = Trouble::kHostKill;
  Duration life{};
  std::uint64_t pick = 0;  ///< Chooses the host or target.
};

/// Events in `[begin, end)`; each is over before `end` plus its longest life.
std::vector<Event> Draw(std::uint64_t seed, Duration begin, Duration end);

}  // namespace comfreyflow::soak
