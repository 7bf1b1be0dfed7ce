// Carries out the commands of the orders to targets.
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

constexpr const char* kKind = "leases";
/// Between two looks at what a target has.
constexpr Duration kObservePeriod = std::chrono::seconds(3);
constexpr std::chrono::milliseconds kOrderTimeout{1000};

std::string LeaseName(const ServiceName& service) {
  return "orders-" + service.value;
}

const char* NameOf(OrderKind kind) {
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
  nlohmann::json body{{"fence", order.fence}, {"kind", NameOf(order.kind)}};
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
  LeaseRead read{.version = answer.object.version};
  // A value that is no lease has no holder, and may be written over.
  if (!ParseLease(answer.object.value, read.value)) read.value = {};
  return read;
}

OrderEvent EventOf(const WriteAnswer& answer) {
  if (answer.state == WriteState::kApplied) return LeaseWritten{answer.version};
  const bool other = answer.state == WriteState::kRefused &&
                     (answer.error == Errc::kVersionConflict ||
                      answer.error == Errc::kObjectNotFound);
  if (other) return LeaseConflict{};
  return LeaseUnanswered{};
}

}  // namespace

std::vector<OrderDuty> OrderDutiesOf(const Config& config,
                                     const std::vector<HostName>& hosts,
                                     const HostName& self) {
  std::map<TargetClass, OrderDuty> by_class;
  for (const auto& [name, service] : config.services) {
    if (service.kind != TargetKind::kEngine) continue;
    OrderDuty& duty = by_class[service.target_class];
    if (duty.service.value.empty()) {
      duty.service = name;
      duty.targets = TargetsOf(config, name);
      duty.self = OrderIssuerOf(hosts, name) == self;
    }
    // Services that share targets share what those have loaded.
    duty.desired.models.insert(service.models.begin(), service.models.end());
    duty.desired.adapters.insert(service.adapters.begin(),
                                 service.adapters.end());
  }
  std::vector<OrderDuty> out;
  const auto classes = static_cast<std::uint32_t>(by_class.size());
  for (auto& [name, duty] : by_class) {
    duty.loads_at_once = std::max(1U, config.weight_loads / classes);
    out.push_back(std::move(duty));
  }
  return out;
}

OrdersActor::OrdersActor(caf::actor_config& config, OrdersDeps deps)
    : caf::event_based_actor(config), deps_(std::move(deps)) {}

caf::behavior OrdersActor::make_behavior() {
  Subscribe();
  return {
      [this](const OrderPosted& message) {
        Run(message.service, message.event);
      },
      [this](const TimerTick& message) { Tick(message.now); },
      [this](const DumpWanted& message) { message.done(Dump()); },
      [this](const PeerRestarted& message) {
        if (message.name == kTimerName) Subscribe();
      },
  };
}

void OrdersActor::Subscribe() {
  deps_.timer->Send(TimerSubscribe{caf::actor(this), kOrderTick});
}

void OrdersActor::Tick(Time now) {
  for (const OrderDuty& duty : deps_.duties()) TakeDuty(duty, now);
  for (auto& [service, issue] : issues_) {
    if (issue.duty.self && now >= issue.next_poll) {
      issue.next_poll = now + kObservePeriod;
      Poll(issue);
    }
    Run(service, OrderTick{});
  }
}

void OrdersActor::TakeDuty(const OrderDuty& duty, Time now) {
  auto at = issues_.find(duty.service);
  if (at == issues_.end()) {
    if (!duty.self) return;
    OrderSettings settings{.service = duty.service,
                           .self = deps_.self_name,
                           .incarnation = deps_.incarnation,
                           .max_concurrent_loads = duty.loads_at_once};
    at = issues_.try_emplace(duty.service, Issue{Orders(settings, now), {}, {}})
             .first;
  }
  const OrderDuty before = std::exchange(at->second.duty, duty);
  if (before.self != duty.self) Run(duty.service, IssuerChosen{duty.self});
  Run(duty.service, DesiredChanged{duty.desired});
  for (const TargetInfo& old : before.targets) {
    const bool stays = std::any_of(
        duty.targets.begin(), duty.targets.end(),
        [&](const TargetInfo& target) { return target.name == old.name; });
    if (!stays) Run(duty.service, TargetVanished{old.name});
  }
}

void OrdersActor::Poll(const Issue& issue) {
  for (const TargetInfo& target : issue.duty.targets) {
    if (target.address.empty()) continue;
    ReadLoaded(*deps_.client, target,
               [self = deps_.self,
                service = issue.duty.service](const ObservedTarget* seen) {
                 if (seen != nullptr) {
                   self->Send(OrderPosted{service, TargetObserved{*seen}});
                 }
               });
  }
}

void OrdersActor::Run(const ServiceName& service, const OrderEvent& event) {
  const auto at = issues_.find(service);
  if (at == issues_.end()) return;
  for (const auto& command : at->second.orders.Handle(event, Now())) {
    std::visit([&](const auto& typed) { Do(at->second, typed); }, command);
  }
}

void OrdersActor::Do(Issue& issue, const ReadLease&) {
  const ServiceName& service = issue.duty.service;
  deps_.platform->Read(kKind, LeaseName(service),
                       [self = deps_.self, service](const ReadAnswer& answer) {
                         self->Send(OrderPosted{service, EventOf(answer)});
                       });
}

void OrdersActor::Do(Issue& issue, const WriteLease& command) {
  const ServiceName& service = issue.duty.service;
  const auto written = [self = deps_.self, service](const WriteAnswer& answer) {
    self->Send(OrderPosted{service, EventOf(answer)});
  };
  const std::string text = ToText(command.value);
  if (command.if_version == 0) {
    deps_.platform->Create(kKind, LeaseName(service), text, written);
  } else {
    deps_.platform->Update(kKind, LeaseName(service), command.if_version, text,
                           written);
  }
}

void OrdersActor::Do(Issue& issue, const SendOrder& command) {
  const auto& targets = issue.duty.targets;
  const auto target = std::find_if(
      targets.begin(), targets.end(),
      [&](const TargetInfo& info) { return info.name == command.target; });
  if (target == targets.end() || Now() >= command.not_after) return;
  LogLine(Severity::kInfo, Event::kOrderSent)
      .With("target", command.target)
      .With("kind", NameOf(command.kind))
      .With("model", ToString(command.model))
      .With("fence", command.fence);
  http::CallOptions options;
  options.connect_timeout = kOrderTimeout;
  options.progress_timeout = kOrderTimeout;
  deps_.client->Fetch(
      target->address, RequestOf(command), options,
      [self = deps_.self, service = issue.duty.service, name = command.target](
          http::CallEnd end, const http::Response& answer) {
        const int stale = Info(Errc::kStaleFence).http_status;
        if (end.code == Errc::kOk && answer.status == stale) {
          self->Send(OrderPosted{service, OrderRefused{name}});
        }
      });
}

void OrdersActor::Do(Issue& issue, const RolloutStopped& command) {
  LogLine(Severity::kError, Event::kRolloutStopped)
      .With("service", issue.duty.service)
      .With("model", ToString(command.model))
      .With("target", command.target);
}

nlohmann::ordered_json OrdersActor::Dump() const {
  auto list = nlohmann::ordered_json::array();
  for (const auto& [service, issue] : issues_) {
    auto failed = nlohmann::ordered_json::array();
    for (const auto& model : issue.orders.failed()) {
      failed.push_back(ToString(model));
    }
    list.push_back({{"service", service.value},
                    {"issuer", issue.duty.self},
                    {"holds_lease", issue.orders.holds_lease(Now())},
                    {"fence", issue.orders.fence()},
                    {"settled", issue.orders.converged()},
                    {"failed", std::move(failed)}});
  }
  return {{"orders", std::move(list)}};
}

}  // namespace comfreyflow::node
