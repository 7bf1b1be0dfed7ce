/// Admission control of the entry role. Refuses a request on arrival, with an
/// error code, if the limits of its client account, the load or its deadline do
/// not allow it.
#pragma once

#include <cstdint>
#include <map>

#include "comfreyflow/cost.h"
#include "comfreyflow/errors.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

/// The local host's share of the limits of a client account. 0 means no limit.
struct AccountLimit {
  double tokens_per_second = 0;
  double burst_tokens = 0;  ///< 0 means 10 s of `tokens_per_second`.
  std::uint64_t concurrent_tokens = 0;
};

/// The estimated load that an arriving request would meet.
struct LoadView {
  Duration queue_wait{};  ///< Time until the request is placed on a target.
  Duration start_wait{};  ///< Time from then until the best target starts it.
  std::uint32_t uncached_tokens = 0;  ///< Prompt tokens to prefill.
};

/// `code` is `kOk` for an admitted request. Otherwise `retry_after` is the
/// suggested wait before a retry.
struct AdmissionDecision {
  Errc code = Errc::kOk;
  Duration retry_after{};
  bool admitted() const { return code == Errc::kOk; }
};

struct AdmissionSettings {
  /// Longest estimated wait at which a request of each urgency is admitted.
  Duration max_wait_low = std::chrono::seconds(5);
  Duration max_wait_normal = std::chrono::seconds(10);
  Duration max_wait_high = std::chrono::seconds(20);
  std::size_t max_open = 20'000;  ///< Admitted requests that have not ended.
};

class Admission {
 public:
  explicit Admission(AdmissionSettings settings = {});

  void SetLimit(const AccountName& account, const AccountLimit& limit,
                Time now);
  /// Admits or refuses an arriving request. `Ended` must be called once for
  /// each admitted request.
  AdmissionDecision Arrived(const RequestInfo& info, const LoadView& load,
                            Time now);
  void Ended(const RequestId& id);

  /// The rates that are used to check whether a deadline is feasible.
  RateModel& rates() { return rates_; }
  const RateModel& rates() const { return rates_; }
  std::size_t open() const { return open_requests_.size(); }

 private:
  /// A token bucket and the tokens in use. Invariant: `tokens` is at most the
  /// burst; `tokens_in_use` is the sum over the account's open requests.
  struct Account {
    AccountLimit limit;
    double tokens = 0;
    Time refilled_at;
    std::uint64_t tokens_in_use = 0;
  };
  struct OpenRequest {
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
  std::map<RequestId, OpenRequest> open_requests_;
};

}  // namespace comfreyflow
