/// Finds targets for this host's requests: asks the host that holds a service's
/// placer, holds placers itself, and goes on alone when nobody answers.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "comfreyflow/placer.h"
#include "wire/placement.h"

namespace comfreyflow::gateway {

struct PlacementPeer {
  HostName name;
  std::string address;  ///< `ip:port` for datagrams about placement.
  Incarnation incarnation;
  std::uint32_t capacity = 100;  ///< In hundredths of a core.
  bool may_hold = true;          ///< Whether it may hold placers.
  bool returned = false;         ///< Was cut off while others were not.
  bool operator==(const PlacementPeer&) const = default;
};

/// A target of the list, as a grant would name it.
struct ListedTarget {
  ServiceName service;
  PlacedTarget target;
};

struct PlacementSettings {
  HostName self;
  Incarnation incarnation;
  FailureDomain domain;
  std::string address;  ///< `ip:port` to bind.
  wire::FleetKey key;
  PlacerSettings placer;
  /// The store's version up to which this host knows the list of targets;
  /// absent: it can't tell.
  std::function<std::uint64_t()> list_version;
  /// Another host knows by a target's own word that it leaves; absent: nothing
  /// is done.
  std::function<void(const TargetMark&)> target_marked;
};

/// Lives on one I/O thread.
class Placement {
 public:
  using Callback = std::function<void(const PlaceDecision&)>;

  Placement(boost::asio::io_context& io, PlacementSettings settings);
  ~Placement();
  Placement(const Placement&) = delete;
  Placement& operator=(const Placement&) = delete;

  std::error_code Open();
  void SetServices(const std::map<ServiceName, RoutedService>& services);
  void SetTargets(
      const std::map<ServiceName, std::vector<PoolTarget>>& targets);
  /// All live hosts, this one among them.
  void SetPeers(std::vector<PlacementPeer> peers);
  /// The host's starts before `incarnation` are gone, and their work.
  void Forget(const HostName& host, Incarnation incarnation);

  /// A new id for a request of this host.
  RequestId NextId();
  /// Asks for a target of the service; `done` is called once, maybe at once,
  /// unless `Ended` comes first.
  void Place(const ServiceName& service, const PlaceJob& job, Callback done);
  void Begun(const RequestId& id);
  /// `at` is the target that was the cause; empty: the first one.
  void Ended(const RequestId& id, WorkEnd end, const TargetName& at = {});

  /// The target wants no request of this host for `rest`: none is sent, and the
  /// placers that are asked hear of it.
  void ToldRest(const ServiceName& service, const PlacedTarget& target,
                Duration rest);
  /// The target named the requests a second that it takes from all hosts, in
  /// its answer to `request`: placers here keep it, and the holder hears of it.
  void ToldLimit(const ServiceName& service, const PlacedTarget& target,
                 double rate, const std::string& request);
  /// The target named none in its answer to a request that was sent at `sent`.
  void ToldNoLimit(const ServiceName& service, const PlacedTarget& target,
                   Time sent, const std::string& request);
  /// The listed target of that name at that address.
  std::optional<ListedTarget> Listed(const TargetName& name,
                                     const std::string& address) const;
  /// Limits of targets that this host knows.
  std::size_t limited() const;
  /// Grants to this host's requests while other targets had no turn left.
  std::uint64_t grants_past_limits() const;
  /// Tells the hosts that hold placers of a target that leaves by its own word.
  void ShareLeaving(const TargetMark& mark);
  /// A target of the grant that takes no request of this host by now, if any.
  std::optional<TargetName> Misfit(const PlaceGrant& grant) const;
  /// Targets that want no request of this host now.
  std::size_t resting() const;

  /// The host that is asked for the service's targets now.
  HostName HolderOf(const ServiceName& service) const;
  /// Whether a placer of this host is asked.
  bool holds() const;
  /// What the placers that are asked here believe.
  std::map<ServiceName, Placer::Summary> Held();
  /// Loads as this host's own placer of the service counts them.
  std::vector<Placer::TargetLoad> Loads(const ServiceName& service) const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace comfreyflow::gateway
