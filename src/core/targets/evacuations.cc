// The failure domains that operators have taken out of service.
#include "comfreyflow/evacuations.h"

#include <algorithm>
#include <utility>

namespace comfreyflow {

const EvacuationState* Evacuations::Latest() const {
  if (!listed_) return told_ ? &*told_ : nullptr;
  return told_ && told_->version > listed_->version ? &*told_ : &*listed_;
}

void Evacuations::SetList(const StoreVersion& version,
                          const std::set<FailureDomain>& domains, Time now) {
  const EvacuationState next{version, domains};
  Retain(next, now);
  // The store may fall back to an earlier era; peers tell theirs again.
  if (told_ && told_->version.era > version.era) told_.reset();
  listed_ = next;
  EndRetention(domains);
  Update();
}

void Evacuations::Put(const FailureDomain& domain) {
  if (!listed_) return;
  listed_->domains.insert(domain);
  EndRetention({domain});
}

void Evacuations::Remove(const FailureDomain& domain) {
  if (!listed_) return;
  listed_->domains.erase(domain);
  EndRetention({domain});
}

void Evacuations::EndBatch(const StoreVersion& version) {
  if (!listed_) return;
  listed_->version = std::max(listed_->version, version);
  Update();
}

bool Evacuations::Merge(const EvacuationState& state, Time now) {
  const EvacuationState* latest = Latest();
  if (latest != nullptr && state.version <= latest->version) return false;
  EvacuationState next = state;
  if (state.is_partial && latest != nullptr)
    next.domains.insert(latest->domains.begin(), latest->domains.end());
  Retain(next, now);
  told_ = std::move(next);
  EndRetention(state.domains);
  Update();
  return true;
}

/// Keeps the domains of another era that `next` lacks. A list of an earlier
/// era may have been under way when a peer told of the later one.
void Evacuations::Retain(const EvacuationState& next, Time now) {
  const EvacuationState* latest = Latest();
  if (latest == nullptr || next.version.era == latest->version.era) return;
  for (const auto& domain : latest->domains) {
    if (!next.domains.contains(domain))
      retained_.try_emplace(domain, now + kEraRetention);
  }
}

/// The present era tells of these domains, so that it alone counts for them.
void Evacuations::EndRetention(const std::set<FailureDomain>& domains) {
  for (const auto& domain : domains) retained_.erase(domain);
}

void Evacuations::Tick(Time now) {
  const auto ended = std::erase_if(
      retained_, [now](const auto& entry) { return entry.second <= now; });
  if (ended > 0) Update();
}

void Evacuations::Update() {
  in_force_.clear();
  if (const EvacuationState* latest = Latest()) in_force_ = latest->domains;
  for (const auto& [domain, until] : retained_) in_force_.insert(domain);
}

std::optional<EvacuationState> Evacuations::Shared() const {
  const EvacuationState* latest = Latest();
  if (latest == nullptr) return std::nullopt;
  EvacuationState shared{latest->version, {}, latest->is_partial};
  std::size_t bytes = 0;
  for (const auto& domain : latest->domains) {
    const std::size_t with = bytes + domain.value.size() + 1;
    if (with > kMaxSharedDomainBytes) {
      shared.is_partial = true;
      continue;
    }
    bytes = with;
    shared.domains.insert(domain);
  }
  return shared;
}

std::vector<Evacuations::Change> Evacuations::TakeChanges() {
  std::vector<Change> changes;
  for (const auto& domain : in_force_) {
    if (!reported_.contains(domain)) changes.push_back({domain, true});
  }
  for (const auto& domain : reported_) {
    if (!in_force_.contains(domain)) changes.push_back({domain, false});
  }
  reported_ = in_force_;
  return changes;
}

void Evacuations::Apply(
    std::map<ServiceName, std::vector<PoolTarget>>& targets) const {
  for (auto& [service, pool] : targets) {
    for (auto& target : pool) target.evacuated = IsEvacuated(target.domain);
  }
}

}  // namespace comfreyflow
