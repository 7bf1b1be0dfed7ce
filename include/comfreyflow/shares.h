/// What client accounts use of one target for small work, so that one of them
/// cannot take what the others need.
#pragma once

#include <cstdint>
#include <map>

#include "comfreyflow/types.h"

namespace comfreyflow {

class AccountShares {
 public:
  void Granted(const AccountName& account, Duration prefill, Time now);
  void Ended(const AccountName& account);
  /// Whether the account should wait, as the target is in much use and the
  /// account has more of its time than an equal part, than it uses as a rule,
  /// and than is left when the others grow to three times what they use.
  bool Over(const AccountName& account, std::uint32_t slots, Time now) const;

 private:
  /// Invariant: `fast` and `slow` are seconds of prefill, decayed to `at`.
  struct Use {
    std::uint32_t running = 0;
    double fast = 0;
    double slow = 0;
    Time first;
    Time at;
  };

  static double Fast(const Use& use, Time now);
  static double Usual(const Use& use, Time now);

  std::map<AccountName, Use> uses_;
};

}  // namespace comfreyflow
