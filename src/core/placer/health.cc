// What a placer learns of its targets: failures, trials, pace and back-offs.
#include <algorithm>

#include "comfreyflow/placer.h"

namespace comfreyflow {
namespace {

using std::chrono::milliseconds;

/// Weight of the latest sample in the moving averages of a target's pace and
/// error share.
constexpr double kSampleWeight = 0.25;
/// A failure closes a target for this long, doubled with each consecutive
/// failure.
constexpr Duration kFirstClosure = milliseconds(250);
constexpr std::uint32_t kMaxClosureDoublings = 4;
constexpr Duration kRefusalClosure = milliseconds(30);
/// A target with a higher pace is used only if no other target is free.
constexpr double kSlowPace = 1.9;
constexpr Duration kPaceLifetime = std::chrono::seconds(3);
constexpr double kMaxErrorShare = 0.3;

}  // namespace

void Placer::BackOff(const TargetName& name, const HostName& host, Time until,
                     Time now) {
  Target* target = Find(name);
  if (target == nullptr) return;
  std::erase_if(target->back_offs,
                [now](const auto& e) { return e.second <= now; });
  Time& known = target->back_offs[host];
  known = std::max(known, until);
}

bool Placer::IsBackedOff(const Target& target, const HostName& host, Time at) {
  const auto back_off = target.back_offs.find(host);
  return back_off != target.back_offs.end() && back_off->second > at;
}

/// Number of hosts that the target asked to back off.
std::size_t Placer::BackedOffHosts(const Target& target, Time now) {
  return static_cast<std::size_t>(
      std::count_if(target.back_offs.begin(), target.back_offs.end(),
                    [now](const auto& entry) { return entry.second > now; }));
}

/// Whether the target was recently slow or failing, or asked hosts to back off.
/// Such targets are used only if no other target is free.
bool Placer::IsDegraded(const Target& target, Time now) {
  const bool slow =
      target.pace > kSlowPace && now - target.pace_updated_at < kPaceLifetime;
  return slow || target.error_share > kMaxErrorShare ||
         BackedOffHosts(target, now) > 0;
}

bool Placer::IsUsable(const Target& target, const Work& work, Time now) const {
  if (!IsAvailable(target)) return false;
  if (now < target.closed_until) return false;
  if (target.failures > 0 && target.is_on_trial) return false;
  if (IsBackedOff(target, work.job.id.host, now)) return false;
  if (!HasPermit(target, now)) return false;
  return !Excluded(work, target.info.name);
}

/// Whether the target accepts new work in general, with or without free
/// capacity.
bool Placer::IsAvailable(const Target& target) {
  return target.is_listed && !target.info.leaving && !target.info.evacuated &&
         !target.is_replaced;
}

/// Whether the request may go to the target, with or without free capacity.
bool Placer::InPool(const Target& target, const Work& work) const {
  return IsAvailable(target) && !Excluded(work, target.info.name);
}

bool Placer::Excluded(const Work& work, const TargetName& name) const {
  const auto& excluded = work.job.excluded;
  return std::find(excluded.begin(), excluded.end(), name) != excluded.end();
}

/// Takes the time to the first event into the target's pace.
void Placer::UpdatePace(const Work& work, Time now) {
  if (work.estimate <= Duration::zero() || work.grant.targets.empty()) return;
  Target* target = Find(work.grant.targets.front().name);
  if (target == nullptr) return;
  const double sample =
      std::chrono::duration<double>(now - work.placed_at) / work.estimate;
  target->pace += kSampleWeight * (sample - target->pace);
  target->pace_updated_at = now;
}

void Placer::EndTrial(const Work& work) {
  if (!work.is_trial || work.grant.targets.empty()) return;
  Target* target = Find(work.grant.targets.front().name);
  if (target != nullptr) target->is_on_trial = false;
}

void Placer::UpdateHealth(const TargetName& name, WorkEnd end, Time now) {
  Target* target = Find(name);
  if (target == nullptr || end == WorkEnd::kCancelled ||
      end == WorkEnd::kUnsuited) {
    return;
  }
  const bool error = end == WorkEnd::kTargetError || end == WorkEnd::kGarbled;
  target->error_share +=
      kSampleWeight * ((error ? 1.0 : 0.0) - target->error_share);
  switch (end) {
    case WorkEnd::kDone:
    case WorkEnd::kTargetError:
    case WorkEnd::kGarbled:
    case WorkEnd::kCancelled:
    case WorkEnd::kUnsuited:
      target->failures = 0;
      return;
    case WorkEnd::kRefused:
      target->closed_until =
          std::max(target->closed_until, now + kRefusalClosure);
      return;
    case WorkEnd::kWrongTarget:
      target->is_replaced = true;
      return;
    case WorkEnd::kBroken:
    case WorkEnd::kTimedOut:
    case WorkEnd::kUnreachable:
      target->closed_until =
          now + kFirstClosure *
                    (1 << std::min(target->failures, kMaxClosureDoublings));
      ++target->failures;
      return;
  }
}

}  // namespace comfreyflow
