// Bounded passing on of marks.
#include "core/membership/rumours.h"

#include <algorithm>

namespace comfreyflow::detail {
namespace {

constexpr std::size_t kTargetsPerDatagram = 4;
constexpr std::size_t kSuspectsPerDatagram = 6;
constexpr std::size_t kMostSuspects = 4096;
constexpr std::size_t kMostTargets = 8192;
constexpr Duration kForgetSuspectAfter = std::chrono::minutes(30);
/// All hosts have heard of a target's mark, or listed the target, by then.
constexpr Duration kForgetTargetAfter = std::chrono::minutes(5);

/// Moves up to `most` marks with sends left into `out`, the newest first.
template <class Entries, class Marks>
void TakeNewest(Entries& entries, std::size_t most, Marks& out) {
  using Entry = typename Entries::mapped_type;
  std::vector<Entry*> ready;
  for (auto& [key, entry] : entries) {
    if (entry.sends_left > 0) ready.push_back(&entry);
  }
  std::stable_sort(ready.begin(), ready.end(),
                   [](const Entry* a, const Entry* b) {
                     return a->sends_left > b->sends_left;
                   });
  if (ready.size() > most) ready.resize(most);
  for (Entry* entry : ready) {
    --entry->sends_left;
    out.push_back(entry->mark);
  }
}

}  // namespace

bool Rumours::Learn(const TargetMark& given, int sends, Time now) {
  const auto known = targets_.find(given.target);
  TargetMark mark = given;
  if (known != targets_.end()) {
    const TargetMark& have = known->second.mark;
    const bool other_start = mark.start != 0 && mark.start != have.start;
    if (mark.start == 0) mark.start = have.start;
    // A start that leaves is news whatever the version it was seen at.
    if (other_start) mark.version = std::max(mark.version, have.version);
    if (other_start) {
      targets_[mark.target] = {mark, sends, now};
      return true;
    }
    // At one version a closing beats an opening.
    if (mark.version < have.version) return false;
    if (mark.version == have.version && (have.closed || !mark.closed)) {
      return false;
    }
  } else if (targets_.size() >= kMostTargets) {
    return false;
  }
  targets_[mark.target] = {mark, sends, now};
  return true;
}

bool Rumours::Learn(const SuspectMark& mark, int sends, Time now) {
  const auto known = suspects_.find(mark.fingerprint);
  if (known != suspects_.end()) {
    if (known->second.mark.crashes >= mark.crashes) return false;
  } else if (suspects_.size() >= kMostSuspects) {
    return false;
  }
  suspects_[mark.fingerprint] = {mark, sends, now};
  return true;
}

void Rumours::Fill(Datagram& datagram) {
  TakeNewest(targets_, kTargetsPerDatagram, datagram.targets);
  TakeNewest(suspects_, kSuspectsPerDatagram, datagram.suspects);
}

void Rumours::Expire(Time now) {
  std::erase_if(targets_, [&](const auto& entry) {
    return now >= entry.second.learned + kForgetTargetAfter;
  });
  std::erase_if(suspects_, [&](const auto& entry) {
    return now >= entry.second.learned + kForgetSuspectAfter;
  });
}

}  // namespace comfreyflow::detail
