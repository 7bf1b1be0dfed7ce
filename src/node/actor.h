/// The base of all actors. CAF's library is not instrumented for the thread
/// sanitizer, so that this class tells it of the order which mailboxes give.
#pragma once

#include <caf/all.hpp>

#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#endif

namespace comfreyflow::node {

#ifdef __SANITIZE_THREAD__

/// What a thread did before it sent a message happens before the message is
/// handled, and one message is handled before the next.
class Actor : public caf::event_based_actor {
 public:
  using caf::event_based_actor::event_based_actor;

  void launch(caf::execution_unit* unit, bool lazy, bool hide) override {
    __tsan_release(this);
    caf::event_based_actor::launch(unit, lazy, hide);
  }
  void enqueue(caf::mailbox_element_ptr element,
               caf::execution_unit* unit) override {
    __tsan_release(this);
    caf::event_based_actor::enqueue(std::move(element), unit);
  }
  resume_result resume(caf::execution_unit* unit, std::size_t most) override {
    __tsan_acquire(this);
    const auto result = caf::event_based_actor::resume(unit, most);
    __tsan_release(this);
    return result;
  }
  caf::invoke_message_result consume(caf::mailbox_element& element) override {
    __tsan_acquire(this);
    const auto result = caf::event_based_actor::consume(element);
    __tsan_release(this);
    return result;
  }
};

#else

using Actor = caf::event_based_actor;

#endif

}  // namespace comfreyflow::node
