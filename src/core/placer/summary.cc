// The state of a placer, for logs and dumps.
#include "comfreyflow/placer.h"

namespace comfreyflow {

std::vector<Placer::TargetLoad> Placer::Loads() const {
  std::vector<TargetLoad> loads;
  for (const auto& [name, target] : targets_) {
    loads.push_back({name, target.running, target.shorts, target.long_prefills,
                     target.prefill_backlog, target.memory, target.failures,
                     target.pace, target.info.leaving || !target.is_listed,
                     target.info.evacuated,
                     limits_.RateOf(name, target.info.born)});
  }
  return loads;
}

Placer::Summary Placer::Summarize(Time now) {
  Summary out;
  out.waiting = waiting();
  out.running = running();
  out.closing = closed_to_short_.size();
  out.retries_left = retry_window_.Left(now);
  out.retries_elsewhere = retry_window_.RetriesElsewhere(now);
  if (engine_) out.reserve = EnginesForShort(now);
  for (const auto& [name, target] : targets_) {
    if (!IsAvailable(target)) continue;
    ++out.targets;
    if (now < target.closed_until || target.is_on_trial) ++out.closed;
    if (target.shorts > 0) ++out.short_engines;
    if (target.long_prefills > 0) ++out.long_engines;
    if (target.running >= target.info.slots) ++out.full;
    if (IsDegraded(target, now)) ++out.degraded;
    if (IsLimited(target)) ++out.limited;
    if (IsCold(target, now)) ++out.cold;
    out.prefill_backlog += target.prefill_backlog;
    out.memory += target.memory;
  }
  for (const auto& [id, work] : works_) {
    if (work.is_placed && !work.is_started) ++out.prefilling;
  }
  return out;
}

}  // namespace comfreyflow
