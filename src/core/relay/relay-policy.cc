// Decides on failed tries.
#include "comfreyflow/relay-policy.h"

#include <algorithm>

namespace comfreyflow {
namespace {

using std::chrono::milliseconds;

/// Shortest silence that is taken for a failure. Callers give a stream up
/// after two seconds, and a new run needs some hundred ms to its next event.
constexpr Duration kLeastSilence = milliseconds(1400);
/// A plain answer comes at once; one that is past its objective by half is
/// asked of another target.
constexpr Duration kLeastPlainSilence = milliseconds(200);
/// A stream's pause may be this many times its bound before it is given up.
constexpr int kGapsOfSilence = 4;
/// The first event may take this many times its estimate.
constexpr int kEstimatesOfSilence = 3;

}  // namespace

NextStep AfterFailure(const Route& route, const AttemptFailure& failure,
                      const RelayProgress& progress) {
  const bool ran = failure.sent && !failure.reported_not_run;
  const bool may_repeat = !ran || Repeatable(route);
  const bool time_left = progress.remaining > kMinAttemptTime;
  const bool tries_left =
      progress.attempts < kMaxSends &&
      progress.attempts_run < std::max(1U, route.max_attempts);
  if (progress.head_sent && !failure.may_resume) return NextStep::kAbort;
  if (may_repeat && time_left && tries_left) return NextStep::kRetry;
  if (progress.head_sent) return NextStep::kAbort;
  return progress.attempts_run == 0 ? NextStep::kAnswerNotRun
                                    : NextStep::kAnswerFailed;
}

Duration StallTimeout(const Route& route, bool begun, Duration estimate) {
  if (route.kind == RouteKind::kSafe) {
    return std::max(kLeastPlainSilence, route.latency_objective * 3 / 2);
  }
  if (begun) return std::max(kLeastSilence, kGapsOfSilence * route.max_gap);
  const Duration expected = std::max(estimate, route.latency_objective);
  return std::max(kLeastSilence, kEstimatesOfSilence * expected);
}

}  // namespace comfreyflow
