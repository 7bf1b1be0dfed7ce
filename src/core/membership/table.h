/// The members known to a host, and how claims of others change them.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "comfreyflow/membership.h"

namespace comfreyflow::detail {

/// Invariants: each name has one member, in its highest incarnation seen; a
/// member is suspect or dead only while no evidence is later than `since`; a
/// member that left stays so for that incarnation.
class MemberTable {
 public:
  MemberTable(const HostRecord& self, Time now);

  /// Adds a host or a later incarnation of one. Returns false when nothing new.
  bool AddRecord(const HostRecord& record, Time now,
                 std::vector<MembershipEvent>& events);
  /// Direct evidence, or a relayed one of an earlier time.
  void Evidence(MemberId id, Time at, const HostFacts& facts,
                std::vector<MembershipEvent>& events);
  void Apply(const MemberClaim& claim, Time now,
             std::vector<MembershipEvent>& events);
  void Suspect(const HostName& name, Time now,
               std::vector<MembershipEvent>& events);
  /// Turns old suspicions into deaths and forgets those long dead.
  void Expire(Time now, std::vector<MembershipEvent>& events);
  /// Gives every suspect its full time again.
  void RestartSuspicions(Time now);

  /// Claims to send: first those that a peer has wrong, then some that this
  /// host has as dead, so that a peer can say otherwise, then changed ones and
  /// others in turn.
  std::vector<MemberClaim> Claims(MemberId receiver, std::size_t most,
                                  std::size_t most_filler, Time now);
  /// The member with this identifier, null when unknown or replaced.
  const Member* Find(MemberId id) const;
  const Member* Find(const HostName& name) const;
  bool Knows(MemberId id) const { return ids_.contains(id); }
  std::size_t live() const { return live_; }
  const std::map<HostName, Member>& members() const { return members_; }
  Member& self() { return members_.at(self_); }

 private:
  struct Known {
    HostName name;
    Incarnation incarnation;
  };

  Member* Lookup(MemberId id);
  void Change(Member& member, MemberState state, Time since,
              std::vector<MembershipEvent>& events);
  void MarkNews(MemberId id);
  void SetNews(MemberId id, int sends);
  void AddContested(std::vector<MemberClaim>& claims, std::size_t most,
                    Time now);
  void AddNews(std::vector<MemberClaim>& claims, std::size_t most, Time now);
  void AddDead(std::vector<MemberClaim>& claims, std::size_t most, Time now);
  void AddLive(std::vector<MemberClaim>& claims, std::size_t most,
               MemberId receiver, Time now);
  MemberClaim ClaimOf(const Member& member, Time now) const;
  void Forget(const HostName& name);

  HostName self_;
  std::map<HostName, Member> members_;
  std::map<MemberId, Known> ids_;  // Of replaced incarnations too.
  std::map<MemberId, int> news_;   // Sends left of what has changed.
  std::set<std::pair<int, MemberId>> news_order_;  // The same, negated.
  std::vector<MemberId> contested_;  // Wrong in a claim just received.
  HostName dead_cursor_;             // Where the next dead claims begin.
  HostName cursor_;                  // Where the next filler claims begin.
  std::size_t live_ = 1;             // Alive and suspect members.
  std::size_t suspects_ = 0;         // Suspect members.
  Time next_scan_;                   // When to look for members to forget.
};

}  // namespace comfreyflow::detail
