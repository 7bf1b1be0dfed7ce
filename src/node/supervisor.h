/// The supervisor of a process: starts the actors, restarts one that fails, and
/// ends the process if one actor fails more than `kMaxRestarts` times within
/// `kRestartWindow`.
#pragma once

#include <caf/all.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "comfreyflow/types.h"
#include "node/actor.h"

namespace comfreyflow::node {

/// Thread-safe reference to the current instance of an actor, which changes
/// when the supervisor restarts it. Messages are dropped while there is no
/// instance.
class ActorRef {
 public:
  caf::actor handle() const {
    const std::lock_guard lock(mutex_);
    return actor_;
  }
  void Set(caf::actor actor) {
    const std::lock_guard lock(mutex_);
    actor_ = std::move(actor);
  }
  template <class Message>
  void Send(Message message) const {
    if (const auto actor = handle()) caf::anon_send(actor, std::move(message));
  }

 private:
  mutable std::mutex mutex_;
  caf::actor actor_;
};

using ActorRefPtr = std::shared_ptr<ActorRef>;

struct ChildSpec {
  std::string name;
  ActorRefPtr ref;
  std::function<caf::actor(caf::actor_system&)> start;
};

/// The process ends if a child needs more restarts than this within
/// `kRestartWindow`.
inline constexpr std::size_t kMaxRestarts = 5;
inline constexpr Duration kRestartWindow = std::chrono::seconds(60);

class Supervisor : public Actor {
 public:
  /// Starts the children in order before it returns. `on_fatal` is called at
  /// most once, on this actor, when a child exceeds `kMaxRestarts`.
  Supervisor(caf::actor_config& config, std::vector<ChildSpec> children,
             std::function<void()> on_fatal);

  caf::behavior make_behavior() override;

 private:
  struct Child {
    ChildSpec spec;
    std::deque<Time> restarts;  ///< Within `kRestartWindow`, oldest first.
  };

  void Start(Child& child);
  void ChildDown(const caf::down_msg& down);
  void StopAll(const caf::error& reason);

  std::vector<Child> children_;
  std::function<void()> on_fatal_;
  bool stopping_ = false;
};

}  // namespace comfreyflow::node
