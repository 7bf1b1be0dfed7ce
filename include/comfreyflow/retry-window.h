/// Limits the retries of a service: in any window of time they may number a
/// share of the requests in that window, and some more.
#pragma once

#include <cstdint>
#include <deque>

#include "comfreyflow/types.h"

namespace comfreyflow {

struct RetryLimits {
  double ratio = 0.2;  ///< Retries allowed per request.
  double slack = 50;   ///< Retries allowed in addition.
  Duration window = std::chrono::seconds(10);
};

class RetryWindow {
 public:
  explicit RetryWindow(const RetryLimits& limits) : limits_(limits) {}

  void RecordRequest(Time now) { ++CurrentBucket(now).requests; }
  /// Counts a retry and returns true, unless none is left.
  bool TakeRetry(Time now);
  /// Number of retries that the window still allows.
  double Left(Time now);
  /// Sets the part of the slack that this host may use.
  void SetSlackShare(double share) { slack_share_ = share; }

 private:
  struct Bucket {
    Time begin;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };
  Bucket& CurrentBucket(Time now);

  const RetryLimits limits_;
  double slack_share_ = 1;
  std::deque<Bucket> buckets_;
};

}  // namespace comfreyflow
