/// Runs an event loop of a process so that an exception out of one handler does
/// not end the process.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <utility>

namespace comfreyflow::node {

/// Runs handlers until the loop is stopped or has no work. One that throws is
/// logged as `handler_failed`, and the others go on.
void RunLoop(boost::asio::io_context& io);

/// Calls an action at the end of a scope, also if an exception leaves it: a
/// handler that repeats itself goes on after a failure.
class AtExit {
 public:
  explicit AtExit(std::function<void()> action) : action_(std::move(action)) {}
  ~AtExit() { action_(); }
  AtExit(const AtExit&) = delete;
  AtExit& operator=(const AtExit&) = delete;

 private:
  std::function<void()> action_;
};

}  // namespace comfreyflow::node
