/// A host that passes requests through to targets by routes: its listener for
/// callers, its relays, its peers and its part in placement.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "comfreyflow/placer.h"
#include "comfreyflow/routes.h"
#include "comfreyflow/target-book.h"
#include "gateway/edge.h"
#include "gateway/follower.h"
#include "gateway/peers.h"
#include "gateway/placement.h"
#include "node/metrics.h"

namespace comfreyflow::gateway {

struct GatewaySettings {
  HostRecord self;                 ///< With the addresses to bind.
  std::string placement;           ///< `ip:port` for datagrams about placement.
  std::vector<std::string> seeds;  ///< `ip:port` of others for gossip.
  std::uint64_t body_memory_bytes = 64 * 1024 * 1024;
  wire::FleetKey key;
  PlacerSettings placer;
  /// Time from the order to stop until the process must be gone.
  Duration stop_time = std::chrono::seconds(8);
};

struct GatewayHooks {
  EdgeHooks edge;
  /// The routes' document that a peer has in force; kOk takes it over.
  std::function<void(const std::string& text)> document_from_peer;
  /// How far the list of targets is known; absent: not told in the log.
  std::function<KindKnown()> targets_known;
  /// A peer knows that a target takes no new work.
  std::function<void(const TargetMark&)> target_marked;
  /// A target said in its answer to a request that it leaves; absent: nothing
  /// is done.
  std::function<void(const LeavingReport&, const std::string& request)>
      target_left;
  /// The stop is over; the process may exit.
  std::function<void()> stopped;
  /// The view of the hosts changed.
  std::function<void()> view_changed;
};

/// Lives on one I/O thread.
class Gateway {
 public:
  Gateway(boost::asio::io_context& io, GatewaySettings settings,
          GatewayHooks hooks);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  std::error_code Open();

  /// Takes a document in force unless a later one is; `text` is what peers are
  /// given. Whether it was taken.
  bool Apply(RouteDocument document, std::string text);
  std::uint64_t version() const;
  /// All targets, by service.
  void SetTargets(
      const std::map<ServiceName, std::vector<PoolTarget>>& targets);
  /// Tells the peers that a target takes no new work.
  void ShareTarget(const TargetMark& mark);
  /// Whether this host reaches the store; without it others hold placers.
  void SetStoreReachable(bool reachable);
  void SetListedHosts(std::vector<ListedHost> hosts);

  /// Whether this host places requests of others or its own.
  bool holds_placer() const;
  /// Whether callers shall be sent here.
  bool ready() const;
  /// Addresses for callers of a failure domain.
  std::vector<std::string> Addresses(const FailureDomain& caller) const;
  const std::map<HostName, Member>& members() const;
  /// Begins the planned stop.
  void Stop();
  std::size_t open_requests() const;
  /// Prometheus text.
  /// `more` is added to what the gateway itself counts.
  std::string MetricsText(std::vector<node::Reading> more) const;
  /// The whole state of this process, for people.
  nlohmann::ordered_json Dump() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace comfreyflow::gateway
