/// Decides how a request continues after an attempt at a target fails: with a
/// retry, a resumed stream or a final error that does not claim more than is
/// known about whether the request ran.
#pragma once

#include <cstdint>

#include "comfreyflow/routes.h"

namespace comfreyflow {

/// How an attempt at a target ended without a complete response.
struct AttemptFailure {
  bool sent = false;              ///< A byte of the request may have been sent.
  bool reported_not_run = false;  ///< The target did not run the request.
  bool may_resume = false;  ///< The stream can resume after its last event.
};

/// Progress of a request. Invariant: `attempts_run` counts the targets that
/// may have run it, `attempts` all that were granted for it, `arrivals` those
/// that it may have reached.
struct RelayProgress {
  std::uint32_t attempts = 0;
  std::uint32_t attempts_run = 0;
  std::uint32_t arrivals = 0;
  bool head_sent = false;  ///< The caller received the response head.
  Duration remaining{};    ///< Time until the request's deadline.
};

enum class NextStep : std::uint8_t {
  kRetry,         ///< Request another target.
  kAnswerNotRun,  ///< Final error: no target ran it or will run it.
  kAnswerFailed,  ///< Final error: a target may have run it.
  kAbort,         ///< Close a started response that cannot be completed.
};

/// Maximum number of times that a request is sent to targets, including
/// attempts that did not run.
inline constexpr std::uint32_t kMaxSends = 4;
/// Minimum remaining time for which another attempt is started.
inline constexpr Duration kMinAttemptTime = std::chrono::milliseconds(30);

/// Returns the next step after `failure`. `progress` includes the failed
/// attempt.
NextStep AfterFailure(const Route& route, const AttemptFailure& failure,
                      const RelayProgress& progress);

/// Time without data from a target after which a request that may be retried
/// moves to another target. `started` is set once the target has sent an event.
/// `estimate` is the expected time to the first event.
Duration StallTimeout(const Route& route, bool started, Duration estimate);

}  // namespace comfreyflow
