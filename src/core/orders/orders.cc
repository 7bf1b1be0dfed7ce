// Chooses the next orders. Loads go to one failure domain at a time and are
// limited in number. A version is unloaded after its replacement is loaded.
#include "comfreyflow/orders.h"

#include <algorithm>

namespace comfreyflow {
namespace {

constexpr Duration kResendPeriod = std::chrono::seconds(5);

}  // namespace

Orders::Orders(OrderSettings settings, Time now)
    : settings_(std::move(settings)),
      call_started_at_(now),
      next_call_at_(now) {}

OrderCommands Orders::Handle(const OrderEvent& event, Time now) {
  OrderCommands out;
  std::visit([&](const auto& e) { On(e, now, out); }, event);
  return out;
}

void Orders::On(const IssuerChosen& event, Time, OrderCommands&) {
  is_issuer_ = event.self;
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

/// A target that is removed while it loads a version counts as a failed load,
/// unless the version is loaded on another target.
void Orders::On(const TargetVanished& event, Time, OrderCommands& out) {
  targets_.erase(event.target);
  sent_at_.erase(event.target);
  const auto load = loads_.find(event.target);
  if (load == loads_.end()) return;
  const ModelVersion model = load->second.model;
  loads_.erase(load);
  if (IsLoadedAnywhere(model)) return;
  has_unsaved_failures_ = failed_.insert(model).second;
  out.emplace_back(RolloutStopped{model, event.target});
}

void Orders::On(const OrderTick&, Time now, OrderCommands& out) {
  CheckLoads(now, out);
  if (holds_lease(now)) IssueOrders(now, out);
  AdvanceLease(now, out);
}

std::set<ModelVersion> Orders::LoadableVersions() const {
  std::set<ModelVersion> versions = desired_.models;
  versions.insert(desired_.adapters.begin(), desired_.adapters.end());
  for (const ModelVersion& model : failed_) versions.erase(model);
  return versions;
}

bool Orders::IsLoadedAnywhere(const ModelVersion& model) const {
  return std::any_of(targets_.begin(), targets_.end(), [&](const auto& entry) {
    return entry.second.models.contains(model) ||
           entry.second.adapters.contains(model);
  });
}

bool Orders::MatchesDesired(const ObservedTarget& target) const {
  for (const ModelVersion& model : LoadableVersions()) {
    if (!target.models.contains(model) && !target.adapters.contains(model)) {
      return false;
    }
  }
  return desired_.role.empty() || target.role == desired_.role;
}

namespace {

/// Whether `model` can be unloaded: it is not desired, and the desired version
/// that replaces it, if any, is loaded.
bool MayUnload(const ModelVersion& model, const std::set<ModelVersion>& desired,
               const std::set<ModelVersion>& loaded) {
  if (desired.contains(model)) return false;
  for (const ModelVersion& replacement : desired) {
    if (replacement.model == model.model) return loaded.contains(replacement);
  }
  return true;
}

std::vector<ModelVersion> Surplus(const std::set<ModelVersion>& desired,
                                  const std::set<ModelVersion>& loaded) {
  std::vector<ModelVersion> surplus;
  for (const ModelVersion& model : loaded) {
    if (MayUnload(model, desired, loaded)) surplus.push_back(model);
  }
  return surplus;
}

}  // namespace

bool Orders::converged() const {
  return std::all_of(targets_.begin(), targets_.end(), [&](const auto& entry) {
    const ObservedTarget& target = entry.second;
    return MatchesDesired(target) &&
           Surplus(desired_.models, target.models).empty() &&
           Surplus(desired_.adapters, target.adapters).empty();
  });
}

void Orders::CheckLoads(Time now, OrderCommands& out) {
  std::vector<TargetName> finished;
  for (auto& [name, load] : loads_) {
    const auto target = targets_.find(name);
    const bool is_loaded = target != targets_.end() &&
                           (target->second.models.contains(load.model) ||
                            target->second.adapters.contains(load.model));
    if (is_loaded || failed_.contains(load.model)) {
      finished.push_back(name);
      continue;
    }
    if (now < load.started_at + kLoadTimeout) continue;
    finished.push_back(name);
    if (IsLoadedAnywhere(load.model)) continue;
    has_unsaved_failures_ =
        failed_.insert(load.model).second || has_unsaved_failures_;
    out.emplace_back(RolloutStopped{load.model, name});
  }
  for (const TargetName& name : finished) loads_.erase(name);
}

void Orders::Send(const ObservedTarget& target, OrderKind kind,
                  const ModelVersion& model, OrderCommands& out) {
  out.emplace_back(SendOrder{target.target, held_->version, kind, model,
                             desired_.role, held_->usable_until});
}

/// Sends load and role orders only to the first failure domain, by name, in
/// which a target does not match; sends unload orders to all targets.
void Orders::IssueOrders(Time now, OrderCommands& out) {
  std::optional<FailureDomain> current_domain;
  for (const auto& [name, target] : targets_) {
    if (MatchesDesired(target)) continue;
    if (!current_domain || target.failure_domain < *current_domain)
      current_domain = target.failure_domain;
  }
  for (const auto& [name, target] : targets_) {
    if (current_domain && target.failure_domain == *current_domain)
      IssueLoadOrRole(target, now, out);
    IssueUnloads(target, now, out);
  }
}

/// Returns whether the target has an order in progress.
bool Orders::IssueLoadOrRole(const ObservedTarget& target, Time now,
                             OrderCommands& out) {
  const auto kind = [&](const ModelVersion& model) {
    return desired_.models.contains(model) ? OrderKind::kLoad
                                           : OrderKind::kLoadAdapter;
  };
  const auto load = loads_.find(target.target);
  if (load != loads_.end()) {
    if (now < load->second.last_sent_at + kResendPeriod) return true;
    load->second.last_sent_at = now;
    Send(target, kind(load->second.model), load->second.model, out);
    return true;
  }
  for (const ModelVersion& model : LoadableVersions()) {
    if (target.models.contains(model) || target.adapters.contains(model)) {
      continue;
    }
    const bool is_loading = std::any_of(
        loads_.begin(), loads_.end(),
        [&](const auto& other) { return other.second.model == model; });
    if (is_loading && !IsLoadedAnywhere(model)) continue;
    if (loads_.size() >= settings_.max_concurrent_loads) return false;
    loads_[target.target] = {model, now, now};
    Send(target, kind(model), model, out);
    return true;
  }
  if (desired_.role.empty() || target.role == desired_.role) return false;
  const auto sent = sent_at_.find(target.target);
  if (sent != sent_at_.end() && now < sent->second + kResendPeriod) return true;
  sent_at_[target.target] = now;
  Send(target, OrderKind::kRole, {}, out);
  return true;
}

void Orders::IssueUnloads(const ObservedTarget& target, Time now,
                          OrderCommands& out) {
  const auto models = Surplus(desired_.models, target.models);
  const auto adapters = Surplus(desired_.adapters, target.adapters);
  if (models.empty() && adapters.empty()) return;
  const auto sent = sent_at_.find(target.target);
  if (sent != sent_at_.end() && now < sent->second + kResendPeriod) return;
  sent_at_[target.target] = now;
  for (const ModelVersion& model : models) {
    Send(target, OrderKind::kUnload, model, out);
  }
  for (const ModelVersion& model : adapters) {
    Send(target, OrderKind::kUnloadAdapter, model, out);
  }
}

}  // namespace comfreyflow
