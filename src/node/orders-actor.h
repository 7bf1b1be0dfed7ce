/// The actor that issues orders to targets, such as to load a model. Polls what
/// the targets have loaded, and executes the commands of `Orders` on the
/// platform's store and on the targets.
#pragma once

#include <caf/all.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "comfreyflow/orders.h"
#include "comfreyflow/target.h"
#include "http/client.h"
#include "node/actor.h"
#include "node/messages.h"
#include "node/supervisor.h"
#include "platform/client.h"

namespace comfreyflow::node {

/// The models and adapters that the targets of one class are to have loaded,
/// and whether this host is their issuer, that is, sends them orders. `service`
/// is the first service of the class by name.
struct OrderAssignment {
  ServiceName service;
  DesiredTargets desired;
  std::vector<TargetInfo> targets;
  std::uint32_t loads_at_once = 1;
  bool is_issuer = false;
};

/// Returns the assignments of a configuration; `hosts` are those eligible to be
/// issuers.
std::vector<OrderAssignment> OrderAssignmentsOf(
    const Config& config, const std::vector<HostName>& hosts,
    const HostName& self);

/// An event for the orders of a service.
struct OrderPosted {
  ServiceName service;
  OrderEvent event;
};

struct OrdersDeps {
  HostName self_name;
  Incarnation incarnation;
  http::Client* client = nullptr;
  PlatformClient* platform = nullptr;
  ActorRefPtr self;
  ActorRefPtr timer;
  std::function<std::vector<OrderAssignment>()> assignments;
};

class OrdersActor : public Actor {
 public:
  OrdersActor(caf::actor_config& config, OrdersDeps deps);

  caf::behavior make_behavior() override;

 private:
  /// State for a service of which this host is or was the issuer.
  struct IssuerState {
    Orders orders;
    OrderAssignment assignment;
    Time next_poll_at;
  };

  void Subscribe();
  void Tick(Time now);
  void UpdateAssignment(const OrderAssignment& assignment, Time now);
  void Poll(const IssuerState& issuer);
  void HandleEvent(const ServiceName& service, const OrderEvent& event);
  void Execute(IssuerState& issuer, const ReadLease& command);
  void Execute(IssuerState& issuer, const WriteLease& command);
  void Execute(IssuerState& issuer, const SendOrder& command);
  void Execute(IssuerState& issuer, const RolloutStopped& command);
  nlohmann::ordered_json Dump() const;

  OrdersDeps deps_;
  std::map<ServiceName, IssuerState> issuers_;
};

}  // namespace comfreyflow::node

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::OrderPosted)
