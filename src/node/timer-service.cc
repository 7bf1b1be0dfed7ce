// Sends periodic ticks to subscribers.
#include "node/timer-service.h"

#include "node/clock.h"

namespace comfreyflow::node {
namespace {

/// The period of the subscription at `index` has elapsed.
struct PeriodElapsed {
  std::size_t index = 0;
};

}  // namespace
}  // namespace comfreyflow::node

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::PeriodElapsed)

namespace comfreyflow::node {

caf::behavior TimerService::make_behavior() {
  set_down_handler([this](const caf::down_msg& down) {
    for (auto& subscription : subscriptions_) {
      if (subscription.subscriber &&
          subscription.subscriber.address() == down.source) {
        subscription.subscriber = {};
      }
    }
  });
  return {
      [this](const TimerSubscribe& subscription) { Subscribe(subscription); },
      [this](const PeriodElapsed& elapsed) { SendTick(elapsed.index); }};
}

void TimerService::Subscribe(const TimerSubscribe& subscription) {
  monitor(subscription.subscriber);
  subscriptions_.push_back(subscription);
  delayed_send(this, subscription.period,
               PeriodElapsed{subscriptions_.size() - 1});
}

void TimerService::SendTick(std::size_t index) {
  const auto& subscription = subscriptions_.at(index);
  if (!subscription.subscriber) return;
  send(subscription.subscriber, TimerTick{comfreyflow::detail::Now()});
  delayed_send(this, subscription.period, PeriodElapsed{index});
}

}  // namespace comfreyflow::node
