// Selects the holders of placers.
#include "comfreyflow/holder.h"

#include <algorithm>

#include "comfreyflow/stewardship.h"
#include "comfreyflow/store-readers.h"

namespace comfreyflow {

HostName ChooseHolder(const std::vector<HolderCandidate>& candidates,
                      const ServiceName& service) {
  if (candidates.empty()) return {};
  const auto largest =
      std::max_element(candidates.begin(), candidates.end(),
                       [](const HolderCandidate& a, const HolderCandidate& b) {
                         return a.capacity < b.capacity;
                       });
  std::vector<HolderCandidate> eligible;
  for (const auto& candidate : candidates) {
    if (2 * candidate.capacity >= largest->capacity)
      eligible.push_back(candidate);
  }
  const bool any_stayed =
      std::any_of(eligible.begin(), eligible.end(),
                  [](const HolderCandidate& c) { return !c.was_detached; });
  if (any_stayed) {
    std::erase_if(eligible,
                  [](const HolderCandidate& c) { return c.was_detached; });
  }
  const auto first =
      std::min_element(eligible.begin(), eligible.end(),
                       [](const HolderCandidate& a, const HolderCandidate& b) {
                         return a.started < b.started;
                       });
  const auto last =
      first->started.value + static_cast<std::uint64_t>(kCohortSpan.count());
  std::vector<HostName> cohort;
  for (const auto& candidate : eligible) {
    if (candidate.started.value <= last) cohort.push_back(candidate.name);
  }
  return RankHosts(cohort, "placer " + service.value, 1).front();
}

void HolderEligibility::Update(const std::vector<HostView>& hosts, Time now) {
  std::map<HostName, Time> since;
  std::map<HostName, Time> attached;
  std::size_t readers = 0;
  for (const auto& host : hosts) {
    if (host.reads_store || host.is_detached) ++readers;
    if (!host.is_detached) {
      if (!host.reads_store) continue;
      const auto before = attached_since_.find(host.name);
      attached[host.name] =
          before == attached_since_.end() ? now : before->second;
      continue;
    }
    const auto before = detached_since_.find(host.name);
    since[host.name] = before == detached_since_.end() ? now : before->second;
  }
  detached_since_ = std::move(since);
  attached_since_ = std::move(attached);
  const auto proven = std::count_if(
      attached_since_.begin(), attached_since_.end(),
      [now](const auto& entry) { return now - entry.second > kReaderProof; });
  // Of a large fleet, all detached hosts are known, but only the few readers
  // are known to be attached.
  const bool has_passive = readers < hosts.size();
  const bool most_attached =
      2 * detached_since_.size() < readers ||
      (has_passive && static_cast<std::size_t>(proven) >= kStoreReaders / 2);
  excluded_.clear();
  eligible_.clear();
  for (const auto& host : hosts) {
    const auto at = detached_since_.find(host.name);
    if (most_attached && at != detached_since_.end() &&
        now - at->second > kDetachedGrace) {
      excluded_.insert(host.name);
    } else if (!host.is_unavailable) {
      eligible_.insert(host.name);
    }
  }
  if (!eligible_.empty()) return;
  // A host that is cut off still knows targets.
  for (const auto& host : hosts) {
    if (!host.is_unavailable) eligible_.insert(host.name);
  }
  if (!eligible_.empty()) return;
  for (const auto& host : hosts) eligible_.insert(host.name);
}

}  // namespace comfreyflow
