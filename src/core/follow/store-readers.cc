// Chooses the hosts of a large fleet that read the store.
#include "comfreyflow/store-readers.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace comfreyflow {
namespace {

std::uint64_t HashOf(const HostName& name) {
  return XXH3_64bits(name.value.data(), name.value.size());
}

/// The candidates by capacity; among those of equal capacity the first host of
/// each failure domain comes before the second one of any.
std::vector<const ReaderCandidate*> Rank(
    const std::vector<ReaderCandidate>& hosts) {
  std::vector<const ReaderCandidate*> ranked;
  for (const auto& host : hosts) ranked.push_back(&host);
  std::sort(ranked.begin(), ranked.end(), [](const auto* a, const auto* b) {
    return std::pair(HashOf(a->name), a->name) <
           std::pair(HashOf(b->name), b->name);
  });
  std::map<std::pair<std::uint32_t, FailureDomain>, std::size_t> counts;
  std::map<const ReaderCandidate*, std::size_t> turns;
  for (const auto* host : ranked) {
    turns[host] = counts[{host->capacity, host->domain}]++;
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [&turns](const auto* a, const auto* b) {
                     return std::tuple(b->capacity, turns[a]) <
                            std::tuple(a->capacity, turns[b]);
                   });
  return ranked;
}

}  // namespace

const char* ToString(StoreRole role) {
  switch (role) {
    case StoreRole::kOneOfAll:
      return "one_of_all";
    case StoreRole::kReader:
      return "reader";
    case StoreRole::kPassive:
      return "passive";
  }
  return "unknown";
}

std::set<HostName> ChooseStoreReaders(
    const std::vector<ReaderCandidate>& hosts) {
  std::set<HostName> readers;
  const bool is_small = hosts.size() <= kMaxFleetOfReaders;
  std::size_t attached = 0;
  for (const auto* host : Rank(hosts)) {
    const bool is_needed = is_small || attached < kStoreReaders;
    if (is_needed || host->holds_placer) readers.insert(host->name);
    if (is_needed && !host->is_detached) ++attached;
  }
  return readers;
}

bool StoreReaderChoice::Update(const std::map<HostName, Member>& members,
                               const Self& self, Time now) {
  std::vector<ReaderCandidate> candidates;
  for (const auto& [name, member] : members) {
    const bool is_self = name == self.name;
    // Suspects count as ended, so that another host reads in their place soon.
    // A host that has not reached the store since it started can't tell whether
    // it does.
    if (!is_self &&
        (member.state != MemberState::kAlive || member.facts.draining ||
         member.facts.unready || member.facts.generation == 0)) {
      continue;
    }
    candidates.push_back({name, member.record.failure_domain,
                          member.record.capacity, is_self && self.holds_placer,
                          is_self ? self.is_detached : member.facts.detached});
  }
  hosts_ = candidates.size();
  readers_ = ChooseStoreReaders(candidates);
  attached_.clear();
  for (const auto& host : candidates) {
    if (readers_.contains(host.name) && !host.is_detached)
      attached_.insert(host.name);
  }
  const StoreRole before = role_;
  const bool reads =
      readers_.contains(self.name) || !HearsFromReader(members, self.name, now);
  role_ = hosts_ <= kMaxFleetOfReaders ? StoreRole::kOneOfAll
          : reads                      ? StoreRole::kReader
                                       : StoreRole::kPassive;
  return role_ != before;
}

bool StoreReaderChoice::HearsFromReader(
    const std::map<HostName, Member>& members, const HostName& self,
    Time now) const {
  return std::any_of(attached_.begin(), attached_.end(), [&](const auto& name) {
    return name != self && now - members.at(name).last_seen <= kReaderSilence;
  });
}

}  // namespace comfreyflow
