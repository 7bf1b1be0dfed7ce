// Keeps targets over outages of the list.
#include "comfreyflow/target-book.h"

#include <set>
#include <utility>

namespace comfreyflow {

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

bool TargetBook::Put(const TargetEntry& entry) {
  missing_.erase(entry.target.name);
  TargetEntry& known = entries_[entry.target.name];
  if (IsOlder(entry, known)) {
    known.target.version = entry.target.version;
    return false;
  }
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
  if (entries_.erase(name) > 0) changed_ = true;
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

void TargetBook::Tick(Time now) {
  if (missing_.empty() || Settling(now)) return;
  for (const auto& [name, since] : missing_) entries_.erase(name);
  missing_.clear();
  changed_ = true;
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
