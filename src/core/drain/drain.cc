// Planned stop of a host.
#include "comfreyflow/drain.h"

#include <algorithm>

namespace comfreyflow {

void Drain::AddressAnswerSent(Time expires) {
  answers_expire_ = std::max(answers_expire_, expires);
}

void Drain::Stop(Time now, Duration peers_stop, Duration answer_life) {
  if (phase_ != DrainPhase::kServing) return;
  phase_ = DrainPhase::kLeaving;
  AddressAnswerSent(now + peers_stop + answer_life);
}

DrainPhase Drain::Advance(std::size_t open_requests, Time now) {
  if (phase_ == DrainPhase::kLeaving && now >= answers_expire_) {
    phase_ = DrainPhase::kRefusing;
  }
  if (phase_ == DrainPhase::kRefusing && open_requests == 0) {
    phase_ = DrainPhase::kDone;
  }
  return phase_;
}

}  // namespace comfreyflow
