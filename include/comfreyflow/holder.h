/// Which host holds the placer of a service. Hosts that have run longest are
/// taken first, so that a start moves nothing and a host's end moves only what
/// it held.
#pragma once

#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow {

struct HolderCandidate {
  HostName name;
  Incarnation started;           ///< In milliseconds of wall time.
  std::uint32_t capacity = 100;  ///< In hundredths of a core.
  bool returned = false;         ///< Was cut off while others were not.
};

/// The holder among `candidates`; an empty name when there is none. Only hosts
/// with at least half of the largest capacity are taken; of them those that
/// were not cut off, if there are any, so that a host which comes back takes
/// nothing over; of those the ones that started within `kCohortSpan` of the
/// earliest share the services by rendezvous hash.
HostName ChooseHolder(const std::vector<HolderCandidate>& candidates,
                      const ServiceName& service);

/// Hosts that are started together begin within this time of each other.
inline constexpr std::chrono::milliseconds kCohortSpan{3000};

}  // namespace comfreyflow
