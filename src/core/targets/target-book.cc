// Keeps targets over outages of the list.
#include "comfreyflow/target-book.h"

#include <algorithm>
#include <set>
#include <utility>

namespace comfreyflow {
namespace {

/// The list tells what a peer told within this time and the pause between two
/// looks at it, or its watch is broken.
constexpr Duration kListPatience = std::chrono::seconds(1);
/// The list has told of what a peer told so long ago.
constexpr Duration kMarkLife = std::chrono::minutes(5);
constexpr std::size_t kMostMarks = 4000;
/// A start whose entry is gone serves on for seconds; an entry of it may come
/// back while the list's keeper is in trouble.
constexpr Duration kOwnWordLife = std::chrono::hours(1);
/// Beyond this, starts that are not listed are forgotten, the oldest first.
constexpr std::size_t kMostOwnWords = 8192;

}  // namespace

bool TargetBook::Settling(Time now) const {
  return lost_ || (ever_lost_ && now - back_ < return_time_);
}

void TargetBook::SetList(const std::vector<TargetEntry>& entries, Time now) {
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
  if (ClosedByOwnWord(entry)) entry.target.leaving = true;
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

bool TargetBook::ClosedByOwnWord(const TargetEntry& entry) {
  const auto at = left_.find(entry.target.name);
  if (at == left_.end()) return false;
  Left& left = at->second;
  const std::uint64_t born = entry.target.born;
  if (left.born == 0) left.born = born;
  // An entry that names no start may be of any.
  if (born == 0 || born == left.born) {
    left.version = std::max(left.version, entry.target.version);
    return true;
  }
  if (entry.target.version <= left.version) return true;
  left_.erase(at);
  return false;
}

bool TargetBook::Close(const LeavingReport& told, Time now) {
  LeavingReport left = told;
  const auto at = entries_.find(left.target);
  if (at != entries_.end()) {
    const PoolTarget& listed = at->second.target;
    if (left.born == 0) left.born = listed.born;
    const bool same = listed.born == left.born || listed.born == 0;
    // The word of a start before the one that is listed.
    if (!same && left.version <= listed.version) return false;
    if (same) left.version = std::max(left.version, listed.version);
  }
  const auto known = left_.find(left.target);
  if (known != left_.end() && known->second.born == left.born) {
    known->second.heard = now;
    return false;
  }
  left_[left.target] = {left.born, left.version, now};
  if (at != entries_.end() && !at->second.target.leaving) {
    at->second.target.leaving = true;
    changed_ = true;
  }
  ForgetOwnWords(now);
  return true;
}

bool TargetBook::RecordLeaving(const LeavingReport& told, Time now) {
  const auto at = entries_.find(told.target);
  const bool elsewhere =
      !told.address.empty() &&
      (at == entries_.end() || at->second.target.address != told.address);
  if (elsewhere || !Close(told, now)) return false;
  const Left& left = left_.at(told.target);
  news_.push_back({told.target, left.version, true, left.born});
  return true;
}

void TargetBook::ForgetOwnWords(Time now) {
  std::erase_if(left_, [this, now](const auto& entry) {
    return now - entry.second.heard > kOwnWordLife &&
           !entries_.contains(entry.first);
  });
  while (left_.size() > kMostOwnWords) {
    auto oldest = left_.end();
    for (auto at = left_.begin(); at != left_.end(); ++at) {
      if (entries_.contains(at->first)) continue;
      if (oldest == left_.end() || at->second.heard < oldest->second.heard) {
        oldest = at;
      }
    }
    if (oldest == left_.end()) return;  // Bounded by the list.
    left_.erase(oldest);
  }
}

bool TargetBook::ApplyMark(const TargetMark& mark, Time now) {
  if (!mark.closed) return false;
  if (mark.start != 0) {
    return Close({mark.target, mark.start, mark.version, {}}, now);
  }
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

bool TargetBook::IsListBehind(Time now, Duration pause) const {
  return std::any_of(unconfirmed_.begin(), unconfirmed_.end(),
                     [now, pause](const auto& entry) {
                       return now - entry.second > kListPatience + pause;
                     });
}

void TargetBook::StoreLost(Time) {
  lost_ = true;
  ever_lost_ = true;
}

void TargetBook::StoreBack(Time now) {
  if (!lost_) return;
  lost_ = false;
  back_ = now;
}

std::optional<Time> TargetBook::Tick(Time now) {
  std::erase_if(marks_, [now](const auto& entry) {
    return now - entry.second.heard > kMarkLife;
  });
  ForgetOwnWords(now);
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

bool TargetBook::Leaving(const TargetName& name) const {
  const auto at = entries_.find(name);
  return at == entries_.end() || at->second.target.leaving;
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
