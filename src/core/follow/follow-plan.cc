// Schedules the calls to the store.
#include "comfreyflow/follow-plan.h"

#include <algorithm>
#include <utility>

namespace comfreyflow {
namespace {

using std::chrono::milliseconds;

constexpr Duration kFirstRetryDelay = milliseconds(50);
/// This plus the time for which expired entries stay in use after an outage
/// must be less than 3 s, the time after which a host is considered to be
/// connected to the store again.
constexpr Duration kMaxRetryDelay = milliseconds(600);
/// Shorter, because a host can't serve requests before its first list.
constexpr Duration kMaxRetryDelayBeforeList = milliseconds(300);
constexpr std::uint32_t kMaxDoublings = 8;
/// Minimum time between two calls that check an era which peers announced.
constexpr Duration kEraCheckInterval = std::chrono::seconds(1);
/// Minimum time between two watches of a kind, so that a burst of changes
/// arrives in few answers. It grows with the number of hosts, which keeps the
/// call rate of the fleet constant, up to a fraction of the time within which
/// changes must be in force.
constexpr Duration kPausePerHost = milliseconds(10);
constexpr Duration kMinPause = milliseconds(60);
constexpr Duration kMaxPause = milliseconds(1800);
constexpr Duration kMaxShortPause = milliseconds(600);
/// Pause of a passive host after a change of a kind that it follows only to
/// know it when it becomes a reader.
constexpr Duration kPassivePause = std::chrono::seconds(15);
/// Mean time between two renewals of a kind's watches by the few readers of a
/// large fleet. Each change reaches all readers at once; a renewal only finds
/// connections that broke without an error.
constexpr Duration kReaderRenewalInterval = milliseconds(1000);
/// Mean time between two renewals of a kind's watches in the whole fleet.
constexpr Duration kFleetRenewalInterval = milliseconds(200);

Duration ExponentialDelay(Duration base, std::uint32_t doublings,
                          Duration max) {
  return std::min(max, base * (1 << std::min(doublings, kMaxDoublings)));
}

}  // namespace

Duration PauseBetweenWatches(const FleetInfo& fleet) {
  if (fleet.role == StoreRole::kPassive) return kPassivePause;
  const bool is_short =
      fleet.needs_short_pause || fleet.role == StoreRole::kReader;
  return std::clamp(static_cast<int>(fleet.hosts) * kPausePerHost, kMinPause,
                    is_short ? kMaxShortPause : kMaxPause);
}

FollowPlan::FollowPlan(std::size_t kinds, std::uint64_t seed)
    : kinds_(kinds), random_(seed) {}

/// Draws uniformly from a range that starts at the minimum time, so that of
/// many hosts whose watches started together some end early. If the fleet is so
/// large that the maximum time limits the range, only as many hosts as are
/// needed to keep the fleet's renewal interval draw a time; all others
/// take the maximum.
Duration FollowPlan::WatchTime(const FleetInfo& fleet) {
  if (fleet.role == StoreRole::kPassive) return kMaxWatchTime;
  constexpr Duration kMaxMean = (kMinWatchTime + kMaxWatchTime) / 2;
  const Duration wanted =
      fleet.role == StoreRole::kReader
          ? static_cast<int>(kStoreReaders) * kReaderRenewalInterval
          : static_cast<int>(fleet.hosts) * kFleetRenewalInterval;
  const Duration mean = std::clamp(wanted, kMinWatchTime, kMaxMean);
  const Duration max = 2 * mean - kMinWatchTime;
  using Seconds = std::chrono::duration<double>;
  const double drawing_share =
      std::min(1.0, Seconds(kMaxWatchTime - kMinWatchTime) / Seconds(wanted));
  if (!std::bernoulli_distribution(drawing_share)(random_))
    return kMaxWatchTime;
  std::uniform_int_distribution<Duration::rep> draw(kMinWatchTime.count(),
                                                    max.count());
  return Duration(draw(random_));
}

Duration FollowPlan::DrawSpread(std::size_t hosts) {
  const Duration spread = static_cast<int>(hosts) * kRelistSpacing;
  std::uniform_int_distribution<Duration::rep> draw(0, spread.count());
  return Duration(draw(random_));
}

std::optional<Duration> FollowPlan::RestTime(std::size_t index,
                                             const FleetInfo& fleet,
                                             bool is_known, Time now) {
  Kind& kind = kinds_[index];
  const bool may_rest = fleet.role == StoreRole::kPassive &&
                        (kind.listed || is_known) && store_up() &&
                        !kind.needs_check;
  if (!may_rest) {
    kind.rests_until.reset();
    return std::nullopt;
  }
  if (!kind.rests_until) {
    // Hosts that started together must not check together, nor with a fixed
    // period.
    const Duration longest =
        2 * static_cast<int>(fleet.hosts) * kPassiveCheckSpacing;
    std::uniform_int_distribution<Duration::rep> draw(0, longest.count());
    kind.rests_until = now + Duration(draw(random_));
  }
  if (now < *kind.rests_until)
    return std::min<Duration>(kRoleCheckInterval, *kind.rests_until - now);
  kind.rests_until.reset();
  kind.needs_check = true;
  return std::nullopt;
}

std::optional<FollowPlan::Step> FollowPlan::Next(std::size_t index,
                                                 const FleetInfo& fleet) {
  Kind& kind = kinds_[index];
  if (!store_up() && index != probing_kind_) {
    kind.waits_for_store = true;
    return std::nullopt;
  }
  kind.is_listing = !kind.listed;
  if (kind.is_listing) return Step{true, {}};
  // A call that checks whether the store answers must not wait for changes.
  if (failures_ > 0 || kind.needs_check) return Step{};
  kind.is_watching = true;
  return Step{false, WatchTime(fleet)};
}

FollowPlan::Effect FollowPlan::Answered(Kind& kind) {
  Effect effect;
  kind.needs_check = false;
  if (std::exchange(kind.is_watching, false)) kind.failed_watches = 0;
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
                                      const StoreVersion& version) {
  Kind& kind = kinds_[index];
  kind.is_listing = false;
  kind.listed = version.era >= era_;
  kind.version = version;
  Effect effect = Answered(kind);
  if (!kind.listed) effect.pause = kFirstRetryDelay;
  return effect;
}

FollowPlan::Effect FollowPlan::Changed(std::size_t index,
                                       const StoreVersion& version,
                                       bool has_changes,
                                       const FleetInfo& fleet) {
  Kind& kind = kinds_[index];
  kind.version = std::max(kind.version, version);
  Effect effect = Answered(kind);
  // After an outage the first answer may not contain all changes.
  if (has_changes && !effect.store_recovered)
    effect.pause = PauseBetweenWatches(fleet);
  return effect;
}

FollowPlan::Effect FollowPlan::HistoryExpired(std::size_t index) {
  kinds_[index].listed = false;
  kinds_[index].is_watching = false;
  Effect effect;
  effect.pause = Duration::zero();
  return effect;
}

FollowPlan::Effect FollowPlan::Failed(std::size_t index) {
  Kind& kind = kinds_[index];
  kind.is_listing = false;
  Effect effect;
  // Perhaps only this watch's connection failed: a call on another connection
  // shows whether the store is reachable.
  if (std::exchange(kind.is_watching, false)) {
    kind.needs_check = true;
    effect.pause = kind.failed_watches == 0
                       ? Duration::zero()
                       : ExponentialDelay(kFirstRetryDelay, kind.failed_watches,
                                          kMaxRetryDelay);
    ++kind.failed_watches;
    return effect;
  }
  if (!store_up() && index != probing_kind_) {
    kind.waits_for_store = true;
    return effect;
  }
  if (++failures_ == kOutageFailures) {
    probing_kind_ = index;
    effect.store_lost = true;
  }
  effect.pause =
      ExponentialDelay(kFirstRetryDelay, failures_,
                       kind.listed ? kMaxRetryDelay : kMaxRetryDelayBeforeList);
  return effect;
}

std::vector<FollowPlan::Relist> FollowPlan::EraChanged(std::uint64_t era,
                                                       std::size_t hosts) {
  era_ = era;
  std::vector<Relist> out;
  for (std::size_t i = 0; i < kinds_.size(); ++i) {
    Kind& kind = kinds_[i];
    kind.listed = false;
    kind.is_watching = false;
    kind.needs_check = false;
    const bool has_next_step = kind.is_listing || kind.waits_for_store;
    if (!has_next_step) out.push_back({i, DrawSpread(hosts)});
  }
  return out;
}

std::optional<Duration> FollowPlan::EraAnnounced(std::uint64_t era,
                                                 std::uint64_t known,
                                                 std::size_t hosts, Time now) {
  if (era <= known || era > kMaxStoreEra || now < next_era_check_)
    return std::nullopt;
  if (known != 0 && era - known > kMaxEraRise) return std::nullopt;
  next_era_check_ = now + kEraCheckInterval;
  return DrawSpread(hosts);
}

bool FollowPlan::Behind(std::size_t index) {
  Kind& kind = kinds_[index];
  const bool was_watching = std::exchange(kind.is_watching, false);
  if (!was_watching && !kind.rests_until) return false;
  kind.needs_check = true;
  return true;
}

}  // namespace comfreyflow
