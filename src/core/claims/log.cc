// Replay of the slots of one shard of the claim log.
#include "core/claims/log.h"

namespace comfreyflow::detail {

void ClaimLog::ResetTo(std::uint64_t mark) {
  *this = ClaimLog();
  first_slot_ = mark;
  next_slot_ = mark;
}

void ClaimLog::Apply(const ClaimBatch& batch, Time now) {
  EvictBelow(batch.floor);
  const bool is_certain = batch.floor >= first_slot_;
  for (const ClaimRecord& record : batch.records) {
    if (record.kind == ClaimRecord::Kind::kClaim) {
      ApplyClaim(record, is_certain, now);
    } else {
      ApplyOutcome(record);
    }
  }
  ++next_slot_;
}

void ClaimLog::ApplyClaim(const ClaimRecord& claim, bool is_certain, Time now) {
  if (released_.contains({claim.key, claim.claimant})) return;
  const auto found = holders_.find(claim.key);
  if (found != holders_.end()) {
    if (found->second.is_certain) return;
    // A reader that started at an earlier slot may have seen the key become
    // free, so that this claim holds it there. Remember the key for as long as
    // that reader does.
    found->second.slot = next_slot_;
    keys_by_slot_.emplace(next_slot_, claim.key);
    return;
  }
  holders_[claim.key] = {.claimant = claim.claimant,
                         .fingerprint = claim.fingerprint,
                         .slot = next_slot_,
                         .expires_at = now + claim.remaining,
                         .outcome = {},
                         .is_certain = is_certain};
  keys_by_slot_.emplace(next_slot_, claim.key);
}

void ClaimLog::ApplyOutcome(const ClaimRecord& outcome) {
  const auto found = holders_.find(outcome.key);
  const bool is_holder =
      found != holders_.end() && found->second.claimant == outcome.claimant;
  if (is_holder && found->second.outcome) return;
  if (outcome.outcome == Outcome::kNotRun) {
    // Kept even if the claim is not in the log yet: a delayed claim must not
    // take the key for a request that will not run.
    released_[{outcome.key, outcome.claimant}] = next_slot_;
    if (is_holder && found->second.is_certain) holders_.erase(found);
  } else if (is_holder) {
    found->second.outcome = outcome.outcome;
  }
}

void ClaimLog::EvictBelow(std::uint64_t floor) {
  if (floor <= floor_) return;
  floor_ = floor;
  const auto end = keys_by_slot_.lower_bound(floor);
  for (auto entry = keys_by_slot_.begin(); entry != end; ++entry) {
    const auto holder = holders_.find(entry->second);
    if (holder != holders_.end() && holder->second.slot < floor)
      holders_.erase(holder);
  }
  keys_by_slot_.erase(keys_by_slot_.begin(), end);
  std::erase_if(released_,
                [floor](const auto& item) { return item.second < floor; });
}

std::optional<ClaimVerdict> ClaimLog::Decide(const ClaimRecord& claim,
                                             std::uint64_t mark,
                                             Time now) const {
  if (released_.contains({claim.key, claim.claimant})) {
    return ClaimVerdict::kUnavailable;
  }
  const auto found = holders_.find(claim.key);
  if (found == holders_.end()) return std::nullopt;
  const Holder& holder = found->second;
  if (holder.slot < mark) return std::nullopt;
  if (holder.claimant == claim.claimant) {
    return holder.is_certain && !holder.outcome ? ClaimVerdict::kClaimed
                                                : ClaimVerdict::kUnavailable;
  }
  if (holder.fingerprint != claim.fingerprint)
    return ClaimVerdict::kBodyMismatch;
  if (holder.outcome == Outcome::kDone) return ClaimVerdict::kDuplicateDone;
  if (holder.outcome) return ClaimVerdict::kDuplicateUnknown;
  return now < holder.expires_at ? ClaimVerdict::kDuplicateRunning
                                 : ClaimVerdict::kDuplicateUnknown;
}

bool ClaimLog::IsSettled(const ClaimRecord& outcome) const {
  if (released_.contains({outcome.key, outcome.claimant})) return true;
  const auto found = holders_.find(outcome.key);
  if (found != holders_.end() && found->second.claimant == outcome.claimant) {
    return found->second.outcome.has_value();
  }
  // A release is needed even without its claim, which may be delayed and reach
  // the log later.
  return outcome.outcome != Outcome::kNotRun;
}

}  // namespace comfreyflow::detail
