// Fair shares of one target among client accounts.
#include "comfreyflow/shares.h"

#include <algorithm>
#include <cmath>

namespace comfreyflow {
namespace {

/// Time constants of the exponential decay of recent and long-term use.
constexpr double kRecentSeconds = 3;
constexpr double kLongTermSeconds = 300;
/// Minimum period over which the usual share of an account is computed.
constexpr double kMinAgeSeconds = 60;
/// An account without running requests is inactive if its recent prefill time
/// is below this many seconds.
constexpr double kMinActiveSeconds = 0.005;
/// Factor by which an account may exceed an equal share.
constexpr double kEqualShareFactor = 1.5;
/// Factor by which an account may exceed its usual share.
constexpr double kUsualShareFactor = 1.3;
/// Growth of the use by other accounts for which capacity is reserved.
constexpr double kOthersGrowth = 3;
/// Shares of the target's prefill time and slots in use above which it is
/// contended.
constexpr double kContendedTimeShare = 0.6;
constexpr double kContendedSlotShare = 0.75;
/// Number of accounts at which inactive ones are removed.
constexpr std::size_t kMaxAccounts = 256;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double AccountShares::RecentSeconds(const Usage& usage, Time now) {
  return usage.recent *
         std::exp(-Seconds(now - usage.updated_at) / kRecentSeconds);
}

/// Share of the target's prefill time that the account has used since it was
/// first seen.
double AccountShares::UsualShare(const Usage& usage, Time now) {
  const double long_term =
      usage.long_term *
      std::exp(-Seconds(now - usage.updated_at) / kLongTermSeconds);
  const double age =
      std::max(kMinAgeSeconds, Seconds(now - usage.first_seen_at));
  return long_term /
         (kLongTermSeconds * (1 - std::exp(-age / kLongTermSeconds)));
}

void AccountShares::Granted(const AccountName& account, Duration prefill,
                            Time now) {
  if (usages_.size() >= kMaxAccounts) {
    std::erase_if(usages_, [&](const auto& entry) {
      return entry.second.running == 0 &&
             RecentSeconds(entry.second, now) < kMinActiveSeconds;
    });
  }
  Usage& usage = usages_[account];
  if (usage.first_seen_at == Time{})
    usage.first_seen_at = usage.updated_at = now;
  usage.recent = RecentSeconds(usage, now) + Seconds(prefill);
  usage.long_term *=
      std::exp(-Seconds(now - usage.updated_at) / kLongTermSeconds);
  usage.long_term += Seconds(prefill);
  usage.updated_at = now;
  ++usage.running;
}

void AccountShares::Ended(const AccountName& account) {
  const auto usage = usages_.find(account);
  if (usage != usages_.end() && usage->second.running > 0)
    --usage->second.running;
}

bool AccountShares::IsOverShare(const AccountName& account, std::uint32_t slots,
                                Time now) const {
  double account_share = 0;
  double others_share = 0;
  double usual_share = 0;
  std::uint32_t running = 0;
  std::size_t active_accounts = 1;
  for (const auto& [name, usage] : usages_) {
    const double recent = RecentSeconds(usage, now);
    running += usage.running;
    if (name == account) {
      account_share = recent / kRecentSeconds;
      usual_share = UsualShare(usage, now);
      continue;
    }
    if (usage.running == 0 && recent < kMinActiveSeconds) continue;
    ++active_accounts;
    others_share += recent / kRecentSeconds;
  }
  const bool is_contended =
      account_share + others_share > kContendedTimeShare ||
      (slots != 0 && running > slots * kContendedSlotShare);
  if (active_accounts == 1 || !is_contended) return false;
  const double equal_share =
      kEqualShareFactor / static_cast<double>(active_accounts);
  return account_share >
         std::max({equal_share, 1 - kOthersGrowth * others_share,
                   kUsualShareFactor * usual_share});
}

}  // namespace comfreyflow
