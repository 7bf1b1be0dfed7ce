/// The members known to a host, and how claims from other hosts change them.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "comfreyflow/membership.h"

namespace comfreyflow::detail {

/// Invariants: each name has one member, in its highest incarnation seen; a
/// member is suspect or dead only while its `last_seen` is not later than its
/// `state_since`; a member that left stays in that state for its incarnation.
class MemberTable {
 public:
  MemberTable(const HostRecord& self, Time now);

  /// Adds a host or a later incarnation of a known host. Returns whether the
  /// record was added.
  bool AddRecord(const HostRecord& record, Time now,
                 std::vector<MembershipEvent>& events);
  /// Records evidence, direct or relayed, that the member was alive at
  /// `seen_at`.
  void MarkSeen(MemberId id, Time seen_at, const HostFacts& facts,
                std::vector<MembershipEvent>& events);
  void Apply(const MemberClaim& claim, Time now,
             std::vector<MembershipEvent>& events);
  void Suspect(const HostName& name, Time now,
               std::vector<MembershipEvent>& events);
  /// Declares members dead whose suspicion has timed out, and removes those
  /// that left or died long ago.
  void Expire(Time now, std::vector<MembershipEvent>& events);
  /// Restarts the suspicion time of every suspect member.
  void RestartSuspicions(Time now);

  /// Claims to send, in this order: members about which a received claim was
  /// outdated; some dead members, so that a peer can report later evidence;
  /// members changed recently; then other live members in rotation, at most
  /// `max_fillers` of them. No more than `max_claims` are returned.
  std::vector<MemberClaim> Claims(MemberId receiver, std::size_t max_claims,
                                  std::size_t max_fillers, Time now);
  MemberClaim ClaimOf(const Member& member, Time now) const;
  /// The member with this identifier; null if it is unknown or was replaced by
  /// a later incarnation.
  const Member* Find(MemberId id) const;
  const Member* Find(const HostName& name) const;
  bool HasId(MemberId id) const { return ids_.contains(id); }
  std::size_t live_count() const { return live_count_; }
  const std::map<HostName, Member>& members() const { return members_; }
  Member& self() { return members_.at(self_); }

 private:
  struct Identity {
    HostName name;
    Incarnation incarnation;
  };

  Member* FindMutable(MemberId id);
  void SetState(Member& member, MemberState state, Time since,
                std::vector<MembershipEvent>& events);
  void MarkChanged(MemberId id);
  void SetSendsLeft(MemberId id, int sends);
  void AddContested(std::vector<MemberClaim>& claims, std::size_t max_claims,
                    Time now);
  void AddChanged(std::vector<MemberClaim>& claims, std::size_t max_claims,
                  Time now);
  void AddDead(std::vector<MemberClaim>& claims, std::size_t max_claims,
               Time now);
  void AddLive(std::vector<MemberClaim>& claims, std::size_t max_claims,
               MemberId receiver, Time now);
  void Remove(const HostName& name);

  HostName self_;
  std::map<HostName, Member> members_;
  std::map<MemberId, Identity> ids_;  ///< Includes replaced incarnations.
  /// How often each changed member is still to be claimed.
  std::map<MemberId, int> sends_left_;
  /// Entries of `sends_left_` with negated counts: most sends left first.
  std::set<std::pair<int, MemberId>> send_order_;
  /// Members about which a claim received since the last send was outdated.
  std::vector<MemberId> contested_;
  HostName dead_cursor_;  ///< Last name visited for claims about dead members.
  HostName live_cursor_;  ///< Last name visited for filler claims.
  std::size_t live_count_ = 1;  ///< Alive and suspect members.
  std::size_t suspect_count_ = 0;
  Time next_expiry_scan_;  ///< Next scan for members to remove.
};

}  // namespace comfreyflow::detail
