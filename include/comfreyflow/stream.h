/// What the connection to a target tells of one attempt.
#pragma once

#include <cstdint>

#include "comfreyflow/errors.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

/// The connection to the target is up and the request's first byte was handed
/// to its socket.
struct StreamOpened {
  AttemptId attempt;
};

/// Bytes `[offset, offset + length)` of the answer arrived.
struct ChunkArrived {
  AttemptId attempt;
  std::uint64_t offset = 0;
  std::uint32_t length = 0;
  std::uint32_t tokens = 0;
};

/// A sign of life without content.
struct StreamHeartbeat {
  AttemptId attempt;
};

struct StreamEnded {
  AttemptId attempt;
  std::uint64_t total_bytes = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t cached_tokens = 0;
  std::uint32_t output_tokens = 0;
};

/// The attempt ended without a whole answer.
struct StreamFailed {
  AttemptId attempt;
  Errc code = Errc::kTargetFailed;
  bool not_run = false;  ///< Nothing was sent, or the target said so.
  bool crashed = false;  ///< The connection broke as if the target had died.
};

}  // namespace comfreyflow
