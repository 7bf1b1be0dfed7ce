// Replay of one shard of the claim log.
#include "core/claims/log.h"

namespace comfreyflow::detail {

void ClaimLog::StartAt(std::uint64_t mark) {
  *this = ClaimLog();
  start_ = mark;
  next_ = mark;
}

void ClaimLog::Apply(const ClaimBatch& batch, Time now) {
  ForgetBelow(batch.floor);
  const bool certain = batch.floor >= start_;
  for (const ClaimRecord& record : batch.records) {
    if (record.kind == ClaimRecord::Kind::kClaim) {
      ApplyClaim(record, certain, now);
    } else {
      ApplyOutcome(record);
    }
  }
  ++next_;
}

void ClaimLog::ApplyClaim(const ClaimRecord& claim, bool certain, Time now) {
  if (released_.contains({claim.key, claim.claimant})) return;
  const auto held = keys_.find(claim.key);
  if (held != keys_.end()) {
    if (held->second.certain) return;
    // For readers that began earlier the key may have been free again by now.
    held->second.slot = next_;
    by_slot_.emplace(next_, claim.key);
    return;
  }
  keys_[claim.key] = {.claimant = claim.claimant,
                      .fingerprint = claim.fingerprint,
                      .slot = next_,
                      .expires = now + claim.remaining,
                      .outcome = {},
                      .certain = certain};
  by_slot_.emplace(next_, claim.key);
}

void ClaimLog::ApplyOutcome(const ClaimRecord& outcome) {
  const auto at = keys_.find(outcome.key);
  const bool holder =
      at != keys_.end() && at->second.claimant == outcome.claimant;
  if (holder && at->second.outcome) return;
  if (outcome.outcome == Outcome::kNotRun) {
    // Kept also when the claim is not here yet: a delayed one must not take
    // the key for a holder that has given up.
    released_[{outcome.key, outcome.claimant}] = next_;
    if (holder && at->second.certain) keys_.erase(at);
  } else if (holder) {
    at->second.outcome = outcome.outcome;
  }
}

void ClaimLog::ForgetBelow(std::uint64_t floor) {
  if (floor <= floor_) return;
  floor_ = floor;
  const auto end = by_slot_.lower_bound(floor);
  for (auto at = by_slot_.begin(); at != end; ++at) {
    const auto key = keys_.find(at->second);
    if (key != keys_.end() && key->second.slot < floor) keys_.erase(key);
  }
  by_slot_.erase(by_slot_.begin(), end);
  std::erase_if(released_,
                [floor](const auto& item) { return item.second < floor; });
}

std::optional<ClaimVerdict> ClaimLog::Judge(const ClaimRecord& claim,
                                            std::uint64_t mark,
                                            Time now) const {
  if (released_.contains({claim.key, claim.claimant})) {
    return ClaimVerdict::kUnavailable;
  }
  const auto at = keys_.find(claim.key);
  if (at == keys_.end()) return std::nullopt;
  const Holder& holder = at->second;
  if (holder.slot < mark) return std::nullopt;
  if (holder.claimant == claim.claimant) {
    return holder.certain && !holder.outcome ? ClaimVerdict::kClaimed
                                             : ClaimVerdict::kUnavailable;
  }
  if (holder.fingerprint != claim.fingerprint)
    return ClaimVerdict::kBodyMismatch;
  if (holder.outcome == Outcome::kDone) return ClaimVerdict::kDuplicateDone;
  if (holder.outcome) return ClaimVerdict::kDuplicateUnknown;
  return now < holder.expires ? ClaimVerdict::kDuplicateRunning
                              : ClaimVerdict::kDuplicateUnknown;
}

bool ClaimLog::Settled(const ClaimRecord& outcome) const {
  if (released_.contains({outcome.key, outcome.claimant})) return true;
  const auto at = keys_.find(outcome.key);
  if (at != keys_.end() && at->second.claimant == outcome.claimant) {
    return at->second.outcome.has_value();
  }
  // A release may have to come before its delayed claim.
  return outcome.outcome != Outcome::kNotRun;
}

}  // namespace comfreyflow::detail
