// Derives the thresholds of placement from the engine and the streams of a
// service.
#include "comfreyflow/placement-model.h"

#include <algorithm>

namespace comfreyflow {
namespace {

/// Divisor of an engine's slots: one slot in so many stays free for a stream
/// that arrives before another one ends.
constexpr std::uint32_t kSlotsPerFreeSlot = 5;
/// An engine with a shorter prefill slack could take next to no prompt.
constexpr Duration kMinShortPrefill = std::chrono::milliseconds(20);
/// Part of the objective left for the way to the caller and for the first
/// event.
constexpr Duration kObjectiveMargin = std::chrono::milliseconds(40);
/// Share of the longest prefill backlog up to which a prompt joins a busy
/// engine although it may have to wait behind another one.
constexpr double kPreferredShare = 0.42;

}  // namespace

PlacementModel DeriveModel(const EngineModel& engine,
                           const StreamTerms& terms) {
  PlacementModel model;
  const Duration event_time = engine.step * engine.event_tokens;
  if (terms.smallest_gap == Duration::zero() ||
      model.max_short_prefill + event_time <= terms.smallest_gap) {
    return model;
  }
  model.keeps_gaps = true;
  model.max_short_prefill =
      std::max(kMinShortPrefill, terms.smallest_gap - kGapMargin - event_time);
  model.packed_streams =
      std::max(1U, engine.slots - engine.slots / kSlotsPerFreeSlot);
  if (terms.shortest_objective > Duration::zero()) {
    model.max_prefill_backlog = std::max(
        model.max_short_prefill, terms.shortest_objective - kObjectiveMargin);
  }
  model.preferred_prefill_backlog = std::chrono::duration_cast<Duration>(
      kPreferredShare * model.max_prefill_backlog);
  return model;
}

}  // namespace comfreyflow
