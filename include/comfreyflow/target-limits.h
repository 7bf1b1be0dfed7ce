/// Rates that targets have named for the requests of all hosts together, and
/// what may still be sent under them.
///
/// Load it answers: a target in need that serves on. What is over its limit
/// goes to other targets or waits for its turn.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "comfreyflow/types.h"

namespace comfreyflow {

/// A higher rate is taken for this one, in requests a second.
inline constexpr double kHighestLimit = 1e6;
/// A lower one, zero too, for this one: only an answer tells that a limit is
/// over.
inline constexpr double kLowestLimit = 1.0 / 30;

/// The hosts that may be sending requests, as one of them sees it.
struct FleetView {
  std::size_t fleet = 1;  ///< Hosts that live, or lived until lately.
  std::size_t rank = 0;   ///< This host's, among them.
  std::size_t live = 1;   ///< Of them, those that live.
  std::size_t requesting =
      1;                  ///< Of them, those that are granted targets here.
  bool is_holder = true;  ///< This host is the one that all live hosts ask.
};

/// The part of each limit that a host may grant.
struct LimitPart {
  double share = 1;
  double phase = 0;  ///< Of its turns, from 0 to 1, if it has a part only.
  bool operator==(const LimitPart&) const = default;
};

/// The shares of all hosts add up to less than one and a half, however the
/// fleet is cut, and the turns of hosts that go by themselves follow each
/// other.
LimitPart PartOfLimits(const FleetView& view);

/// Hosts that live or lived until lately: those beyond a cut may send on.
class RecentHosts {
 public:
  void MarkLive(const HostName& host, Time now) { seen_[host] = now; }
  std::size_t size(Time now);
  /// Among all in order of their names.
  std::size_t RankOf(const HostName& host) const;

 private:
  std::map<HostName, Time> seen_;
};

/// What is known of the limit of one start of a target, so that an answer of an
/// earlier start does not bind a later one.
struct LimitReport {
  TargetName target;
  std::uint64_t born = 0;
  /// Grows with each change that some host saw in an answer: of two words the
  /// one with the higher count is later, however they travelled.
  std::uint64_t count = 0;
  std::optional<double> rate;  ///< Requests a second; absent: no limit.
  bool operator==(const LimitReport&) const = default;
};

class TargetLimits {
 public:
  /// The target named `rate` in an answer to this host. Whether that is news.
  bool RecordLimit(const TargetName& target, std::uint64_t born, double rate,
                   Time now);
  /// The target answered a request that was sent at `sent` without a limit.
  /// Whether that ends one: an answer to a request from before the limit was
  /// named may be older.
  bool RecordNoLimit(const TargetName& target, std::uint64_t born, Time sent,
                     Time now);
  enum class MergeResult : std::uint8_t { kChanged, kUnchanged, kOutdated };
  /// Takes another host's word.
  MergeResult Merge(const LimitReport& report, Time now);

  /// What is known; absent: nothing.
  std::optional<LimitReport> ReportOf(const TargetName& target,
                                      std::uint64_t born) const;
  /// As `WordOf`; limits that ended long ago are left out.
  std::optional<LimitReport> RecentReportOf(const TargetName& target,
                                            std::uint64_t born, Time now) const;
  /// What the target named; absent: it is not limited.
  std::optional<double> RateOf(const TargetName& target,
                               std::uint64_t born) const;
  /// Requests a second that may be granted here; absent: it is not limited.
  std::optional<double> PartOf(const TargetName& target,
                               std::uint64_t born) const;
  /// When the target takes the next request; `now` if it takes one.
  Time NextAt(const TargetName& target, std::uint64_t born, Time now) const;
  bool Allows(const TargetName& target, std::uint64_t born, Time now) const {
    return NextAt(target, born, now) <= now;
  }
  void Consume(const TargetName& target, std::uint64_t born, double requests,
               Time now);

  void SetPart(const LimitPart& part, Time now);
  /// Others may have granted the last requests: turns are counted from now on.
  void RestartPermits(Time now);

  /// Limits in force.
  std::size_t size() const { return in_force_; }
  bool empty() const { return in_force_ == 0; }

 private:
  struct Limit {
    std::uint64_t count = 0;
    std::optional<double> rate;
    Time named;  ///< By the target itself, or when first heard of.
    Time changed;
    double level = 0;  ///< Requests that may be sent, as of `counted`.
    Time counted;
  };

  const Limit* Find(const TargetName& target, std::uint64_t born) const;
  const Limit* InForce(const TargetName& target, std::uint64_t born) const;
  void Set(const LimitReport& report, Time now);
  double PartOf(const Limit& limit) const;
  double LevelOf(const Limit& limit, Time now) const;
  double FirstLevel(const TargetName& target) const;
  void DropOldest();

  std::map<TargetName, std::map<std::uint64_t, Limit>> limits_;
  std::size_t known_ = 0;
  /// Invariant: those of `limits_` with a rate.
  std::size_t in_force_ = 0;
  LimitPart part_;
};

}  // namespace comfreyflow
