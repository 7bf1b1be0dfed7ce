/// One request across its tries: which try is current, which bytes the caller
/// has, and what can be said truthfully when the request ends.
#pragma once

#include <cstdint>

#include "comfreyflow/errors.h"
#include "comfreyflow/stream.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

struct AttemptSettings {
  Duration silence_limit = std::chrono::seconds(3);
  /// A longer gap between two events means that this host was paused; the
  /// target is then not blamed for the silence.
  Duration pause_limit = std::chrono::seconds(1);
  std::uint32_t max_attempts = 3;
};

enum class AttemptAction : std::uint8_t {
  kNone,
  kForward,  ///< Give the caller the chunk without its first `skip` bytes.
  kRetry,    ///< Begin another attempt at `delivered()`, elsewhere.
  kSettle,   ///< Answer the caller with `code` and `outcome`.
};

struct AttemptStep {
  AttemptAction action = AttemptAction::kNone;
  std::uint32_t skip = 0;
  Errc code = Errc::kOk;
  Outcome outcome = Outcome::kUnknown;
  bool cancel = false;  ///< The attempt left behind may still run.
};

class Attempt {
 public:
  /// `offset` is the number of bytes the caller already has.
  Attempt(const RequestInfo& info, std::uint64_t offset,
          AttemptSettings settings = {});

  /// Starts the next attempt; events of earlier ones are ignored from now on.
  AttemptId Begin(Time now);
  /// Asked right before `OpenStream`. `kNone` allows it, and from then on the
  /// request counts as possibly run; `kSettle` forbids it.
  AttemptStep Dispatch(Time now);

  AttemptStep On(const StreamOpened& event, Time now);
  AttemptStep On(const ChunkArrived& event, Time now);
  AttemptStep On(const StreamHeartbeat& event, Time now);
  AttemptStep On(const StreamEnded& event, Time now);
  AttemptStep On(const StreamFailed& event, Time now);
  /// Deadline and silence; to be called on each tick.
  AttemptStep Check(Time now);

  /// The final step when the request ends for a reason outside the attempt,
  /// such as no target or no retry budget left.
  AttemptStep GiveUp(Errc code) const;

  /// The attempt whose events are taken; number 0 before `Begin`.
  const AttemptId& current() const { return current_; }
  std::uint64_t delivered() const { return delivered_; }
  /// False only if no byte was handed to a socket, or each target that was
  /// tried said that it ran nothing.
  bool may_have_run() const { return ran_before_ || stage_ != Stage::kIdle; }
  bool settled() const { return settled_; }

 private:
  enum class Stage : std::uint8_t { kIdle, kDispatched, kOpened, kAnswering };

  bool IsCurrent(const AttemptId& id) const;
  void Sign(Time now);
  AttemptStep Settle(Errc code, Outcome outcome);
  AttemptStep Expire();
  AttemptStep EndTry(Errc code, Time now);
  bool MayRetry(Time now) const;
  Outcome OutcomeOf(Errc code) const;

  AttemptSettings settings_;
  Time deadline_;
  bool repeatable_;
  AttemptId current_;
  Stage stage_ = Stage::kIdle;
  std::uint64_t delivered_;  ///< Never shrinks.
  Time last_sign_{};         ///< Last sign of life of the current attempt.
  Time last_event_{};
  bool ran_before_ = false;  ///< An earlier attempt may have run.
  bool answered_ = false;    ///< Some attempt sent content.
  bool broken_ = false;      ///< Some connection broke without a word.
  bool settled_ = false;     ///< Never cleared; nothing is forwarded after.
};

}  // namespace comfreyflow
