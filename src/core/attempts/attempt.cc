// Decides which events of an attempt are forwarded, and whether a failed
// attempt is retried or ends the request.
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
      last_activity_at_(info.arrival),
      last_event_at_(info.arrival) {}

AttemptId Attempt::Begin(Time now) {
  if (stage_ != Stage::kIdle) earlier_may_have_run_ = true;
  stage_ = Stage::kIdle;
  ++current_.number;
  RecordActivity(now);
  return current_;
}

AttemptStep Attempt::Dispatch(Time now) {
  if (settled_) return {};
  if (now >= deadline_) return Expire();
  if (!repeatable_ && may_have_run()) {
    return Settle(Errc::kOutcomeUnknown, Outcome::kUnknown);
  }
  stage_ = Stage::kDispatched;
  RecordActivity(now);
  return {};
}

AttemptStep Attempt::On(const StreamOpened& event, Time now) {
  if (!IsCurrent(event.attempt)) return {};
  if (now >= deadline_) return Expire();
  stage_ = std::max(stage_, Stage::kOpened);
  RecordActivity(now);
  return {};
}

AttemptStep Attempt::On(const ChunkArrived& event, Time now) {
  if (!IsCurrent(event.attempt)) return {};
  if (now >= deadline_) return Expire();
  stage_ = Stage::kContentReceived;
  content_received_ = true;
  RecordActivity(now);
  if (event.offset > delivered_) return EndAttempt(Errc::kAnswerGap, now);
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
  RecordActivity(now);
  return {};
}

AttemptStep Attempt::On(const StreamEnded& event, Time now) {
  if (!IsCurrent(event.attempt)) return {};
  if (now >= deadline_) return Expire();
  stage_ = Stage::kContentReceived;
  content_received_ = true;
  RecordActivity(now);
  if (event.total_bytes != delivered_) return EndAttempt(Errc::kAnswerGap, now);
  return Settle(Errc::kOk, Outcome::kDone);
}

AttemptStep Attempt::On(const StreamFailed& event, Time now) {
  if (!IsCurrent(event.attempt)) return {};
  const bool stream_opened = stage_ >= Stage::kOpened;
  connection_broke_ = connection_broke_ || event.crashed;
  // Content that was received proves that the request ran, even if the target
  // reports `not_run` afterwards.
  if (event.not_run && stage_ != Stage::kContentReceived) stage_ = Stage::kIdle;
  if (now >= deadline_) return Expire();
  // Once the target has accepted the stream, its `not_run` report gives the
  // outcome of a request that is not repeatable, but does not permit a retry.
  if (event.not_run && stream_opened && !repeatable_) {
    return Settle(event.code, OutcomeOf(event.code));
  }
  AttemptStep step = EndAttempt(event.code, now);
  step.cancel = step.cancel && !event.not_run;
  return step;
}

AttemptStep Attempt::Check(Time now) {
  if (settled_) return {};
  if (now >= deadline_) return Expire();
  // After a pause of this host, received events may still wait to be read.
  if (now - last_event_at_ >= settings_.host_pause_threshold)
    last_activity_at_ = now;
  last_event_at_ = now;
  if (stage_ == Stage::kIdle) return {};
  if (now - last_activity_at_ < settings_.silence_limit) return {};
  // The target may be sound, so the last attempt goes on to the deadline.
  if (!MayRetry(now)) return {};
  return EndAttempt(Errc::kTargetUnresponsive, now);
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

void Attempt::RecordActivity(Time now) {
  last_activity_at_ = now;
  last_event_at_ = now;
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

AttemptStep Attempt::EndAttempt(Errc code, Time now) {
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
  if (content_received_) return Outcome::kFailed;
  // Only an error reply of the target proves that the request ran; a broken
  // connection does not.
  const bool target_reported_failure =
      code == Errc::kTargetFailed && !connection_broke_;
  return target_reported_failure ? Outcome::kFailed : Outcome::kUnknown;
}

}  // namespace comfreyflow
