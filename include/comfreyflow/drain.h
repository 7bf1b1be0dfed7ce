/// Drain: the planned shutdown of a host. Requests in progress run to their
/// end, and new requests are accepted until no valid address answer names the
/// host, so that the caller of a refused request can send it to another host at
/// once.
#pragma once

#include <cstdint>

#include "comfreyflow/types.h"

namespace comfreyflow {

enum class DrainPhase : std::uint8_t {
  kServing,
  kLeaving,   ///< No longer in address answers, still accepts requests.
  kRefusing,  ///< Refuses new requests with `kDraining`; open requests
              ///< continue.
  kDone,      ///< No request is open, or the time is over; the process may
              ///< exit.
};

/// State machine of a drain. A host never returns to an earlier phase.
class Drain {
 public:
  /// Records that this host or a peer sent an address answer that names this
  /// host. Callers may use the answer until `expires`.
  void AddressAnswerSent(Time expires);
  /// Starts the drain, which ends at `exit_by` at the latest.
  /// `peer_update_time` is the maximum time until all peers omit this host from
  /// their address answers. `answer_lifetime` is how long callers may use an
  /// address answer.
  void Stop(Time now, Duration peer_update_time, Duration answer_lifetime,
            Time exit_by);
  /// Advances and returns the phase. `open_requests` is the number of requests
  /// without a final answer.
  DrainPhase Advance(std::size_t open_requests, Time now);

  DrainPhase phase() const { return phase_; }
  bool in_answers() const { return phase_ == DrainPhase::kServing; }
  bool accepts() const { return phase_ <= DrainPhase::kLeaving; }

 private:
  DrainPhase phase_ = DrainPhase::kServing;
  Time answers_expire_at_{};  ///< Latest expiry of an address answer with this
                              ///< host.
  Time exit_by_ = Time::max();
};

}  // namespace comfreyflow
