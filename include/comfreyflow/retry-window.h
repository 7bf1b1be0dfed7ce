/// Limits the retries of a service: in any window of time they may number a
/// share of the requests in that window, and some more. The holder of the
/// service's placer counts what it grants; what other holders granted, it hears
/// from the hosts that got it.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow {

struct RetryLimits {
  double ratio = 0.2;  ///< Retries allowed per request.
  double slack = 50;   ///< Retries allowed in addition.
  Duration window = std::chrono::seconds(10);
};

/// Requests and retries that were granted around the same time.
struct GrantCount {
  Time begin;
  std::uint32_t requests = 0;
  std::uint32_t retries = 0;
};

/// What one start of a host was granted.
struct HostGrants {
  HostName host;
  Incarnation incarnation;
  std::vector<GrantCount> counts;
};

/// Counts grants in the parts of a sliding window.
class GrantHistory {
 public:
  explicit GrantHistory(Duration window) : window_(window) {}

  void Record(bool is_retry, Time now);
  /// Counts that may still lie in the window, the earliest first.
  const std::deque<GrantCount>& counts() const { return counts_; }
  /// Drops what has left the window.
  void Expire(Time now);

 private:
  Duration window_;
  std::deque<GrantCount> counts_;
};

/// The budget as the holder of a placer knows it. What a host was granted is
/// kept after its end, and passed on to later holders by whoever knows it.
class RetryWindow {
 public:
  explicit RetryWindow(const RetryLimits& limits) : limits_(limits) {}

  void RecordRequest(const HostName& host, Incarnation incarnation, Time now);
  /// Counts a retry and returns true, unless none is left.
  bool TakeRetry(const HostName& host, Incarnation incarnation, Time now);
  /// Number of retries that the window still allows.
  double Left(Time now);
  /// Retries in the window that other holders granted.
  std::uint64_t RetriesElsewhere(Time now);
  /// Sets the part of the slack that this host may use.
  void SetSlackShare(double share) { slack_share_ = share; }
  /// Sets the part of the slack that counts as used, because hosts that may
  /// have got retries from other holders have not told of them.
  void SetUnknownShare(double share) { unknown_share_ = share; }
  /// Replaces what other holders granted to the host, as it tells itself.
  void SetElsewhere(HostGrants grants);
  /// Takes what another host knows of one that has ended, if it is more than is
  /// known here.
  void AddDeparted(HostGrants grants);
  /// What was granted to hosts of which `has_ended` is true.
  std::vector<HostGrants> Departed(
      const std::function<bool(const HostName&, Incarnation)>& has_ended,
      Time now);

 private:
  using HostKey = std::pair<HostName, Incarnation>;
  void Expire(Time now);

  RetryLimits limits_;
  double slack_share_ = 1;
  double unknown_share_ = 0;
  std::map<HostKey, GrantHistory> granted_;  ///< By this host.
  /// By other holders.
  std::map<HostKey, std::vector<GrantCount>> elsewhere_;
};

/// What the requests of one host for one service were granted, by holder.
class GrantLog {
 public:
  explicit GrantLog(Duration window) : window_(window) {}

  void Record(const HostName& holder, Incarnation incarnation, bool is_retry,
              Time now);
  /// What was granted in the window by all holders but this start of `holder`.
  std::vector<GrantCount> GrantedByOthers(const HostName& holder,
                                          Incarnation incarnation, Time now);
  /// Whether retries were granted in the window.
  bool has_retries(Time now);

 private:
  void Expire(Time now);

  Duration window_;
  std::map<std::pair<HostName, Incarnation>, GrantHistory> by_holder_;
};

}  // namespace comfreyflow
