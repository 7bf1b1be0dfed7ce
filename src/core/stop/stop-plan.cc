// Which requests a stopping host accepts, by the time that is left.
#include "comfreyflow/stop-plan.h"

namespace comfreyflow {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Shares of the stop time.
/// Requests that are expected to end in time, but may not, are accepted until
/// then: 3 s after the signal in a stop of 8 s, less the time in which a busy
/// host sees it.
constexpr double kExpectedShare = 1.0 / 3;
constexpr double kAnswerShare = 8.0 / 9;
constexpr double kExitShare = 0.95;
constexpr double kIdleShare = 0.75;
/// Between a request's deadline and the time at which its answer is written.
constexpr Duration kAnswerMargin = milliseconds(150);
/// A sound target may send nothing for this long and then go on.
constexpr Duration kTargetSilence = milliseconds(1500);

Duration ShareOf(Duration time, double share) {
  return duration_cast<Duration>(time * share);
}

}  // namespace

bool StopPlan::Accepts(const LateWork& work, Time now) const {
  if (!is_stopping() || IsCertain(work, now)) return true;
  return Elapsed(now) <= ShareOf(stop_time_, kExpectedShare) &&
         IsExpected(work, now);
}

bool StopPlan::MaySend(const LateWork& work, Time now) const {
  return !is_stopping() || IsCertain(work, now) || IsExpected(work, now);
}

bool StopPlan::IsCertain(const LateWork& work, Time now) const {
  return now + work.limit + kAnswerMargin <= AnswerBy();
}

bool StopPlan::IsExpected(const LateWork& work, Time now) const {
  return now + work.estimate + kTargetSilence + kAnswerMargin <= AnswerBy();
}

Time StopPlan::AnswerBy() const {
  return *began_at_ + ShareOf(stop_time_, kAnswerShare);
}

Time StopPlan::ExitBy() const {
  return *began_at_ + ShareOf(stop_time_, kExitShare);
}

Time StopPlan::IdleFrom() const {
  return *began_at_ + ShareOf(stop_time_, kIdleShare);
}

}  // namespace comfreyflow
