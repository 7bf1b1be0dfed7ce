/// Decides during a planned stop of a host which requests it still accepts, and
/// when those that are open get their final answers.
///
/// A request is accepted if its final answer, a failure at its deadline
/// included, is certain to come before the host answers what is left. Early in
/// the stop it is also accepted if its answer is expected by then, even if its
/// target falls silent once: a longer deadline alone is no reason to send the
/// caller elsewhere.
#pragma once

#include <optional>

#include "comfreyflow/types.h"

namespace comfreyflow {

/// How long a request may take from now on.
struct LateWork {
  Duration limit{};     ///< Until its final answer at the latest.
  Duration estimate{};  ///< Until its complete answer, as expected.
};

class StopPlan {
 public:
  /// `stop_time`: from the request to stop until the process must have exited.
  explicit StopPlan(Duration stop_time) : stop_time_(stop_time) {}

  void Begin(Time now) { began_at_ = now; }
  bool is_stopping() const { return began_at_.has_value(); }
  /// Time since the stop began; requires `is_stopping`.
  Duration Elapsed(Time now) const { return now - *began_at_; }
  /// Whether a request that arrives now is accepted. Always, before the stop.
  bool Accepts(const LateWork& work, Time now) const;
  /// Whether a request that was accepted before is still sent to a target.
  bool MaySend(const LateWork& work, Time now) const;
  /// When requests that are still open get their final answers.
  Time AnswerBy() const;
  /// When the process exits, even if answers are not yet written.
  Time ExitBy() const;
  /// Callers cache the addresses of hosts for a few seconds. From this time on
  /// no further requests are expected, and a host without open ones exits.
  Time IdleFrom() const;

 private:
  bool IsCertain(const LateWork& work, Time now) const;
  bool IsExpected(const LateWork& work, Time now) const;

  const Duration stop_time_;
  std::optional<Time> began_at_;
};

}  // namespace comfreyflow
