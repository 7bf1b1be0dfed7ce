/// The actor that issues orders to targets: watches what they report, and
/// carries the commands of `Orders` to the platform's store and to them.
#pragma once

#include <caf/all.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "comfreyflow/orders.h"
#include "comfreyflow/target.h"
#include "http/client.h"
#include "node/messages.h"
#include "node/supervisor.h"
#include "platform/client.h"

namespace comfreyflow::node {

/// What the targets of one class shall have, and whether this host issues the
/// orders. `service` is the first service of the class by name.
struct OrderDuty {
  ServiceName service;
  DesiredTargets desired;
  std::vector<TargetInfo> targets;
  std::uint32_t loads_at_once = 1;
  bool self = false;
};

/// Duties of a document; `hosts` are those that take duties.
std::vector<OrderDuty> OrderDutiesOf(const Config& config,
                                     const std::vector<HostName>& hosts,
                                     const HostName& self);

/// Something happened to the orders of a service.
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
  std::function<std::vector<OrderDuty>()> duties;
};

class OrdersActor : public caf::event_based_actor {
 public:
  OrdersActor(caf::actor_config& config, OrdersDeps deps);

  caf::behavior make_behavior() override;

 private:
  /// One service that this host issues for, or did.
  struct Issue {
    Orders orders;
    OrderDuty duty;
    Time next_poll;
  };

  void Subscribe();
  void Tick(Time now);
  void TakeDuty(const OrderDuty& duty, Time now);
  void Poll(const Issue& issue);
  void Run(const ServiceName& service, const OrderEvent& event);
  void Do(Issue& issue, const ReadLease& command);
  void Do(Issue& issue, const WriteLease& command);
  void Do(Issue& issue, const SendOrder& command);
  void Do(Issue& issue, const RolloutStopped& command);
  nlohmann::ordered_json Dump() const;

  OrdersDeps deps_;
  std::map<ServiceName, Issue> issues_;
};

}  // namespace comfreyflow::node

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::OrderPosted)
