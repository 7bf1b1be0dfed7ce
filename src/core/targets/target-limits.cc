// Turns of requests under the limits that targets named.
#include "comfreyflow/target-limits.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <string>

namespace comfreyflow {
namespace {

using Seconds = std::chrono::duration<double>;

/// Unused turns of so long may be taken at once, one request at least.
constexpr double kBurstSeconds = 0.25;
/// A host that was cut off or died counts as one that may send for so long.
constexpr Duration kRecentHostLife = std::chrono::minutes(1);
/// That a limit is over is told for so long, as datagrams get lost.
constexpr Duration kEndTold = std::chrono::seconds(30);
/// Beyond this, what changed longest ago is forgotten; more targets than a
/// fleet has.
constexpr std::size_t kMostLimits = 4096;

}  // namespace

LimitPart PartOfLimits(const FleetView& view) {
  if (view.is_holder && 2 * view.live > view.fleet) return {};
  const auto fleet = static_cast<double>(std::max<std::size_t>(view.fleet, 1));
  const auto requesting = static_cast<double>(view.requesting);
  return {std::clamp(requesting / fleet, 1 / fleet, 1.0),
          static_cast<double>(view.rank) / fleet};
}

std::size_t RecentHosts::size(Time now) {
  std::erase_if(seen_, [now](const auto& host) {
    return now - host.second > kRecentHostLife;
  });
  return seen_.size();
}

std::size_t RecentHosts::RankOf(const HostName& host) const {
  const auto end = seen_.lower_bound(host);
  return static_cast<std::size_t>(std::distance(seen_.begin(), end));
}

bool TargetLimits::RecordLimit(const TargetName& target, std::uint64_t born,
                               double rate, Time now) {
  rate = std::clamp(rate, 0.0, kHighestLimit);
  const Limit* known = Find(target, born);
  const bool news = known == nullptr || known->rate != rate;
  if (news) {
    const std::uint64_t count = known == nullptr ? 0 : known->count;
    Set({target, born, count + 1, rate}, now);
  }
  limits_[target][born].named = now;
  return news;
}

bool TargetLimits::RecordNoLimit(const TargetName& target, std::uint64_t born,
                                 Time sent, Time now) {
  const Limit* limit = InForce(target, born);
  if (limit == nullptr || sent <= limit->named) return false;
  Set({target, born, limit->count + 1, std::nullopt}, now);
  return true;
}

/// Of words with one count, seen by two hosts at once, the lowest limit holds
/// until the next answer.
TargetLimits::MergeResult TargetLimits::Merge(const LimitReport& report,
                                              Time now) {
  if (const Limit* known = Find(report.target, report.born)) {
    constexpr double kNone = kHighestLimit + 1;
    const double here = known->rate.value_or(kNone);
    const double there = report.rate.value_or(kNone);
    if (report.count == known->count && there == here)
      return MergeResult::kUnchanged;
    const bool later = report.count > known->count ||
                       (report.count == known->count && there < here);
    if (!later) return MergeResult::kOutdated;
  }
  Set(report, now);
  return MergeResult::kChanged;
}

void TargetLimits::Set(const LimitReport& report, Time now) {
  const auto [at, added] =
      limits_[report.target].try_emplace(report.born, Limit{});
  Limit& limit = at->second;
  if (added) ++known_;
  if (limit.rate) --in_force_;
  if (report.rate) {
    limit.level = limit.rate ? LevelOf(limit, now) : FirstLevel(report.target);
    if (!limit.rate) limit.named = now;
    ++in_force_;
  }
  limit.count = report.count;
  limit.rate = report.rate;
  limit.changed = now;
  limit.counted = now;
  DropOldest();
}

std::optional<LimitReport> TargetLimits::ReportOf(const TargetName& target,
                                                  std::uint64_t born) const {
  const Limit* limit = Find(target, born);
  if (limit == nullptr) return std::nullopt;
  return LimitReport{target, born, limit->count, limit->rate};
}

std::optional<LimitReport> TargetLimits::RecentReportOf(
    const TargetName& target, std::uint64_t born, Time now) const {
  const Limit* limit = Find(target, born);
  if (limit == nullptr) return std::nullopt;
  if (!limit->rate && now - limit->changed > kEndTold) return std::nullopt;
  return LimitReport{target, born, limit->count, limit->rate};
}

std::optional<double> TargetLimits::RateOf(const TargetName& target,
                                           std::uint64_t born) const {
  const Limit* limit = InForce(target, born);
  return limit == nullptr ? std::nullopt : limit->rate;
}

std::optional<double> TargetLimits::PartOf(const TargetName& target,
                                           std::uint64_t born) const {
  const Limit* limit = InForce(target, born);
  return limit == nullptr ? std::nullopt : std::optional(PartOf(*limit));
}

double TargetLimits::PartOf(const Limit& limit) const {
  return part_.share * std::max(*limit.rate, kLowestLimit);
}

/// A whole limit keeps unused turns up to a burst. A part of one has its turn
/// for as long as one host in `1 / share` has it on average; a turn that is not
/// taken lapses, so that many hosts do not save turns and take them at once.
double TargetLimits::LevelOf(const Limit& limit, Time now) const {
  const double part = PartOf(limit);
  const double passed = std::max(0.0, Seconds(now - limit.counted).count());
  const double level = limit.level + part * passed;
  const double burst = std::max(1.0, part * kBurstSeconds);
  if (part_.share >= 1 || burst > 1) return std::min(level, burst);
  const double most = 1 + part_.share;
  return level < most ? level : level - std::floor(level - most) - 1;
}

Time TargetLimits::NextAt(const TargetName& target, std::uint64_t born,
                          Time now) const {
  const Limit* limit = InForce(target, born);
  if (limit == nullptr) return now;
  const double level = LevelOf(*limit, now);
  if (level >= 1) return now;
  const Seconds wait((1 - level) / PartOf(*limit));
  return now +
         std::max(std::chrono::duration_cast<Duration>(wait), Duration(1));
}

void TargetLimits::Consume(const TargetName& target, std::uint64_t born,
                           double requests, Time now) {
  if (InForce(target, born) == nullptr) return;
  Limit& limit = limits_[target][born];
  limit.level = LevelOf(limit, now) - requests;
  limit.counted = now;
}

void TargetLimits::SetPart(const LimitPart& part, Time now) {
  if (part == part_) return;
  const bool parted = part.share < 1 && part_.share >= 1;
  for (auto& [target, starts] : limits_) {
    for (auto& [born, limit] : starts) {
      if (!limit.rate) continue;
      limit.level = LevelOf(limit, now);
      limit.counted = now;
    }
  }
  part_ = part;
  if (parted) RestartPermits(now);
}

void TargetLimits::RestartPermits(Time now) {
  for (auto& [target, starts] : limits_) {
    for (auto& [born, limit] : starts) {
      if (!limit.rate) continue;
      const double level = LevelOf(limit, now);
      limit.level = level < 0 ? level : FirstLevel(target);
      limit.counted = now;
    }
  }
}

/// A host's turns at different targets do not fall together.
double TargetLimits::FirstLevel(const TargetName& target) const {
  if (part_.share >= 1) return 0;
  const std::string& name = target.value;
  const auto hash = static_cast<double>(XXH3_64bits(name.data(), name.size()));
  const double shift = hash / std::pow(2.0, 64);
  return std::fmod(part_.phase + shift, 1.0);
}

void TargetLimits::DropOldest() {
  while (known_ > kMostLimits) {
    auto oldest = limits_.end();
    std::uint64_t start = 0;
    Time first = Time::max();
    for (auto at = limits_.begin(); at != limits_.end(); ++at) {
      for (const auto& [born, limit] : at->second) {
        if (limit.changed >= first) continue;
        first = limit.changed;
        oldest = at;
        start = born;
      }
    }
    if (oldest->second.at(start).rate) --in_force_;
    --known_;
    oldest->second.erase(start);
    if (oldest->second.empty()) limits_.erase(oldest);
  }
}

const TargetLimits::Limit* TargetLimits::Find(const TargetName& target,
                                              std::uint64_t born) const {
  const auto at = limits_.find(target);
  if (at == limits_.end()) return nullptr;
  const auto start = at->second.find(born);
  return start == at->second.end() ? nullptr : &start->second;
}

const TargetLimits::Limit* TargetLimits::InForce(const TargetName& target,
                                                 std::uint64_t born) const {
  const Limit* limit = Find(target, born);
  return limit != nullptr && limit->rate ? limit : nullptr;
}

}  // namespace comfreyflow
