/// The actor that owns the view of which hosts are alive.
#pragma once

#include <caf/all.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "comfreyflow/membership.h"
#include "node/gossip-socket.h"
#include "node/messages.h"
#include "node/supervisor.h"
#include "platform/client.h"

namespace comfreyflow::node {

struct DatagramArrived {
  Datagram datagram;
  std::string from;
};

/// A target that takes no new work, for peers.
struct TargetShared {
  TargetMark mark;
};

/// The platform's lagging list was read.
struct PlatformListed {
  std::vector<PlatformMember> hosts;
};

/// This host stops now: tell peers.
struct LeaveWanted {};

struct MembershipHooks {
  std::function<HostFacts()> facts;
  std::function<ConfigMark()> config_mark;
  std::function<void(const MemberChanged&)> changed;
  std::function<void(const ConfigAnnounced&)> config_announced;
  std::function<void(const TargetMark&)> target_marked;
  /// The whole view, at least every `kViewPeriod`.
  std::function<void(const std::map<HostName, Member>& members,
                     const std::vector<HostName>& serving)>
      view;
  /// Targets as the platform's list has them.
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

inline constexpr Duration kViewPeriod = std::chrono::milliseconds(500);
inline constexpr Duration kPlatformListPeriod = std::chrono::seconds(20);

class MembershipActor : public caf::event_based_actor {
 public:
  MembershipActor(caf::actor_config& config, MembershipDeps deps);

  caf::behavior make_behavior() override;

 private:
  void Subscribe();
  void Tick(Time now);
  void CarryOut(const MembershipOutput& output);
  void On(const MemberChanged& event);
  void On(const ConfigAnnounced& event);
  void On(const TargetMark& event);
  void On(const SuspectMark&) {}
  void PublishView(Time now);
  void ReadList(Time now);
  nlohmann::ordered_json Dump() const;

  MembershipDeps deps_;
  Membership membership_;
  Time view_due_;
  Time list_due_;
};

}  // namespace comfreyflow::node

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::DatagramArrived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::TargetShared)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::PlatformListed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::LeaveWanted)
