/// Schedules a host's calls to the store for the object kinds that it follows:
/// each kind is listed, then watched, and after an outage the host resumes with
/// few calls. In a new era of the store all kinds are listed again.
///
/// A watch's connection may break without an error, so every watch is renewed
/// after a limited time. In a small fleet each host renews its watches often
/// enough by itself. In a large fleet the hosts' watches end at different
/// times, so that at any time some host learns of a change early and reports it
/// to the others, while the call rate of the whole fleet stays constant.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "comfreyflow/store-readers.h"
#include "comfreyflow/store-version.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

/// What the pause between two watches of a kind on one host depends on.
struct FleetInfo {
  std::size_t hosts = 1;  ///< Number of hosts that follow the same kinds.
  /// Limits the pause to a lower maximum. Set if this host grants targets to
  /// other hosts, or if every change carries the full document of the kind, so
  /// that several changes in one answer would saturate a small host's link.
  bool needs_short_pause = false;
  /// Whether this host follows the store by itself.
  StoreRole role = StoreRole::kOneOfAll;
};

/// Minimum time between an answer that contained changes and the next watch of
/// the same kind.
Duration PauseBetweenWatches(const FleetInfo& fleet);

class FollowPlan {
 public:
  /// `seed` should differ between hosts, so that their watches end at different
  /// times.
  FollowPlan(std::size_t kinds, std::uint64_t seed);

  /// The next call for a kind.
  struct Step {
    bool list = false;  ///< List the kind; otherwise watch it.
    Duration wait{};    ///< How long the watch waits for changes.
  };
  /// What the caller has to do after an answer or a failed call.
  struct Effect {
    bool store_lost = false;       ///< An outage of the store started.
    bool store_recovered = false;  ///< The outage ended.
    /// Pause before the kind's next step; absent if the kind waits until the
    /// store is reachable again.
    std::optional<Duration> pause;
    /// Kinds that waited for the store and continue now.
    std::vector<std::size_t> resumed;
  };

  /// The kind's next call; absent if the kind waits until the store is
  /// reachable again.
  std::optional<Step> Next(std::size_t kind, std::size_t hosts) {
    return Next(kind, FleetInfo{hosts});
  }
  std::optional<Step> Next(std::size_t kind, const FleetInfo& fleet);
  /// For a kind of which peers tell: how long this host makes no call and then
  /// asks again. Absent if a call is due, because this host reads the store or
  /// has not checked it for a while. `is_known`: peers have told the complete
  /// state, so that it need not be listed first.
  std::optional<Duration> RestTime(std::size_t kind, const FleetInfo& fleet,
                                   bool is_known, Time now);
  /// The kind was listed at `version`.
  Effect Listed(std::size_t kind, const StoreVersion& version);
  /// A watch was answered at `version`; `has_changes` if it contained changes.
  Effect Changed(std::size_t kind, const StoreVersion& version,
                 bool has_changes, const FleetInfo& fleet);
  /// The store no longer keeps all changes since the last known version; the
  /// kind is listed next.
  Effect HistoryExpired(std::size_t kind);
  /// The call got no answer, or was refused.
  Effect Failed(std::size_t kind);
  /// Reports that the local copy of the kind is older than the store's. Returns
  /// true if the open call is a watch that may wait, or if the host makes no
  /// call at present; the caller then abandons the watch and makes the next
  /// call. Otherwise the open call returns without waiting.
  bool Behind(std::size_t kind);
  /// A kind whose open call has to be abandoned. Its next step, a list, is due
  /// after `wait`.
  struct Relist {
    std::size_t kind = 0;
    Duration wait{};
  };
  /// The store is of another era. Returns the kinds to list again; lists that
  /// are under way go on. The lists of a large fleet are spread in time.
  std::vector<Relist> EraChanged(std::uint64_t era, std::size_t hosts);
  /// A peer knows the store in this era, while its answers to this host name
  /// the era `known` (0: none yet). Returns after which time to make a call
  /// that shows it, if one is worth it. The calls of a large fleet are spread.
  std::optional<Duration> EraAnnounced(std::uint64_t era, std::uint64_t known,
                                       std::size_t hosts, Time now);

  bool store_up() const { return failures_ < kOutageFailures; }
  bool listed(std::size_t kind) const { return kinds_[kind].listed; }
  const StoreVersion& version(std::size_t kind) const {
    return kinds_[kind].version;
  }

 private:
  /// Consecutive failures of non-waiting calls that count as an outage.
  static constexpr std::uint32_t kOutageFailures = 2;

  struct Kind {
    bool listed = false;
    bool is_listing = false;  ///< The open call is a list.
    bool waits_for_store = false;
    /// The open call is a watch that waits for changes.
    bool is_watching = false;
    /// The last watch was abandoned or got no answer; the next call must not
    /// wait, so that it shows whether the store answers.
    bool needs_check = false;
    /// Until when a passive host makes no call.
    std::optional<Time> rests_until;
    /// Consecutive watches that got no answer.
    std::uint32_t failed_watches = 0;
    StoreVersion version;
  };

  /// Resets the failure state after any answer of the store.
  Effect Answered(Kind& kind);
  /// Draws a time by which this host's call is put off, so that the calls of
  /// the fleet do not come at once.
  Duration DrawSpread(std::size_t hosts);
  /// Draws the time for which the next watch waits.
  Duration WatchTime(const FleetInfo& fleet);

  std::vector<Kind> kinds_;
  /// Consecutive failures of calls that did not wait.
  std::uint32_t failures_ = 0;
  std::uint64_t era_ = 0;  ///< Lists of an earlier era are not accepted.
  Time next_era_check_;    ///< Earliest time of a call for a peer's word.
  /// The only kind that calls the store during an outage.
  std::size_t probing_kind_ = 0;
  std::mt19937_64 random_;
};

/// Minimum time for which a watch waits, and its fixed wait time in a small
/// fleet. Together with `kWatchGrace` it ensures that an unresponsive
/// connection is detected within 3 s, the time after which a host is considered
/// to be connected to the store again.
inline constexpr Duration kMinWatchTime = std::chrono::milliseconds(2100);
/// How long after its wait time a watch's answer may arrive. A later one means
/// that the connection is dead or the store is slow; a call on another
/// connection shows which.
inline constexpr Duration kWatchGrace = std::chrono::milliseconds(600);
/// Mean time between two lists of a kind by the hosts of a fleet after a change
/// of the store's era.
inline constexpr Duration kRelistSpacing = std::chrono::milliseconds(2);
/// Mean time between two checks of a kind by the passive hosts of a fleet. The
/// checks of one host become rarer as the fleet grows. They find a change soon
/// if all readers lose the store without noticing.
inline constexpr Duration kPassiveCheckSpacing = std::chrono::milliseconds(300);
/// A passive host asks this often whether it has become a reader.
inline constexpr Duration kRoleCheckInterval = std::chrono::milliseconds(250);
/// Maximum time for which any watch waits.
inline constexpr Duration kMaxWatchTime = std::chrono::seconds(30);

}  // namespace comfreyflow
