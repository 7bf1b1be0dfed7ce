/// The targets that may get work, out of a list that lags, loses entries while
/// its keeper is away, and may hold entries of other writers.
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
  /// Number of the report that the entry was written from; grows with each of
  /// one start of the target. 0: not told.
  std::uint64_t report = 0;
  bool operator==(const TargetEntry&) const = default;
};

/// A target's own word, in an answer, that its start `born` leaves.
struct LeavingReport {
  TargetName target;
  std::uint64_t born = 0;     ///< 0: the start that is known here.
  std::uint64_t version = 0;  ///< Of an entry of that start; 0: not known.
  /// Where the answer came from; empty: from the target, whatever its address.
  std::string address;
};

class TargetBook {
 public:
  /// `return_time`: how long after the list's keeper is back entries may still
  /// be missing whose targets are alive.
  explicit TargetBook(Duration return_time) : return_time_(return_time) {}

  /// The whole list.
  void SetList(const std::vector<TargetEntry>& entries, Time now);
  /// Whether it was taken: a report that is older than the last one of the same
  /// start may arrive after it.
  bool Put(const TargetEntry& entry);
  /// Whether the target stays in use, as its entry may have lapsed.
  bool Removed(const TargetName& name, Time now);
  /// The entry names no target any more, whatever it is: none is used.
  void Dropped(const TargetName& name);
  /// A peer knows that the target takes no new work as of that version of its
  /// entry. Whether it was in use here until now.
  bool ApplyMark(const TargetMark& mark, Time now);
  /// The target leaves by its own word: that start of it takes no new work
  /// here, whatever the list says, until a later start is listed. Whether that
  /// is news.
  bool RecordLeaving(const LeavingReport& left, Time now);
  /// Targets that leave or are gone from the list, since the last call; for the
  /// peers.
  std::vector<TargetMark> TakeMarks();
  /// Whether the list has not told by now what a peer told some time ago; it is
  /// looked at with such pauses.
  bool IsListBehind(Time now, Duration pause) const;
  /// The list's keeper does not answer, or answers again.
  void StoreLost(Time now);
  void StoreBack(Time now);
  /// Drops entries that are still missing; when to call it again for those that
  /// are left, if ever.
  std::optional<Time> Tick(Time now);
  /// True once after each change; a later version of an entry that is the same
  /// otherwise is none.
  bool TakeChanged();

  std::map<ServiceName, std::vector<PoolTarget>> Pool() const;
  /// Whether the target takes no new work, by the list, a peer or itself.
  bool Leaving(const TargetName& name) const;
  std::size_t size() const { return entries_.size(); }
  /// Entries that are missing from the list and still in use.
  std::size_t missing() const { return missing_.size(); }
  /// Starts that are closed by their own word.
  std::size_t self_reported_leaving() const { return left_.size(); }

 private:
  bool Settling(Time now) const;

  const Duration return_time_;
  static bool IsOlder(const TargetEntry& entry, const TargetEntry& known);

  /// Whether a peer's word on the target is later than the entry.
  bool ClosedByMark(const TargetEntry& entry) const;
  /// Whether the entry is of the start that leaves by its own word; forgets
  /// that word if it is of a later start.
  bool ClosedByOwnWord(const TargetEntry& entry);
  bool Close(const LeavingReport& told, Time now);
  void ForgetOwnWords(Time now);

  std::map<TargetName, TargetEntry> entries_;
  /// A peer's word: closed as of a version of the entry.
  struct Closed {
    std::uint64_t version = 0;
    Time heard;
  };
  std::map<TargetName, Closed> marks_;
  /// A start that leaves by its own word. Invariant: `version` is the highest
  /// known of an entry of that start, so that an entry of another start is a
  /// later one if and only if its version is higher.
  struct Left {
    std::uint64_t born = 0;  ///< 0: not known; that of the next entry.
    std::uint64_t version = 0;
    Time heard;
  };
  std::map<TargetName, Left> left_;
  /// Closed by a peer's word alone, since when.
  std::map<TargetName, Time> unconfirmed_;
  std::vector<TargetMark> news_;
  std::map<TargetName, Time> missing_;  ///< Since when.
  bool lost_ = false;
  bool ever_lost_ = false;
  Time back_;
  bool changed_ = false;
};

}  // namespace comfreyflow
