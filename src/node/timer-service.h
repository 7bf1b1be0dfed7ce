/// The timer service: parts subscribe with a period and are sent ticks.
#pragma once

#include <caf/all.hpp>
#include <vector>

#include "comfreyflow/types.h"
#include "node/messages.h"

namespace comfreyflow::node {

/// Name of the service towards `ActorRestarted`.
inline constexpr const char* kTimerName = "timer";

class TimerService : public caf::event_based_actor {
 public:
  explicit TimerService(caf::actor_config& config)
      : caf::event_based_actor(config) {}

  caf::behavior make_behavior() override;

 private:
  void Subscribe(const TimerSubscribe& wanted);
  void Fire(std::size_t index);

  std::vector<TimerSubscribe> subscriptions_;  ///< Ended ones are empty.
};

}  // namespace comfreyflow::node
