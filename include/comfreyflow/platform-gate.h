/// Decides when a host may call the platform's store: its own budget of calls,
/// backoff after failures, and what counts as an outage.
#pragma once

#include <cstdint>
#include <random>

#include "comfreyflow/errors.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

/// Reads (lists too) and watches share a budget: the platform counts them
/// alike.
enum class PlatformCall : std::uint8_t { kRead, kWrite, kWatch };

struct PlatformLimits {
  double reads_per_second = 50;
  double writes_per_second = 20;
  Duration burst = std::chrono::seconds(2);  ///< Budget that can be saved up.
  std::uint32_t outage_after = 3;            ///< Failures in a row.
  Duration backoff_base = std::chrono::milliseconds(100);
  Duration backoff_max = std::chrono::seconds(5);
  std::uint64_t seed = 0;  ///< Of the backoff's jitter.
};

/// Whether a call may start. A probe is the one call that tries whether an
/// outage is over; it should end quickly.
struct PlatformPermit {
  Errc code =
      Errc::kOk;  ///< Or `kPlatformRateLimited`, `kPlatformUnavailable`.
  bool probe = false;
};

/// How a call that was permitted ended.
enum class PlatformEnd : std::uint8_t {
  kAnswered,   ///< With any answer that is not an outage's.
  kThrottled,  ///< The platform's own limit refused it.
  kFailed,     ///< An outage's answer, none in time, or a broken connection.
};

class PlatformGate {
 public:
  explicit PlatformGate(PlatformLimits limits = {});

  /// Takes one call from the budget if it may start now.
  PlatformPermit Start(PlatformCall call, Time now);
  /// Each permitted call ends exactly once.
  void Ended(PlatformCall call, const PlatformPermit& permit, PlatformEnd end,
             Time now);
  /// Wait until a call of this kind can be permitted; zero when it can be now.
  Duration RetryAfter(PlatformCall call, Time now) const;
  bool outage() const { return failures_ >= limits_.outage_after; }

 private:
  struct Budget {
    double rate = 0;
    double saved = 0;  ///< Invariant: at most `rate` times the burst, or one.
    Time filled;
    Time paused_until;
    std::uint32_t throttled = 0;  ///< Refusals in a row.
  };
  Budget& BudgetOf(PlatformCall call);
  const Budget& BudgetOf(PlatformCall call) const;
  Budget& Fill(PlatformCall call, Time now);
  double Saved(const Budget& budget, Time now) const;
  Duration Jittered(std::uint32_t doublings);

  PlatformLimits limits_;
  std::mt19937_64 random_;
  Budget reads_;
  Budget writes_;
  std::uint32_t failures_ = 0;  ///< In a row.
  std::uint32_t probes_ = 0;    ///< Failed probes of this outage.
  bool probing_ = false;        ///< Invariant: at most one probe is open.
  Time next_probe_;
};

/// Whether a call that was sent and got no answer is sent again at once on a
/// new connection: only a read, as its connection may have died while idle, and
/// not in an outage. A write is never sent twice.
bool RetryOnNewConnection(PlatformCall call, bool outage);

}  // namespace comfreyflow
