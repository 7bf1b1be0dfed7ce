/// The failure domains that operators have taken out of service. No new work
/// goes to the targets of such a domain; work that runs there finishes there.
///
/// A host knows the evacuated domains from the store, and from peers that read
/// the store later than itself. The complete state travels in each membership
/// datagram, so no single lost datagram delays it.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "comfreyflow/membership.h"
#include "comfreyflow/placer.h"
#include "comfreyflow/store-version.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

/// Size of the names of the domains that are passed on to peers, at most. It
/// leaves most of a membership datagram to what else hosts tell each other. Of
/// a state that exceeds it a part is passed on, and peers read the store.
inline constexpr std::size_t kMaxSharedDomainBytes = 160;

class Evacuations {
 public:
  /// The store was listed at `version`. A domain that was evacuated in an
  /// earlier era and that the list lacks stays evacuated for `kEraRetention`,
  /// as the copy may be older than the operator's request.
  void SetList(const StoreVersion& version,
               const std::set<FailureDomain>& domains, Time now);
  /// The entry of a domain was written or removed. Takes effect with
  /// `EndBatch`.
  void Put(const FailureDomain& domain);
  void Remove(const FailureDomain& domain);
  /// All changes up to `version` of the store have been taken.
  void EndBatch(const StoreVersion& version);
  /// A peer knows this state. Ignored if it is not later than the one known. A
  /// partial one ends no evacuation. Returns whether it was taken.
  bool Merge(const EvacuationState& state, Time now);
  /// Ends the retention of domains that an older copy of the store lacks.
  void Tick(Time now);

  /// Whether the state is known, from the store or from a peer. Until then no
  /// target may get work.
  bool is_known() const { return listed_ || told_; }
  bool IsEvacuated(const FailureDomain& domain) const {
    return in_force_.contains(domain);
  }
  const std::set<FailureDomain>& domains() const { return in_force_; }
  /// The state to pass on to peers; absent if nothing is known.
  std::optional<EvacuationState> Shared() const;

  struct Change {
    FailureDomain domain;
    bool evacuated = true;
  };
  /// Returns the changes of the domains in force since the last call.
  std::vector<Change> TakeChanges();
  /// Sets `PoolTarget::evacuated` of each target.
  void Apply(std::map<ServiceName, std::vector<PoolTarget>>& targets) const;

  /// How long a domain that an older copy of the store lacks stays evacuated,
  /// within which operators write their requests again.
  static constexpr Duration kEraRetention = std::chrono::seconds(30);

 private:
  const EvacuationState* Latest() const;
  void Retain(const EvacuationState& next, Time now);
  void EndRetention(const std::set<FailureDomain>& domains);
  void Update();

  std::optional<EvacuationState> listed_;  ///< As this host read the store.
  std::optional<EvacuationState> told_;    ///< The latest that a peer told.
  /// Domains that only an earlier era of the store had, and until when they
  /// stay evacuated unless the present era tells of them.
  std::map<FailureDomain, Time> retained_;
  /// Invariant: the domains of the later one of `listed_` and `told_`, and
  /// those of `retained_`.
  std::set<FailureDomain> in_force_;
  std::set<FailureDomain> reported_;  ///< As of the last `TakeChanges`.
};

}  // namespace comfreyflow
