// Decides how a request continues after a failed attempt.
#include "comfreyflow/relay-policy.h"

#include <algorithm>

namespace comfreyflow {
namespace {

using std::chrono::milliseconds;

/// Minimum time without events before a stream counts as stalled. Callers
/// abandon a stream after two seconds, and a new attempt takes some hundred
/// milliseconds to produce its next event.
constexpr Duration kMinStreamStall = milliseconds(1400);
/// Minimum time without a response before a plain request counts as stalled.
/// Plain services respond at once, so a request that exceeds its latency
/// objective by half is sent to another target.
constexpr Duration kMinPlainStall = milliseconds(200);
/// A stream counts as stalled after a gap of this many times its `max_gap`.
constexpr int kStallGaps = 4;
/// The first event may take this many times its expected time.
constexpr int kStallEstimates = 3;

}  // namespace

NextStep AfterFailure(const Route& route, const AttemptFailure& failure,
                      const RelayProgress& progress) {
  const bool ran = failure.sent && !failure.reported_not_run;
  const bool may_retry = !ran || Repeatable(route);
  const bool time_left = progress.remaining > kMinAttemptTime;
  const bool attempts_left =
      progress.attempts < kMaxSends &&
      progress.attempts_run < std::max(1U, route.max_attempts);
  if (progress.head_sent && !failure.may_resume) return NextStep::kAbort;
  if (may_retry && time_left && attempts_left) return NextStep::kRetry;
  if (progress.head_sent) return NextStep::kAbort;
  return progress.attempts_run == 0 ? NextStep::kAnswerNotRun
                                    : NextStep::kAnswerFailed;
}

Duration StallTimeout(const Route& route, bool started, Duration estimate) {
  if (route.kind == RouteKind::kSafe) {
    return std::max(kMinPlainStall, route.latency_objective * 3 / 2);
  }
  if (started) return std::max(kMinStreamStall, kStallGaps * route.max_gap);
  const Duration expected = std::max(estimate, route.latency_objective);
  return std::max(kMinStreamStall, kStallEstimates * expected);
}

}  // namespace comfreyflow
