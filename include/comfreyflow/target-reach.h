/// Which targets a host reaches by its own connections. A host that is cut off
/// from the targets of a service sends its requests over other hosts.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "comfreyflow/types.h"

namespace comfreyflow {

/// Evidence comes from the host's own connections. A belief that a target is
/// out of reach ends by itself unless connections go on failing.
class TargetReach {
 public:
  /// A connection to the target was made, or the target answered on one.
  /// Returns whether the service was out of reach until now.
  bool RecordReached(const ServiceName& service, const std::string& address,
                     Time now);
  /// No connection to the target could be made. Returns whether the service is
  /// out of reach from now on and was not before.
  bool RecordFailed(const ServiceName& service, const std::string& address,
                    Time now);

  /// Whether a connection to the target is not worth a try: the last ones to it
  /// failed, or those to several targets of the service did and none was made
  /// since.
  bool IsOutOfReach(const ServiceName& service, const std::string& address,
                    Time now) const;
  /// Whether connections to several targets of the service failed lately and
  /// none was made since.
  bool IsServiceOutOfReach(const ServiceName& service, Time now) const;
  /// Whether it is time to find out if an unreachable target is reached again;
  /// counts the probe.
  bool TakeProbe(const ServiceName& service, Time now);

  /// When a target of the service was last reached; the epoch: never.
  Time reached_at(const ServiceName& service) const;
  /// Number of targets of the service to which connections failed lately.
  std::size_t failing(const ServiceName& service, Time now) const;
  /// Number of services that are out of reach.
  std::size_t services_out_of_reach(Time now) const;

 private:
  struct Service {
    /// When connections failed last, by the address of the target. Invariant:
    /// no connection to any of them was made since.
    std::map<std::string, Time> failed_at;
    Time reached_at;  ///< When any target of the service was last reached.
    Time probed_at;
    bool is_out_of_reach = false;  ///< As last returned.
  };

  std::map<ServiceName, Service> services_;
};

}  // namespace comfreyflow
