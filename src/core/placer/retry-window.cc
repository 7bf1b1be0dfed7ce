// Counts requests and retries in a sliding window.
#include "comfreyflow/retry-window.h"

namespace comfreyflow {
namespace {

/// Parts into which the window is divided.
constexpr int kBuckets = 20;

}  // namespace

RetryWindow::Bucket& RetryWindow::CurrentBucket(Time now) {
  const Duration width = limits_.window / kBuckets;
  while (!buckets_.empty() &&
         now - buckets_.front().begin > limits_.window + width) {
    buckets_.pop_front();
  }
  if (buckets_.empty() || now - buckets_.back().begin > width) {
    buckets_.push_back({now, 0, 0});
  }
  return buckets_.back();
}

bool RetryWindow::TakeRetry(Time now) {
  if (Left(now) < 1) return false;
  ++CurrentBucket(now).retries;
  return true;
}

double RetryWindow::Left(Time now) {
  CurrentBucket(now);
  double requests = 0;
  double retries = 0;
  for (const auto& bucket : buckets_) {
    requests += bucket.requests;
    retries += bucket.retries;
  }
  return limits_.ratio * requests + slack_share_ * limits_.slack - retries;
}

}  // namespace comfreyflow
