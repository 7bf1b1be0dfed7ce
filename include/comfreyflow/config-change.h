/// Support for operators who change the configuration: the differences between
/// two documents, and the check whether a document is proven. A document is
/// proven in an environment if it is in force on every host there.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "comfreyflow/config.h"
#include "comfreyflow/errors.h"

namespace comfreyflow {

/// One key that differs, or a whole section if `key` is empty.
struct ConfigDifference {
  enum class Kind : std::uint8_t { kAdded, kRemoved, kChanged };
  Kind kind = Kind::kChanged;
  std::string section;  ///< Title of the section, `kind name`.
  std::string key;
  std::string before;
  std::string after;
  bool operator==(const ConfigDifference&) const = default;
};

/// One readable line, such as `~ [account a] weight: 1 -> 2`.
std::string ToString(const ConfigDifference& difference);

/// The differences in the order of section and key. Layout and comments are
/// ignored.
std::vector<ConfigDifference> Differences(const Config& before,
                                          const Config& after);

/// On how many hosts of an environment a document is in force, according to the
/// status that one of its hosts reports.
struct ConfigRolloutStatus {
  std::uint64_t generation = 0;  ///< 0 if there is no document.
  std::string hash;
  /// Number of hosts that have this generation or a newer one in force.
  std::uint32_t applied_hosts = 0;
  /// Number of hosts in the membership view.
  std::uint32_t total_hosts = 0;
};

/// `kOk` if the same document was in force on every host of the environment
/// both before and after it was read, otherwise `kPromoteUnproven`.
Errc CheckProven(const ConfigRolloutStatus& before,
                 const ConfigRolloutStatus& after);

}  // namespace comfreyflow
