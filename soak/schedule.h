/// The disturbances of one soak, drawn from a seed: they come in series and
/// overlap.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow::soak {

enum class Trouble : std::uint8_t {
  kHostKill,
  kHostStop,  ///< SIGTERM; the process ends by itself and is started again.
  kHostPause,
  kHostReload,  ///< SIGHUP.
  kHostsKill,   ///< Half of them at once.
  kStoreSilent,
  kStoreReset,
  kStoreSlow,
  kStoreDown,         ///< Answers 503.
  kStoreForgets,      ///< Its history.
  kStorePathSilent,   ///< For one host only.
  kStoreAnswersLost,  ///< For one host only.
  kTargetDark,
  kTargetReset,
  kTargetErrors,   ///< Runs half of its requests and fails.
  kTargetRefuses,  ///< Says that it did not run them.
  kTargetLoses,    ///< Runs requests and breaks their connections.
  kTargetHangs,    ///< Runs requests and never answers.
  kTargetLeaves,   ///< Is listed as leaving, goes, and comes back.
  kTargetLapses,   ///< Its entry is missing for a while.
  kKeyChange,
  kKeyStorm,
  kCallersReset,
  kCallersSlow,
  // Below: only in `Mix::kLeaving`.
  kStoreForgetsLinks,      ///< Open connections to the store hear nothing more.
  kStoreForgetsHostLinks,  ///< Those of one host.
  kTargetDrains,           ///< Is listed as leaving and serves on for long.
  kTargetGoes,             ///< Its entry is removed without notice.
  kTargetsGo,              ///< Three at once, told and untold.
  kTargetUnreadable,       ///< Another writer's bytes stand in its entry.
  kTargetReportLate,       ///< Leaves, and an older report arrives afterwards.
  // Below: only in `Mix::kTold`.
  kTargetTells,  ///< Says in its answers that it leaves; the list does not.
  kTargetRests,  ///< Turns requests away and says for how long.
  kTargetPours,  ///< Sends bytes that are no answer, without end.
  // Below: only in `Mix::kLimited`.
  kTargetLimits,   ///< Names the requests a second that it takes from all.
  kTargetsLimit,   ///< A third of a service's targets do.
  kServiceLimits,  ///< All of a service's targets do.
  // Below: only in `Mix::kRewound`.
  kStoreRewinds,  ///< Is away for a moment and comes back from an older copy.
  // Below: only in `Mix::kStops`.
  kTargetPauses,   ///< A sound target sends nothing for about a second.
  kTimeoutChange,  ///< A configuration with other time limits.
  // Below: only in `Mix::kOdd`.
  kTargetOddEntry,  ///< An entry that no reader expects, beside the others.
  // Below: only in `Mix::kCopies`.
  kTargetCopies,   ///< Refuses most of its requests, and says so twice.
  kServiceCopies,  ///< All plain targets do.
  kTargetRenamed,  ///< Starts anew under another name at its address.
  kHostCut,        ///< Makes no connection to plain targets.
  // Below: only in `Mix::kEvacuated`.
  kDomainEvacuated,  ///< A failure domain is out of service for a while.
  // Below: only in `Mix::kTurnedAway`.
  kHostsTurnedAway,  ///< Hosts are killed, often all; the store turns less than
                     ///< half of them away when they are back.
};
/// Those of `Mix::kMixed`, and all.
inline constexpr int kMixedTroubles = 24;
inline constexpr int kTroubles = 47;

/// What a soak looks for.
enum class Mix : std::uint8_t {
  kMixed,    ///< Everything, two a second: hosts are seldom in touch.
  kLeaving,  ///< Targets leave and connections go silent; hosts are in touch
             ///< for most of the time.
  kTold,     ///< As `kLeaving`; what targets say of themselves as well.
  kLimited,  ///< Targets name limits while placers change hosts.
  kRewound,  ///< The store comes back from older copies while targets leave,
             ///< keys change and hosts are restarted.
  kStops,    ///< Hosts are stopped in series beside long work, pauses of sound
             ///< targets, reloads and configurations.
  kOdd,      ///< As `kLeaving`, beside odd entries.
  kCopies,   ///< Targets write refusals twice; callers repeat what was refused.
  kEvacuated,   ///< As `kLeaving`, while failure domains are out of service.
  kTurnedAway,  ///< Hosts come back to a store that turns some of them away.
};

/// From the order to stop until the environment would end a process by force.
Duration StopTimeOf(Mix mix);

const char* ToString(Mix mix);
std::optional<Mix> MixOf(const std::string& name);

const char* ToString(Trouble trouble);
std::optional<Trouble> TroubleOf(const std::string& name);

struct Event {
  Duration at{};
  Trouble trouble = Trouble::kHostKill;
  Duration life{};
  std::uint64_t pick = 0;  ///< Chooses the host or target.
};

/// Events in `[begin, end)`; each is over before `end` plus `LongestLife`.
std::vector<Event> Draw(std::uint64_t seed, Duration begin, Duration end,
                        Mix mix = Mix::kMixed,
                        const std::vector<Trouble>& only = {});
Duration LongestLife(Mix mix);

}  // namespace comfreyflow::soak
