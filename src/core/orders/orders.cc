// What to order next: loads staged by failure domain and paced, unloads after
// what replaces them is there.
#include "comfreyflow/orders.h"

#include <algorithm>

namespace comfreyflow {
namespace {

constexpr Duration kResendPeriod = std::chrono::seconds(5);

}  // namespace

Orders::Orders(OrderSettings settings, Time now)
    : settings_(std::move(settings)), call_began_(now), next_call_(now) {}

OrderCommands Orders::Handle(const OrderEvent& event, Time now) {
  OrderCommands out;
  std::visit([&](const auto& e) { On(e, now, out); }, event);
  return out;
}

void Orders::On(const IssuerChosen& event, Time, OrderCommands&) {
  chosen_ = event.self;
}

void Orders::On(const DesiredChanged& event, Time, OrderCommands&) {
  desired_ = event.desired;
  std::erase_if(failed_, [&](const ModelVersion& model) {
    return !desired_.models.contains(model) &&
           !desired_.adapters.contains(model);
  });
  std::erase_if(loads_, [&](const auto& load) {
    return !desired_.models.contains(load.second.model) &&
           !desired_.adapters.contains(load.second.model);
  });
}

void Orders::On(const TargetObserved& event, Time, OrderCommands&) {
  targets_[event.observed.target] = event.observed;
}

/// A target that dies over its load counts as a failure of the version.
void Orders::On(const TargetVanished& event, Time, OrderCommands& out) {
  targets_.erase(event.target);
  unloads_.erase(event.target);
  const auto load = loads_.find(event.target);
  if (load == loads_.end()) return;
  const ModelVersion model = load->second.model;
  loads_.erase(load);
  if (Proven(model)) return;
  failed_unsaved_ = failed_.insert(model).second;
  out.emplace_back(RolloutStopped{model, event.target});
}

void Orders::On(const OrderTick&, Time now, OrderCommands& out) {
  CheckLoads(now, out);
  if (holds_lease(now)) Issue(now, out);
  Lease(now, out);
}

std::set<ModelVersion> Orders::Wanted() const {
  std::set<ModelVersion> wanted = desired_.models;
  wanted.insert(desired_.adapters.begin(), desired_.adapters.end());
  for (const ModelVersion& model : failed_) wanted.erase(model);
  return wanted;
}

bool Orders::Proven(const ModelVersion& model) const {
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& entry) {
    return entry.second.models.contains(model) ||
           entry.second.adapters.contains(model);
  });
}

bool Orders::Matches(const ObservedTarget& target) const {
  for (const ModelVersion& model : Wanted()) {
    if (!target.models.contains(model) && !target.adapters.contains(model)) {
      return false;
    }
  }
  return desired_.role.empty() || target.role == desired_.role;
}

namespace {

/// Whether `model` may go: nothing wanted replaces it, or what does is there.
bool MayUnload(const ModelVersion& model, const std::set<ModelVersion>& desired,
               const std::set<ModelVersion>& present) {
  if (desired.contains(model)) return false;
  for (const ModelVersion& wanted : desired) {
    if (wanted.model == model.model) return present.contains(wanted);
  }
  return true;
}

std::vector<ModelVersion> Surplus(const std::set<ModelVersion>& desired,
                                  const std::set<ModelVersion>& present) {
  std::vector<ModelVersion> surplus;
  for (const ModelVersion& model : present) {
    if (MayUnload(model, desired, present)) surplus.push_back(model);
  }
  return surplus;
}

}  // namespace

bool Orders::converged() const {
  return std::all_of(targets_.begin(), targets_.end(), [&](const auto& entry) {
    const ObservedTarget& target = entry.second;
    return Matches(target) && Surplus(desired_.models, target.models).empty() &&
           Surplus(desired_.adapters, target.adapters).empty();
  });
}

void Orders::CheckLoads(Time now, OrderCommands& out) {
  std::vector<TargetName> over;
  for (auto& [name, load] : loads_) {
    const auto target = targets_.find(name);
    const bool there = target != targets_.end() &&
                       (target->second.models.contains(load.model) ||
                        target->second.adapters.contains(load.model));
    if (there || failed_.contains(load.model)) {
      over.push_back(name);
      continue;
    }
    if (now < load.began + kLoadTime) continue;
    over.push_back(name);
    if (Proven(load.model)) continue;
    failed_unsaved_ = failed_.insert(load.model).second || failed_unsaved_;
    out.emplace_back(RolloutStopped{load.model, name});
  }
  for (const TargetName& name : over) loads_.erase(name);
}

void Orders::Send(const ObservedTarget& target, OrderKind kind,
                  const ModelVersion& model, OrderCommands& out) {
  out.emplace_back(SendOrder{target.target, held_->version, kind, model,
                             desired_.role, held_->until});
}

/// Loads only in the first failure domain that lacks something.
void Orders::Issue(Time now, OrderCommands& out) {
  std::optional<FailureDomain> stage;
  for (const auto& [name, target] : targets_) {
    if (Matches(target)) continue;
    if (!stage || target.failure_domain < *stage) stage = target.failure_domain;
  }
  for (const auto& [name, target] : targets_) {
    if (stage && target.failure_domain == *stage) IssueFor(target, now, out);
    IssueUnloads(target, now, out);
  }
}

/// Returns whether the target is busy with an order.
bool Orders::IssueFor(const ObservedTarget& target, Time now,
                      OrderCommands& out) {
  const auto kind = [&](const ModelVersion& model) {
    return desired_.models.contains(model) ? OrderKind::kLoad
                                           : OrderKind::kLoadAdapter;
  };
  const auto load = loads_.find(target.target);
  if (load != loads_.end()) {
    if (now < load->second.sent + kResendPeriod) return true;
    load->second.sent = now;
    Send(target, kind(load->second.model), load->second.model, out);
    return true;
  }
  for (const ModelVersion& model : Wanted()) {
    if (target.models.contains(model) || target.adapters.contains(model)) {
      continue;
    }
    const bool tried = std::any_of(
        loads_.begin(), loads_.end(),
        [&](const auto& other) { return other.second.model == model; });
    if (tried && !Proven(model)) continue;
    if (loads_.size() >= settings_.max_concurrent_loads) return false;
    loads_[target.target] = {model, now, now};
    Send(target, kind(model), model, out);
    return true;
  }
  if (desired_.role.empty() || target.role == desired_.role) return false;
  const auto sent = unloads_.find(target.target);
  if (sent != unloads_.end() && now < sent->second + kResendPeriod) return true;
  unloads_[target.target] = now;
  Send(target, OrderKind::kRole, {}, out);
  return true;
}

void Orders::IssueUnloads(const ObservedTarget& target, Time now,
                          OrderCommands& out) {
  const auto models = Surplus(desired_.models, target.models);
  const auto adapters = Surplus(desired_.adapters, target.adapters);
  if (models.empty() && adapters.empty()) return;
  const auto sent = unloads_.find(target.target);
  if (sent != unloads_.end() && now < sent->second + kResendPeriod) return;
  unloads_[target.target] = now;
  for (const ModelVersion& model : models) {
    Send(target, OrderKind::kUnload, model, out);
  }
  for (const ModelVersion& model : adapters) {
    Send(target, OrderKind::kUnloadAdapter, model, out);
  }
}

}  // namespace comfreyflow
