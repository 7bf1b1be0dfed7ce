/// Rate limits that targets named for the requests of all hosts together, and
/// the permits left under them.
///
/// An overloaded target names such a limit and keeps serving. Requests above
/// the limit go to other targets or wait for a permit.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow {

/// Higher rates are clamped to this one, in requests per second.
inline constexpr double kMaxLimit = 1e6;
/// Lower rates, including zero, are treated as this one: some requests must be
/// sent, as only an answer shows that a limit has ended.
inline constexpr double kMinLimit = 1.0 / 30;

/// The hosts that may be sending requests, as one of them sees the fleet.
struct FleetView {
  std::size_t fleet = 1;  ///< Hosts that are live or were live recently.
  std::size_t rank = 0;   ///< Position of this host among them.
  std::size_t live = 1;   ///< Hosts that are live.
  /// Live hosts that get their grants from this host.
  std::size_t requesting = 1;
  bool is_holder = true;  ///< This host is the holder for all live hosts.
};

/// The part of each limit that a host may grant.
struct LimitPart {
  double share = 1;
  /// Offset of this host's permits, from 0 to 1; used if `share` is below 1.
  double phase = 0;
  bool operator==(const LimitPart&) const = default;
};

/// The part of the limits for this host. The shares of all hosts add up to less
/// than 1.5 limits, however the fleet is partitioned, and the permits of hosts
/// that grant independently of each other are staggered.
LimitPart PartOfLimits(const FleetView& view);

/// Hosts that are live or were live recently. Those on the other side of a
/// network partition may still send requests.
class RecentHosts {
 public:
  void MarkLive(const HostName& host, Time now) { seen_[host] = now; }
  std::size_t size(Time now);
  /// Hosts that were live at `since` or later.
  std::vector<HostName> SeenSince(Time since) const;
  /// Position of the host in the order of names.
  std::size_t RankOf(const HostName& host) const;

 private:
  std::map<HostName, Time> seen_;
};

/// What is known of the limit of one start of a target. An answer of an earlier
/// start does not affect a later one.
struct LimitReport {
  TargetName target;
  std::uint64_t born = 0;
  /// Incremented with each change that a host saw in an answer. Of two reports
  /// the one with the higher count is later, in whatever order they arrive.
  std::uint64_t count = 0;
  std::optional<double> rate;  ///< Requests per second; absent: no limit.
  bool operator==(const LimitReport&) const = default;
};

/// A limit that applies to a start of a target at all times, whatever the
/// target names.
struct StandingLimit {
  TargetName target;
  std::uint64_t born = 0;
  double rate = 0;  ///< Requests per second from all hosts together.
};

/// The highest rate of a limit under which all hosts together send at most
/// `requests` in any one second, also while they grant independently of each
/// other.
double RateWithin(double requests);

class TargetLimits {
 public:
  /// The target named `rate` in an answer to this host. Returns whether this is
  /// a change.
  bool RecordLimit(const TargetName& target, std::uint64_t born, double rate,
                   Time now);
  /// The target answered a request that was sent at `sent` without naming a
  /// limit. Returns whether this ends a limit; the answer to a request from
  /// before the limit was named may be older than the limit.
  bool RecordNoLimit(const TargetName& target, std::uint64_t born, Time sent,
                     Time now);
  enum class MergeResult : std::uint8_t { kChanged, kUnchanged, kOutdated };
  /// Merges a report from another host.
  MergeResult Merge(const LimitReport& report, Time now);

  /// Replaces the standing limits. Permits of a target that had one already are
  /// kept.
  void SetStanding(const std::vector<StandingLimit>& standing, Time now);

  /// The limit as known here; absent: nothing is known.
  std::optional<LimitReport> ReportOf(const TargetName& target,
                                      std::uint64_t born) const;
  /// As `ReportOf`, without limits that ended long ago.
  std::optional<LimitReport> RecentReportOf(const TargetName& target,
                                            std::uint64_t born, Time now) const;
  /// The rate that the target named; absent: not limited.
  std::optional<double> RateOf(const TargetName& target,
                               std::uint64_t born) const;
  /// Requests per second that this host may grant; absent: not limited.
  std::optional<double> PartOf(const TargetName& target,
                               std::uint64_t born) const;
  /// When the next permit is available; `now` if there is one already.
  Time NextAt(const TargetName& target, std::uint64_t born, Time now) const;
  bool Allows(const TargetName& target, std::uint64_t born, Time now) const {
    return NextAt(target, born, now) <= now;
  }
  void Consume(const TargetName& target, std::uint64_t born, double requests,
               Time now);

  void SetPart(const LimitPart& part, Time now);
  /// Counts permits from now on, as another host may have granted the last
  /// requests.
  void RestartPermits(Time now);

  /// Number of limits in force that targets named.
  std::size_t size() const { return in_force_count_; }
  /// Whether no limit is in force, named or standing.
  bool empty() const { return in_force_count_ == 0 && standing_.empty(); }

 private:
  struct Limit {
    std::uint64_t count = 0;
    std::optional<double> rate;
    /// When the target named it, or when it was first reported.
    Time named_at;
    Time changed_at;
    double permits = 0;  ///< Permits available as of `counted_at`.
    Time counted_at;
  };
  /// Invariant: its limit has a rate.
  struct Standing {
    std::uint64_t born = 0;
    Limit limit;
  };

  const Limit* Find(const TargetName& target, std::uint64_t born) const;
  const Limit* InForce(const TargetName& target, std::uint64_t born) const;
  void Set(const LimitReport& report, Time now);
  double PartOf(const Limit& limit) const;
  double PermitsOf(const Limit& limit, Time now) const;
  double InitialPermits(const TargetName& target) const;
  Time NextAt(const Limit& limit, Time now) const;
  const Limit* FindStanding(const TargetName& target, std::uint64_t born) const;
  template <class Action>
  void ForEachInForce(Action action);
  void DropOldest();

  std::map<TargetName, std::map<std::uint64_t, Limit>> limits_;
  std::size_t known_count_ = 0;
  /// Invariant: number of entries of `limits_` with a rate.
  std::size_t in_force_count_ = 0;
  std::map<TargetName, Standing> standing_;
  LimitPart part_;
};

}  // namespace comfreyflow
