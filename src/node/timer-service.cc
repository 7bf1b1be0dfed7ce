// Sends ticks to subscribers.
#include "node/timer-service.h"

#include "node/clock.h"

namespace comfreyflow::node {
namespace {

/// A subscription's time has come.
struct Due {
  std::size_t index = 0;
};

}  // namespace
}  // namespace comfreyflow::node

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::Due)

namespace comfreyflow::node {

caf::behavior TimerService::make_behavior() {
  set_down_handler([this](const caf::down_msg& down) {
    for (auto& item : subscriptions_) {
      if (item.subscriber && item.subscriber.address() == down.source) {
        item.subscriber = {};
      }
    }
  });
  return {[this](const TimerSubscribe& wanted) { Subscribe(wanted); },
          [this](const Due& due) { Fire(due.index); }};
}

void TimerService::Subscribe(const TimerSubscribe& wanted) {
  monitor(wanted.subscriber);
  subscriptions_.push_back(wanted);
  delayed_send(this, wanted.period, Due{subscriptions_.size() - 1});
}

void TimerService::Fire(std::size_t index) {
  const auto& item = subscriptions_.at(index);
  if (!item.subscriber) return;
  send(item.subscriber, TimerTick{comfreyflow::detail::Now()});
  delayed_send(this, item.period, Due{index});
}

}  // namespace comfreyflow::node
