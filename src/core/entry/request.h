/// One request inside the entry role: where it stands between its arrival and
/// its final answer.
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
  kClaiming,     ///< Waits for the claim log.
  kBackoff,      ///< Waits for `wake` before the next attempt.
  kDispatching,  ///< With the dispatcher: queued, or asking stewards.
  kStreaming,    ///< `OpenStream` was given for the current attempt.
};

struct Request {
  Request(const RequestInfo& about, std::uint64_t offset,
          const AttemptSettings& settings)
      : info(about), attempt(about, offset, settings) {}

  RequestInfo info;
  Attempt attempt;
  Phase phase = Phase::kDispatching;
  std::vector<TargetName> targets;  ///< Of the current attempt's stream.
  std::vector<TargetName> tried;    ///< Targets that failed this request.
  Time wake;                        ///< Of `kBackoff`.
  bool claimed = false;
  bool first_token = false;  ///< Of the current attempt.
};

}  // namespace comfreyflow::detail
