// Permits for requests under the rate limits that targets named.
#include "comfreyflow/target-limits.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <string>

namespace comfreyflow {
namespace {

using Seconds = std::chrono::duration<double>;

/// Unused permits of this time may be used at once; at least one permit.
constexpr double kBurstSeconds = 0.25;
/// Bound of the sum of all hosts' shares of a limit, see `PartOfLimits`.
constexpr double kMaxShareSum = 1.5;
/// A host that was cut off or died counts for this long as one that may send.
constexpr Duration kRecentHostLife = std::chrono::minutes(1);
/// The end of a limit is reported for this long, as datagrams may be lost.
constexpr Duration kEndReportTime = std::chrono::seconds(30);
/// Above this number the limit that changed the longest time ago is forgotten.
/// A fleet has fewer targets.
constexpr std::size_t kMaxLimits = 4096;

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

std::vector<HostName> RecentHosts::SeenSince(Time since) const {
  std::vector<HostName> hosts;
  for (const auto& [host, seen_at] : seen_) {
    if (seen_at >= since) hosts.push_back(host);
  }
  return hosts;
}

std::size_t RecentHosts::RankOf(const HostName& host) const {
  const auto end = seen_.lower_bound(host);
  return static_cast<std::size_t>(std::distance(seen_.begin(), end));
}

bool TargetLimits::RecordLimit(const TargetName& target, std::uint64_t born,
                               double rate, Time now) {
  rate = std::clamp(rate, 0.0, kMaxLimit);
  const Limit* known = Find(target, born);
  const bool is_changed = known == nullptr || known->rate != rate;
  if (is_changed) {
    const std::uint64_t count = known == nullptr ? 0 : known->count;
    Set({target, born, count + 1, rate}, now);
  }
  limits_[target][born].named_at = now;
  return is_changed;
}

bool TargetLimits::RecordNoLimit(const TargetName& target, std::uint64_t born,
                                 Time sent, Time now) {
  const Limit* limit = InForce(target, born);
  if (limit == nullptr || sent <= limit->named_at) return false;
  Set({target, born, limit->count + 1, std::nullopt}, now);
  return true;
}

/// If two hosts saw different limits at once, their reports have the same
/// count. Then the lower limit applies until the next answer.
TargetLimits::MergeResult TargetLimits::Merge(const LimitReport& report,
                                              Time now) {
  if (const Limit* known = Find(report.target, report.born)) {
    constexpr double kNone = kMaxLimit + 1;
    const double local_rate = known->rate.value_or(kNone);
    const double remote_rate = report.rate.value_or(kNone);
    if (report.count == known->count && remote_rate == local_rate)
      return MergeResult::kUnchanged;
    const bool is_later =
        report.count > known->count ||
        (report.count == known->count && remote_rate < local_rate);
    if (!is_later) return MergeResult::kOutdated;
  }
  Set(report, now);
  return MergeResult::kChanged;
}

void TargetLimits::Set(const LimitReport& report, Time now) {
  const auto [at, added] =
      limits_[report.target].try_emplace(report.born, Limit{});
  Limit& limit = at->second;
  if (added) ++known_count_;
  if (limit.rate) --in_force_count_;
  if (report.rate) {
    limit.permits =
        limit.rate ? PermitsOf(limit, now) : InitialPermits(report.target);
    if (!limit.rate) limit.named_at = now;
    ++in_force_count_;
  }
  limit.count = report.count;
  limit.rate = report.rate;
  limit.changed_at = now;
  limit.counted_at = now;
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
  if (!limit->rate && now - limit->changed_at > kEndReportTime)
    return std::nullopt;
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
  return part_.share * std::max(*limit.rate, kMinLimit);
}

/// A complete limit accumulates unused permits up to a burst. A permit of a
/// partial limit is available only for a while and then expires, so that on
/// average one host in `1 / share` has a permit available and hosts do not save
/// permits and use them all at once.
double TargetLimits::PermitsOf(const Limit& limit, Time now) const {
  const double part = PartOf(limit);
  const double passed = std::max(0.0, Seconds(now - limit.counted_at).count());
  const double permits = limit.permits + part * passed;
  const double burst = std::max(1.0, part * kBurstSeconds);
  if (part_.share >= 1 || burst > 1) return std::min(permits, burst);
  const double most = 1 + part_.share;
  return permits < most ? permits : permits - std::floor(permits - most) - 1;
}

Time TargetLimits::NextAt(const TargetName& target, std::uint64_t born,
                          Time now) const {
  const Limit* named = InForce(target, born);
  const Limit* standing = FindStanding(target, born);
  return std::max(named == nullptr ? now : NextAt(*named, now),
                  standing == nullptr ? now : NextAt(*standing, now));
}

Time TargetLimits::NextAt(const Limit& limit, Time now) const {
  const double permits = PermitsOf(limit, now);
  if (permits >= 1) return now;
  const Seconds wait((1 - permits) / PartOf(limit));
  return now +
         std::max(std::chrono::duration_cast<Duration>(wait), Duration(1));
}

void TargetLimits::Consume(const TargetName& target, std::uint64_t born,
                           double requests, Time now) {
  const auto consume = [&](Limit& limit) {
    limit.permits = PermitsOf(limit, now) - requests;
    limit.counted_at = now;
  };
  if (InForce(target, born) != nullptr) consume(limits_[target][born]);
  if (FindStanding(target, born) != nullptr) consume(standing_[target].limit);
}

double RateWithin(double requests) {
  return requests / (kMaxShareSum * (1 + kBurstSeconds));
}

void TargetLimits::SetStanding(const std::vector<StandingLimit>& standing,
                               Time now) {
  std::map<TargetName, Standing> next;
  for (const auto& wanted : standing) {
    const auto known = standing_.find(wanted.target);
    if (known != standing_.end() && known->second.born == wanted.born &&
        known->second.limit.rate == wanted.rate) {
      next.insert(*known);
      continue;
    }
    Standing& added = next[wanted.target];
    added.born = wanted.born;
    added.limit.rate = wanted.rate;
    added.limit.permits = InitialPermits(wanted.target);
    added.limit.counted_at = now;
  }
  standing_ = std::move(next);
}

template <class Action>
void TargetLimits::ForEachInForce(Action action) {
  for (auto& [target, starts] : limits_) {
    for (auto& [born, limit] : starts) {
      if (limit.rate) action(target, limit);
    }
  }
  for (auto& [target, standing] : standing_) action(target, standing.limit);
}

void TargetLimits::SetPart(const LimitPart& part, Time now) {
  if (part == part_) return;
  const bool became_partial = part.share < 1 && part_.share >= 1;
  ForEachInForce([this, now](const TargetName&, Limit& limit) {
    limit.permits = PermitsOf(limit, now);
    limit.counted_at = now;
  });
  part_ = part;
  if (became_partial) RestartPermits(now);
}

void TargetLimits::RestartPermits(Time now) {
  ForEachInForce([this, now](const TargetName& target, Limit& limit) {
    const double permits = PermitsOf(limit, now);
    limit.permits = permits < 0 ? permits : InitialPermits(target);
    limit.counted_at = now;
  });
}

/// Gives a host different offsets at different targets, so that its permits for
/// them do not become available all at once.
double TargetLimits::InitialPermits(const TargetName& target) const {
  if (part_.share >= 1) return 0;
  const std::string& name = target.value;
  const auto hash = static_cast<double>(XXH3_64bits(name.data(), name.size()));
  const double shift = hash / std::pow(2.0, 64);
  return std::fmod(part_.phase + shift, 1.0);
}

void TargetLimits::DropOldest() {
  while (known_count_ > kMaxLimits) {
    auto oldest = limits_.end();
    std::uint64_t start = 0;
    Time oldest_change = Time::max();
    for (auto at = limits_.begin(); at != limits_.end(); ++at) {
      for (const auto& [born, limit] : at->second) {
        if (limit.changed_at >= oldest_change) continue;
        oldest_change = limit.changed_at;
        oldest = at;
        start = born;
      }
    }
    if (oldest->second.at(start).rate) --in_force_count_;
    --known_count_;
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

const TargetLimits::Limit* TargetLimits::FindStanding(
    const TargetName& target, std::uint64_t born) const {
  const auto at = standing_.find(target);
  if (at == standing_.end() || at->second.born != born) return nullptr;
  return &at->second.limit;
}

const TargetLimits::Limit* TargetLimits::InForce(const TargetName& target,
                                                 std::uint64_t born) const {
  const Limit* limit = Find(target, born);
  return limit != nullptr && limit->rate ? limit : nullptr;
}

}  // namespace comfreyflow
