// Crash evidence by fingerprint, and what follows from it.
#include "comfreyflow/poison.h"

#include <algorithm>

namespace comfreyflow {

Poison::Poison(PoisonSettings settings) : settings_(settings) {}

std::vector<CrashEvidence> Poison::TargetCrashed(
    const TargetName& target, const std::vector<std::uint64_t>& running,
    Time now) {
  std::vector<CrashEvidence> fresh;
  for (const std::uint64_t fingerprint : running) {
    const CrashEvidence evidence{fingerprint, target};
    if (AddEvidence(evidence, now)) fresh.push_back(evidence);
  }
  return fresh;
}

bool Poison::AddEvidence(const CrashEvidence& evidence, Time now) {
  const auto old = entries_.find(evidence.fingerprint);
  if (old != entries_.end() && old->second.until <= now) entries_.erase(old);
  if (!entries_.contains(evidence.fingerprint)) MakeRoom();
  Entry& entry = entries_[evidence.fingerprint];
  if (!entry.crashed.insert(evidence.target).second) return false;
  const bool quarantined = entry.crashed.size() >= settings_.crash_limit;
  entry.until =
      now + (quarantined ? settings_.quarantine_time : settings_.suspect_time);
  return true;
}

void Poison::Finished(std::uint64_t fingerprint) {
  const auto at = entries_.find(fingerprint);
  if (at == entries_.end()) return;
  if (at->second.crashed.size() < settings_.crash_limit) entries_.erase(at);
}

void Poison::Clear(std::uint64_t fingerprint) { entries_.erase(fingerprint); }

PoisonDecision Poison::Decide(std::uint64_t fingerprint, Time now) const {
  const auto at = entries_.find(fingerprint);
  if (at == entries_.end() || at->second.until <= now) {
    return PoisonDecision::kAllowed;
  }
  return at->second.crashed.size() >= settings_.crash_limit
             ? PoisonDecision::kQuarantined
             : PoisonDecision::kIsolated;
}

std::vector<TargetName> Poison::CrashedTargets(
    std::uint64_t fingerprint) const {
  const auto at = entries_.find(fingerprint);
  if (at == entries_.end()) return {};
  return {at->second.crashed.begin(), at->second.crashed.end()};
}

Duration Poison::Remaining(std::uint64_t fingerprint, Time now) const {
  if (Decide(fingerprint, now) != PoisonDecision::kQuarantined) return {};
  return entries_.at(fingerprint).until - now;
}

void Poison::Tick(Time now) {
  std::erase_if(entries_,
                [now](const auto& item) { return item.second.until <= now; });
}

void Poison::MakeRoom() {
  if (entries_.size() < settings_.max_fingerprints) return;
  const auto earlier = [](const auto& a, const auto& b) {
    return a.second.until < b.second.until;
  };
  entries_.erase(std::min_element(entries_.begin(), entries_.end(), earlier));
}

}  // namespace comfreyflow
