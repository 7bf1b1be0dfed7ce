// Stores marks and selects those to send.
#include "core/membership/rumours.h"

#include <algorithm>

namespace comfreyflow::detail {
namespace {

constexpr std::size_t kTargetsPerDatagram = 4;
constexpr std::size_t kSuspectsPerDatagram = 6;
constexpr std::size_t kMaxSuspects = 4096;
constexpr std::size_t kMaxTargets = 8192;
constexpr Duration kSuspectRetention = std::chrono::minutes(30);
/// Within this time every host has received a target's mark or has read the
/// target's entry from the platform's list.
constexpr Duration kTargetRetention = std::chrono::minutes(5);

/// Copies up to `max_marks` marks with sends left to `out`, those with the most
/// sends left first, and counts one send for each.
template <class Entries, class Marks>
void TakeLeastSent(Entries& entries, std::size_t max_marks, Marks& out) {
  using Entry = typename Entries::mapped_type;
  std::vector<Entry*> sendable;
  for (auto& [key, entry] : entries) {
    if (entry.sends_left > 0) sendable.push_back(&entry);
  }
  std::stable_sort(sendable.begin(), sendable.end(),
                   [](const Entry* a, const Entry* b) {
                     return a->sends_left > b->sends_left;
                   });
  if (sendable.size() > max_marks) sendable.resize(max_marks);
  for (Entry* entry : sendable) {
    --entry->sends_left;
    out.push_back(entry->mark);
  }
}

}  // namespace

bool MarkDissemination::Merge(const TargetMark& received, int max_sends,
                              Time now) {
  const auto existing = targets_.find(received.target);
  TargetMark mark = received;
  if (existing != targets_.end()) {
    const TargetMark& stored = existing->second.mark;
    const bool is_new_start = mark.start != 0 && mark.start != stored.start;
    if (mark.start == 0) mark.start = stored.start;
    // A mark for another start of the target is new whatever its version.
    if (is_new_start) mark.version = std::max(mark.version, stored.version);
    if (is_new_start) {
      targets_[mark.target] = {mark, max_sends, now};
      return true;
    }
    // Of two marks with the same version, the closed one takes precedence.
    if (mark.version < stored.version) return false;
    if (mark.version == stored.version && (stored.closed || !mark.closed)) {
      return false;
    }
  } else if (targets_.size() >= kMaxTargets) {
    return false;
  }
  targets_[mark.target] = {mark, max_sends, now};
  return true;
}

bool MarkDissemination::Merge(const SuspectMark& mark, int max_sends,
                              Time now) {
  const auto existing = suspects_.find(mark.fingerprint);
  if (existing != suspects_.end()) {
    if (existing->second.mark.crashes >= mark.crashes) return false;
  } else if (suspects_.size() >= kMaxSuspects) {
    return false;
  }
  suspects_[mark.fingerprint] = {mark, max_sends, now};
  return true;
}

void MarkDissemination::AddTo(Datagram& datagram) {
  TakeLeastSent(targets_, kTargetsPerDatagram, datagram.targets);
  TakeLeastSent(suspects_, kSuspectsPerDatagram, datagram.suspects);
}

void MarkDissemination::Expire(Time now) {
  std::erase_if(targets_, [&](const auto& entry) {
    return now >= entry.second.updated_at + kTargetRetention;
  });
  std::erase_if(suspects_, [&](const auto& entry) {
    return now >= entry.second.updated_at + kSuspectRetention;
  });
}

}  // namespace comfreyflow::detail
