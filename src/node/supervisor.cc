// Starts, monitors and restarts the actors of a process.
#include "node/supervisor.h"

#include "node/clock.h"
#include "node/log.h"
#include "node/messages.h"

namespace comfreyflow::node {

Supervisor::Supervisor(caf::actor_config& config,
                       std::vector<ChildSpec> children,
                       std::function<void()> on_fatal)
    : Actor(config), on_fatal_(std::move(on_fatal)) {
  set_down_handler([this](const caf::down_msg& down) { ChildDown(down); });
  set_exit_handler([this](const caf::exit_msg& exit) { StopAll(exit.reason); });
  for (auto& spec : children) children_.push_back({std::move(spec), {}});
  for (auto& child : children_) Start(child);
}

caf::behavior Supervisor::make_behavior() {
  return {[](const ActorRestarted&) {}};
}

void Supervisor::Start(Child& child) {
  const auto actor = child.spec.start(system());
  monitor(actor);
  child.spec.ref->Set(actor);
}

void Supervisor::ChildDown(const caf::down_msg& down) {
  if (stopping_) return;
  for (auto& child : children_) {
    if (child.spec.ref->handle().address() != down.source) continue;
    const Time now = comfreyflow::detail::Now();
    LogLine(Severity::kError, Event::kActorFailed)
        .With("actor", child.spec.name)
        .With("reason", caf::to_string(down.reason));
    auto& restarts = child.restarts;
    while (!restarts.empty() && restarts.front() + kRestartWindow < now) {
      restarts.pop_front();
    }
    restarts.push_back(now);
    if (restarts.size() > kMaxRestarts) {
      on_fatal_();
      return StopAll(caf::exit_reason::kill);
    }
    Start(child);
    for (auto& other : children_) {
      if (&other != &child)
        other.spec.ref->Send(ActorRestarted{child.spec.name});
    }
    return;
  }
}

void Supervisor::StopAll(const caf::error& reason) {
  stopping_ = true;
  for (auto child = children_.rbegin(); child != children_.rend(); ++child) {
    send_exit(child->spec.ref->handle(), reason);
    child->spec.ref->Set({});
  }
  quit(reason);
}

}  // namespace comfreyflow::node
