/// Every failure of the product as one `std::error_code` value, with what a
/// caller is told of it.
#pragma once

#include <system_error>

#include "comfreyflow/types.h"

namespace comfreyflow {

/// Each failure that a caller, an operator or a peer can be told. The table in
/// errors.cc gives name, HTTP status, outcome and retry advice of each;
/// docs/ERRORS.md lists them for callers.
enum class Errc {
  kOk = 0,
  // Faults of the request: answered at the door.
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
  // Refusals of policy: nothing ran.
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
  // Ends of admitted requests.
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
  // Operators, peers and the platform.
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
  kInternal,
};

/// What a caller is told of an error.
struct ErrorInfo {
  const char* name;  ///< Stable code on the wire, snake case.
  int http_status;   ///< Status of the HTTP answer.
  Outcome outcome;   ///< What is known of the request unless the attempt knows
                     ///< better.
  bool retry;        ///< Whether the same request may succeed later.
  const char* message;  ///< One sentence for people; never part of a request.
};

/// The table's row of an error.
const ErrorInfo& Info(Errc code);
/// Number of codes, `kOk` among them.
int ErrorCount();

const std::error_category& Category();
std::error_code make_error_code(Errc code);
/// The code of this category in `error`, or `kInternal` for foreign ones.
Errc ToErrc(const std::error_code& error);

}  // namespace comfreyflow

template <>
struct std::is_error_code_enum<comfreyflow::Errc> : std::true_type {};
