/// The timer service: actors subscribe with a period and receive a `TimerTick`
/// each time it elapses.
#pragma once

#include <caf/all.hpp>
#include <vector>

#include "comfreyflow/types.h"
#include "node/actor.h"
#include "node/messages.h"

namespace comfreyflow::node {

/// Name of the timer service in `ActorRestarted`.
inline constexpr const char* kTimerName = "timer";

class TimerService : public Actor {
 public:
  explicit TimerService(caf::actor_config& config) : Actor(config) {}

  caf::behavior make_behavior() override;

 private:
  void Subscribe(const TimerSubscribe& subscription);
  void SendTick(std::size_t index);

  std::vector<TimerSubscribe>
      subscriptions_;  ///< `subscriber` is null once it has ended.
};

}  // namespace comfreyflow::node
