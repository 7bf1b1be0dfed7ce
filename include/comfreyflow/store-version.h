/// Versions of the platform's store, and the era that they belong to.
///
/// A store that is restored from an older copy starts a new era: it has lost
/// what was written since the copy, and gives the revisions of that time out
/// again. A revision is therefore only meaningful together with its era.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "comfreyflow/types.h"

namespace comfreyflow {

struct StoreVersion {
  std::uint64_t era = 0;       ///< 0: unknown, or the store names no era.
  std::uint64_t revision = 0;  ///< 0: unknown.
  auto operator<=>(const StoreVersion&) const = default;
};

/// Highest era that is accepted; messages between hosts hold no higher one.
inline constexpr std::uint64_t kMaxStoreEra = INT64_MAX;

/// The era of the store, derived from the eras that its answers name.
class StoreEra {
 public:
  enum class Change : std::uint8_t {
    kNone,      ///< The answer is of the era that was known.
    kRose,      ///< The store has started a later era.
    kFell,      ///< The store has been of an earlier era for some time.
    kOutdated,  ///< The answer is of an earlier era and must not be used.
  };

  /// Takes the era that an answer names; absent if it names none that can be
  /// read. Such an answer counts as one of the known era, as does one whose era
  /// is more than `kMaxEraRise` ahead of it.
  Change Observe(std::optional<std::uint64_t> era, Time now);
  std::uint64_t current() const { return current_; }

 private:
  std::uint64_t current_ = 0;
  bool has_answers_ = false;  ///< An answer was observed.
  /// When the first of the earlier-era answers came that no answer of the known
  /// era has followed.
  std::optional<Time> earlier_since_;
};

/// An answer whose era is further ahead is taken for one that names no era.
inline constexpr std::uint64_t kMaxEraRise = 1'000'000;

/// Answers of an earlier era may be late for this long. If no others come for
/// that time, the store is of that era.
inline constexpr Duration kMaxAnswerDelay = std::chrono::seconds(10);

}  // namespace comfreyflow
