/// Follows in the store which failure domains operators have taken out of
/// service, exchanges this with the peers, and marks the targets concerned.
#pragma once

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "comfreyflow/evacuations.h"
#include "gateway/follower.h"
#include "node/metrics.h"

namespace comfreyflow::gateway {

struct DomainEvacuationHooks {
  /// The version of the store at its last answer for the followed kind.
  std::function<StoreVersion()> version;
  /// The domains in force have changed, or have become known.
  std::function<void()> changed;
  /// A peer knows more than it could tell: the kind has to be read.
  std::function<void()> is_behind;
  /// Number of listed targets in a domain; absent if none were listed yet.
  std::function<std::optional<std::size_t>(const FailureDomain&)> targets_in;
};

/// Used on one I/O thread only.
class DomainEvacuations {
 public:
  /// `kind`: the kind of the store's objects, one for each evacuated domain and
  /// named like it. Their content is not read.
  DomainEvacuations(std::string kind, DomainEvacuationHooks hooks);

  FollowedKind Followed();
  void OnPeerState(const EvacuationsAnnounced& announced);
  std::optional<EvacuationState> Shared() const {
    return evacuations_.Shared();
  }
  /// Whether the evacuated domains are known. Until then no target may be used.
  bool is_known() const { return evacuations_.is_known(); }
  void Tick(Time now);
  /// Marks the targets in evacuated domains.
  void Apply(std::map<ServiceName, std::vector<PoolTarget>>& targets) const {
    evacuations_.Apply(targets);
  }
  node::MetricFamily Metric() const;
  nlohmann::ordered_json Dump() const;

 private:
  /// Logs what has changed and reports it. `host`: the peer that told it.
  void Publish(const HostName& host = {});

  const std::string kind_;
  const DomainEvacuationHooks hooks_;
  Evacuations evacuations_;
  bool was_known_ = false;
};

}  // namespace comfreyflow::gateway
