/// The state of one shard of the claim log, built by replaying its slots in
/// order.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "comfreyflow/claims.h"

namespace comfreyflow::detail {

/// Readers that have applied the same slots reach the same verdicts. A reader
/// that started at a trim mark does not know holders from older slots; it
/// therefore confirms a claim only in a batch whose floor is at or above the
/// slot where it started.
class ClaimLog {
 public:
  /// Clears the log; the next slot to apply is `mark`.
  void ResetTo(std::uint64_t mark);
  /// Applies the batch of slot `next_slot()`.
  void Apply(const ClaimBatch& batch, Time now);

  /// The verdict on a claim; empty if no slot from `mark` on claims the key.
  std::optional<ClaimVerdict> Decide(const ClaimRecord& claim,
                                     std::uint64_t mark, Time now) const;
  /// Whether an outcome needs no further append: the log has one for the
  /// claimant, or lacks the claimant's claim.
  bool IsSettled(const ClaimRecord& outcome) const;
  bool HasKey(const std::string& key) const { return holders_.contains(key); }

  std::uint64_t next_slot() const { return next_slot_; }
  std::size_t size() const { return holders_.size(); }

 private:
  /// The claim that holds a key.
  struct Holder {
    std::uint64_t claimant = 0;
    std::uint64_t fingerprint = 0;
    std::uint64_t slot = 0;
    Time expires_at;
    std::optional<Outcome> outcome;  ///< The first one recorded counts.
    bool is_certain = true;  ///< No reader can remember an older holder.
  };
  using ClaimKey = std::pair<std::string, std::uint64_t>;

  void ApplyClaim(const ClaimRecord& claim, bool is_certain, Time now);
  void ApplyOutcome(const ClaimRecord& outcome);
  void EvictBelow(std::uint64_t floor);

  std::uint64_t first_slot_ = 0;  ///< Lower slots were not read.
  /// The next slot to apply; those from `first_slot_` up to it are applied.
  std::uint64_t next_slot_ = 0;
  std::uint64_t floor_ = 0;  ///< Records of lower slots have been dropped.
  std::map<std::string, Holder> holders_;
  /// The slot of each `kNotRun` outcome, by key and claimant.
  std::map<ClaimKey, std::uint64_t> released_;
  std::multimap<std::uint64_t, std::string> keys_by_slot_;
};

}  // namespace comfreyflow::detail
