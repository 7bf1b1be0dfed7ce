/// Baselines of the replay.
#pragma once

#include <cstdint>
#include <memory>

#include "core/replay/policy.h"

namespace comfreyflow::replay {

enum class BaselineKind : std::uint8_t {
  kFirstCome,
  kLeastLoaded,
  kTwoChoices
};

std::unique_ptr<HostPolicy> MakeBaseline(BaselineKind kind, std::uint64_t seed,
                                         std::uint64_t kv_capacity);

}  // namespace comfreyflow::replay
