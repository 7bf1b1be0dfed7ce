// Phases of a host's planned shutdown.
#include "comfreyflow/drain.h"

#include <algorithm>

namespace comfreyflow {

void Drain::AddressAnswerSent(Time expires) {
  answers_expire_at_ = std::max(answers_expire_at_, expires);
}

void Drain::Stop(Time now, Duration peer_update_time, Duration answer_lifetime,
                 Time exit_by) {
  if (phase_ != DrainPhase::kServing) return;
  exit_by_ = exit_by;
  phase_ = DrainPhase::kLeaving;
  AddressAnswerSent(now + peer_update_time + answer_lifetime);
}

DrainPhase Drain::Advance(std::size_t open_requests, Time now) {
  if (phase_ == DrainPhase::kLeaving && now >= answers_expire_at_) {
    phase_ = DrainPhase::kRefusing;
  }
  const bool is_empty = phase_ == DrainPhase::kRefusing && open_requests == 0;
  const bool is_over = phase_ != DrainPhase::kServing && now >= exit_by_;
  if (is_empty || is_over) phase_ = DrainPhase::kDone;
  return phase_;
}

}  // namespace comfreyflow
