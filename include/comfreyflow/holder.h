/// Selects the host that holds the placer of a service. Hosts that have run
/// longest are preferred, so that the start of a host moves no placer and the
/// end of a host moves only the placers that it held.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow {

struct HolderCandidate {
  HostName name;
  Incarnation started;           ///< Start time in wall-clock milliseconds.
  std::uint32_t capacity = 100;  ///< In hundredths of a CPU core.
  /// Was cut off from the store while most hosts were not.
  bool was_detached = false;
};

/// Returns the holder among `candidates`; an empty name if there is none. Only
/// hosts with at least half of the largest capacity are considered. Hosts that
/// were cut off are used only if there are no others, so that a host does not
/// take placers over when it comes back. Of the remaining hosts, those that
/// started within `kCohortSpan` of the earliest share the services by
/// rendezvous hash.
HostName ChooseHolder(const std::vector<HolderCandidate>& candidates,
                      const ServiceName& service);

/// State of a live host, as the host reports it.
struct HostView {
  HostName name;
  /// The host is shutting down or can't place requests yet.
  bool is_unavailable = false;
  bool is_detached = false;  ///< The host cannot reach the store.
  /// Only such a host knows whether it reaches the store. One that has not
  /// reached it since it started does not.
  bool reads_store = true;
};

/// Determines which live hosts may hold placers. A host that is cut off from
/// the store for some time loses its placers if most hosts are not cut off. If
/// the store itself is unreachable, the hosts notice it one after another and
/// no placer moves. Where only some hosts read the store, half of
/// `kStoreReaders` that have read it for `kReaderProof` count as most hosts.
class HolderEligibility {
 public:
  /// `hosts` are all live hosts. To be called several times per second.
  void Update(const std::vector<HostView>& hosts, Time now);
  /// If otherwise no host could hold placers, those that are cut off may; if
  /// there are none, all.
  bool MayHold(const HostName& host) const { return eligible_.contains(host); }
  /// The host has been cut off for `kDetachedGrace` while most hosts are not.
  bool IsExcluded(const HostName& host) const {
    return excluded_.contains(host);
  }

 private:
  std::map<HostName, Time> detached_since_;
  /// Hosts that read the store and are not cut off from it.
  std::map<HostName, Time> attached_since_;
  std::set<HostName> excluded_;
  std::set<HostName> eligible_;
};

/// A host may be cut off for this long before its placers move. If the store is
/// unreachable for all hosts, they learn it from each other within this time.
inline constexpr Duration kDetachedGrace = std::chrono::milliseconds(1800);

/// A host that becomes a reader while it is cut off notices it within this
/// time: two calls time out, and the others hear of it.
inline constexpr Duration kReaderProof = std::chrono::milliseconds(4000);

/// Hosts that are started together start within this time of each other.
inline constexpr std::chrono::milliseconds kCohortSpan{3000};

}  // namespace comfreyflow
