// From a request's arrival to its first attempt: the door, and the claim.
#include <optional>

#include "core/entry/state.h"

namespace comfreyflow {

using detail::Phase;
using detail::Request;

Errc Entry::State::Judge(const RequestArrived& event) const {
  const RequestInfo& info = event.info;
  if (!admitting) return stop_reason;
  if (info.deadline <= now) return Errc::kDeadlineInvalid;
  if (!info.repeatable) {
    if (event.idempotency_key.empty()) return Errc::kIdempotencyKeyMissing;
    // Its first run may still go on; it must not be run again.
    if (event.resume) return Errc::kOutcomeUnknown;
  }
  if (poison.Decide(info.fingerprint, now) == PoisonDecision::kQuarantined) {
    return Errc::kQuarantined;
  }
  return Errc::kOk;
}

void Entry::State::Refuse(const RequestId& id, Errc code,
                          Duration retry_after) {
  out.push_back(MakeFinish(id, code, Info(code).outcome, retry_after));
}

void Entry::State::On(const RequestArrived& event) {
  const RequestInfo& info = event.info;
  const Errc fault = Judge(event);
  if (fault != Errc::kOk) {
    return Refuse(info.id, fault, poison.Remaining(info.fingerprint, now));
  }
  const AdmissionVerdict verdict = dispatcher.Arrived(info, now);
  if (!verdict.admitted()) {
    return Refuse(info.id, verdict.code, verdict.retry_after);
  }
  const std::uint64_t offset = event.resume ? event.resume->offset : 0;
  const auto [at, added] =
      requests.try_emplace(info.id.sequence, info, offset, settings.attempt);
  Request& request = at->second;
  deadlines.insert({info.deadline, info.id.sequence});
  if (event.resume) {
    out.push_back(CancelAttempt{event.resume->attempt, event.resume->target});
  }
  if (info.repeatable) return StartAttempt(request);
  request.phase = Phase::kClaiming;
  out.push_back(WantClaim{info.id, info.account, event.idempotency_key,
                          info.fingerprint, info.deadline});
}

void Entry::State::On(const ClaimAnswered& event) {
  Request* request = Find(event.request);
  if (request == nullptr) {
    // Given up before the answer came: nothing was or will be dispatched.
    if (event.verdict == ClaimVerdict::kClaimed) {
      out.push_back(RecordOutcome{event.request, Outcome::kNotRun});
    }
    return;
  }
  if (request->phase != Phase::kClaiming) return;
  switch (event.verdict) {
    case ClaimVerdict::kClaimed:
      request->claimed = true;
      return StartAttempt(*request);
    case ClaimVerdict::kOtherBody:
      return GiveUp(*request, Errc::kIdempotencyKeyReused);
    case ClaimVerdict::kUnavailable:
      return GiveUp(*request, Errc::kStoreUnavailable);
    case ClaimVerdict::kSeenDone:
    case ClaimVerdict::kSeenRunning:
    case ClaimVerdict::kSeenUnknown:
      return SettleSeen(*request, event.verdict);
  }
}

/// Another request with the key ran or may have run.
void Entry::State::SettleSeen(Request& request, ClaimVerdict verdict) {
  Errc code = Errc::kOutcomeUnknown;
  if (verdict == ClaimVerdict::kSeenDone) code = Errc::kAlreadyDone;
  if (verdict == ClaimVerdict::kSeenRunning) code = Errc::kAlreadyRunning;
  Settle(request, false, MakeFinish(request.info.id, code, Info(code).outcome));
}

}  // namespace comfreyflow
