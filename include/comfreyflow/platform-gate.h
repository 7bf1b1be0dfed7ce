/// Decides when the local host may call the platform's store. Combines a budget
/// of calls per second, back-off after failures and outage detection.
#pragma once

#include <cstdint>
#include <random>

#include "comfreyflow/errors.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

/// Kinds of calls. A list is a read. Reads and watches share one budget,
/// because the platform counts them together.
enum class PlatformCall : std::uint8_t { kRead, kWrite, kWatch };

struct PlatformLimits {
  double reads_per_second = 50;
  double writes_per_second = 20;
  /// Unused budget accumulates for at most this time.
  Duration burst = std::chrono::seconds(2);
  /// Number of consecutive failures that count as an outage.
  std::uint32_t outage_after = 3;
  Duration backoff_base = std::chrono::milliseconds(100);
  Duration backoff_max = std::chrono::seconds(5);
  std::uint64_t seed = 0;  ///< Seeds the jitter of the back-off.
};

/// Whether a call may start. During an outage at most one call is permitted at
/// a time: a probe, which checks whether the outage is over. It should have a
/// short timeout.
struct PlatformPermit {
  /// `kOk`, `kPlatformRateLimited` or `kPlatformUnavailable`.
  Errc code = Errc::kOk;
  bool probe = false;
};

/// Result of a permitted call.
enum class PlatformEnd : std::uint8_t {
  kAnswered,   ///< The platform replied, and not with an outage status.
  kThrottled,  ///< The platform refused it because of its own rate limit.
  kFailed,     ///< Outage status, timeout or broken connection.
};

class PlatformGate {
 public:
  explicit PlatformGate(PlatformLimits limits = {});

  /// Permits a call and deducts it from the budget, if it may start now.
  PlatformPermit Start(PlatformCall call, Time now);
  /// To be called exactly once for each permitted call.
  void Ended(PlatformCall call, const PlatformPermit& permit, PlatformEnd end,
             Time now);
  /// Time until a call of this kind can be permitted; zero if it can be now.
  Duration RetryAfter(PlatformCall call, Time now) const;
  bool outage() const { return consecutive_failures_ >= limits_.outage_after; }

 private:
  struct Budget {
    double rate = 0;
    /// Calls that may start now. Invariant: at most `rate` times the burst, or
    /// 1 if that is more.
    double tokens = 0;
    Time refilled_at;
    Time paused_until;
    std::uint32_t consecutive_throttles = 0;
  };
  Budget& BudgetOf(PlatformCall call);
  const Budget& BudgetOf(PlatformCall call) const;
  Budget& Refill(PlatformCall call, Time now);
  double TokensAt(const Budget& budget, Time now) const;
  Duration Jittered(std::uint32_t doublings);

  PlatformLimits limits_;
  std::mt19937_64 random_;
  Budget reads_;
  Budget writes_;
  std::uint32_t consecutive_failures_ = 0;  ///< Of any kind of call.
  std::uint32_t failed_probes_ = 0;  ///< Failed probes of the current outage.
  bool is_probe_open_ = false;       ///< Invariant: at most one probe is open.
  Time next_probe_at_;
};

/// Whether a call that was sent and got no reply is sent again at once on a new
/// connection. This holds for reads only, because their connection may have
/// been closed while idle, and not during an outage. A write is never sent
/// twice.
bool RetryOnNewConnection(PlatformCall call, bool outage);

}  // namespace comfreyflow
