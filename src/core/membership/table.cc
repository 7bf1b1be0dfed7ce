// Merges claims into the member table; the later evidence takes precedence.
#include "core/membership/table.h"

#include <algorithm>
#include <bit>

namespace comfreyflow::detail {
namespace {

using std::chrono::minutes;

constexpr Duration kRetentionTime = minutes(10);
// A relayed record does not prove that the host is alive now, so the member
// starts with a `last_seen` this far in the past.
constexpr Duration kRelayedRecordAge = std::chrono::seconds(5);
constexpr Duration kScanPeriod = std::chrono::seconds(5);
constexpr std::size_t kMaxDeadClaims = 8;  // Per datagram.
// A changed member is claimed this many times for each doubling of the number
// of hosts.
constexpr int kClaimSendsPerDoubling = 3;

bool IsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

}  // namespace

MemberTable::MemberTable(const HostRecord& self, Time now) : self_(self.name) {
  const MemberId id = IdOf(self.name, self.incarnation);
  members_[self.name] = {self, MemberState::kAlive, now, now, {}, id};
  ids_[id] = {self.name, self.incarnation};
}

const Member* MemberTable::Find(MemberId id) const {
  const auto known = ids_.find(id);
  if (known == ids_.end()) return nullptr;
  const auto member = members_.find(known->second.name);
  if (member == members_.end()) return nullptr;
  const Incarnation current = member->second.record.incarnation;
  return current == known->second.incarnation ? &member->second : nullptr;
}

Member* MemberTable::FindMutable(MemberId id) {
  return const_cast<Member*>(Find(id));  // NOLINT: members_ is not const.
}

const Member* MemberTable::Find(const HostName& name) const {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

bool MemberTable::AddRecord(const HostRecord& record, Time now,
                            std::vector<MembershipEvent>& events) {
  if (record.name == self_ || record.name.value.empty()) return false;
  const MemberId id = IdOf(record.name, record.incarnation);
  const auto known = members_.find(record.name);
  if (known != members_.end() &&
      known->second.record.incarnation >= record.incarnation) {
    return false;
  }
  if (!ids_.emplace(id, Identity{record.name, record.incarnation}).second) {
    return false;
  }
  const bool was_live = known != members_.end() && IsLive(known->second.state);
  if (!was_live) ++live_count_;
  if (was_live && known->second.state == MemberState::kSuspect)
    --suspect_count_;
  members_[record.name] = {
      record, MemberState::kAlive, now - kRelayedRecordAge, now, {}, id};
  MarkChanged(id);
  events.emplace_back(MemberChanged{record, MemberState::kAlive});
  return true;
}

void MemberTable::MarkSeen(MemberId id, Time seen_at, const HostFacts& facts,
                           std::vector<MembershipEvent>& events) {
  Member* member = FindMutable(id);
  if (member == nullptr || member->record.name == self_) return;
  if (member->state == MemberState::kLeft || seen_at <= member->last_seen)
    return;
  if (ChangesDuties(facts, member->facts)) MarkChanged(member->id);
  member->last_seen = seen_at;
  member->facts = facts;
  if (member->state == MemberState::kAlive || seen_at <= member->state_since)
    return;
  SetState(*member, MemberState::kAlive, seen_at, events);
}

void MemberTable::Apply(const MemberClaim& claim, Time now,
                        std::vector<MembershipEvent>& events) {
  const Time seen_at = now - claim.age;
  if (claim.state == MemberState::kAlive) {
    MarkSeen(claim.id, seen_at, claim.facts, events);
    return;
  }
  Member* member = FindMutable(claim.id);
  if (member == nullptr || member->record.name == self_) return;
  if (member->state == MemberState::kLeft) return;
  if (claim.state == MemberState::kLeft) {
    SetState(*member, MemberState::kLeft, seen_at, events);
    return;
  }
  if (member->last_seen > seen_at) {
    if (claim.state == MemberState::kSuspect) MarkChanged(member->id);
    contested_.push_back(member->id);
    return;
  }
  if (claim.state > member->state)
    SetState(*member, claim.state, seen_at, events);
}

void MemberTable::Suspect(const HostName& name, Time now,
                          std::vector<MembershipEvent>& events) {
  const auto found = members_.find(name);
  if (found == members_.end()) return;
  if (found->second.state != MemberState::kAlive) return;
  SetState(found->second, MemberState::kSuspect, now, events);
}

void MemberTable::Expire(Time now, std::vector<MembershipEvent>& events) {
  if (suspect_count_ == 0 && now < next_expiry_scan_) return;
  next_expiry_scan_ = now + kScanPeriod;
  const Duration limit = SuspicionTime(live_count_);
  // A host cut off from the others must keep the members that it considers
  // dead: without them it would count itself as the complete fleet.
  const bool has_live_majority = 2 * live_count_ > members_.size();
  std::vector<HostName> expired;
  for (auto& [name, member] : members_) {
    if (member.state == MemberState::kSuspect &&
        now >= member.state_since + limit) {
      // The start of the suspicion is kept, because evidence that the member is
      // alive only has to be later than that.
      SetState(member, MemberState::kDead, member.state_since, events);
    }
    const bool is_removable =
        member.state == MemberState::kLeft ||
        (member.state == MemberState::kDead && has_live_majority);
    if (is_removable && now >= member.state_since + kRetentionTime)
      expired.push_back(name);
  }
  for (const HostName& name : expired) Remove(name);
}

void MemberTable::RestartSuspicions(Time now) {
  for (auto& [name, member] : members_) {
    if (member.state == MemberState::kSuspect) member.state_since = now;
  }
}

void MemberTable::SetState(Member& member, MemberState state, Time since,
                           std::vector<MembershipEvent>& events) {
  const bool was_live = IsLive(member.state);
  if (was_live && !IsLive(state)) --live_count_;
  if (!was_live && IsLive(state)) ++live_count_;
  if (member.state == MemberState::kSuspect) --suspect_count_;
  if (state == MemberState::kSuspect) ++suspect_count_;
  member.state = state;
  member.state_since = since;
  MarkChanged(member.id);
  events.emplace_back(MemberChanged{member.record, state});
}

void MemberTable::MarkChanged(MemberId id) {
  SetSendsLeft(id, kClaimSendsPerDoubling *
                       static_cast<int>(std::bit_width(members_.size())));
}

void MemberTable::SetSendsLeft(MemberId id, int sends) {
  const auto known = sends_left_.find(id);
  if (known != sends_left_.end()) send_order_.erase({-known->second, id});
  if (sends <= 0) {
    sends_left_.erase(id);
    return;
  }
  sends_left_[id] = sends;
  send_order_.insert({-sends, id});
}

MemberClaim MemberTable::ClaimOf(const Member& member, Time now) const {
  MemberClaim claim;
  claim.id = member.id;
  claim.state = member.state;
  const bool is_alive = member.state == MemberState::kAlive;
  const Duration age = now - (is_alive ? member.last_seen : member.state_since);
  claim.age = std::max(age, Duration::zero());
  claim.facts = member.facts;
  return claim;
}

void MemberTable::AddContested(std::vector<MemberClaim>& claims,
                               std::size_t max_claims, Time now) {
  for (const MemberId id : contested_) {
    if (claims.size() >= max_claims) break;
    const Member* member = Find(id);
    if (member != nullptr) claims.push_back(ClaimOf(*member, now));
  }
  contested_.clear();
}

void MemberTable::AddChanged(std::vector<MemberClaim>& claims,
                             std::size_t max_claims, Time now) {
  std::vector<std::pair<int, MemberId>> changed;
  for (const auto& entry : send_order_) {
    if (claims.size() + changed.size() >= max_claims) break;
    changed.push_back(entry);
  }
  for (const auto& [negated_sends, id] : changed) {
    const Member* member = Find(id);
    if (member != nullptr) claims.push_back(ClaimOf(*member, now));
    SetSendsLeft(id, member == nullptr ? 0 : -negated_sends - 1);
  }
}

void MemberTable::AddDead(std::vector<MemberClaim>& claims,
                          std::size_t max_claims, Time now) {
  if (live_count_ == members_.size()) return;
  auto it = members_.upper_bound(dead_cursor_);
  for (std::size_t visited = 0; visited < members_.size(); ++visited, ++it) {
    if (it == members_.end()) it = members_.begin();
    if (claims.size() >= max_claims) break;
    dead_cursor_ = it->first;
    if (it->second.state != MemberState::kDead) continue;
    claims.push_back(ClaimOf(it->second, now));
  }
}

void MemberTable::AddLive(std::vector<MemberClaim>& claims,
                          std::size_t max_claims, MemberId receiver, Time now) {
  auto it = members_.upper_bound(live_cursor_);
  for (std::size_t visited = 0; visited < members_.size(); ++visited, ++it) {
    if (it == members_.end()) it = members_.begin();
    if (claims.size() >= max_claims) break;
    live_cursor_ = it->first;
    if (it->first == self_ || sends_left_.contains(it->second.id)) continue;
    if (!IsLive(it->second.state) || it->second.id == receiver) continue;
    claims.push_back(ClaimOf(it->second, now));
  }
}

std::vector<MemberClaim> MemberTable::Claims(MemberId receiver,
                                             std::size_t max_claims,
                                             std::size_t max_fillers,
                                             Time now) {
  std::vector<MemberClaim> claims;
  AddContested(claims, max_claims, now);
  AddDead(claims, std::min(max_claims, claims.size() + kMaxDeadClaims), now);
  AddChanged(claims, max_claims, now);
  AddLive(claims, std::min(max_claims, claims.size() + max_fillers), receiver,
          now);
  return claims;
}

void MemberTable::Remove(const HostName& name) {
  std::erase_if(ids_, [&](const auto& id) { return id.second.name == name; });
  SetSendsLeft(members_.at(name).id, 0);
  members_.erase(name);
}

}  // namespace comfreyflow::detail
