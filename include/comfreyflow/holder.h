/// Which host holds the placer of a service. Hosts that have run longest are
/// taken first, so that a start moves nothing and a host's end moves only what
/// it held.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow {

struct HolderCandidate {
  HostName name;
  Incarnation started;           ///< In milliseconds of wall time.
  std::uint32_t capacity = 100;  ///< In hundredths of a core.
  bool was_detached = false;     ///< Was cut off while others were not.
};

/// The holder among `candidates`; an empty name when there is none. Only hosts
/// with at least half of the largest capacity are taken; of them those that
/// were not cut off, if there are any, so that a host which comes back takes
/// nothing over; of those the ones that started within `kCohortSpan` of the
/// earliest share the services by rendezvous hash.
HostName ChooseHolder(const std::vector<HolderCandidate>& candidates,
                      const ServiceName& service);

/// A live host as it says of itself.
struct HostView {
  HostName name;
  bool is_unavailable = false;  ///< It stops, or knows no configuration yet.
  bool is_detached = false;     ///< It does not reach the store.
};

/// Which live hosts may hold placers. A host that is cut off from the store for
/// a while loses its duties if most hosts are not; when the store itself is
/// away, hosts hear of each other's loss one by one and nothing moves.
class HolderEligibility {
 public:
  /// `hosts`: all live ones; called a few times a second.
  void Update(const std::vector<HostView>& hosts, Time now);
  /// All may if none could otherwise.
  bool MayHold(const HostName& host) const { return eligible_.contains(host); }
  /// It is cut off while most hosts are not, and has been for a while.
  bool IsExcluded(const HostName& host) const {
    return excluded_.contains(host);
  }

 private:
  std::map<HostName, Time> detached_since_;
  std::set<HostName> excluded_;
  std::set<HostName> eligible_;
};

/// A host is cut off for so long before its duties move: hosts hear within it
/// that the store is away for all of them.
inline constexpr Duration kDetachedGrace = std::chrono::milliseconds(1800);

/// Hosts that are started together begin within this time of each other.
inline constexpr std::chrono::milliseconds kCohortSpan{3000};

}  // namespace comfreyflow
