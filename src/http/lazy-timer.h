/// A deadline that is moved often and met seldom: moving it back costs a store,
/// as the timer behind it looks at it only when it fires.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>

namespace comfreyflow::http::detail {

/// Used on one strand. `expired` is called at most once for each `Arm`, at or
/// after its time, unless `Disarm` or another `Arm` comes first.
class LazyTimer {
 public:
  using Clock = boost::asio::steady_timer::clock_type;

  template <class Executor>
  explicit LazyTimer(const Executor& executor) : timer_(executor) {}

  /// `owner` is held weakly while the timer waits.
  template <class Owner>
  void Arm(std::chrono::milliseconds time, const std::weak_ptr<Owner>& owner,
           void (Owner::*expired)()) {
    deadline_ = Clock::now() + time;
    if (waiting_ && timer_.expiry() <= deadline_) return;
    Wait(owner, expired);
  }

  void Disarm() { deadline_ = Clock::time_point::max(); }
  /// Ends the wait, so that the owner is not kept in the queue of timers.
  void Cancel() {
    Disarm();
    timer_.cancel();
  }

 private:
  template <class Owner>
  void Wait(const std::weak_ptr<Owner>& owner, void (Owner::*expired)()) {
    waiting_ = true;
    timer_.expires_at(deadline_);
    timer_.async_wait(
        [this, owner, expired](const boost::system::error_code& error) {
          const auto alive = owner.lock();
          if (error || !alive) return;
          Fired(owner, alive.get(), expired);
        });
  }

  template <class Owner>
  void Fired(const std::weak_ptr<Owner>& owner, Owner* alive,
             void (Owner::*expired)()) {
    waiting_ = false;
    if (deadline_ == Clock::time_point::max()) return;
    if (Clock::now() < deadline_) return Wait(owner, expired);
    Disarm();
    (alive->*expired)();
  }

  boost::asio::steady_timer timer_;
  Clock::time_point deadline_ = Clock::time_point::max();
  bool waiting_ = false;  ///< An `async_wait` that was not replaced is open.
};

}  // namespace comfreyflow::http::detail
