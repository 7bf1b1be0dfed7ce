/// One request inside the entry role: where it stands between its arrival and
/// its final answer.
#pragma once

#include <cstdint>
#include <vector>

#include "comfreyflow/entry.h"

namespace comfreyflow::detail {

enum class Phase : std::uint8_t {
  kClaiming,  ///< Waits for the claim log.
  kQueued,    ///< Waits for a target that can take it.
  kAsking,    ///< Waits for the steward's grant.
  kOpening,   ///< `OpenStream` was given; no byte was handed to a socket yet.
  kStreaming  ///< Bytes of the request may have reached the target.
};

struct Request {
  RequestInfo info;
  std::string idempotency_key;
  Phase phase = Phase::kQueued;
  AttemptId attempt;  ///< Number 0 before the first attempt.
  std::vector<TargetName>
      targets;  ///< Of the current attempt; more for a gang.
  std::vector<TargetName> excluded;  ///< Targets that failed this request.
  std::uint64_t delivered = 0;       ///< Bytes the caller has; never shrinks.
  Time last_sign;                    ///< Last sign of life of the attempt.
  bool claimed = false;
  bool may_have_run = false;  ///< Set before a byte is sent, never cleared but
                              ///< by the target's word that it did not run.
  bool ran_before = false;    ///< The same, of earlier attempts.
  std::uint32_t attempts = 0;
};

}  // namespace comfreyflow::detail
