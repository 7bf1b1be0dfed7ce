/// Virtual time and the messages that pass in it, with faults on their way.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include "explore/plan.h"

namespace comfreyflow::explore {

enum class Link : std::uint8_t {
  kHostToTarget,
  kTargetToHost,
  kHostToHost,
  kWithinHost,  ///< Events on their way to a host's decisions; only delayed.
  kCount
};

inline constexpr Time kStart{std::chrono::hours(1)};

class Network {
 public:
  using Action = std::function<void()>;

  explicit Network(const Plan& plan);

  Time now() const { return now_; }
  /// Runs `action` after `delay`, whatever fails.
  void After(Duration delay, Action action);
  /// Carries a message over a link of this kind, if it arrives.
  void Send(Link link, const Action& action);
  /// Extra time of the next message of this kind; zero without a fault.
  Duration TakeDelay(Link link);
  /// Runs what is due until `end`.
  void RunUntil(Time end);

  /// Whether a fault with a length is going on for this number.
  bool Active(FaultKind kind, std::uint32_t which, std::uint32_t of) const;
  /// Uses up a fault that hits once; null when none is due.
  const Fault* Take(FaultKind kind, std::uint32_t which, std::uint32_t of);
  std::size_t injected() const;

 private:
  struct Entry {
    Fault fault;
    mutable bool hit = false;
  };

  Time now_ = kStart;
  std::uint64_t sequence_ = 0;
  std::mt19937_64 random_;
  std::map<std::pair<Time, std::uint64_t>, Action> due_;
  std::vector<Entry> faults_;
};

}  // namespace comfreyflow::explore
