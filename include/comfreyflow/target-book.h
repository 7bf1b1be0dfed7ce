/// The targets that may get work, derived from a list that lags behind, loses
/// entries while its store is unreachable, may contain entries of other writers
/// and may be replaced by an older copy of itself.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "comfreyflow/membership.h"
#include "comfreyflow/placer.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

struct TargetEntry {
  ServiceName service;
  PoolTarget target;
  /// Sequence number of the report that the entry was written from; increases
  /// with each report of one start of the target. 0: unknown.
  std::uint64_t report = 0;
  /// How much longer the target is cold, as of the report.
  Duration cold_left{};
  bool operator==(const TargetEntry&) const = default;
};

/// A target reported in an answer that its start `born` is leaving.
struct LeavingReport {
  TargetName target;
  std::uint64_t born = 0;  ///< 0: the start that is known here.
  /// Version of an entry of that start; revision 0: unknown.
  StoreVersion version;
  /// Address the answer came from; empty: from the target itself, whatever its
  /// address.
  std::string address;
};

class TargetBook {
 public:
  /// `settling_time`: how long after the store is back entries of live targets
  /// may still be missing from the list.
  explicit TargetBook(Duration settling_time) : settling_time_(settling_time) {}

  /// Replaces the complete list.
  void SetList(const std::vector<TargetEntry>& entries, Time now);
  /// Takes an entry. Returns false if it is outdated: a report may arrive after
  /// a later one of the same start.
  bool Put(const TargetEntry& entry);
  /// The entry was removed from the list. Returns whether the target stays in
  /// use because its entry may only have expired.
  bool Removed(const TargetName& name, Time now);
  /// The entry of this name does not describe a target any more; the target is
  /// dropped in any case.
  void Dropped(const TargetName& name);
  /// A peer reports that the target takes no new work as of this version of its
  /// entry. Returns whether the target was in use here until now.
  bool ApplyMark(const TargetMark& mark, Time now);
  /// The target reports that it is leaving. That start of it takes no new work
  /// here, whatever the list says, until a later start is listed. Returns
  /// whether this was not known before.
  bool RecordLeaving(const LeavingReport& left, Time now);
  /// Returns the targets that started to leave or were removed from the list
  /// since the last call, to be sent to the peers.
  std::vector<TargetMark> TakeMarks();
  /// Whether the list still lacks a change that a peer reported some time ago.
  /// `pause` is the interval at which the list is polled.
  bool IsListBehind(Time now, Duration pause) const;
  /// The store that keeps the list does not answer, or answers again.
  void StoreLost(Time now);
  void StoreBack(Time now);
  /// The era of the store; that of marks and reports which name none.
  void SetEra(std::uint64_t era) { era_ = era; }
  /// Entries of live targets may be missing from the list for the settling
  /// time, because the store came back from an older copy.
  void SetSettling(Time now);
  /// Whether a target that had an entry of this version was removed if the
  /// list, of the version `list`, has no entry of it.
  bool AbsenceMeansRemoved(const StoreVersion& entry, const StoreVersion& list,
                           Time now) const;
  /// Drops entries that are still missing after the settling time. Returns when
  /// to call it again for the remaining ones, if at all.
  std::optional<Time> Tick(Time now);
  /// Returns the targets that `Tick` dropped since the last call.
  std::vector<TargetMark> TakeExpired();
  /// Returns true once after each change. A new version of an otherwise equal
  /// entry is not a change.
  bool TakeChanged();

  std::map<ServiceName, std::vector<PoolTarget>> Pool() const;
  /// Whether the target takes no new work according to the list, a peer or the
  /// target itself.
  bool Leaving(const TargetName& name) const;
  std::size_t size() const { return entries_.size(); }
  /// Number of entries that are missing from the list but still in use.
  std::size_t missing() const { return missing_.size(); }
  /// Number of starts that are closed because the target itself reported that
  /// it is leaving.
  std::size_t self_reported_leaving() const { return leaving_starts_.size(); }

 private:
  /// What closes a target: an entry in which it was leaving, its removal, or a
  /// mark of a peer.
  struct Closure {
    StoreVersion version;
    std::uint64_t born = 0;    ///< Of the last entry known; 0: unknown.
    std::uint64_t report = 0;  ///< Of the last entry known; 0: unknown.
    /// Applies to entries of its own era too, as a peer may know a later entry
    /// than the list here. Otherwise the list itself tells within an era.
    bool binds_own_era = false;
    Time received_at;
  };

  bool IsSettling(Time now) const;

  const Duration settling_time_;
  /// Whether the entry precedes the known one, of the same start of the target
  /// or of a later one.
  static bool IsOlder(const TargetEntry& entry, const TargetEntry& known);

  /// Closes the target as of the entry that the mark describes. Returns false
  /// if too many are closed.
  bool CloseAsOf(const TargetMark& mark, bool binds_own_era);
  /// Whether a closure applies to the entry.
  bool IsClosed(const TargetEntry& entry);
  static TargetMark MarkOf(const TargetEntry& entry);
  /// Whether the entry belongs to a start that reported itself that it is
  /// leaving. Forgets that report if the entry is of a later start.
  bool ClosedByOwnReport(const TargetEntry& entry);
  bool CloseStart(const LeavingReport& report, Time now);
  void ExpireOwnReports(Time now);

  std::map<TargetName, TargetEntry> entries_;
  std::map<TargetName, Closure> closures_;
  /// A start that reported itself that it is leaving. Invariant: `version` is
  /// the highest version known of an entry of that start, so an entry of
  /// another start in the same era is later if and only if its version is
  /// higher.
  struct LeavingStart {
    std::uint64_t born = 0;  ///< 0: unknown, taken from the next entry.
    StoreVersion version;
    Time received_at;
  };
  std::map<TargetName, LeavingStart> leaving_starts_;
  /// Targets closed only by a mark of a peer, and since when.
  std::map<TargetName, Time> unconfirmed_;
  std::vector<TargetMark> new_marks_;
  std::vector<TargetMark> expired_;
  std::map<TargetName, Time> missing_;  ///< Since when each entry is missing.
  bool is_store_lost_ = false;
  bool was_store_lost_ = false;
  Time store_back_at_;  ///< Or when its era changed.
  std::uint64_t era_ = 0;
  Time now_;  ///< Of the last call that named a time.
  bool is_changed_ = false;
};

}  // namespace comfreyflow
