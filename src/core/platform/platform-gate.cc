// Budget, back-off and outage detection for calls to the platform's store.
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
  reads_.tokens = std::max(1.0, reads_.rate * burst);
  writes_.rate = limits_.writes_per_second;
  writes_.tokens = std::max(1.0, writes_.rate * burst);
}

double PlatformGate::TokensAt(const Budget& budget, Time now) const {
  const double refilled =
      budget.rate * Seconds(now - budget.refilled_at).count();
  const double max_tokens =
      std::max(1.0, budget.rate * Seconds(limits_.burst).count());
  return std::min(max_tokens, budget.tokens + std::max(0.0, refilled));
}

PlatformGate::Budget& PlatformGate::BudgetOf(PlatformCall call) {
  return call == PlatformCall::kWrite ? writes_ : reads_;
}

const PlatformGate::Budget& PlatformGate::BudgetOf(PlatformCall call) const {
  return call == PlatformCall::kWrite ? writes_ : reads_;
}

PlatformGate::Budget& PlatformGate::Refill(PlatformCall call, Time now) {
  Budget& budget = BudgetOf(call);
  budget.tokens = TokensAt(budget, now);
  budget.refilled_at = std::max(budget.refilled_at, now);
  return budget;
}

PlatformPermit PlatformGate::Start(PlatformCall call, Time now) {
  const bool probe = outage();
  if (probe && (is_probe_open_ || now < next_probe_at_)) {
    return {Errc::kPlatformUnavailable, false};
  }
  Budget& budget = Refill(call, now);
  if (now < budget.paused_until || budget.tokens < 1) {
    return {Errc::kPlatformRateLimited, false};
  }
  budget.tokens -= 1;
  is_probe_open_ = is_probe_open_ || probe;
  return {Errc::kOk, probe};
}

void PlatformGate::Ended(PlatformCall call, const PlatformPermit& permit,
                         PlatformEnd end, Time now) {
  Budget& budget = BudgetOf(call);
  if (permit.probe) is_probe_open_ = false;
  if (end != PlatformEnd::kFailed) {
    consecutive_failures_ = 0;
    failed_probes_ = 0;
    budget.consecutive_throttles =
        end == PlatformEnd::kThrottled ? budget.consecutive_throttles + 1 : 0;
    if (budget.consecutive_throttles > 0) {
      budget.paused_until = now + Jittered(budget.consecutive_throttles - 1);
    }
    return;
  }
  const bool was_outage = outage();
  ++consecutive_failures_;
  if (permit.probe) ++failed_probes_;
  // A call that started before the outage does not lengthen the back-off.
  if (outage() && (permit.probe || !was_outage)) {
    next_probe_at_ = now + Jittered(failed_probes_);
  }
}

Duration PlatformGate::Jittered(std::uint32_t doublings) {
  Duration full_delay = limits_.backoff_base;
  for (std::uint32_t i = 0; i < std::min(doublings, kMaxDoublings); ++i) {
    full_delay = std::min(full_delay * 2, limits_.backoff_max);
  }
  std::uniform_int_distribution<Duration::rep> jittered_delay(
      full_delay.count() / 2, full_delay.count());
  return Duration(jittered_delay(random_));
}

Duration PlatformGate::RetryAfter(PlatformCall call, Time now) const {
  const Budget& budget = BudgetOf(call);
  Duration wait{};
  const double missing = 1 - TokensAt(budget, now);
  if (missing > 0) {
    wait = std::chrono::ceil<Duration>(Seconds(missing / budget.rate));
  }
  wait = std::max(wait, budget.paused_until - now);
  if (outage()) wait = std::max(wait, next_probe_at_ - now);
  return wait;
}

bool RetryOnNewConnection(PlatformCall call, bool outage) {
  return call == PlatformCall::kRead && !outage;
}

}  // namespace comfreyflow
