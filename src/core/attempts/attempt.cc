// One request across its tries.
#include "comfreyflow/attempt.h"

#include <algorithm>

namespace comfreyflow {

Attempt::Attempt(const RequestInfo& info, std::uint64_t offset,
                 AttemptSettings settings)
    : settings_(settings),
      deadline_(info.deadline),
      repeatable_(info.repeatable),
      current_{info.id, 0},
      delivered_(offset),
      last_sign_(info.arrival),
      last_event_(info.arrival) {}

AttemptId Attempt::Begin(Time now) {
  if (stage_ != Stage::kIdle) ran_before_ = true;
  stage_ = Stage::kIdle;
  ++current_.number;
  Sign(now);
  return current_;
}

AttemptStep Attempt::Dispatch(Time now) {
  if (settled_) return {};
  if (now >= deadline_) return Expire();
  if (!repeatable_ && may_have_run()) {
    return Settle(Errc::kOutcomeUnknown, Outcome::kUnknown);
  }
  stage_ = Stage::kDispatched;
  Sign(now);
  return {};
}

AttemptStep Attempt::On(const StreamOpened& event, Time now) {
  if (!IsCurrent(event.attempt)) return {};
  if (now >= deadline_) return Expire();
  stage_ = std::max(stage_, Stage::kOpened);
  Sign(now);
  return {};
}

AttemptStep Attempt::On(const ChunkArrived& event, Time now) {
  if (!IsCurrent(event.attempt)) return {};
  if (now >= deadline_) return Expire();
  stage_ = Stage::kAnswering;
  answered_ = true;
  Sign(now);
  if (event.offset > delivered_) return EndTry(Errc::kAnswerGap, now);
  const std::uint64_t end = event.offset + event.length;
  if (end <= delivered_) return {};
  AttemptStep step{.action = AttemptAction::kForward};
  step.skip = static_cast<std::uint32_t>(delivered_ - event.offset);
  delivered_ = end;
  return step;
}

AttemptStep Attempt::On(const StreamHeartbeat& event, Time now) {
  if (!IsCurrent(event.attempt)) return {};
  if (now >= deadline_) return Expire();
  Sign(now);
  return {};
}

AttemptStep Attempt::On(const StreamEnded& event, Time now) {
  if (!IsCurrent(event.attempt)) return {};
  if (now >= deadline_) return Expire();
  stage_ = Stage::kAnswering;
  answered_ = true;
  Sign(now);
  if (event.total_bytes != delivered_) return EndTry(Errc::kAnswerGap, now);
  return Settle(Errc::kOk, Outcome::kDone);
}

AttemptStep Attempt::On(const StreamFailed& event, Time now) {
  if (!IsCurrent(event.attempt)) return {};
  const bool sent = stage_ >= Stage::kOpened;
  broken_ = broken_ || event.crashed;
  // Content is stronger evidence than a later word that nothing ran.
  if (event.not_run && stage_ != Stage::kAnswering) stage_ = Stage::kIdle;
  if (now >= deadline_) return Expire();
  // The target's word after a byte was sent ends the request, but does not
  // open the way for another run of it.
  if (event.not_run && sent && !repeatable_) {
    return Settle(event.code, OutcomeOf(event.code));
  }
  AttemptStep step = EndTry(event.code, now);
  step.cancel = step.cancel && !event.not_run;
  return step;
}

AttemptStep Attempt::Check(Time now) {
  if (settled_) return {};
  if (now >= deadline_) return Expire();
  // After a pause of this host, signs of life may wait unread.
  if (now - last_event_ >= settings_.pause_limit) last_sign_ = now;
  last_event_ = now;
  if (stage_ == Stage::kIdle) return {};
  if (now - last_sign_ < settings_.silence_limit) return {};
  return EndTry(Errc::kTargetSilent, now);
}

AttemptStep Attempt::GiveUp(Errc code) const {
  AttemptStep step{.action = AttemptAction::kSettle};
  step.code = code;
  step.outcome = OutcomeOf(code);
  step.cancel = stage_ != Stage::kIdle;
  return step;
}

bool Attempt::IsCurrent(const AttemptId& id) const {
  return !settled_ && id == current_ && stage_ != Stage::kIdle;
}

void Attempt::Sign(Time now) {
  last_sign_ = now;
  last_event_ = now;
}

AttemptStep Attempt::Settle(Errc code, Outcome outcome) {
  AttemptStep step{.action = AttemptAction::kSettle};
  step.code = code;
  step.outcome = outcome;
  step.cancel = stage_ != Stage::kIdle && code != Errc::kOk;
  settled_ = true;
  return step;
}

AttemptStep Attempt::Expire() {
  return Settle(Errc::kDeadlineExceeded, OutcomeOf(Errc::kDeadlineExceeded));
}

AttemptStep Attempt::EndTry(Errc code, Time now) {
  if (!MayRetry(now)) return Settle(code, OutcomeOf(code));
  AttemptStep step{.action = AttemptAction::kRetry};
  step.code = code;
  step.cancel = stage_ != Stage::kIdle;
  return step;
}

bool Attempt::MayRetry(Time now) const {
  if (current_.number >= settings_.max_attempts) return false;
  if (now >= deadline_) return false;
  return repeatable_ || !may_have_run();
}

Outcome Attempt::OutcomeOf(Errc code) const {
  if (!may_have_run()) return Outcome::kNotRun;
  if (answered_) return Outcome::kFailed;
  // Only the target's own word says that it ran; a broken connection does not.
  const bool told = code == Errc::kTargetFailed && !broken_;
  return told ? Outcome::kFailed : Outcome::kUnknown;
}

}  // namespace comfreyflow
