/// The attempts of one request. Tracks which attempt is current, which bytes
/// the caller has received, and whether the request may have run, which
/// determines the outcome that is reported when the request ends.
#pragma once

#include <cstdint>

#include "comfreyflow/errors.h"
#include "comfreyflow/stream.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

struct AttemptSettings {
  /// The maximum gap between events of a stream. After it the target counts as
  /// unresponsive, and the attempt ends if another one may follow.
  Duration silence_limit = std::chrono::seconds(3);
  /// A gap of this length between two events or ticks means that the local host
  /// was paused. The time without events is then not attributed to the target.
  Duration host_pause_threshold = std::chrono::seconds(1);
  std::uint32_t max_attempts = 3;
};

enum class AttemptAction : std::uint8_t {
  kNone,
  kForward,  ///< Forward the chunk without its first `skip` bytes.
  kRetry,    ///< Start another attempt on another target, from `delivered()`.
  kSettle,   ///< End the request with `code` and `outcome`.
};

struct AttemptStep {
  AttemptAction action = AttemptAction::kNone;
  std::uint32_t skip = 0;
  Errc code = Errc::kOk;
  Outcome outcome = Outcome::kUnknown;
  bool cancel = false;  ///< The abandoned attempt may still run on its target.
};

class Attempt {
 public:
  /// `offset` is the number of answer bytes that the caller already has.
  Attempt(const RequestInfo& info, std::uint64_t offset,
          AttemptSettings settings = {});

  /// Starts the next attempt. Events of earlier attempts are ignored from now
  /// on.
  AttemptId Begin(Time now);
  /// To be called immediately before `OpenStream`. `kNone` allows the stream,
  /// and the request counts as possibly run from then on; `kSettle` forbids it.
  AttemptStep Dispatch(Time now);

  AttemptStep On(const StreamOpened& event, Time now);
  AttemptStep On(const ChunkArrived& event, Time now);
  AttemptStep On(const StreamHeartbeat& event, Time now);
  AttemptStep On(const StreamEnded& event, Time now);
  AttemptStep On(const StreamFailed& event, Time now);
  /// Checks the deadline and `silence_limit`. To be called on each tick.
  AttemptStep Check(Time now);

  /// Returns the final step of a request that ends for a reason outside the
  /// attempt, such as no available target or an exhausted retry budget.
  AttemptStep GiveUp(Errc code) const;

  /// The attempt whose events are accepted. Its number is 0 before `Begin`.
  const AttemptId& current() const { return current_; }
  std::uint64_t delivered() const { return delivered_; }
  /// False only if no attempt was dispatched, or each dispatched attempt failed
  /// with `not_run`: no byte was sent, or the target reported that it did not
  /// run the request.
  bool may_have_run() const {
    return earlier_may_have_run_ || stage_ != Stage::kIdle;
  }
  bool settled() const { return settled_; }

 private:
  enum class Stage : std::uint8_t {
    kIdle,
    kDispatched,
    kOpened,
    kContentReceived
  };

  bool IsCurrent(const AttemptId& id) const;
  void RecordActivity(Time now);
  AttemptStep Settle(Errc code, Outcome outcome);
  AttemptStep Expire();
  AttemptStep EndAttempt(Errc code, Time now);
  bool MayRetry(Time now) const;
  Outcome OutcomeOf(Errc code) const;

  AttemptSettings settings_;
  Time deadline_;
  bool repeatable_;
  AttemptId current_;
  Stage stage_ = Stage::kIdle;
  std::uint64_t delivered_;  ///< Never decreases.
  Time last_activity_at_{};  ///< When the current attempt was last active.
  Time last_event_at_{};     ///< Last event or `Check`.
  bool earlier_may_have_run_ = false;  ///< An earlier attempt may have run.
  bool content_received_ = false;      ///< By any attempt.
  /// A connection broke without an error reply, in any attempt.
  bool connection_broke_ = false;
  bool settled_ = false;  ///< Never reset; nothing is forwarded afterwards.
};

}  // namespace comfreyflow
