/// When a host calls the store to follow kinds of objects: it lists each kind,
/// watches it, and comes back after outages with few calls.
///
/// A watch may be broken without a sign, so each one is renewed after a while.
/// In a small fleet every host renews often enough by itself; in a large one
/// the hosts' watches end at different times, so that some host always hears
/// of a change soon and tells the others, and the calls of all stay flat.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow {

/// What the pause between two watches of a host depends on.
struct FleetInfo {
  std::size_t hosts = 1;  ///< That follow the same kinds.
  /// Others are granted targets by this host, or each change tells the whole
  /// kind anew, so that several in one answer would fill a small host's link.
  bool needs_short_pause = false;
};

/// Shortest time from an answer that told of changes to the kind's next watch.
Duration PauseBetweenWatches(const FleetInfo& part);

class FollowPlan {
 public:
  /// `seed` spreads the watches of hosts.
  FollowPlan(std::size_t kinds, std::uint64_t seed);

  struct Step {
    bool list = false;  ///< Else watch, for `wait`.
    Duration wait{};
  };
  /// What follows an answer or its absence.
  struct Effect {
    bool store_lost = false;       ///< An outage began.
    bool store_recovered = false;  ///< It is over.
    /// Pause before the kind's next step; absent: it waits for the store.
    std::optional<Duration> pause;
    std::vector<std::size_t> resumed;  ///< Kinds that waited; they go on now.
  };

  /// The kind's next call; absent: it waits for the store.
  std::optional<Step> Next(std::size_t kind, std::size_t hosts);
  Effect Listed(std::size_t kind, std::uint64_t version);
  Effect Changed(std::size_t kind, std::uint64_t version, bool any,
                 const FleetInfo& part);
  /// Changes are missing: the kind is listed next.
  Effect HistoryExpired(std::size_t kind);
  /// No answer came, or a refusal.
  Effect Failed(std::size_t kind);
  /// The kind is known to be behind the store. Whether its open call is to be
  /// given up for the next one; else that call does not wait anyhow.
  bool Behind(std::size_t kind);

  bool store_up() const { return failures_ < kFailuresOfOutage; }
  bool listed(std::size_t kind) const { return kinds_[kind].listed; }
  std::uint64_t version(std::size_t kind) const { return kinds_[kind].version; }

 private:
  static constexpr std::uint32_t kFailuresOfOutage = 2;

  struct Kind {
    bool listed = false;
    bool waits_for_store = false;
    bool watching = false;   ///< The open call is a watch that waits.
    bool unsure = false;     ///< A watch ended without answer.
    std::uint32_t cuts = 0;  ///< Watches in a row that did.
    std::uint64_t version = 0;
  };

  Effect Answered(Kind& kind);
  Duration WatchTime(std::size_t hosts);

  std::vector<Kind> kinds_;
  std::uint32_t failures_ = 0;  ///< In a row, of calls that did not wait.
  std::size_t prober_ = 0;      ///< The kind that tries during an outage.
  std::mt19937_64 random_;
};

/// Longest time for which a watch of a small fleet waits. With the grace of its
/// answer a silent connection is found within the 3 s after which a host counts
/// as being in touch with the store again.
inline constexpr Duration kLeastWatchTime = std::chrono::milliseconds(2100);
/// A watch that has not answered so long after its time is on a connection that
/// is dead, or asks a store that is slow: a call on another one will tell.
inline constexpr Duration kWatchGrace = std::chrono::milliseconds(600);
/// The most that any watch waits.
inline constexpr Duration kMostWatchTime = std::chrono::seconds(30);

}  // namespace comfreyflow
