/// Runs the membership of this host on its I/O thread: datagrams, ticks, and
/// the view of who is alive.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
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
  std::function<void(const SuspectMark&)> suspect_marked;
};

/// Lives on one I/O thread.
class Peers {
 public:
  Peers(boost::asio::io_context& io, MembershipSettings settings,
        wire::FleetKey key, PeersHooks hooks);
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  std::error_code Open();
  /// Hosts as the platform's store lists them.
  void SetListed(std::vector<ListedHost> hosts);
  void ShareTarget(const TargetMark& mark);
  void ShareSuspect(const SuspectMark& mark);
  /// Tells others that this host stops.
  void Leave();
  const std::map<HostName, Member>& members() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace comfreyflow::gateway
