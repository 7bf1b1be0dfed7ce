// Checks an arriving request. The checks run in the order of their cost and of
// how much a refusal reveals: the limits of the account, the load, the
// deadline.
#include "comfreyflow/admission.h"

#include <algorithm>

namespace comfreyflow {
namespace {

/// Default burst of an account, in seconds of its token rate.
constexpr double kDefaultBurstSeconds = 10;
/// Lower bound of the suggested wait before a retry, also used if there is no
/// estimate.
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
/// Upper bound of the suggested wait before a retry.
constexpr Duration kMaxRetryAfter = std::chrono::seconds(60);
/// Expected output of a request as a percentage of its maximum. It must be
/// feasible before the deadline.
constexpr int kExpectedOutputPercent = 25;

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

double Burst(const AccountLimit& limit) {
  if (limit.burst_tokens > 0) return limit.burst_tokens;
  return limit.tokens_per_second * kDefaultBurstSeconds;
}

std::uint64_t TokensOf(const RequestInfo& info) {
  return std::uint64_t{info.prompt_tokens} + info.max_output_tokens;
}

}  // namespace

Admission::Admission(AdmissionSettings settings) : settings_(settings) {}

void Admission::SetLimit(const AccountName& account, const AccountLimit& limit,
                         Time now) {
  const auto [found, added] = accounts_.try_emplace(account);
  Account& state = found->second;
  state.limit = limit;
  state.tokens = added ? Burst(limit) : std::min(state.tokens, Burst(limit));
  if (added) state.refilled_at = now;
}

AdmissionDecision Admission::Arrived(const RequestInfo& info,
                                     const LoadView& load, Time now) {
  Account& account = accounts_[info.account];
  if (account.limit.tokens_per_second > 0) {
    const std::chrono::duration<double> elapsed = now - account.refilled_at;
    account.tokens = std::min(
        Burst(account.limit),
        account.tokens + elapsed.count() * account.limit.tokens_per_second);
    account.refilled_at = now;
  }
  const std::uint64_t tokens = TokensOf(info);
  for (const AdmissionDecision& decision :
       {CheckAccount(account, tokens), CheckLoad(info, load),
        CheckDeadline(info, load, now)}) {
    if (!decision.admitted()) return decision;
  }
  if (!open_requests_.try_emplace(info.id, OpenRequest{info.account, tokens})
           .second) {
    return {Errc::kAlreadyRunning, {}};
  }
  account.tokens_in_use += tokens;
  if (account.limit.tokens_per_second > 0) {
    account.tokens -= static_cast<double>(tokens);
  }
  return {};
}

void Admission::Ended(const RequestId& id) {
  const auto found = open_requests_.find(id);
  if (found == open_requests_.end()) return;
  accounts_[found->second.account].tokens_in_use -= found->second.tokens;
  open_requests_.erase(found);
}

AdmissionDecision Admission::CheckAccount(const Account& account,
                                          std::uint64_t tokens) const {
  const AccountLimit& limit = account.limit;
  if (limit.concurrent_tokens > 0 && account.tokens_in_use > 0 &&
      account.tokens_in_use + tokens > limit.concurrent_tokens) {
    return {Errc::kConcurrencyLimited, kMinRetryAfter};
  }
  if (limit.tokens_per_second <= 0) return {};
  // A request with more tokens than the burst is admitted when the bucket is
  // full. The bucket then becomes negative, so the average rate still holds.
  const double missing =
      std::min(static_cast<double>(tokens), Burst(limit)) - account.tokens;
  if (missing <= 0) return {};
  const Duration wait = Seconds(missing / limit.tokens_per_second);
  return {Errc::kRateLimited, std::min(wait, kMaxRetryAfter)};
}

Duration Admission::MaxWait(Urgency urgency) const {
  switch (urgency) {
    case Urgency::kLow:
      return settings_.max_wait_low;
    case Urgency::kNormal:
      return settings_.max_wait_normal;
    case Urgency::kHigh:
      return settings_.max_wait_high;
  }
  return settings_.max_wait_normal;
}

AdmissionDecision Admission::CheckLoad(const RequestInfo& info,
                                       const LoadView& load) const {
  if (open_requests_.size() >= settings_.max_open)
    return {Errc::kOverloaded, kMinRetryAfter};
  const Duration wait = load.queue_wait + load.start_wait;
  if (wait <= MaxWait(info.urgency)) return {};
  return {Errc::kOverloaded, std::clamp(wait, kMinRetryAfter, kMaxRetryAfter)};
}

AdmissionDecision Admission::CheckDeadline(const RequestInfo& info,
                                           const LoadView& load,
                                           Time now) const {
  const std::uint64_t output =
      std::uint64_t{info.max_output_tokens} * kExpectedOutputPercent / 100;
  const Duration run_time =
      rates_.Prefill(load.uncached_tokens) + rates_.Decode(output);
  const Duration wait = load.queue_wait + load.start_wait;
  if (now + wait + run_time <= info.deadline) return {};
  const bool never_feasible = now + run_time > info.deadline;
  return {Errc::kDeadlineInfeasible, never_feasible ? Duration::zero() : wait};
}

}  // namespace comfreyflow
