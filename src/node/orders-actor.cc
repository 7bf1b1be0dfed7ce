// Executes the commands of `Orders`, which decides on the orders to targets.
#include "node/orders-actor.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "comfreyflow/stewardship.h"
#include "node/clock.h"
#include "node/log.h"
#include "node/target-poll.h"
#include "node/timer-service.h"

namespace comfreyflow::node {
namespace {

using comfreyflow::detail::Now;

constexpr const char* kLeaseKind = "leases";
/// Time between two reads of the models and adapters that a target has loaded.
constexpr Duration kObservationPeriod = std::chrono::seconds(3);
constexpr std::chrono::milliseconds kOrderTimeout{1000};

std::string LeaseName(const ServiceName& service) {
  return "orders-" + service.value;
}

const char* OrderKindName(OrderKind kind) {
  switch (kind) {
    case OrderKind::kLoad:
      return "load";
    case OrderKind::kUnload:
      return "unload";
    case OrderKind::kLoadAdapter:
      return "load_adapter";
    case OrderKind::kUnloadAdapter:
      return "unload_adapter";
    case OrderKind::kRole:
      return "role";
  }
  return "";
}

http::Request RequestOf(const SendOrder& order) {
  nlohmann::json body{{"fence", order.fence},
                      {"kind", OrderKindName(order.kind)}};
  if (order.kind == OrderKind::kRole) {
    body["role"] = order.role;
  } else if (order.kind == OrderKind::kLoadAdapter ||
             order.kind == OrderKind::kUnloadAdapter) {
    body["adapter"] = ToString(order.model);
  } else {
    body["model"] = order.model.model.value;
    body["version"] = order.model.version;
  }
  http::Request request;
  request.method = "POST";
  request.path = "/v1/orders";
  request.body = body.dump();
  return request;
}

OrderEvent EventOf(const ReadAnswer& answer) {
  if (answer.error == Errc::kObjectNotFound) return LeaseRead{};
  if (answer.error) return LeaseUnanswered{};
  LeaseRead read{.version = answer.object.version.revision};
  // A value that cannot be parsed as a lease has no holder and may be
  // overwritten.
  if (!ParseLease(answer.object.value, read.value)) read.value = {};
  return read;
}

OrderEvent EventOf(const WriteAnswer& answer) {
  if (answer.state == WriteState::kApplied)
    return LeaseWritten{answer.version.revision};
  const bool lost_race = answer.state == WriteState::kRefused &&
                         (answer.error == Errc::kVersionConflict ||
                          answer.error == Errc::kObjectNotFound);
  if (lost_race) return LeaseConflict{};
  return LeaseUnanswered{};
}

}  // namespace

std::vector<OrderAssignment> OrderAssignmentsOf(
    const Config& config, const std::vector<HostName>& hosts,
    const HostName& self) {
  std::map<TargetClass, OrderAssignment> by_class;
  for (const auto& [name, service] : config.services) {
    if (service.kind != TargetKind::kEngine) continue;
    OrderAssignment& assignment = by_class[service.target_class];
    if (assignment.service.value.empty()) {
      assignment.service = name;
      assignment.targets = TargetsOf(config, name);
      assignment.is_issuer = OrderIssuerOf(hosts, name) == self;
    }
    // Services that share targets also share the models and adapters loaded on
    // them.
    assignment.desired.models.insert(service.models.begin(),
                                     service.models.end());
    assignment.desired.adapters.insert(service.adapters.begin(),
                                       service.adapters.end());
  }
  std::vector<OrderAssignment> out;
  const auto classes = static_cast<std::uint32_t>(by_class.size());
  for (auto& [name, assignment] : by_class) {
    assignment.loads_at_once = std::max(1U, config.weight_loads / classes);
    out.push_back(std::move(assignment));
  }
  return out;
}

OrdersActor::OrdersActor(caf::actor_config& config, OrdersDeps deps)
    : Actor(config), deps_(std::move(deps)) {}

caf::behavior OrdersActor::make_behavior() {
  Subscribe();
  return {
      [this](const OrderPosted& message) {
        HandleEvent(message.service, message.event);
      },
      [this](const TimerTick& message) { Tick(message.now); },
      [this](const DumpRequested& message) { message.done(Dump()); },
      [this](const ActorRestarted& message) {
        if (message.name == kTimerName) Subscribe();
      },
  };
}

void OrdersActor::Subscribe() {
  deps_.timer->Send(TimerSubscribe{caf::actor(this), kOrderTick});
}

void OrdersActor::Tick(Time now) {
  for (const OrderAssignment& assignment : deps_.assignments())
    UpdateAssignment(assignment, now);
  for (auto& [service, issuer] : issuers_) {
    if (issuer.assignment.is_issuer && now >= issuer.next_poll_at) {
      issuer.next_poll_at = now + kObservationPeriod;
      Poll(issuer);
    }
    HandleEvent(service, OrderTick{});
  }
}

void OrdersActor::UpdateAssignment(const OrderAssignment& assignment,
                                   Time now) {
  auto at = issuers_.find(assignment.service);
  if (at == issuers_.end()) {
    if (!assignment.is_issuer) return;
    OrderSettings settings{.service = assignment.service,
                           .self = deps_.self_name,
                           .incarnation = deps_.incarnation,
                           .max_concurrent_loads = assignment.loads_at_once};
    at = issuers_
             .try_emplace(assignment.service,
                          IssuerState{Orders(settings, now), {}, {}})
             .first;
  }
  const OrderAssignment previous =
      std::exchange(at->second.assignment, assignment);
  if (previous.is_issuer != assignment.is_issuer)
    HandleEvent(assignment.service, IssuerChosen{assignment.is_issuer});
  HandleEvent(assignment.service, DesiredChanged{assignment.desired});
  for (const TargetInfo& old_target : previous.targets) {
    const bool remains =
        std::any_of(assignment.targets.begin(), assignment.targets.end(),
                    [&](const TargetInfo& target) {
                      return target.name == old_target.name;
                    });
    if (!remains)
      HandleEvent(assignment.service, TargetVanished{old_target.name});
  }
}

void OrdersActor::Poll(const IssuerState& issuer) {
  for (const TargetInfo& target : issuer.assignment.targets) {
    if (target.address.empty()) continue;
    ReadLoadedModels(
        *deps_.client, target,
        [self = deps_.self,
         service = issuer.assignment.service](const ObservedTarget* observed) {
          if (observed != nullptr) {
            self->Send(OrderPosted{service, TargetObserved{*observed}});
          }
        });
  }
}

void OrdersActor::HandleEvent(const ServiceName& service,
                              const OrderEvent& event) {
  const auto at = issuers_.find(service);
  if (at == issuers_.end()) return;
  for (const auto& command : at->second.orders.Handle(event, Now())) {
    std::visit([&](const auto& typed) { Execute(at->second, typed); }, command);
  }
}

void OrdersActor::Execute(IssuerState& issuer, const ReadLease&) {
  const ServiceName& service = issuer.assignment.service;
  deps_.platform->Read(kLeaseKind, LeaseName(service),
                       [self = deps_.self, service](const ReadAnswer& answer) {
                         self->Send(OrderPosted{service, EventOf(answer)});
                       });
}

void OrdersActor::Execute(IssuerState& issuer, const WriteLease& command) {
  const ServiceName& service = issuer.assignment.service;
  const auto on_written = [self = deps_.self,
                           service](const WriteAnswer& answer) {
    self->Send(OrderPosted{service, EventOf(answer)});
  };
  const std::string text = ToText(command.value);
  if (command.if_version == 0) {
    deps_.platform->Create(kLeaseKind, LeaseName(service), text, on_written);
  } else {
    deps_.platform->Update(kLeaseKind, LeaseName(service),
                           {0, command.if_version}, text, on_written);
  }
}

void OrdersActor::Execute(IssuerState& issuer, const SendOrder& command) {
  const auto& targets = issuer.assignment.targets;
  const auto target = std::find_if(
      targets.begin(), targets.end(),
      [&](const TargetInfo& info) { return info.name == command.target; });
  if (target == targets.end() || Now() >= command.not_after) return;
  LogLine(Severity::kInfo, Event::kOrderSent)
      .With("target", command.target)
      .With("kind", OrderKindName(command.kind))
      .With("model", ToString(command.model))
      .With("fence", command.fence);
  http::CallOptions options;
  options.connect_timeout = kOrderTimeout;
  options.progress_timeout = kOrderTimeout;
  deps_.client->Fetch(
      target->address, RequestOf(command), options,
      [self = deps_.self, service = issuer.assignment.service,
       name = command.target](http::CallEnd end, const http::Response& answer) {
        const int stale = Info(Errc::kStaleFence).http_status;
        if (end.code == Errc::kOk && answer.status == stale) {
          self->Send(OrderPosted{service, OrderRefused{name}});
        }
      });
}

void OrdersActor::Execute(IssuerState& issuer, const RolloutStopped& command) {
  LogLine(Severity::kError, Event::kRolloutStopped)
      .With("service", issuer.assignment.service)
      .With("model", ToString(command.model))
      .With("target", command.target);
}

nlohmann::ordered_json OrdersActor::Dump() const {
  auto list = nlohmann::ordered_json::array();
  for (const auto& [service, issuer] : issuers_) {
    auto failed = nlohmann::ordered_json::array();
    for (const auto& model : issuer.orders.failed()) {
      failed.push_back(ToString(model));
    }
    list.push_back({{"service", service.value},
                    {"issuer", issuer.assignment.is_issuer},
                    {"holds_lease", issuer.orders.holds_lease(Now())},
                    {"fence", issuer.orders.fence()},
                    {"settled", issuer.orders.converged()},
                    {"failed", std::move(failed)}});
  }
  return {{"orders", std::move(list)}};
}

}  // namespace comfreyflow::node
