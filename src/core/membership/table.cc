// Merging of claims: the later evidence wins.
#include "core/membership/table.h"

#include <algorithm>
#include <bit>

namespace comfreyflow::detail {
namespace {

using std::chrono::minutes;

constexpr Duration kForgetAfter = minutes(10);
// A relayed record proves little of the present.
constexpr Duration kRelayedAge = std::chrono::seconds(5);
constexpr Duration kScanPeriod = std::chrono::seconds(5);
constexpr std::size_t kDeadClaims = 8;  // In one datagram.
constexpr int kNewsFactor = 3;

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

Member* MemberTable::Lookup(MemberId id) {
  return const_cast<Member*>(Find(id));  // NOLINT: the same look-up.
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
  if (!ids_.emplace(id, Known{record.name, record.incarnation}).second) {
    return false;
  }
  const bool was_live = known != members_.end() && IsLive(known->second.state);
  if (!was_live) ++live_;
  if (was_live && known->second.state == MemberState::kSuspect) --suspects_;
  members_[record.name] = {
      record, MemberState::kAlive, now - kRelayedAge, now, {}, id};
  MarkNews(id);
  events.emplace_back(MemberChanged{record, MemberState::kAlive});
  return true;
}

void MemberTable::Evidence(MemberId id, Time at, const HostFacts& facts,
                           std::vector<MembershipEvent>& events) {
  Member* member = Lookup(id);
  if (member == nullptr || member->record.name == self_) return;
  if (member->state == MemberState::kLeft || at <= member->last_seen) return;
  if (ChangesDuties(facts, member->facts)) MarkNews(member->id);
  member->last_seen = at;
  member->facts = facts;
  if (member->state == MemberState::kAlive || at <= member->state_since) return;
  Change(*member, MemberState::kAlive, at, events);
}

void MemberTable::Apply(const MemberClaim& claim, Time now,
                        std::vector<MembershipEvent>& events) {
  const Time at = now - claim.age;
  if (claim.state == MemberState::kAlive) {
    Evidence(claim.id, at, claim.facts, events);
    return;
  }
  Member* member = Lookup(claim.id);
  if (member == nullptr || member->record.name == self_) return;
  if (member->state == MemberState::kLeft) return;
  if (claim.state == MemberState::kLeft) {
    Change(*member, MemberState::kLeft, at, events);
    return;
  }
  if (member->last_seen > at) {
    if (claim.state == MemberState::kSuspect) MarkNews(member->id);
    contested_.push_back(member->id);
    return;
  }
  if (claim.state > member->state) Change(*member, claim.state, at, events);
}

void MemberTable::Suspect(const HostName& name, Time now,
                          std::vector<MembershipEvent>& events) {
  const auto found = members_.find(name);
  if (found == members_.end()) return;
  if (found->second.state != MemberState::kAlive) return;
  Change(found->second, MemberState::kSuspect, now, events);
}

void MemberTable::Expire(Time now, std::vector<MembershipEvent>& events) {
  if (suspects_ == 0 && now < next_scan_) return;
  next_scan_ = now + kScanPeriod;
  const Duration limit = SuspicionTime(live_);
  // A host cut off must not take those it cannot hear for gone: without them
  // it would count itself as the whole fleet.
  const bool majority = 2 * live_ > members_.size();
  std::vector<HostName> old;
  for (auto& [name, member] : members_) {
    if (member.state == MemberState::kSuspect &&
        now >= member.state_since + limit) {
      // The claim keeps the time of the suspicion, which evidence must beat.
      Change(member, MemberState::kDead, member.state_since, events);
    }
    const bool gone = member.state == MemberState::kLeft ||
                      (member.state == MemberState::kDead && majority);
    if (gone && now >= member.state_since + kForgetAfter) old.push_back(name);
  }
  for (const HostName& name : old) Forget(name);
}

void MemberTable::RestartSuspicions(Time now) {
  for (auto& [name, member] : members_) {
    if (member.state == MemberState::kSuspect) member.state_since = now;
  }
}

void MemberTable::Change(Member& member, MemberState state, Time since,
                         std::vector<MembershipEvent>& events) {
  const bool was_live = IsLive(member.state);
  if (was_live && !IsLive(state)) --live_;
  if (!was_live && IsLive(state)) ++live_;
  if (member.state == MemberState::kSuspect) --suspects_;
  if (state == MemberState::kSuspect) ++suspects_;
  member.state = state;
  member.state_since = since;
  MarkNews(member.id);
  events.emplace_back(MemberChanged{member.record, state});
}

void MemberTable::MarkNews(MemberId id) {
  SetNews(id, kNewsFactor * static_cast<int>(std::bit_width(members_.size())));
}

void MemberTable::SetNews(MemberId id, int sends) {
  const auto known = news_.find(id);
  if (known != news_.end()) news_order_.erase({-known->second, id});
  if (sends <= 0) {
    news_.erase(id);
    return;
  }
  news_[id] = sends;
  news_order_.insert({-sends, id});
}

MemberClaim MemberTable::ClaimOf(const Member& member, Time now) const {
  MemberClaim claim;
  claim.id = member.id;
  claim.state = member.state;
  const bool alive = member.state == MemberState::kAlive;
  const Duration age = now - (alive ? member.last_seen : member.state_since);
  claim.age = std::max(age, Duration::zero());
  claim.facts = member.facts;
  return claim;
}

void MemberTable::AddContested(std::vector<MemberClaim>& claims,
                               std::size_t most, Time now) {
  for (const MemberId id : contested_) {
    if (claims.size() >= most) break;
    const Member* member = Find(id);
    if (member != nullptr) claims.push_back(ClaimOf(*member, now));
  }
  contested_.clear();
}

void MemberTable::AddNews(std::vector<MemberClaim>& claims, std::size_t most,
                          Time now) {
  std::vector<std::pair<int, MemberId>> changed;
  for (const auto& entry : news_order_) {
    if (claims.size() + changed.size() >= most) break;
    changed.push_back(entry);
  }
  for (const auto& [left, id] : changed) {
    const Member* member = Find(id);
    if (member != nullptr) claims.push_back(ClaimOf(*member, now));
    SetNews(id, member == nullptr ? 0 : -left - 1);
  }
}

void MemberTable::AddDead(std::vector<MemberClaim>& claims, std::size_t most,
                          Time now) {
  if (live_ == members_.size()) return;
  auto at = members_.upper_bound(dead_cursor_);
  for (std::size_t seen = 0; seen < members_.size(); ++seen, ++at) {
    if (at == members_.end()) at = members_.begin();
    if (claims.size() >= most) break;
    dead_cursor_ = at->first;
    if (at->second.state != MemberState::kDead) continue;
    claims.push_back(ClaimOf(at->second, now));
  }
}

void MemberTable::AddLive(std::vector<MemberClaim>& claims, std::size_t most,
                          MemberId receiver, Time now) {
  auto at = members_.upper_bound(cursor_);
  for (std::size_t seen = 0; seen < members_.size(); ++seen, ++at) {
    if (at == members_.end()) at = members_.begin();
    if (claims.size() >= most) break;
    cursor_ = at->first;
    if (at->first == self_ || news_.contains(at->second.id)) continue;
    if (!IsLive(at->second.state) || at->second.id == receiver) continue;
    claims.push_back(ClaimOf(at->second, now));
  }
}

std::vector<MemberClaim> MemberTable::Claims(MemberId receiver,
                                             std::size_t most,
                                             std::size_t most_filler,
                                             Time now) {
  std::vector<MemberClaim> claims;
  AddContested(claims, most, now);
  AddDead(claims, std::min(most, claims.size() + kDeadClaims), now);
  AddNews(claims, most, now);
  AddLive(claims, std::min(most, claims.size() + most_filler), receiver, now);
  return claims;
}

void MemberTable::Forget(const HostName& name) {
  std::erase_if(ids_, [&](const auto& id) { return id.second.name == name; });
  SetNews(members_.at(name).id, 0);
  members_.erase(name);
}

}  // namespace comfreyflow::detail
