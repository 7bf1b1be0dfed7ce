/// The state of one request in the entry role, from its admission to its final
/// answer.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "comfreyflow/attempt.h"
#include "comfreyflow/target.h"
#include "comfreyflow/types.h"

namespace comfreyflow::detail {

enum class Phase : std::uint8_t {
  kClaiming,     ///< Waits for the result of its claim.
  kBackoff,      ///< Waits until `retry_at` before the next attempt.
  kDispatching,  ///< In the dispatcher: queued, or waiting for a grant.
  kStreaming,    ///< `OpenStream` was returned for the current attempt.
};

struct Request {
  Request(const RequestInfo& request_info, std::uint64_t offset,
          const AttemptSettings& settings)
      : info(request_info), attempt(request_info, offset, settings) {}

  RequestInfo info;
  Attempt attempt;
  Phase phase = Phase::kDispatching;
  std::vector<TargetName> targets;        ///< Targets of the current stream.
  std::vector<TargetName> tried_targets;  ///< Targets on which attempts failed.
  Time retry_at;                          ///< When the next attempt may start.
  bool has_claim = false;                 ///< Its idempotency key is claimed.
  bool has_forwarded = false;  ///< The current attempt has forwarded content.
};

}  // namespace comfreyflow::detail
