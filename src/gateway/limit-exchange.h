/// Exchange of the targets' rate limits among hosts: a host that is told of a
/// limit informs the holder of the service's placer, and a holder informs all
/// hosts, so that one that takes over, or places requests alone, knows them.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "comfreyflow/placer.h"
#include "wire/placement.h"

namespace comfreyflow::gateway {

struct LimitExchangeHooks {
  /// The limits that this host knows of a service's targets.
  std::function<TargetLimits&(const ServiceName&)> limits;
  std::function<const std::vector<PoolTarget>&(const ServiceName&)> listed;
  std::function<HostName(const ServiceName&)> holder;
  /// All live hosts.
  std::function<std::vector<HostName>()> hosts;
  std::function<wire::PlaceMessages&(const HostName&)> messages_for;
};

/// Used on one I/O thread only.
class LimitExchange {
 public:
  LimitExchange(HostName self, LimitExchangeHooks hooks)
      : self_(std::move(self)), hooks_(std::move(hooks)) {}

  /// The target named a limit in its answer to `request`.
  void OnNamed(const ServiceName& service, const PlacedTarget& target,
               double rate, const std::string& request, Time now);
  /// The target named no limit in its answer to a request sent at `sent`.
  void OnNoneNamed(const ServiceName& service, const PlacedTarget& target,
                   Time sent, const std::string& request, Time now);
  /// Applies a limit reported by another host. If that report is older than
  /// what this host knows, the newer one is sent back.
  void OnReport(const wire::TargetLimitMessage& report, const HostName& host,
                Time now);
  /// Adds all limits of a service to the messages that are sent next to the
  /// host.
  void SendAll(const ServiceName& service, const HostName& host, Time now);
  /// The messages were sent.
  void OnSend() { sent_.clear(); }
  /// Called regularly for each service whose placer this host holds.
  void Broadcast(const ServiceName& service, Time now);

 private:
  struct ServiceState {
    Time broadcast_at;  ///< When the limits are sent to all hosts again.
    bool is_changed = false;
  };

  void OnChanged(const ServiceName& service, const LimitReport& report,
                 const std::optional<double>& before, const HostName& host,
                 const std::string& request);
  /// Reports the target's limit, as known here, to the holder.
  void ReportToHolder(const ServiceName& service, const PlacedTarget& target);
  std::vector<wire::TargetLimitMessage> RecentOf(const ServiceName& service,
                                                 Time now) const;
  void Send(const std::vector<wire::TargetLimitMessage>& known,
            const HostName& host);

  const HostName self_;
  const LimitExchangeHooks hooks_;
  std::map<ServiceName, ServiceState> services_;
  /// Hosts and services for which the messages sent next contain all limits.
  std::set<std::pair<HostName, ServiceName>> sent_;
};

}  // namespace comfreyflow::gateway
