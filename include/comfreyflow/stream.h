/// Events that the connection to a target emits about one attempt.
#pragma once

#include <cstdint>

#include "comfreyflow/errors.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

/// The connection to the target is established and the first byte of the
/// request was written to its socket.
struct StreamOpened {
  AttemptId attempt;
};

/// Bytes `[offset, offset + length)` of the response arrived.
struct ChunkArrived {
  AttemptId attempt;
  std::uint64_t offset = 0;
  std::uint32_t length = 0;
  std::uint32_t tokens = 0;
};

/// The target sent a heartbeat without content.
struct StreamHeartbeat {
  AttemptId attempt;
};

/// The response is complete.
struct StreamEnded {
  AttemptId attempt;
  std::uint64_t total_bytes = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
  std::uint32_t output_tokens = 0;
};

/// The attempt ended without a complete response.
struct StreamFailed {
  AttemptId attempt;
  Errc code = Errc::kTargetFailed;
  bool not_run = false;  ///< Nothing was sent, or the target reported so.
  bool crashed = false;  ///< The connection broke as after a target crash.
};

}  // namespace comfreyflow
