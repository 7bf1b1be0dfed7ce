// Draws disturbances.
#include "soak/schedule.h"

#include <algorithm>
#include <array>
#include <random>

namespace comfreyflow::soak {
namespace {

using std::chrono::milliseconds;

struct Pace {
  double mean_pause_seconds;  ///< Between two disturbances.
  Duration shortest_life;
  Duration longest_life;
};

constexpr Pace kMixedPace = {0.6, milliseconds(200), milliseconds(4000)};
constexpr Pace kLeavingPace = {2.0, milliseconds(3000), milliseconds(30'000)};

constexpr Pace kLimitedPace = {1.2, milliseconds(15'000), milliseconds(30'000)};

/// Of `Mix::kLeaving`; what stands twice is drawn twice as often.
constexpr std::array kLeavingTroubles = {
    Trouble::kStoreForgetsLinks, Trouble::kStoreForgetsHostLinks,
    Trouble::kStoreForgetsLinks, Trouble::kStoreForgetsHostLinks,
    Trouble::kTargetDrains,      Trouble::kTargetGoes,
    Trouble::kTargetDrains,      Trouble::kTargetGoes,
    Trouble::kTargetsGo,         Trouble::kTargetsGo,
    Trouble::kTargetUnreadable,  Trouble::kTargetReportLate,
    Trouble::kHostKill,          Trouble::kHostStop,
    Trouble::kStoreReset,        Trouble::kStoreForgets,
    Trouble::kTargetHangs,       Trouble::kKeyChange};

/// What `Mix::kTold` has besides.
constexpr std::array kToldTroubles = {
    Trouble::kTargetTells, Trouble::kTargetRests, Trouble::kTargetPours,
    Trouble::kTargetTells, Trouble::kTargetRests, Trouble::kHostPause,
    Trouble::kStoreDown};

constexpr std::array kLimitedTroubles = {
    Trouble::kTargetLimits,      Trouble::kTargetLimits,
    Trouble::kTargetLimits,      Trouble::kTargetLimits,
    Trouble::kTargetLimits,      Trouble::kTargetLimits,
    Trouble::kTargetsLimit,      Trouble::kTargetsLimit,
    Trouble::kServiceLimits,     Trouble::kHostKill,
    Trouble::kHostKill,          Trouble::kHostStop,
    Trouble::kHostPause,         Trouble::kHostPause,
    Trouble::kStoreForgetsLinks, Trouble::kStorePathSilent,
    Trouble::kTargetGoes,        Trouble::kTargetRests,
    Trouble::kTargetErrors};

/// So that hosts are in touch between two drills, and two come within seconds
/// at times.
constexpr Pace kRewoundPace = {1.5, milliseconds(4000), milliseconds(12'000)};

constexpr std::array kRewoundTroubles = {
    Trouble::kStoreRewinds,     Trouble::kStoreRewinds,
    Trouble::kStoreRewinds,     Trouble::kTargetDrains,
    Trouble::kTargetGoes,       Trouble::kTargetDrains,
    Trouble::kTargetGoes,       Trouble::kTargetsGo,
    Trouble::kTargetReportLate, Trouble::kHostKill,
    Trouble::kHostStop,         Trouble::kHostPause,
    Trouble::kStorePathSilent,  Trouble::kStoreSlow,
    Trouble::kKeyChange};

/// So that hosts are in touch while an odd entry stands.
constexpr Pace kOddPace = {1.5, milliseconds(4000), milliseconds(10'000)};

constexpr std::array kOddTroubles = {
    Trouble::kTargetOddEntry,   Trouble::kTargetOddEntry,
    Trouble::kTargetOddEntry,   Trouble::kTargetDrains,
    Trouble::kTargetGoes,       Trouble::kTargetDrains,
    Trouble::kTargetUnreadable, Trouble::kTargetReportLate,
    Trouble::kHostKill,         Trouble::kHostStop,
    Trouble::kStoreForgets,     Trouble::kKeyChange};

/// So that a domain is out of service for longer than the bound.
constexpr Pace kEvacuatedPace = {1.5, milliseconds(7000), milliseconds(14'000)};

constexpr std::array kEvacuatedTroubles = {
    Trouble::kDomainEvacuated,   Trouble::kDomainEvacuated,
    Trouble::kDomainEvacuated,   Trouble::kDomainEvacuated,
    Trouble::kStoreForgetsLinks, Trouble::kStoreForgetsHostLinks,
    Trouble::kStorePathSilent,   Trouble::kStoreForgets,
    Trouble::kTargetDrains,      Trouble::kTargetGoes,
    Trouble::kHostKill,          Trouble::kHostStop,
    Trouble::kHostPause,         Trouble::kTargetReset};

/// So that most hosts are in touch while some are turned away.
constexpr Pace kTurnedAwayPace = {2.5, milliseconds(5000), milliseconds(9000)};

constexpr std::array kTurnedAwayTroubles = {
    Trouble::kHostsTurnedAway, Trouble::kHostsTurnedAway,
    Trouble::kHostsTurnedAway, Trouble::kHostsTurnedAway,
    Trouble::kStorePathSilent, Trouble::kHostStop,
    Trouble::kTargetDrains,    Trouble::kKeyChange};

/// Some stops overlap, and each is over before the quiet time.
constexpr Pace kStopsPace = {0.8, milliseconds(1000), milliseconds(12'000)};

constexpr std::array kStopsTroubles = {
    Trouble::kHostStop,      Trouble::kHostStop,     Trouble::kHostStop,
    Trouble::kHostStop,      Trouble::kHostReload,   Trouble::kHostReload,
    Trouble::kHostReload,    Trouble::kKeyChange,    Trouble::kTimeoutChange,
    Trouble::kTimeoutChange, Trouble::kTargetPauses, Trouble::kTargetPauses,
    Trouble::kTargetPauses,  Trouble::kTargetPauses, Trouble::kTargetErrors,
    Trouble::kTargetReset,   Trouble::kTargetReset};

constexpr Pace kCopiesPace = {0.6, milliseconds(2000), milliseconds(6000)};

constexpr std::array kCopiesTroubles = {
    Trouble::kServiceCopies, Trouble::kServiceCopies, Trouble::kServiceCopies,
    Trouble::kTargetCopies,  Trouble::kTargetCopies,  Trouble::kTargetRenamed,
    Trouble::kTargetRenamed, Trouble::kHostCut,       Trouble::kHostCut,
    Trouble::kTargetPauses,  Trouble::kTargetErrors,  Trouble::kTargetReset,
    Trouble::kHostKill,      Trouble::kHostStop,      Trouble::kHostPause};

constexpr Duration kStopTime = std::chrono::seconds(4);
constexpr Duration kLongStopTime = std::chrono::seconds(8);
constexpr Duration kShortestSilence = milliseconds(1000);
constexpr Duration kLongestSilence = milliseconds(1400);

constexpr std::array kMixNames = {"mixed",     "leaving", "told", "limited",
                                  "rewound",   "stops",   "odd",  "copies",
                                  "evacuated", "turned"};

const Pace& PaceOf(Mix mix) {
  if (mix == Mix::kLimited) return kLimitedPace;
  if (mix == Mix::kRewound) return kRewoundPace;
  if (mix == Mix::kStops) return kStopsPace;
  if (mix == Mix::kOdd) return kOddPace;
  if (mix == Mix::kCopies) return kCopiesPace;
  if (mix == Mix::kEvacuated) return kEvacuatedPace;
  if (mix == Mix::kTurnedAway) return kTurnedAwayPace;
  return mix == Mix::kMixed ? kMixedPace : kLeavingPace;
}

/// A path that stays disturbed keeps hosts out of touch.
constexpr Duration kLongestReset = std::chrono::seconds(1);

Duration LifeOf(Mix mix, Trouble trouble, Duration drawn) {
  if (trouble == Trouble::kTargetPauses) {
    return kShortestSilence + drawn % (kLongestSilence - kShortestSilence);
  }
  if (mix == Mix::kStops) return std::min(drawn, kLongestReset);
  const bool is_path =
      trouble == Trouble::kStoreReset ||
      (mix == Mix::kEvacuated && trouble == Trouble::kStorePathSilent) ||
      (mix == Mix::kRewound && (trouble == Trouble::kStorePathSilent ||
                                trouble == Trouble::kStoreSlow));
  const bool brief =
      mix != Mix::kMixed &&
      (is_path || trouble == Trouble::kHostPause ||
       (mix == Mix::kCopies && trouble == Trouble::kTargetReset));
  return brief ? std::min(drawn, kLongestReset) : drawn;
}

/// What is drawn from, evenly.
std::vector<Trouble> TroublesOf(Mix mix) {
  std::vector<Trouble> out;
  if (mix == Mix::kLimited) {
    return {kLimitedTroubles.begin(), kLimitedTroubles.end()};
  }
  if (mix == Mix::kRewound) {
    return {kRewoundTroubles.begin(), kRewoundTroubles.end()};
  }
  if (mix == Mix::kStops) {
    return {kStopsTroubles.begin(), kStopsTroubles.end()};
  }
  if (mix == Mix::kOdd) return {kOddTroubles.begin(), kOddTroubles.end()};
  if (mix == Mix::kCopies) {
    return {kCopiesTroubles.begin(), kCopiesTroubles.end()};
  }
  if (mix == Mix::kEvacuated) {
    return {kEvacuatedTroubles.begin(), kEvacuatedTroubles.end()};
  }
  if (mix == Mix::kTurnedAway) {
    return {kTurnedAwayTroubles.begin(), kTurnedAwayTroubles.end()};
  }
  if (mix != Mix::kMixed) {
    out.assign(kLeavingTroubles.begin(), kLeavingTroubles.end());
  }
  if (mix == Mix::kTold) {
    out.insert(out.end(), kToldTroubles.begin(), kToldTroubles.end());
  }
  if (mix != Mix::kMixed) return out;
  for (int i = 0; i < kMixedTroubles; ++i) {
    out.push_back(static_cast<Trouble>(i));
  }
  return out;
}

}  // namespace

const char* ToString(Trouble trouble) {
  constexpr std::array<const char*, kTroubles> kNames = {
      "host_kill",
      "host_stop",
      "host_pause",
      "host_reload",
      "hosts_kill",
      "store_silent",
      "store_reset",
      "store_slow",
      "store_down",
      "store_forgets",
      "store_path",
      "store_answers_lost",
      "target_dark",
      "target_reset",
      "target_errors",
      "target_refuses",
      "target_loses",
      "target_hangs",
      "target_leaves",
      "target_lapses",
      "key_change",
      "key_storm",
      "callers_reset",
      "callers_slow",
      "store_forgets_links",
      "store_forgets_host_links",
      "target_drains",
      "target_goes",
      "targets_go",
      "target_unreadable",
      "target_report_late",
      "target_tells",
      "target_rests",
      "target_pours",
      "target_limits",
      "targets_limit",
      "service_limits",
      "store_rewinds",
      "target_pauses",
      "timeout_change",
      "target_odd_entry",
      "target_copies",
      "service_copies",
      "target_renamed",
      "host_cut",
      "domain_evacuated",
      "hosts_turned_away"};
  return kNames.at(static_cast<std::size_t>(trouble));
}

const char* ToString(Mix mix) {
  return kMixNames.at(static_cast<std::size_t>(mix));
}

std::optional<Mix> MixOf(const std::string& name) {
  for (std::size_t i = 0; i < kMixNames.size(); ++i) {
    if (name == kMixNames[i]) return static_cast<Mix>(i);
  }
  return std::nullopt;
}

Duration StopTimeOf(Mix mix) {
  return mix == Mix::kStops ? kLongStopTime : kStopTime;
}

Duration LongestLife(Mix mix) { return PaceOf(mix).longest_life; }

std::optional<Trouble> TroubleOf(const std::string& name) {
  for (int i = 0; i < kTroubles; ++i) {
    const auto trouble = static_cast<Trouble>(i);
    if (name == ToString(trouble)) return trouble;
  }
  return std::nullopt;
}

std::vector<Event> Draw(std::uint64_t seed, Duration begin, Duration end,
                        Mix mix, const std::vector<Trouble>& only) {
  const Pace& pace = PaceOf(mix);
  const std::vector<Trouble> troubles = only.empty() ? TroublesOf(mix) : only;
  std::uniform_int_distribution<int> pick(
      0, static_cast<int>(troubles.size()) - 1);
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> pause(1 / pace.mean_pause_seconds);
  std::uniform_int_distribution<Duration::rep> life(pace.shortest_life.count(),
                                                    pace.longest_life.count());
  std::vector<Event> out;
  Duration at = begin;
  while (at < end) {
    const Trouble trouble = troubles[static_cast<std::size_t>(pick(random))];
    const Duration lasts = LifeOf(mix, trouble, Duration(life(random)));
    out.push_back({at, trouble, lasts, random()});
    at += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(pause(random)));
  }
  return out;
}

}  // namespace comfreyflow::soak
