// Times of calls to the store.
#include "comfreyflow/follow-plan.h"

#include <algorithm>
#include <utility>

namespace comfreyflow {
namespace {

using std::chrono::milliseconds;

constexpr Duration kFirstRetry = milliseconds(50);
/// With the time for which lapsed entries are used after an outage less than
/// the 3 s after which a host counts as being in touch.
constexpr Duration kLongestRetry = milliseconds(600);
/// Before the first list a host can't serve at all.
constexpr Duration kLongestFirstRetry = milliseconds(300);
constexpr std::uint32_t kMostDoublings = 8;
/// Shortest time between two watches of a kind, so that a storm of changes
/// comes in few answers. It grows with the hosts, which keeps the calls of all
/// of them flat, up to a part of the time in which changes must be in force.
constexpr Duration kPausePerHost = milliseconds(10);
constexpr Duration kLeastPause = milliseconds(60);
constexpr Duration kMostPause = milliseconds(1800);
constexpr Duration kMostPauseOfSoon = milliseconds(600);
/// Mean time between two renewals of a kind's watches in the whole fleet.
constexpr Duration kRenewalInFleet = milliseconds(200);

Duration Doubled(Duration time, std::uint32_t doublings, Duration most) {
  return std::min(most, time * (1 << std::min(doublings, kMostDoublings)));
}

}  // namespace

Duration PauseBetweenWatches(const FleetInfo& part) {
  return std::clamp(static_cast<int>(part.hosts) * kPausePerHost, kLeastPause,
                    part.needs_short_pause ? kMostPauseOfSoon : kMostPause);
}

FollowPlan::FollowPlan(std::size_t kinds, std::uint64_t seed)
    : kinds_(kinds), random_(seed) {}

/// Even over a range that begins at the least time, so that of many hosts whose
/// watches began together some end soon. Where the longest time binds, so many
/// hosts take it that the others are enough.
Duration FollowPlan::WatchTime(std::size_t hosts) {
  constexpr Duration kMostMean = (kLeastWatchTime + kMostWatchTime) / 2;
  const Duration wanted = static_cast<int>(hosts) * kRenewalInFleet;
  const Duration mean = std::clamp(wanted, kLeastWatchTime, kMostMean);
  const Duration most = 2 * mean - kLeastWatchTime;
  using Real = std::chrono::duration<double>;
  const double needed =
      std::min(1.0, Real(kMostWatchTime - kLeastWatchTime) / Real(wanted));
  if (!std::bernoulli_distribution(needed)(random_)) return kMostWatchTime;
  std::uniform_int_distribution<Duration::rep> draw(kLeastWatchTime.count(),
                                                    most.count());
  return Duration(draw(random_));
}

std::optional<FollowPlan::Step> FollowPlan::Next(std::size_t index,
                                                 std::size_t hosts) {
  Kind& kind = kinds_[index];
  if (!store_up() && index != prober_) {
    kind.waits_for_store = true;
    return std::nullopt;
  }
  if (!kind.listed) return Step{true, {}};
  // A call that has to tell whether the store answers must not wait.
  if (failures_ > 0 || kind.unsure) return Step{};
  kind.watching = true;
  return Step{false, WatchTime(hosts)};
}

FollowPlan::Effect FollowPlan::Answered(Kind& kind) {
  Effect effect;
  kind.unsure = false;
  if (std::exchange(kind.watching, false)) kind.cuts = 0;
  effect.store_recovered = !store_up();
  failures_ = 0;
  for (std::size_t i = 0; effect.store_recovered && i < kinds_.size(); ++i) {
    if (std::exchange(kinds_[i].waits_for_store, false)) {
      effect.resumed.push_back(i);
    }
  }
  effect.pause = Duration::zero();
  return effect;
}

FollowPlan::Effect FollowPlan::Listed(std::size_t index,
                                      std::uint64_t version) {
  Kind& kind = kinds_[index];
  kind.listed = true;
  kind.version = version;
  return Answered(kind);
}

FollowPlan::Effect FollowPlan::Changed(std::size_t index, std::uint64_t version,
                                       bool any, const FleetInfo& part) {
  Kind& kind = kinds_[index];
  kind.version = std::max(kind.version, version);
  Effect effect = Answered(kind);
  // After an outage more may have changed than the first answer told.
  if (any && !effect.store_recovered) effect.pause = PauseBetweenWatches(part);
  return effect;
}

FollowPlan::Effect FollowPlan::HistoryExpired(std::size_t index) {
  kinds_[index].listed = false;
  kinds_[index].watching = false;
  Effect effect;
  effect.pause = Duration::zero();
  return effect;
}

FollowPlan::Effect FollowPlan::Failed(std::size_t index) {
  Kind& kind = kinds_[index];
  Effect effect;
  // Its connection may have died alone: a call on another one will tell.
  if (std::exchange(kind.watching, false)) {
    kind.unsure = true;
    effect.pause = kind.cuts == 0
                       ? Duration::zero()
                       : Doubled(kFirstRetry, kind.cuts, kLongestRetry);
    ++kind.cuts;
    return effect;
  }
  if (!store_up() && index != prober_) {
    kind.waits_for_store = true;
    return effect;
  }
  if (++failures_ == kFailuresOfOutage) {
    prober_ = index;
    effect.store_lost = true;
  }
  effect.pause = Doubled(kFirstRetry, failures_,
                         kind.listed ? kLongestRetry : kLongestFirstRetry);
  return effect;
}

bool FollowPlan::Behind(std::size_t index) {
  if (!std::exchange(kinds_[index].watching, false)) return false;
  kinds_[index].unsure = true;
  return true;
}

}  // namespace comfreyflow
