// From the arrival of a request to its first attempt: admission and the claim
// of its idempotency key.
#include <optional>

#include "core/entry/state.h"

namespace comfreyflow {

using detail::Phase;
using detail::Request;

Errc Entry::State::CheckArrival(const RequestArrived& event) {
  const RequestInfo& info = event.info;
  if (!admitting) return stop_reason;
  if (StopsBefore(info)) return Errc::kDraining;
  if (info.deadline <= now) return Errc::kDeadlineInvalid;
  if (!info.repeatable) {
    if (event.idempotency_key.empty()) return Errc::kIdempotencyKeyMissing;
    // The earlier attempt may still be running; the request must not run again.
    if (event.resume) return Errc::kOutcomeUnknown;
  }
  if (poison.Decide(info.fingerprint, now) == PoisonDecision::kQuarantined) {
    return Errc::kQuarantined;
  }
  return Errc::kOk;
}

void Entry::State::Refuse(const RequestId& id, Errc code,
                          Duration retry_after) {
  output.push_back(MakeFinish(id, code, Info(code).outcome, retry_after));
}

void Entry::State::On(const RequestArrived& event) {
  const RequestInfo& info = event.info;
  const Errc refusal = CheckArrival(event);
  if (refusal != Errc::kOk) {
    return Refuse(info.id, refusal, poison.Remaining(info.fingerprint, now));
  }
  const AdmissionDecision decision = dispatcher.Arrived(info, now);
  if (!decision.admitted()) {
    return Refuse(info.id, decision.code, decision.retry_after);
  }
  const std::uint64_t offset = event.resume ? event.resume->offset : 0;
  const auto [at, added] =
      requests.try_emplace(info.id.sequence, info, offset, settings.attempt);
  Request& request = at->second;
  deadlines.insert({info.deadline, info.id.sequence});
  if (event.resume) {
    output.push_back(
        CancelAttempt{event.resume->attempt, event.resume->target});
  }
  if (info.repeatable) return StartAttempt(request);
  request.phase = Phase::kClaiming;
  output.push_back(WantClaim{info.id, info.account, event.idempotency_key,
                             info.fingerprint, info.deadline});
}

void Entry::State::On(const ClaimAnswered& event) {
  Request* request = Find(event.request);
  if (request == nullptr) {
    // The request ended before its claim was answered: no attempt was or will
    // be dispatched.
    if (event.verdict == ClaimVerdict::kClaimed) {
      output.push_back(RecordOutcome{event.request, Outcome::kNotRun});
    }
    return;
  }
  if (request->phase != Phase::kClaiming) return;
  switch (event.verdict) {
    case ClaimVerdict::kClaimed:
      request->has_claim = true;
      return StartAttempt(*request);
    case ClaimVerdict::kBodyMismatch:
      return GiveUp(*request, Errc::kIdempotencyKeyReused);
    case ClaimVerdict::kUnavailable:
      return GiveUp(*request, Errc::kStoreUnavailable);
    case ClaimVerdict::kDuplicateDone:
    case ClaimVerdict::kDuplicateRunning:
    case ClaimVerdict::kDuplicateUnknown:
      return FinishDuplicate(*request, event.verdict);
  }
}

void Entry::State::FinishDuplicate(Request& request, ClaimVerdict verdict) {
  Errc code = Errc::kOutcomeUnknown;
  if (verdict == ClaimVerdict::kDuplicateDone) code = Errc::kAlreadyDone;
  if (verdict == ClaimVerdict::kDuplicateRunning) code = Errc::kAlreadyRunning;
  Settle(request, false, MakeFinish(request.info.id, code, Info(code).outcome));
}

}  // namespace comfreyflow
