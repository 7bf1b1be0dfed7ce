// Keeps targets over outages of the list.
#include "comfreyflow/target-book.h"

#include <algorithm>
#include <set>
#include <utility>

namespace comfreyflow {
namespace {

/// The list tells what a peer told within this time, or its watch is broken.
constexpr Duration kListPatience = std::chrono::seconds(1);
/// The list has told of what a peer told so long ago.
constexpr Duration kMarkLife = std::chrono::minutes(5);
constexpr std::size_t kMostMarks = 4000;

}  // namespace

bool TargetBook::Settling(Time now) const {
  return lost_ || (ever_lost_ && now - back_ < return_time_);
}

void TargetBook::Listed(const std::vector<TargetEntry>& entries, Time now) {
  std::set<TargetName> named;
  for (const auto& entry : entries) {
    named.insert(entry.target.name);
    Put(entry);
  }
  std::vector<TargetName> gone;
  for (const auto& [name, entry] : entries_) {
    if (!named.contains(name)) gone.push_back(name);
  }
  for (const auto& name : gone) Removed(name, now);
}

bool TargetBook::IsOlder(const TargetEntry& entry, const TargetEntry& known) {
  // Without its start a lower number may be that of a new one.
  return entry.target.born != 0 && entry.target.born == known.target.born &&
         entry.report != 0 && entry.report < known.report;
}

bool TargetBook::Put(const TargetEntry& given) {
  TargetEntry entry = given;
  const TargetName& name = entry.target.name;
  missing_.erase(name);
  TargetEntry& known = entries_[name];
  if (IsOlder(entry, known)) {
    known.target.version = entry.target.version;
    return false;
  }
  if (entry.target.leaving && !known.target.leaving) {
    news_.push_back({name, entry.target.version, true});
  }
  if (ClosedByMark(entry)) {
    entry.target.leaving = true;
  } else {
    marks_.erase(name);
  }
  unconfirmed_.erase(name);
  TargetEntry before = std::exchange(known, entry);
  // What differs with each report is no change.
  before.target.version = entry.target.version;
  before.report = entry.report;
  if (before != entry) changed_ = true;
  return true;
}

bool TargetBook::Removed(const TargetName& name, Time now) {
  const auto at = entries_.find(name);
  if (at == entries_.end()) return false;
  // What was leaving has left; only a working target's entry can have lapsed.
  if (Settling(now) && !at->second.target.leaving) {
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
  news_.push_back({name, at->second.target.version, true});
  entries_.erase(at);
  changed_ = true;
}

bool TargetBook::ClosedByMark(const TargetEntry& entry) const {
  const auto at = marks_.find(entry.target.name);
  return at != marks_.end() && entry.target.version <= at->second.version;
}

bool TargetBook::Marked(const TargetMark& mark, Time now) {
  if (!mark.closed) return false;
  const auto at = entries_.find(mark.target);
  // Gone at the version known here: after an outage it may have lapsed.
  const bool gone =
      at != entries_.end() && mark.version == at->second.target.version;
  if (gone && Settling(now)) return false;
  if (marks_.size() >= kMostMarks) return false;
  Closed& closed = marks_[mark.target];
  closed = {std::max(closed.version, mark.version), now};
  if (at == entries_.end() || at->second.target.leaving ||
      !ClosedByMark(at->second)) {
    return false;
  }
  at->second.target.leaving = true;
  unconfirmed_.try_emplace(mark.target, now);
  changed_ = true;
  return true;
}

std::vector<TargetMark> TargetBook::TakeMarks() {
  return std::exchange(news_, {});
}

bool TargetBook::Behind(Time now) const {
  return std::any_of(
      unconfirmed_.begin(), unconfirmed_.end(),
      [now](const auto& entry) { return now - entry.second > kListPatience; });
}

void TargetBook::KeeperLost(Time) {
  lost_ = true;
  ever_lost_ = true;
}

void TargetBook::KeeperBack(Time now) {
  if (!lost_) return;
  lost_ = false;
  back_ = now;
}

std::optional<Time> TargetBook::Tick(Time now) {
  std::erase_if(marks_, [now](const auto& entry) {
    return now - entry.second.heard > kMarkLife;
  });
  if (missing_.empty() || lost_) return std::nullopt;
  if (Settling(now)) return back_ + return_time_;
  for (const auto& [name, since] : missing_) {
    entries_.erase(name);
    unconfirmed_.erase(name);
  }
  missing_.clear();
  changed_ = true;
  return std::nullopt;
}

bool TargetBook::TakeChanged() { return std::exchange(changed_, false); }

std::map<ServiceName, std::vector<PoolTarget>> TargetBook::Pool() const {
  std::map<ServiceName, std::vector<PoolTarget>> pool;
  for (const auto& [name, entry] : entries_) {
    pool[entry.service].push_back(entry.target);
  }
  return pool;
}

}  // namespace comfreyflow
