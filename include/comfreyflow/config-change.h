/// What an operator's change of the configuration amounts to: differences of
/// two documents, how an update ended whose answer was lost, and whether a
/// document is proven.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "comfreyflow/config.h"
#include "comfreyflow/errors.h"

namespace comfreyflow {

/// One key that differs, or a whole section when `key` is empty.
struct ConfigDifference {
  enum class Kind : std::uint8_t { kAdded, kRemoved, kChanged };
  Kind kind = Kind::kChanged;
  std::string section;  ///< `kind name`
  std::string key;
  std::string before;
  std::string after;
  bool operator==(const ConfigDifference&) const = default;
};

/// One line for people, such as `~ [account a] weight: 1 -> 2`.
std::string ToString(const ConfigDifference& difference);

/// In order of section and key; layout and comments do not count.
std::vector<ConfigDifference> Differences(const Config& before,
                                          const Config& after);

/// A configuration as a host has it in force.
struct ConfigSeen {
  std::uint64_t generation = 0;  ///< 0: none.
  std::string hash;
};

enum class ApplyEnd : std::uint8_t {
  kApplied,
  kNotSeen,    ///< The generation is still the old one: look again.
  kConflict,   ///< Another document took the generation.
  kOvertaken,  ///< A later one is in force; whether ours was between is
               ///< unknown.
};

/// What a look at the configuration says of an update to `hash` that was made
/// against generation `against` and whose answer was lost.
ApplyEnd SettleApply(std::uint64_t against, const std::string& hash,
                     const ConfigSeen& seen);

/// A document's reach in an environment, as its `status` tells.
struct ConfigReach {
  ConfigSeen seen;
  std::uint32_t hosts = 0;  ///< Where at least this generation is in force.
  std::uint32_t of = 0;     ///< Hosts of the membership view.
};

/// `kOk` when the document was in force on every host of the environment,
/// before and after it was read; else `kPromoteUnproven`.
Errc CheckProven(const ConfigReach& before, const ConfigReach& after);

}  // namespace comfreyflow
