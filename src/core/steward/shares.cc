// Use of one target by client accounts.
#include "comfreyflow/shares.h"

#include <algorithm>
#include <cmath>

namespace comfreyflow {
namespace {

/// Times over which prefill is counted: of late, and as usual.
constexpr double kFastSeconds = 3;
constexpr double kSlowSeconds = 300;
/// What is usual is judged over this long at least.
constexpr double kUsualSeconds = 60;
/// Prefill below this does not make an account active, in seconds.
constexpr double kActiveSeconds = 0.005;
/// An account may have this much more than an equal part.
constexpr double kSlack = 1.5;
/// An account may have this much more than it uses as a rule.
constexpr double kUsualSlack = 1.3;
/// Growth of the others that room is kept for.
constexpr double kGrowth = 3;
/// Use of the target's time or slots from which shares count.
constexpr double kContendedTime = 0.6;
constexpr double kContendedSlots = 0.75;
/// Accounts kept before idle ones are dropped.
constexpr std::size_t kMaxAccounts = 256;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double AccountShares::Fast(const Use& use, Time now) {
  return use.fast * std::exp(-Seconds(now - use.at) / kFastSeconds);
}

/// Share of the time used since the account was first seen.
double AccountShares::Usual(const Use& use, Time now) {
  const double slow =
      use.slow * std::exp(-Seconds(now - use.at) / kSlowSeconds);
  const double age = std::max(kUsualSeconds, Seconds(now - use.first));
  return slow / (kSlowSeconds * (1 - std::exp(-age / kSlowSeconds)));
}

void AccountShares::Granted(const AccountName& account, Duration prefill,
                            Time now) {
  if (uses_.size() >= kMaxAccounts) {
    std::erase_if(uses_, [&](const auto& item) {
      return item.second.running == 0 &&
             Fast(item.second, now) < kActiveSeconds;
    });
  }
  Use& use = uses_[account];
  if (use.first == Time{}) use.first = use.at = now;
  use.fast = Fast(use, now) + Seconds(prefill);
  use.slow *= std::exp(-Seconds(now - use.at) / kSlowSeconds);
  use.slow += Seconds(prefill);
  use.at = now;
  ++use.running;
}

void AccountShares::Ended(const AccountName& account) {
  const auto use = uses_.find(account);
  if (use != uses_.end() && use->second.running > 0) --use->second.running;
}

bool AccountShares::Over(const AccountName& account, std::uint32_t slots,
                         Time now) const {
  double own = 0;
  double others = 0;
  double usual = 0;
  std::uint32_t running = 0;
  std::size_t active = 1;
  for (const auto& [name, use] : uses_) {
    const double fast = Fast(use, now);
    running += use.running;
    if (name == account) {
      own = fast / kFastSeconds;
      usual = Usual(use, now);
      continue;
    }
    if (use.running == 0 && fast < kActiveSeconds) continue;
    ++active;
    others += fast / kFastSeconds;
  }
  const bool contended = own + others > kContendedTime ||
                         (slots != 0 && running > slots * kContendedSlots);
  if (active == 1 || !contended) return false;
  const double equal = kSlack / static_cast<double>(active);
  return own > std::max({equal, 1 - kGrowth * others, kUsualSlack * usual});
}

}  // namespace comfreyflow
