/// The actor that owns this host's view of which hosts are alive.
#pragma once

#include <caf/all.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "comfreyflow/membership.h"
#include "node/actor.h"
#include "node/gossip-socket.h"
#include "node/messages.h"
#include "node/supervisor.h"
#include "platform/client.h"

namespace comfreyflow::node {

/// A verified datagram from a peer; `from` is its sender's `ip:port`.
struct DatagramArrived {
  Datagram datagram;
  std::string from;
};

/// Mark of a target that accepts no new work, to be gossiped to peers.
struct TargetMarkChanged {
  TargetMark mark;
};

/// The platform's list of hosts was read; it lags behind the gossip.
struct PlatformListed {
  std::vector<PlatformMember> hosts;
};

/// This host is about to stop; peers are to be notified.
struct LeaveRequested {};

struct MembershipHooks {
  std::function<HostFacts()> facts;
  std::function<ConfigMark()> config_mark;
  std::function<void(const MemberChanged&)> member_changed;
  std::function<void(const ConfigAnnounced&)> config_announced;
  std::function<void(const TargetMark&)> target_marked;
  /// Receives the complete view after each change of a member, and at least
  /// every `kViewPublishPeriod`.
  std::function<void(const std::map<HostName, Member>& members,
                     const std::vector<HostName>& serving)>
      view;
  /// Receives the targets of the platform's list.
  std::function<void(const std::vector<PlatformMember>&)> targets_listed;
};

struct MembershipDeps {
  MembershipSettings settings;
  std::shared_ptr<GossipSocket> socket;
  PlatformClient* platform = nullptr;  ///< Null without a platform.
  ActorRefPtr self;
  ActorRefPtr timer;
  MembershipHooks hooks;
};

inline constexpr Duration kViewPublishPeriod = std::chrono::milliseconds(500);
inline constexpr Duration kPlatformListPeriod = std::chrono::seconds(20);

class MembershipActor : public Actor {
 public:
  MembershipActor(caf::actor_config& config, MembershipDeps deps);

  caf::behavior make_behavior() override;

 private:
  void Subscribe();
  void Tick(Time now);
  void Execute(const MembershipOutput& output);
  void HandleEvent(const MemberChanged& event);
  void HandleEvent(const ConfigAnnounced& event);
  void HandleEvent(const TargetMark& event);
  void HandleEvent(const StoreEraAnnounced&) {}
  void HandleEvent(const EvacuationsAnnounced&) {}
  void HandleEvent(const SuspectMark&) {}
  void PublishView(Time now);
  void ReadPlatformList(Time now);
  nlohmann::ordered_json Dump() const;

  MembershipDeps deps_;
  Membership membership_;
  Time next_view_at_;
  Time next_list_at_;
};

}  // namespace comfreyflow::node

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::DatagramArrived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::TargetMarkChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::PlatformListed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::LeaveRequested)
