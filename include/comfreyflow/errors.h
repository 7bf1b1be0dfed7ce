/// Error codes as `std::error_code` values, and how each is reported to
/// callers.
#pragma once

#include <system_error>

#include "comfreyflow/types.h"

namespace comfreyflow {

/// Errors that are reported to callers, operators or other hosts. The table in
/// errors.cc defines the name, HTTP status, outcome and retry advice of each.
/// docs/ERRORS.md documents them for callers.
enum class Errc {
  kOk = 0,
  // Invalid requests, rejected on receipt.
  kMissingKey,
  kUnknownKey,
  kNotAllowed,
  kBodyTooLarge,
  kHeadersTooLarge,
  kMalformedHttp,
  kMalformedJson,
  kMalformedRequest,
  kRequestTimeout,
  kNotFound,
  kMethodNotAllowed,
  kUnknownService,
  kUnknownModel,
  kPromptTooLong,
  kDeadlineInvalid,
  kIdempotencyKeyMissing,
  kIdempotencyKeyReused,
  kResumeTokenInvalid,
  kResumeTokenExpired,
  // Valid requests that the host does not run.
  kRateLimited,
  kConcurrencyLimited,
  kOverloaded,
  kBodyMemoryFull,
  kDeadlineInfeasible,
  kQueueTimeout,
  kDraining,
  kCutOff,
  kNoConfiguration,
  kStoreUnavailable,
  kQuarantined,
  kNoTarget,
  kTargetsLimited,
  // Results of admitted requests.
  kDeadlineExceeded,
  kTargetFailed,
  kTargetRefused,
  kTargetUnreachable,
  kTargetUnresponsive,
  kAnswerGap,
  kCancelled,
  kOutcomeUnknown,
  kAlreadyRunning,
  kAlreadyDone,
  // Errors of operator commands, calls between hosts and platform calls.
  kSettingsInvalid,
  kConfigInvalid,
  kConfigConflict,
  kPromoteUnproven,
  kBadSignature,
  kPeerUnreachable,
  kPeerRefused,
  kCodec,
  kPlatformUnavailable,
  kPlatformRateLimited,
  kVersionConflict,
  kObjectNotFound,
  kStaleFence,
  kNotSteward,
  kHostStopped,
  kInternal,
};

/// How an error is reported to a caller.
struct ErrorInfo {
  const char* name;  ///< Stable code on the wire, in snake case.
  int http_status;   ///< Status of the HTTP response.
  Outcome outcome;   ///< Outcome to report unless the attempt has a more exact
                     ///< one.
  bool retry;        ///< Whether a retry of the request may succeed.
  const char* message;  ///< One sentence for people; contains no data of a
                        ///< request.
};

/// Returns the table entry of `code`, or of `kInternal` for an unknown value.
const ErrorInfo& Info(Errc code);
/// Number of codes, including `kOk`.
int ErrorCount();

const std::error_category& Category();
std::error_code make_error_code(Errc code);
/// Returns the `Errc` of `error`, or `kInternal` if it has another category.
Errc ToErrc(const std::error_code& error);

}  // namespace comfreyflow

template <>
struct std::is_error_code_enum<comfreyflow::Errc> : std::true_type {};
