/// Limits and places retries of failed requests: a retry budget in proportion
/// to successes, back-off with jitter, and the order of alternative targets.
#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow {

struct RetrySettings {
  double per_success = 0.1;  ///< Retries added to the budget by a success.
  double capacity = 20;      ///< Maximum and initial budget, in retries.
};

/// Token bucket that limits retries.
/// Invariant: retries taken <= capacity + per_success * successes.
class RetryBudget {
 public:
  explicit RetryBudget(RetrySettings settings = {});
  void Succeeded();
  /// Takes one retry from the budget; returns false if it is exhausted.
  bool Take();
  double left() const { return left_; }

 private:
  RetrySettings settings_;
  double left_;
};

inline constexpr Duration kBackoffBase = std::chrono::milliseconds(20);
inline constexpr Duration kBackoffMax = std::chrono::seconds(2);

/// Delay before retry number `retry`, counted from 1. Drawn uniformly from the
/// upper half of an interval that grows exponentially.
Duration Backoff(std::uint32_t retry, std::mt19937_64& random);

struct RetryCandidate {
  TargetName target;
  FailureDomain failure_domain;
};

/// Removes the targets already tried and moves candidates in untried failure
/// domains to the front. The order is otherwise preserved.
std::vector<RetryCandidate> RetryOrder(
    const std::vector<RetryCandidate>& candidates,
    const std::vector<RetryCandidate>& tried);

}  // namespace comfreyflow
