// Faults of a seed, and their reduction.
#include "explore/plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace comfreyflow::explore {
namespace {

using std::chrono::milliseconds;

constexpr std::array<const char*, static_cast<std::size_t>(FaultKind::kCount)>
    kNames = {"crash-host",    "pause-host",       "crash-target",
              "store-down",    "store-deaf",       "store-slow",
              "lose-answer",   "delay-store-call", "cut-link",
              "drop-message",  "delay-message",    "double-message",
              "silence",       "caller-gone",      "target-refuses",
              "truncate",      "false-death",      "two-stewards",
              "target-leaves", "stop-host",        "poison"};

constexpr std::uint32_t kMaxFaults = 14;
constexpr int kLastFaultMs = 10'000;
constexpr Duration kLongLength = milliseconds(9000);  ///< Over the retention.
constexpr std::array<int, 5> kLengthsMs = {20, 150, 600, 1500, 2500};

}  // namespace

std::string ToString(const Fault& fault) {
  const auto ms = [](Duration time) {
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(time).count());
  };
  return std::string(kNames.at(static_cast<std::size_t>(fault.kind))) + " at " +
         ms(fault.at) + " ms for " + ms(fault.length) + " ms on " +
         std::to_string(fault.which);
}

Plan MakePlan(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  Plan plan{seed, {}};
  const auto count = static_cast<std::uint32_t>(random() % (kMaxFaults + 1));
  for (std::uint32_t i = 0; i < count; ++i) {
    Fault fault;
    fault.kind = static_cast<FaultKind>(
        random() % static_cast<std::uint64_t>(FaultKind::kCount));
    fault.at = milliseconds(random() % kLastFaultMs);
    fault.length = milliseconds(kLengthsMs.at(random() % kLengthsMs.size()));
    const bool can_be_long = fault.kind == FaultKind::kPauseHost ||
                             fault.kind == FaultKind::kDelayStoreCall;
    if (can_be_long && random() % 4 == 0) fault.length = kLongLength;
    fault.which = static_cast<std::uint32_t>(random() % 64);
    plan.faults.push_back(fault);
  }
  std::stable_sort(plan.faults.begin(), plan.faults.end(),
                   [](const Fault& a, const Fault& b) { return a.at < b.at; });
  return plan;
}

bool Has(const Plan& plan, std::initializer_list<FaultKind> kinds) {
  return std::any_of(
      plan.faults.begin(), plan.faults.end(), [&](const Fault& fault) {
        return std::find(kinds.begin(), kinds.end(), fault.kind) != kinds.end();
      });
}

Plan Shrink(Plan plan, const std::function<bool(const Plan&)>& fails) {
  std::size_t chunk = std::max<std::size_t>(1, plan.faults.size() / 2);
  while (chunk > 0) {
    bool removed = false;
    for (std::size_t at = 0; at < plan.faults.size();) {
      Plan shorter = plan;
      const auto first =
          shorter.faults.begin() + static_cast<std::ptrdiff_t>(at);
      const auto last =
          shorter.faults.begin() +
          static_cast<std::ptrdiff_t>(std::min(at + chunk, plan.faults.size()));
      shorter.faults.erase(first, last);
      if (fails(shorter)) {
        plan = std::move(shorter);
        removed = true;
      } else {
        at += chunk;
      }
    }
    if (!removed || chunk > 1) chunk /= 2;
  }
  return plan;
}

}  // namespace comfreyflow::explore
