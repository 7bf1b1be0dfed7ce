/// Fair shares of one target among client accounts. Only small requests count.
/// It prevents one account from using capacity that other accounts need.
#pragma once

#include <cstdint>
#include <map>

#include "comfreyflow/types.h"

namespace comfreyflow {

/// Tracks the use of one target per client account, in seconds of prefill time.
class AccountShares {
 public:
  /// A request of the account was granted; its prefill takes about `prefill`.
  void Granted(const AccountName& account, Duration prefill, Time now);
  /// A granted request of the account ended.
  void Ended(const AccountName& account);
  /// Whether the account should wait. This is the case if the target is
  /// contended and the account's recent share of its prefill time exceeds all
  /// of: an equal share, the account's usual share, and the share that remains
  /// if the use by the other accounts grows to three times its present value.
  /// `slots` is the number of requests that the target runs at once; 0:
  /// unknown.
  bool IsOverShare(const AccountName& account, std::uint32_t slots,
                   Time now) const;

 private:
  /// Use of the target by one account. Invariant: `recent` and `long_term`
  /// are seconds of prefill time with exponential decay, as of `updated_at`.
  struct Usage {
    std::uint32_t running = 0;
    double recent = 0;
    double long_term = 0;
    Time first_seen_at;
    Time updated_at;
  };

  static double RecentSeconds(const Usage& usage, Time now);
  static double UsualShare(const Usage& usage, Time now);

  std::map<AccountName, Usage> usages_;
};

}  // namespace comfreyflow
