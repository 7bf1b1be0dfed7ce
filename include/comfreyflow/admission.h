/// The door of an entry: refuses, early and typed, what the limits of the
/// client account, the load or the deadline do not allow.
#pragma once

#include <cstdint>
#include <map>

#include "comfreyflow/cost.h"
#include "comfreyflow/errors.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

/// This host's share of what a client account may use; 0 means no limit.
struct AccountLimit {
  double tokens_per_second = 0;
  double burst_tokens = 0;  ///< 0 means ten seconds of the rate.
  std::uint64_t concurrent_tokens = 0;
};

/// What the entry sees in front of an arriving request.
struct LoadView {
  Duration queue_wait{};  ///< Estimated until the request is placed.
  Duration start_wait{};  ///< Estimated at the best target.
  std::uint32_t uncached_tokens = 0;
};

struct AdmissionDecision {
  Errc code = Errc::kOk;
  Duration retry_after{};
  bool admitted() const { return code == Errc::kOk; }
};

struct AdmissionSettings {
  /// Longest estimated wait at which each urgency is still admitted.
  Duration max_wait_low = std::chrono::seconds(5);
  Duration max_wait_normal = std::chrono::seconds(10);
  Duration max_wait_high = std::chrono::seconds(20);
  std::size_t max_open = 20'000;  ///< Requests admitted and not ended.
};

class Admission {
 public:
  explicit Admission(AdmissionSettings settings = {});

  void SetLimit(const AccountName& account, const AccountLimit& limit,
                Time now);
  /// Admits or refuses; an admitted request must be given to `Ended` once.
  AdmissionDecision Arrived(const RequestInfo& info, const LoadView& load,
                            Time now);
  void Ended(const RequestId& id);

  /// Rates that the feasibility of deadlines is judged by.
  RateModel& rates() { return rates_; }
  const RateModel& rates() const { return rates_; }
  std::size_t open() const { return open_.size(); }

 private:
  /// Invariant: `tokens` is at most the burst; `in_use` is the sum over the
  /// account's open requests.
  struct Account {
    AccountLimit limit;
    double tokens = 0;
    Time filled;
    std::uint64_t in_use = 0;
  };
  struct Open {
    AccountName account;
    std::uint64_t tokens = 0;
  };

  Duration MaxWait(Urgency urgency) const;
  AdmissionDecision CheckLoad(const RequestInfo& info,
                              const LoadView& load) const;
  AdmissionDecision CheckDeadline(const RequestInfo& info, const LoadView& load,
                                  Time now) const;
  AdmissionDecision CheckAccount(const Account& account,
                                 std::uint64_t tokens) const;

  AdmissionSettings settings_;
  RateModel rates_;
  std::map<AccountName, Account> accounts_;
  std::map<RequestId, Open> open_;
};

}  // namespace comfreyflow
