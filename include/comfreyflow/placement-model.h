/// The thresholds by which a placer assigns prompts to engines, derived from
/// what the service says of its engines and of its streams.
#pragma once

#include <cstdint>

#include "comfreyflow/routes.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

/// Part of a stream's maximum gap that is reserved for delays outside the
/// model.
inline constexpr Duration kGapMargin = std::chrono::milliseconds(60);

struct PlacementModel {
  /// Prompts with a longer prefill time on one engine count as long. Other
  /// streams on the engine pause for about this time.
  Duration max_short_prefill = std::chrono::milliseconds(200);
  /// Streams that are packed on an engine before another engine is used.
  std::uint32_t packed_streams = 13;
  /// Prefill backlog of an engine above which further short prompts wait for a
  /// free engine.
  Duration max_prefill_backlog = std::chrono::milliseconds(260);
  /// Up to this prefill backlog a short prompt joins a busy engine while a long
  /// prompt waits for free engines.
  Duration preferred_prefill_backlog = std::chrono::milliseconds(110);
  /// A short prompt joins an engine only if its prefill keeps the maximum gaps
  /// of the streams there.
  bool keeps_gaps = false;
  bool operator==(const PlacementModel&) const = default;
};

/// The default model, unless it does not keep the smallest gap of the service:
/// if the longest short prefill together with the time between two events of an
/// idle engine exceeds that gap, the thresholds follow from the gap, the
/// objective and the slots of the engine.
PlacementModel DeriveModel(const EngineModel& engine, const StreamTerms& terms);

}  // namespace comfreyflow
