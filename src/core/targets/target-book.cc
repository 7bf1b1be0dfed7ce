// Keeps targets in use during outages of the store.
#include "comfreyflow/target-book.h"

#include <algorithm>
#include <set>
#include <utility>

namespace comfreyflow {
namespace {

/// The list must reflect a change reported by a peer within this time plus the
/// interval between two polls of the list. Otherwise its watch is broken.
constexpr Duration kMaxListDelay = std::chrono::seconds(1);
/// After this time the list reflects what closed a target, and a copy of the
/// store is not as old as this.
constexpr Duration kClosureLifetime = std::chrono::minutes(5);
constexpr std::size_t kMaxClosures = 4000;
/// A start whose entry was removed may still run for some seconds, and its
/// entry may reappear while the store has problems.
constexpr Duration kOwnReportLifetime = std::chrono::hours(1);
/// Above this number starts that are not listed are forgotten, the oldest
/// first.
constexpr std::size_t kMaxOwnReports = 8192;

/// Whether one start of a target, or a version of its entry, is later than
/// another. Versions order the entries of one era. Across eras they do not, as
/// a copy of the store may list an earlier start; the times of the starts do.
bool IsLaterStart(std::uint64_t born, const StoreVersion& version,
                  std::uint64_t other_born, const StoreVersion& other) {
  const bool has_births = born != 0 && other_born != 0;
  if (version.era != other.era && has_births) return born > other_born;
  return version > other;
}

}  // namespace

bool TargetBook::IsSettling(Time now) const {
  return is_store_lost_ ||
         (was_store_lost_ && now - store_back_at_ < settling_time_);
}

void TargetBook::SetList(const std::vector<TargetEntry>& entries, Time now) {
  now_ = now;
  std::set<TargetName> listed_names;
  for (const auto& entry : entries) {
    listed_names.insert(entry.target.name);
    Put(entry);
  }
  std::vector<TargetName> removed;
  for (const auto& [name, entry] : entries_) {
    if (!listed_names.contains(name)) removed.push_back(name);
  }
  for (const auto& name : removed) Removed(name, now);
}

bool TargetBook::IsOlder(const TargetEntry& entry, const TargetEntry& known) {
  const std::uint64_t born = entry.target.born;
  const std::uint64_t known_born = known.target.born;
  // Without a start identifier a lower number may belong to a new start.
  if (born == 0 || known_born == 0) return false;
  if (born == known_born)
    return entry.report != 0 && entry.report < known.report;
  return entry.target.version.era != known.target.version.era &&
         born < known_born;
}

bool TargetBook::Put(const TargetEntry& new_entry) {
  TargetEntry entry = new_entry;
  const TargetName& name = entry.target.name;
  TargetEntry& known = entries_[name];
  if (IsOlder(entry, known)) {
    if (entry.target.born != known.target.born) {
      Removed(name, now_);  // The start that is known is not listed.
    } else {
      missing_.erase(name);
      known.target.version = entry.target.version;
    }
    return false;
  }
  missing_.erase(name);
  const bool says_leaving = entry.target.leaving;
  if (says_leaving && !known.target.leaving)
    new_marks_.push_back(MarkOf(entry));
  if (IsClosed(entry)) {
    entry.target.leaving = true;
  } else {
    closures_.erase(name);
  }
  if (says_leaving) {
    CloseAsOf(MarkOf(entry), false);
  }
  if (ClosedByOwnReport(entry)) entry.target.leaving = true;
  unconfirmed_.erase(name);
  // A report that is read again does not prolong a cold phase.
  if (entry.report != 0 && entry.report == known.report &&
      entry.target.born == known.target.born) {
    entry.target.cold_until = known.target.cold_until;
  }
  TargetEntry before = std::exchange(known, entry);
  // Fields that differ with each report do not count as a change.
  before.target.version = entry.target.version;
  before.report = entry.report;
  before.cold_left = entry.cold_left;
  if (before != entry) is_changed_ = true;
  return true;
}

bool TargetBook::Removed(const TargetName& name, Time now) {
  now_ = now;
  const auto at = entries_.find(name);
  if (at == entries_.end()) return false;
  // A target that was leaving has left. Only the entry of a working target can
  // have expired by mistake.
  if (IsSettling(now) && !at->second.target.leaving) {
    missing_.try_emplace(name, now);
    return true;
  }
  Dropped(name);
  return false;
}

void TargetBook::Dropped(const TargetName& name) {
  missing_.erase(name);
  unconfirmed_.erase(name);
  const auto at = entries_.find(name);
  if (at == entries_.end()) return;
  new_marks_.push_back(MarkOf(at->second));
  CloseAsOf(MarkOf(at->second), false);
  entries_.erase(at);
  is_changed_ = true;
}

TargetMark TargetBook::MarkOf(const TargetEntry& entry) {
  return {entry.target.name, entry.target.version, true, 0,
          entry.target.born, entry.report};
}

bool TargetBook::CloseAsOf(const TargetMark& mark, bool binds_own_era) {
  if (closures_.size() >= kMaxClosures && !closures_.contains(mark.target))
    return false;
  Closure& closure = closures_[mark.target];
  closure.received_at = now_;
  closure.binds_own_era = closure.binds_own_era || binds_own_era;
  if (closure.born == mark.entry_born) {
    closure.report = std::max(closure.report, mark.entry_report);
  } else if (mark.entry_born != 0 &&
             IsLaterStart(mark.entry_born, mark.version, closure.born,
                          closure.version)) {
    closure.born = mark.entry_born;
    closure.report = mark.entry_report;
  }
  closure.version = std::max(closure.version, mark.version);
  return true;
}

bool TargetBook::IsClosed(const TargetEntry& entry) {
  const auto at = closures_.find(entry.target.name);
  if (at == closures_.end()) return false;
  Closure& closure = at->second;
  if (entry.target.version.era == closure.version.era) {
    return closure.binds_own_era && entry.target.version <= closure.version;
  }
  const std::uint64_t born = entry.target.born;
  const bool has_births = born != 0 && closure.born != 0;
  const bool has_reports = has_births && born == closure.born &&
                           entry.report != 0 && closure.report != 0;
  if (has_reports) return entry.report <= closure.report;
  if (has_births && born != closure.born) return born < closure.born;
  // Nothing tells whether the entry was written before or after: it is taken
  // for the copy's until it changes.
  closure.version = entry.target.version;
  closure.binds_own_era = true;
  return true;
}

bool TargetBook::ClosedByOwnReport(const TargetEntry& entry) {
  const auto at = leaving_starts_.find(entry.target.name);
  if (at == leaving_starts_.end()) return false;
  LeavingStart& left = at->second;
  const std::uint64_t born = entry.target.born;
  if (left.born == 0) left.born = born;
  // An entry without a start identifier may belong to any start.
  if (born == 0 || born == left.born) {
    left.version = std::max(left.version, entry.target.version);
    return true;
  }
  if (!IsLaterStart(born, entry.target.version, left.born, left.version))
    return true;
  leaving_starts_.erase(at);
  return false;
}

bool TargetBook::CloseStart(const LeavingReport& report, Time now) {
  LeavingReport left = report;
  const auto at = entries_.find(left.target);
  if (at != entries_.end()) {
    const PoolTarget& listed = at->second.target;
    if (left.born == 0) left.born = listed.born;
    const bool is_same_start = listed.born == left.born || listed.born == 0;
    // The report is of a start before the listed one.
    if (!is_same_start &&
        !IsLaterStart(left.born, left.version, listed.born, listed.version)) {
      return false;
    }
    if (is_same_start) left.version = std::max(left.version, listed.version);
  }
  const auto known = leaving_starts_.find(left.target);
  if (known != leaving_starts_.end() && known->second.born == left.born) {
    known->second.received_at = now;
    return false;
  }
  leaving_starts_[left.target] = {left.born, left.version, now};
  if (at != entries_.end() && !at->second.target.leaving) {
    at->second.target.leaving = true;
    is_changed_ = true;
  }
  ExpireOwnReports(now);
  return true;
}

bool TargetBook::RecordLeaving(const LeavingReport& received, Time now) {
  now_ = now;
  LeavingReport report = received;
  if (report.version.era == 0) report.version.era = era_;
  const auto at = entries_.find(report.target);
  const bool is_other_address =
      !report.address.empty() &&
      (at == entries_.end() || at->second.target.address != report.address);
  if (is_other_address || !CloseStart(report, now)) return false;
  const LeavingStart& left = leaving_starts_.at(report.target);
  new_marks_.push_back({report.target, left.version, true, left.born});
  return true;
}

void TargetBook::ExpireOwnReports(Time now) {
  std::erase_if(leaving_starts_, [this, now](const auto& entry) {
    return now - entry.second.received_at > kOwnReportLifetime &&
           !entries_.contains(entry.first);
  });
  while (leaving_starts_.size() > kMaxOwnReports) {
    auto oldest = leaving_starts_.end();
    for (auto at = leaving_starts_.begin(); at != leaving_starts_.end(); ++at) {
      if (entries_.contains(at->first)) continue;
      if (oldest == leaving_starts_.end() ||
          at->second.received_at < oldest->second.received_at) {
        oldest = at;
      }
    }
    if (oldest == leaving_starts_.end())
      return;  // The rest is bounded by the size of the list.
    leaving_starts_.erase(oldest);
  }
}

bool TargetBook::ApplyMark(const TargetMark& received, Time now) {
  now_ = now;
  if (!received.closed) return false;
  TargetMark mark = received;
  if (mark.version.era == 0) mark.version.era = era_;
  if (mark.start != 0) {
    return CloseStart({mark.target, mark.start, mark.version, {}}, now);
  }
  const auto at = entries_.find(mark.target);
  // Removed at the version known here; after an outage the entry may only have
  // expired.
  const bool is_removed =
      at != entries_.end() && mark.version == at->second.target.version;
  if (is_removed && IsSettling(now)) return false;
  if (!CloseAsOf(mark, true)) return false;
  if (at == entries_.end() || at->second.target.leaving ||
      !IsClosed(at->second)) {
    return false;
  }
  at->second.target.leaving = true;
  unconfirmed_.try_emplace(mark.target, now);
  is_changed_ = true;
  return true;
}

std::vector<TargetMark> TargetBook::TakeMarks() {
  return std::exchange(new_marks_, {});
}

std::vector<TargetMark> TargetBook::TakeExpired() {
  return std::exchange(expired_, {});
}

bool TargetBook::IsListBehind(Time now, Duration pause) const {
  return std::any_of(unconfirmed_.begin(), unconfirmed_.end(),
                     [now, pause](const auto& entry) {
                       return now - entry.second > kMaxListDelay + pause;
                     });
}

void TargetBook::StoreLost(Time now) {
  now_ = now;
  is_store_lost_ = true;
  was_store_lost_ = true;
}

void TargetBook::StoreBack(Time now) {
  now_ = now;
  if (!is_store_lost_) return;
  is_store_lost_ = false;
  store_back_at_ = now;
}

void TargetBook::SetSettling(Time now) {
  now_ = now;
  was_store_lost_ = true;
  store_back_at_ = now;
}

bool TargetBook::AbsenceMeansRemoved(const StoreVersion& entry,
                                     const StoreVersion& list, Time now) const {
  if (list.revision == 0) return false;
  const bool is_earlier_era = entry.era != 0 && entry.era < list.era;
  if (is_earlier_era) return !IsSettling(now);
  return entry.era <= list.era && entry.revision <= list.revision;
}

std::optional<Time> TargetBook::Tick(Time now) {
  now_ = now;
  std::erase_if(closures_, [now](const auto& entry) {
    return now - entry.second.received_at > kClosureLifetime;
  });
  ExpireOwnReports(now);
  if (missing_.empty() || is_store_lost_) return std::nullopt;
  if (IsSettling(now)) return store_back_at_ + settling_time_;
  for (const auto& [name, since] : missing_) {
    const auto at = entries_.find(name);
    if (at != entries_.end()) {
      expired_.push_back(MarkOf(at->second));
      CloseAsOf(MarkOf(at->second), false);
      entries_.erase(at);
    }
    unconfirmed_.erase(name);
  }
  missing_.clear();
  is_changed_ = true;
  return std::nullopt;
}

bool TargetBook::Leaving(const TargetName& name) const {
  const auto at = entries_.find(name);
  return at == entries_.end() || at->second.target.leaving;
}

bool TargetBook::TakeChanged() { return std::exchange(is_changed_, false); }

std::map<ServiceName, std::vector<PoolTarget>> TargetBook::Pool() const {
  std::map<ServiceName, std::vector<PoolTarget>> pool;
  for (const auto& [name, entry] : entries_) {
    pool[entry.service].push_back(entry.target);
  }
  return pool;
}

}  // namespace comfreyflow
