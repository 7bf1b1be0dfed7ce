/// Obtains targets for this host's requests. For each service one host of the
/// fleet, the holder, runs the placer that assigns targets to the requests of
/// all hosts. This class sends placement requests to the holders, runs the
/// placers that this host holds, and places requests locally when no other host
/// answers.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
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
  /// Lost the store while most other hosts kept it.
  bool was_detached = false;
  bool operator==(const PlacementPeer&) const = default;
};

/// A listed target, in the form used by grants.
struct ListedTarget {
  ServiceName service;
  PlacedTarget target;
};

/// Number of decisions of cost-aware queues.
using QueueDecisions =
    std::map<std::pair<PlanOutcome, PlanMeasure>, std::uint64_t>;

struct PlacementSettings {
  HostName self;
  Incarnation incarnation;
  FailureDomain domain;
  std::string address;  ///< `ip:port` to bind.
  wire::FleetKey key;
  PlacerSettings placer;
  /// Other hosts are configured: a host that has just started is not the whole
  /// fleet.
  bool expects_peers = false;
  /// Returns whether a target that this host does not list, and that was
  /// granted at this version of its entry, was removed; may be empty.
  std::function<bool(const StoreVersion& entry)> is_removed;
  /// Called when another host forwards a target's report that it accepts no new
  /// work; may be empty.
  std::function<void(const TargetMark&)> target_marked;
  /// Called with what another host knows of crashes; may be empty.
  std::function<void(const HostName& sender, const wire::CrashNewsMessage&)>
      crash_news;
};

/// Used on one I/O thread only.
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
  /// Sets all live hosts, including this one.
  void SetPeers(std::vector<PlacementPeer> peers);
  /// Whether this host has what it needs to assign targets. If it has not when
  /// other hosts begin to use it as the holder, it refuses nothing until they
  /// have had the time to learn this and to use another one.
  void SetAble(bool able);
  /// Drops the work of all incarnations of the host before `incarnation`.
  void Forget(const HostName& host, Incarnation incarnation);

  /// Returns a new id for a request of this host.
  RequestId NextId();
  /// Requests targets of the service. `done` is called once, possibly before
  /// this function returns, and never after `Ended`.
  void Place(const ServiceName& service, const PlaceJob& job, Callback done);
  /// Reports that the request's first event or answer head arrived.
  void Started(const RequestId& id);
  /// Reports that the request no longer uses its targets. `at` is the target
  /// that caused the end; if empty, the first granted target.
  void Ended(const RequestId& id, WorkEnd end, const TargetName& at = {});

  /// Records that the target asked this host to back off for `back_off`. This
  /// host sends it no requests during that time and informs the holders.
  void BackOffReported(const ServiceName& service, const PlacedTarget& target,
                       Duration back_off);
  /// Records the limit, in requests per second from all hosts together, that
  /// the target reported in its answer to `request`. Local placers apply it,
  /// and the holder is informed.
  void LimitReported(const ServiceName& service, const PlacedTarget& target,
                     double rate, const std::string& request);
  /// Records that the target reported no limit in its answer to a request that
  /// was sent at `sent`.
  void NoLimitReported(const ServiceName& service, const PlacedTarget& target,
                       Time sent, const std::string& request);
  /// Returns the listed target with that name and address.
  std::optional<ListedTarget> FindListed(const TargetName& name,
                                         const std::string& address) const;
  /// Returns the target of the service at that address, unless it is leaving or
  /// asked this host to back off.
  std::optional<PlacedTarget> FindAccepting(const ServiceName& service,
                                            const std::string& address) const;
  /// Number of target rate limits known to this host.
  std::size_t limited_targets() const;
  /// Number of targets that are cold now.
  std::size_t cold_targets() const;
  /// Number of grants to this host's requests made while other targets had no
  /// permit left under their limits.
  std::uint64_t grants_past_limits() const;
  /// What the cost-aware queues on this host decided.
  const QueueDecisions& queue_decisions() const;
  /// Informs the holders that a target has reported that it accepts no new
  /// work.
  void BroadcastLeaving(const TargetMark& mark);
  /// Sends what this host knows of crashes to the hosts.
  void SendCrashNews(const wire::CrashNewsMessage& news,
                     const std::vector<HostName>& hosts);
  /// The other live hosts.
  std::vector<HostName> OtherHosts() const;
  /// Returns a target, granted to a request of the service, that accepts no
  /// such requests of this host, if there is one.
  std::optional<TargetName> FindUnfitTarget(const ServiceName& service,
                                            const PlaceGrant& grant) const;
  /// Number of targets that currently ask this host to back off.
  std::size_t targets_backing_off() const;

  /// The host to which placement requests for the service are sent.
  HostName HolderOf(const ServiceName& service) const;
  /// Whether a placer on this host receives placement requests.
  bool holds_active_placer() const;
  /// State of the placers on this host that receive placement requests.
  std::map<ServiceName, Placer::Summary> PlacerSummaries();
  /// Target loads as counted by this host's placer of the service.
  std::vector<Placer::TargetLoad> Loads(const ServiceName& service) const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace comfreyflow::gateway
