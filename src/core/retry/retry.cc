// Retry budget, back-off and the order of alternative targets.
#include "comfreyflow/retry.h"

#include <algorithm>

namespace comfreyflow {

RetryBudget::RetryBudget(RetrySettings settings)
    : settings_(settings), left_(settings.capacity) {}

void RetryBudget::Succeeded() {
  left_ = std::min(settings_.capacity, left_ + settings_.per_success);
}

bool RetryBudget::Take() {
  if (left_ < 1) return false;
  left_ -= 1;
  return true;
}

Duration Backoff(std::uint32_t retry, std::mt19937_64& random) {
  Duration interval = kBackoffBase;
  for (std::uint32_t i = 1; i < retry && interval < kBackoffMax; ++i) {
    interval *= 2;
  }
  interval = std::min(interval, kBackoffMax);
  std::uniform_int_distribution<Duration::rep> pick(interval.count() / 2,
                                                    interval.count());
  return Duration(pick(random));
}

std::vector<RetryCandidate> RetryOrder(
    const std::vector<RetryCandidate>& candidates,
    const std::vector<RetryCandidate>& tried) {
  std::vector<RetryCandidate> order;
  for (const RetryCandidate& candidate : candidates) {
    const bool already_tried =
        std::any_of(tried.begin(), tried.end(), [&](const auto& attempt) {
          return attempt.target == candidate.target;
        });
    if (!already_tried) order.push_back(candidate);
  }
  std::stable_partition(
      order.begin(), order.end(), [&](const RetryCandidate& candidate) {
        return std::none_of(
            tried.begin(), tried.end(), [&](const auto& attempt) {
              return attempt.failure_domain == candidate.failure_domain;
            });
      });
  return order;
}

}  // namespace comfreyflow
