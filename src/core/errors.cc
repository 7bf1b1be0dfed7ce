// The error table and the `std::error_category` based on it.
#include "comfreyflow/errors.h"

#include <array>
#include <string>

namespace comfreyflow {
namespace {

struct Row {
  Errc code;
  ErrorInfo info;
};

constexpr Outcome kNotRun = Outcome::kNotRun;
constexpr Outcome kFailed = Outcome::kFailed;
constexpr Outcome kUnknown = Outcome::kUnknown;

// clang-format off
constexpr auto kRows = std::to_array<Row>({
    {Errc::kOk, {"ok", 200, Outcome::kDone, false, "No error."}},
    {Errc::kMissingKey, {"missing_key", 401, kNotRun, false, "The request carries no key, or not exactly one in the expected scheme."}},
    {Errc::kUnknownKey, {"unknown_key", 401, kNotRun, false, "The bearer key belongs to no client account."}},
    {Errc::kNotAllowed, {"not_allowed", 403, kNotRun, false, "The client account may not use this service, model or request."}},
    {Errc::kBodyTooLarge, {"body_too_large", 413, kNotRun, false, "The body is over the host's limit for one request."}},
    {Errc::kHeadersTooLarge, {"headers_too_large", 431, kNotRun, false, "The header section is over the limit."}},
    {Errc::kMalformedHttp, {"malformed_http", 400, kNotRun, false, "The bytes received are not an HTTP/1.1 request."}},
    {Errc::kMalformedJson, {"malformed_json", 400, kNotRun, false, "The body is not valid JSON, or nested too deeply."}},
    {Errc::kMalformedRequest, {"malformed_request", 400, kNotRun, false, "A field or header is missing or has a wrong type or value."}},
    {Errc::kRequestTimeout, {"request_timeout", 408, kNotRun, true, "The complete request was not received in time."}},
    {Errc::kNotFound, {"not_found", 404, kNotRun, false, "No resource exists at this path."}},
    {Errc::kMethodNotAllowed, {"method_not_allowed", 405, kNotRun, false, "The path does not support this method."}},
    {Errc::kUnknownService, {"unknown_service", 404, kNotRun, false, "The configuration has no such service."}},
    {Errc::kUnknownModel, {"unknown_model", 404, kNotRun, false, "The configuration has no such model."}},
    {Errc::kPromptTooLong, {"prompt_too_long", 422, kNotRun, false, "The prompt needs more memory than the largest gang of engines has."}},
    {Errc::kDeadlineInvalid, {"deadline_invalid", 400, kNotRun, false, "The deadline is malformed or already past."}},
    {Errc::kIdempotencyKeyMissing, {"idempotency_key_missing", 400, kNotRun, false, "A request that is not repeatable needs an idempotency key."}},
    {Errc::kIdempotencyKeyReused, {"idempotency_key_reused", 409, kNotRun, false, "The idempotency key was used before with another body."}},
    {Errc::kResumeTokenInvalid, {"resume_token_invalid", 400, kNotRun, false, "The resume token is malformed, forged or belongs to another client account."}},
    {Errc::kResumeTokenExpired, {"resume_token_expired", 410, kUnknown, false, "The resume window of the request has expired."}},
    {Errc::kRateLimited, {"rate_limited", 429, kNotRun, true, "The client account is over its token rate."}},
    {Errc::kConcurrencyLimited, {"concurrency_limited", 429, kNotRun, true, "The client account has too many tokens in flight."}},
    {Errc::kOverloaded, {"overloaded", 503, kNotRun, true, "The system is too busy for work of this urgency."}},
    {Errc::kBodyMemoryFull, {"body_memory_full", 503, kNotRun, true, "The host has no memory left for another body of this size."}},
    {Errc::kDeadlineInfeasible, {"deadline_infeasible", 503, kNotRun, true, "The request cannot finish within its deadline."}},
    {Errc::kQueueTimeout, {"queue_timeout", 503, kNotRun, true, "No target became available before the request had to start."}},
    {Errc::kDraining, {"draining", 503, kNotRun, true, "This host is stopping; send the request to another host."}},
    {Errc::kCutOff, {"cut_off", 503, kNotRun, true, "This host cannot confirm that its configuration is current."}},
    {Errc::kNoConfiguration, {"no_configuration", 503, kNotRun, true, "This host has no configuration yet."}},
    {Errc::kStoreUnavailable, {"store_unavailable", 503, kNotRun, true, "The platform's store cannot record the idempotency key."}},
    {Errc::kQuarantined, {"quarantined", 422, kNotRun, true, "The request is suspected of crashing targets and is quarantined."}},
    {Errc::kNoTarget, {"no_target", 503, kNotRun, true, "No target of the service can take the request."}},
    {Errc::kTargetsLimited, {"targets_limited", 503, kNotRun, true, "The targets are at their limit of requests per second, and a permit for the request would come too late."}},
    {Errc::kDeadlineExceeded, {"deadline_exceeded", 504, kFailed, true, "The deadline passed before the answer was complete."}},
    {Errc::kTargetFailed, {"target_failed", 502, kFailed, true, "The target ended the request with an error."}},
    {Errc::kTargetRefused, {"target_refused", 503, kNotRun, true, "The target reported that it did not run the request."}},
    {Errc::kTargetUnreachable, {"target_unreachable", 503, kNotRun, true, "No connection to the target could be established."}},
    {Errc::kTargetUnresponsive, {"target_silent", 504, kUnknown, true, "The target stopped responding."}},
    {Errc::kAnswerGap, {"answer_gap", 502, kFailed, true, "Part of the answer is missing and could not be fetched again."}},
    {Errc::kCancelled, {"cancelled", 499, kFailed, false, "The caller cancelled the request."}},
    {Errc::kOutcomeUnknown, {"outcome_unknown", 409, kUnknown, false, "The request may have run; it is not run again."}},
    {Errc::kAlreadyRunning, {"already_running", 409, kUnknown, true, "A request with this idempotency key is still running."}},
    {Errc::kAlreadyDone, {"already_done", 409, Outcome::kDone, false, "A request with this idempotency key has already completed; it is not run again."}},
    {Errc::kSettingsInvalid, {"settings_invalid", 500, kNotRun, false, "The host's settings are not valid."}},
    {Errc::kConfigInvalid, {"config_invalid", 422, kNotRun, false, "The configuration document is not valid."}},
    {Errc::kConfigConflict, {"config_conflict", 409, kNotRun, false, "The configuration was changed by another operator."}},
    {Errc::kPromoteUnproven, {"promote_unproven", 409, kNotRun, false, "The document was not in force on every host of the trial environment."}},
    {Errc::kBadSignature, {"bad_signature", 401, kNotRun, false, "The message is not signed with the fleet key."}},
    {Errc::kPeerUnreachable, {"peer_unreachable", 502, kNotRun, true, "The other host is unreachable."}},
    {Errc::kPeerRefused, {"peer_refused", 502, kNotRun, true, "The other host refused the call."}},
    {Errc::kCodec, {"codec", 400, kNotRun, false, "A message between hosts could not be decoded."}},
    {Errc::kPlatformUnavailable, {"platform_unavailable", 503, kNotRun, true, "The platform's store does not respond."}},
    {Errc::kPlatformRateLimited, {"platform_rate_limited", 503, kNotRun, true, "The host has used up its local budget of store calls."}},
    {Errc::kVersionConflict, {"version_conflict", 409, kNotRun, true, "The object does not have the version that the update expects."}},
    {Errc::kObjectNotFound, {"object_not_found", 404, kNotRun, false, "The store has no such object."}},
    {Errc::kStaleFence, {"stale_fence", 409, kNotRun, false, "The order carries an outdated fencing number."}},
    {Errc::kNotSteward, {"not_steward", 409, kNotRun, true, "This host is not the steward of the target."}},
    {Errc::kHostStopped, {"host_stopped", 502, kUnknown, true, "The host stopped before the target had answered; the request may have run."}},
    {Errc::kInternal, {"internal", 500, kUnknown, false, "An unexpected error occurred on the host."}},
});
// clang-format on

constexpr bool RowsFollowCodes() {
  for (std::size_t i = 0; i < kRows.size(); ++i) {
    if (static_cast<std::size_t>(kRows[i].code) != i) return false;
  }
  return true;
}
static_assert(RowsFollowCodes(),
              "kRows needs one row per code, in the order of Errc");
static_assert(kRows.size() == static_cast<std::size_t>(Errc::kInternal) + 1);

class ErrorCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "comfreyflow"; }
  std::string message(int value) const override {
    return Info(static_cast<Errc>(value)).message;
  }
};

}  // namespace

const ErrorInfo& Info(Errc code) {
  const auto index = static_cast<std::size_t>(code);
  return index < kRows.size() ? kRows[index].info : kRows.back().info;
}

int ErrorCount() { return static_cast<int>(kRows.size()); }

const std::error_category& Category() {
  static const ErrorCategory category;
  return category;
}

std::error_code make_error_code(Errc code) {
  return {static_cast<int>(code), Category()};
}

Errc ToErrc(const std::error_code& error) {
  if (!error) return Errc::kOk;
  if (error.category() != Category()) return Errc::kInternal;
  return static_cast<Errc>(error.value());
}

}  // namespace comfreyflow
