/// What an operator's change of the configuration amounts to: the differences
/// of two documents, and whether a document is proven.
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

/// A document's reach in an environment, as its `status` tells.
struct ConfigRolloutStatus {
  std::uint64_t generation = 0;  ///< 0: none.
  std::string hash;
  std::uint32_t applied_hosts =
      0;  ///< Where at least this generation is in force.
  std::uint32_t total_hosts = 0;  ///< Hosts of the membership view.
};

/// `kOk` when the document was in force on every host of the environment,
/// before and after it was read; else `kPromoteUnproven`.
Errc CheckProven(const ConfigRolloutStatus& before,
                 const ConfigRolloutStatus& after);

}  // namespace comfreyflow
