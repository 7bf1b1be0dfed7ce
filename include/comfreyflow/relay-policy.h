/// What follows when a try of a request at a target fails: another try, a
/// resumed stream, or a final answer that says only what is true.
#pragma once

#include <cstdint>

#include "comfreyflow/routes.h"

namespace comfreyflow {

/// How a try at a target ended without its whole answer.
struct AttemptFailure {
  bool sent = false;              ///< A byte of the request may have left.
  bool reported_not_run = false;  ///< The target said that it did not run it.
  bool may_resume = false;  ///< A stream that can go on behind its last event.
};

/// Where a request stands. Invariant: `attempts_run` counts the targets that
/// may have run it, `tries` all to which it was sent.
struct RelayProgress {
  std::uint32_t attempts = 0;
  std::uint32_t attempts_run = 0;
  bool head_sent = false;  ///< The caller has the head of the answer.
  Duration remaining{};    ///< Until the request's deadline.
};

enum class NextStep : std::uint8_t {
  kRetry,         ///< Ask for another target.
  kAnswerNotRun,  ///< Refuse: no target ran it, and none will.
  kAnswerFailed,  ///< It may have run.
  kAbort,         ///< The answer began and can't be ended whole.
};

/// Sends beyond which a request is refused, whatever the targets said.
inline constexpr std::uint32_t kMaxSends = 4;
/// A new try needs at least this long to be of use.
inline constexpr Duration kMinAttemptTime = std::chrono::milliseconds(30);

/// `progress` counts the failed try.
NextStep AfterFailure(const Route& route, const AttemptFailure& failure,
                      const RelayProgress& progress);

/// Silence of a target after which a stream that may be resumed is taken
/// elsewhere; `begun` once it has sent an event. `estimate` is the expected
/// time to its first event.
Duration StallTimeout(const Route& route, bool begun, Duration estimate);

}  // namespace comfreyflow
