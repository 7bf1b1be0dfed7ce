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
/// After this time the list reflects what a mark of a peer reported, so the
/// mark is dropped.
constexpr Duration kMarkLifetime = std::chrono::minutes(5);
constexpr std::size_t kMaxMarks = 4000;
/// A start whose entry was removed may still run for some seconds, and its
/// entry may reappear while the store has problems.
constexpr Duration kOwnReportLifetime = std::chrono::hours(1);
/// Above this number starts that are not listed are forgotten, the oldest
/// first.
constexpr std::size_t kMaxOwnReports = 8192;

}  // namespace

bool TargetBook::IsSettling(Time now) const {
  return is_store_lost_ ||
         (was_store_lost_ && now - store_back_at_ < settling_time_);
}

void TargetBook::SetList(const std::vector<TargetEntry>& entries, Time now) {
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
  // Without a start identifier a lower number may belong to a new start.
  return entry.target.born != 0 && entry.target.born == known.target.born &&
         entry.report != 0 && entry.report < known.report;
}

bool TargetBook::Put(const TargetEntry& new_entry) {
  TargetEntry entry = new_entry;
  const TargetName& name = entry.target.name;
  missing_.erase(name);
  TargetEntry& known = entries_[name];
  if (IsOlder(entry, known)) {
    known.target.version = entry.target.version;
    return false;
  }
  if (entry.target.leaving && !known.target.leaving) {
    new_marks_.push_back({name, entry.target.version, true});
  }
  if (ClosedByMark(entry)) {
    entry.target.leaving = true;
  } else {
    marks_.erase(name);
  }
  if (ClosedByOwnReport(entry)) entry.target.leaving = true;
  unconfirmed_.erase(name);
  TargetEntry before = std::exchange(known, entry);
  // Fields that differ with each report do not count as a change.
  before.target.version = entry.target.version;
  before.report = entry.report;
  if (before != entry) is_changed_ = true;
  return true;
}

bool TargetBook::Removed(const TargetName& name, Time now) {
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
  new_marks_.push_back({name, at->second.target.version, true});
  entries_.erase(at);
  is_changed_ = true;
}

bool TargetBook::ClosedByMark(const TargetEntry& entry) const {
  const auto at = marks_.find(entry.target.name);
  return at != marks_.end() && entry.target.version <= at->second.version;
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
  if (entry.target.version <= left.version) return true;
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
    if (!is_same_start && left.version <= listed.version) return false;
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

bool TargetBook::RecordLeaving(const LeavingReport& report, Time now) {
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

bool TargetBook::ApplyMark(const TargetMark& mark, Time now) {
  if (!mark.closed) return false;
  if (mark.start != 0) {
    return CloseStart({mark.target, mark.start, mark.version, {}}, now);
  }
  const auto at = entries_.find(mark.target);
  // Removed at the version known here; after an outage the entry may only have
  // expired.
  const bool is_removed =
      at != entries_.end() && mark.version == at->second.target.version;
  if (is_removed && IsSettling(now)) return false;
  if (marks_.size() >= kMaxMarks) return false;
  ClosedMark& closed = marks_[mark.target];
  closed = {std::max(closed.version, mark.version), now};
  if (at == entries_.end() || at->second.target.leaving ||
      !ClosedByMark(at->second)) {
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

bool TargetBook::IsListBehind(Time now, Duration pause) const {
  return std::any_of(unconfirmed_.begin(), unconfirmed_.end(),
                     [now, pause](const auto& entry) {
                       return now - entry.second > kMaxListDelay + pause;
                     });
}

void TargetBook::StoreLost(Time) {
  is_store_lost_ = true;
  was_store_lost_ = true;
}

void TargetBook::StoreBack(Time now) {
  if (!is_store_lost_) return;
  is_store_lost_ = false;
  store_back_at_ = now;
}

std::optional<Time> TargetBook::Tick(Time now) {
  std::erase_if(marks_, [now](const auto& entry) {
    return now - entry.second.received_at > kMarkLifetime;
  });
  ExpireOwnReports(now);
  if (missing_.empty() || is_store_lost_) return std::nullopt;
  if (IsSettling(now)) return store_back_at_ + settling_time_;
  for (const auto& [name, since] : missing_) {
    entries_.erase(name);
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
