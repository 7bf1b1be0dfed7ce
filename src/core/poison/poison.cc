// Tracks crash evidence per request fingerprint and derives quarantine
// decisions.
#include "comfreyflow/poison.h"

#include <algorithm>

namespace comfreyflow {

Poison::Poison(PoisonSettings settings) : settings_(settings) {}

std::vector<CrashEvidence> Poison::TargetCrashed(
    const TargetName& target, const std::vector<std::uint64_t>& running,
    Time now) {
  std::vector<CrashEvidence> added;
  for (const std::uint64_t fingerprint : running) {
    const CrashEvidence evidence{fingerprint, target};
    if (AddEvidence(evidence, now)) added.push_back(evidence);
  }
  return added;
}

bool Poison::AddEvidence(const CrashEvidence& evidence, Time now) {
  const auto it = entries_.find(evidence.fingerprint);
  if (it != entries_.end() && it->second.expires_at <= now) entries_.erase(it);
  if (!entries_.contains(evidence.fingerprint)) EvictIfFull();
  Entry& entry = entries_[evidence.fingerprint];
  if (!entry.targets.insert(evidence.target).second) return false;
  const bool quarantined = entry.targets.size() >= settings_.crash_limit;
  entry.expires_at =
      now + (quarantined ? settings_.quarantine_time : settings_.suspect_time);
  return true;
}

void Poison::Finished(std::uint64_t fingerprint) {
  const auto at = entries_.find(fingerprint);
  if (at == entries_.end()) return;
  if (at->second.targets.size() < settings_.crash_limit) entries_.erase(at);
}

void Poison::Clear(std::uint64_t fingerprint) { entries_.erase(fingerprint); }

PoisonDecision Poison::Decide(std::uint64_t fingerprint, Time now) const {
  const auto at = entries_.find(fingerprint);
  if (at == entries_.end() || at->second.expires_at <= now) {
    return PoisonDecision::kAllowed;
  }
  return at->second.targets.size() >= settings_.crash_limit
             ? PoisonDecision::kQuarantined
             : PoisonDecision::kIsolated;
}

std::vector<TargetName> Poison::CrashedTargets(
    std::uint64_t fingerprint) const {
  const auto at = entries_.find(fingerprint);
  if (at == entries_.end()) return {};
  return {at->second.targets.begin(), at->second.targets.end()};
}

Duration Poison::Remaining(std::uint64_t fingerprint, Time now) const {
  if (Decide(fingerprint, now) != PoisonDecision::kQuarantined) return {};
  return entries_.at(fingerprint).expires_at - now;
}

void Poison::Tick(Time now) {
  std::erase_if(entries_, [now](const auto& item) {
    return item.second.expires_at <= now;
  });
}

void Poison::EvictIfFull() {
  if (entries_.size() < settings_.max_fingerprints) return;
  const auto expires_earlier = [](const auto& a, const auto& b) {
    return a.second.expires_at < b.second.expires_at;
  };
  entries_.erase(
      std::min_element(entries_.begin(), entries_.end(), expires_earlier));
}

}  // namespace comfreyflow
