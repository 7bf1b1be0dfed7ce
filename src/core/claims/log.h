/// What one shard of the claim log says, as replayed in the order of its slots.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "comfreyflow/claims.h"

namespace comfreyflow::detail {

/// Each reader that has applied the same slots answers alike. A reader that
/// began at a trim mark does not know older holders; it therefore calls a claim
/// its own only in batches whose floor is at or above the mark.
class ClaimLog {
 public:
  /// Forgets all; the next slot to apply is `mark`.
  void StartAt(std::uint64_t mark);
  /// Applies slot `next()`.
  void Apply(const ClaimBatch& batch, Time now);

  /// Verdict on a claim; empty when no slot from `mark` on holds the key.
  std::optional<ClaimVerdict> Judge(const ClaimRecord& claim,
                                    std::uint64_t mark, Time now) const;
  /// Whether an outcome needs no further append: the log has one of the
  /// claimant, or knows nothing of its claim.
  bool Settled(const ClaimRecord& outcome) const;
  bool Knows(const std::string& key) const { return keys_.contains(key); }

  std::uint64_t next() const { return next_; }
  std::size_t size() const { return keys_.size(); }

 private:
  struct Holder {
    std::uint64_t claimant = 0;
    std::uint64_t fingerprint = 0;
    std::uint64_t slot = 0;
    Time expires;
    std::optional<Outcome> outcome;  ///< The first one recorded stays.
    bool certain = true;  ///< No older holder can be alive for any reader.
  };
  using ClaimKey = std::pair<std::string, std::uint64_t>;

  void ApplyClaim(const ClaimRecord& claim, bool certain, Time now);
  void ApplyOutcome(const ClaimRecord& outcome);
  void ForgetBelow(std::uint64_t floor);

  std::uint64_t start_ = 0;  ///< Slots below were never read.
  std::uint64_t next_ = 0;   ///< Each slot from `start_` to here was applied.
  std::uint64_t floor_ = 0;
  std::map<std::string, Holder> keys_;
  std::map<ClaimKey, std::uint64_t> released_;  ///< With the slot.
  std::multimap<std::uint64_t, std::string> by_slot_;
};

}  // namespace comfreyflow::detail
