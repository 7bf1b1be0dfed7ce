/// Faults that `soak-planted-host` takes, and the promise that each breaks: a
/// soak that does not find them is of no use.
#pragma once

#include <array>

#include "soak/schedule.h"

namespace comfreyflow::soak {

struct Planted {
  const char* name;
  const char* promise;
  Mix mix = Mix::kMixed;  ///< That shows it.
};

inline constexpr std::array<Planted, 22> kPlanted = {
    {{"repeats_failed", "TWICE"},
     {"promises_failed", "REFUSED"},
     {"drops_mark", "MIXED"},
     {"passes_key", "UNASKED"},
     {"changes_account", "UNASKED"},
     {"changes_path", "UNASKED"},
     {"skips_event", "ORDER"},
     {"takes_any_key", "CONFIG"},
     {"keeps_memory", "LEAK"},
     {"ignores_leaving", "DRAIN"},
     {"ignores_configuration", "CONFIG"},
     {"keeps_watches", "DRAIN", Mix::kLeaving},
     {"ignores_told_leaving", "DRAIN", Mix::kTold},
     {"ignores_retry_after", "BUDGET", Mix::kTold},
     {"ignores_limit", "LIMIT", Mix::kLimited},
     {"limits_each_host", "LIMIT", Mix::kLimited},
     {"ignores_era", "DRAIN", Mix::kRewound},
     {"takes_late", "LOST", Mix::kStops},
     {"joins_runs", "ORDER", Mix::kStops},
     {"dies_of_entry", "ENDS", Mix::kOdd},
     {"believes_copies", "TWICE", Mix::kCopies},
     {"ignores_evacuations", "EVAC", Mix::kEvacuated}}};

}  // namespace comfreyflow::soak
