/// A host's planned stop: no request in progress is cut, and none is refused
/// that its caller could not send elsewhere at once.
#pragma once

#include <cstdint>

#include "comfreyflow/types.h"

namespace comfreyflow {

enum class DrainPhase : std::uint8_t {
  kServing,
  kLeaving,   ///< Out of the address answers, still accepts requests.
  kRefusing,  ///< Refuses new requests with `kDraining`, ends what runs.
  kDone,      ///< May exit.
};

/// Phases only advance.
class Drain {
 public:
  /// An address answer that names this host was given, by it or by a peer, and
  /// may be used until `expires`.
  void AddressAnswerSent(Time expires);
  /// Starts the stop. `peers_stop` is when each peer has surely left this host
  /// out of its own answers, `answer_life` how long callers keep those.
  void Stop(Time now, Duration peers_stop, Duration answer_life);
  /// The phase at `now` with this many requests without a final answer.
  DrainPhase Advance(std::size_t open_requests, Time now);

  DrainPhase phase() const { return phase_; }
  bool in_answers() const { return phase_ == DrainPhase::kServing; }
  bool accepts() const { return phase_ <= DrainPhase::kLeaving; }

 private:
  DrainPhase phase_ = DrainPhase::kServing;
  Time answers_expire_{};  ///< Latest expiry of an answer with this host.
};

}  // namespace comfreyflow
