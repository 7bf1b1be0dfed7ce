// Budget, backoff and outage detection for calls to the platform's store.
#include "comfreyflow/platform-gate.h"

#include <algorithm>

namespace comfreyflow {
namespace {

using Seconds = std::chrono::duration<double>;
constexpr std::uint32_t kMaxDoublings = 20;

}  // namespace

PlatformGate::PlatformGate(PlatformLimits limits)
    : limits_(limits), random_(limits.seed) {
  const double burst = Seconds(limits_.burst).count();
  reads_.rate = limits_.reads_per_second;
  reads_.saved = std::max(1.0, reads_.rate * burst);
  writes_.rate = limits_.writes_per_second;
  writes_.saved = std::max(1.0, writes_.rate * burst);
}

double PlatformGate::Saved(const Budget& budget, Time now) const {
  const double earned = budget.rate * Seconds(now - budget.filled).count();
  const double most =
      std::max(1.0, budget.rate * Seconds(limits_.burst).count());
  return std::min(most, budget.saved + std::max(0.0, earned));
}

PlatformGate::Budget& PlatformGate::BudgetOf(PlatformCall call) {
  return call == PlatformCall::kWrite ? writes_ : reads_;
}

const PlatformGate::Budget& PlatformGate::BudgetOf(PlatformCall call) const {
  return call == PlatformCall::kWrite ? writes_ : reads_;
}

PlatformGate::Budget& PlatformGate::Fill(PlatformCall call, Time now) {
  Budget& budget = BudgetOf(call);
  budget.saved = Saved(budget, now);
  budget.filled = std::max(budget.filled, now);
  return budget;
}

PlatformPermit PlatformGate::Start(PlatformCall call, Time now) {
  const bool probe = outage();
  if (probe && (probing_ || now < next_probe_)) {
    return {Errc::kPlatformUnavailable, false};
  }
  Budget& budget = Fill(call, now);
  if (now < budget.paused_until || budget.saved < 1) {
    return {Errc::kPlatformRateLimited, false};
  }
  budget.saved -= 1;
  probing_ = probing_ || probe;
  return {Errc::kOk, probe};
}

void PlatformGate::Ended(PlatformCall call, const PlatformPermit& permit,
                         PlatformEnd end, Time now) {
  Budget& budget = BudgetOf(call);
  if (permit.probe) probing_ = false;
  if (end != PlatformEnd::kFailed) {
    failures_ = 0;
    probes_ = 0;
    budget.throttled =
        end == PlatformEnd::kThrottled ? budget.throttled + 1 : 0;
    if (budget.throttled > 0) {
      budget.paused_until = now + Jittered(budget.throttled - 1);
    }
    return;
  }
  const bool was_outage = outage();
  ++failures_;
  if (permit.probe) ++probes_;
  // A call that began before the outage does not lengthen the backoff.
  if (outage() && (permit.probe || !was_outage)) {
    next_probe_ = now + Jittered(probes_);
  }
}

Duration PlatformGate::Jittered(std::uint32_t doublings) {
  Duration whole = limits_.backoff_base;
  for (std::uint32_t i = 0; i < std::min(doublings, kMaxDoublings); ++i) {
    whole = std::min(whole * 2, limits_.backoff_max);
  }
  std::uniform_int_distribution<Duration::rep> part(whole.count() / 2,
                                                    whole.count());
  return Duration(part(random_));
}

Duration PlatformGate::RetryAfter(PlatformCall call, Time now) const {
  const Budget& budget = BudgetOf(call);
  Duration wait{};
  const double missing = 1 - Saved(budget, now);
  if (missing > 0) {
    wait = std::chrono::ceil<Duration>(Seconds(missing / budget.rate));
  }
  wait = std::max(wait, budget.paused_until - now);
  if (outage()) wait = std::max(wait, next_probe_ - now);
  return wait;
}

bool RetryOnNewConnection(PlatformCall call, bool outage) {
  return call == PlatformCall::kRead && !outage;
}

}  // namespace comfreyflow
