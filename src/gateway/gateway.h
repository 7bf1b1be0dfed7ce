/// A host that relays callers' requests to targets according to routes.
/// Contains the listener for callers, the relays, the membership of the fleet,
/// and this host's part in placement.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "comfreyflow/placer.h"
#include "comfreyflow/routes.h"
#include "comfreyflow/store-readers.h"
#include "comfreyflow/target-book.h"
#include "gateway/edge.h"
#include "gateway/follower.h"
#include "gateway/peers.h"
#include "gateway/placement.h"
#include "http/client.h"
#include "node/metrics.h"

namespace comfreyflow::gateway {

struct GatewaySettings {
  HostRecord self;        ///< Contains the addresses to bind.
  std::string placement;  ///< `ip:port` for placement datagrams.
  std::vector<std::string>
      seeds;  ///< `ip:port` of other hosts' gossip sockets.
  std::uint64_t body_memory_bytes = 64 * 1024 * 1024;
  std::uint64_t answer_memory_bytes = 64 * 1024 * 1024;
  wire::FleetKey key;
  PlacerSettings placer;
  /// Time from the request to stop until the process must have exited.
  Duration stop_time = std::chrono::seconds(8);
};

struct GatewayHooks {
  EdgeHooks edge;
  /// Disturbs the paths to targets in tests; may be empty.
  http::PathHook path;
  /// Receives the route document that is in force on a peer.
  std::function<void(const std::string& text)> document_from_peer;
  /// Returns how current the target list is; if empty, the log does not say.
  std::function<KindStatus()> target_list_status;
  /// Whether a target that this host does not list, and that was granted at
  /// this version of its entry, was removed; may be empty.
  std::function<bool(const StoreVersion& entry)> is_target_removed;
  /// The era of the store that this host knows; may be empty.
  std::function<std::uint64_t()> store_era;
  /// Called when a peer knows a later era of the store; may be empty.
  std::function<void(const StoreEraAnnounced&)> store_era_announced;
  /// Whether requests may go to targets already; empty: always. Until then
  /// callers are refused.
  std::function<bool()> may_send;
  /// Called when this host, passive until now, has to read the store by itself;
  /// may be empty.
  std::function<void()> store_reading_started;
  /// The evacuations that this host knows; may be empty.
  std::function<std::optional<EvacuationState>()> evacuations;
  /// Called when a peer knows a later state of them; may be empty.
  std::function<void(const EvacuationsAnnounced&)> evacuations_announced;
  /// Called when a peer reports that a target accepts no new work.
  std::function<void(const TargetMark&)> target_marked;
  /// Called when a target reports, in its answer to `request`, that it accepts
  /// no new work; may be empty.
  std::function<void(const LeavingReport&, const std::string& request)>
      target_left;
  /// Called when the planned stop is complete and the process may exit.
  std::function<void()> stopped;
  /// Called when the view of the live hosts changed.
  std::function<void()> view_changed;
};

/// Used on one I/O thread only.
class Gateway {
 public:
  Gateway(boost::asio::io_context& io, GatewaySettings settings,
          GatewayHooks hooks);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  std::error_code Open();

  /// Puts a document in force and returns true, unless its version is not newer
  /// than the one in force. `text` is the form served to peers.
  bool Apply(RouteDocument document, std::string text);
  std::uint64_t version() const;
  /// Sets all targets, by service.
  void SetTargets(
      const std::map<ServiceName, std::vector<PoolTarget>>& targets);
  /// Informs the peers that a target accepts no new work.
  void ShareTarget(const TargetMark& mark);
  /// Sets whether this host reaches the store. A host that
  /// does not may lose its placers to other hosts.
  void SetStoreReachable(bool reachable);
  void SetListedHosts(std::vector<ListedHost> hosts);

  /// Whether this host reads the store by itself.
  StoreRole store_role() const;
  /// Whether a placer on this host currently receives placement requests, from
  /// other hosts or from itself.
  bool holds_placer() const;
  /// Whether this host accepts requests from callers.
  bool ready() const;
  /// Returns addresses of hosts for callers in a failure domain.
  std::vector<std::string> Addresses(const FailureDomain& caller) const;
  const std::map<HostName, Member>& members() const;
  /// Starts the planned stop.
  void Stop();
  std::size_t open_requests() const;
  /// Returns all metrics in the Prometheus text format: those of the gateway
  /// and `more`.
  std::string MetricsText(std::vector<node::MetricFamily> more) const;
  /// Returns the state of this process in a form meant for operators.
  nlohmann::ordered_json Dump() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace comfreyflow::gateway
