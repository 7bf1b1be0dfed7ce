/// How often and where failed work is tried again: a budget in proportion to
/// successes, backoff with jitter, and the order of other targets.
#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow {

struct RetrySettings {
  double per_success = 0.1;  ///< Retries earned by one success.
  double capacity = 20;      ///< Retries that can be saved up; the start value.
};

/// Invariant: retries taken <= capacity + per_success * successes.
class RetryBudget {
 public:
  explicit RetryBudget(RetrySettings settings = {});
  void Succeeded();
  /// Takes one retry; false when the budget is used up.
  bool Take();
  double left() const { return left_; }

 private:
  RetrySettings settings_;
  double left_;
};

inline constexpr Duration kBackoffBase = std::chrono::milliseconds(20);
inline constexpr Duration kBackoffMax = std::chrono::seconds(2);

/// Wait before retry number `retry` (from 1): uniform in the upper half of an
/// exponentially growing interval.
Duration Backoff(std::uint32_t retry, std::mt19937_64& random);

struct RetryCandidate {
  TargetName target;
  FailureDomain failure_domain;
};

/// Drops targets that were tried and puts those of untried failure domains
/// first; keeps the given order otherwise.
std::vector<RetryCandidate> RetryOrder(
    const std::vector<RetryCandidate>& candidates,
    const std::vector<RetryCandidate>& tried);

}  // namespace comfreyflow
