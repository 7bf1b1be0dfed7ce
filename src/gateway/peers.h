/// Runs this host's membership protocol on its I/O thread: exchanges gossip
/// datagrams, drives the periodic tick, and keeps the view of the live hosts.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "comfreyflow/membership.h"
#include "node/gossip-socket.h"

namespace comfreyflow::gateway {

struct PeersHooks {
  std::function<HostFacts()> facts;
  std::function<ConfigMark()> config_mark;
  std::function<void(const MemberChanged&)> changed;
  std::function<void(const ConfigAnnounced&)> config_announced;
  std::function<void(const TargetMark&)> target_marked;
  /// The era of the store that this host knows; may be empty.
  std::function<std::uint64_t()> store_era;
  std::function<void(const StoreEraAnnounced&)> store_era_announced;
  /// The evacuations as this host knows them; may be empty.
  std::function<std::optional<EvacuationState>()> evacuations;
  std::function<void(const EvacuationsAnnounced&)> evacuations_announced;
};

/// Used on one I/O thread only.
class Peers {
 public:
  Peers(boost::asio::io_context& io, MembershipSettings settings,
        wire::FleetKey key, PeersHooks hooks);
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  std::error_code Open();
  /// Sets the hosts that the platform's store lists.
  void SetListed(std::vector<ListedHost> hosts);
  /// Hosts that read the store for all.
  void SetStoreReaders(std::set<HostName> readers);
  void ShareTarget(const TargetMark& mark);
  /// Announces to the other hosts that this host stops.
  void Leave();
  const std::map<HostName, Member>& members() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace comfreyflow::gateway
