// Checks at the door, cheapest and least private first.
#include "comfreyflow/admission.h"

#include <algorithm>

namespace comfreyflow {
namespace {

/// Seconds of its rate that an account may save up by default.
constexpr double kDefaultBurstSeconds = 10;
/// Retry advice where nothing better is known.
constexpr Duration kShortRetry = std::chrono::seconds(1);
/// Longest retry advice.
constexpr Duration kLongestRetry = std::chrono::seconds(60);
/// Share of the expected output, in per cent of the most allowed, that must be
/// possible before the deadline.
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
  Account& known = found->second;
  known.limit = limit;
  known.tokens = added ? Burst(limit) : std::min(known.tokens, Burst(limit));
  if (added) known.filled = now;
}

AdmissionDecision Admission::Arrived(const RequestInfo& info,
                                     const LoadView& load, Time now) {
  Account& account = accounts_[info.account];
  if (account.limit.tokens_per_second > 0) {
    const std::chrono::duration<double> elapsed = now - account.filled;
    account.tokens = std::min(
        Burst(account.limit),
        account.tokens + elapsed.count() * account.limit.tokens_per_second);
    account.filled = now;
  }
  const std::uint64_t tokens = TokensOf(info);
  for (const AdmissionDecision& verdict :
       {CheckAccount(account, tokens), CheckLoad(info, load),
        CheckDeadline(info, load, now)}) {
    if (!verdict.admitted()) return verdict;
  }
  if (!open_.try_emplace(info.id, Open{info.account, tokens}).second) {
    return {Errc::kAlreadyRunning, {}};
  }
  account.in_use += tokens;
  if (account.limit.tokens_per_second > 0) {
    account.tokens -= static_cast<double>(tokens);
  }
  return {};
}

void Admission::Ended(const RequestId& id) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  accounts_[found->second.account].in_use -= found->second.tokens;
  open_.erase(found);
}

AdmissionDecision Admission::CheckAccount(const Account& account,
                                          std::uint64_t tokens) const {
  const AccountLimit& limit = account.limit;
  if (limit.concurrent_tokens > 0 && account.in_use > 0 &&
      account.in_use + tokens > limit.concurrent_tokens) {
    return {Errc::kConcurrencyLimited, kShortRetry};
  }
  if (limit.tokens_per_second <= 0) return {};
  // A request longer than the burst passes with a full bucket, and the bucket
  // goes below zero: the rate holds on average.
  const double needed =
      std::min(static_cast<double>(tokens), Burst(limit)) - account.tokens;
  if (needed <= 0) return {};
  const Duration wait = Seconds(needed / limit.tokens_per_second);
  return {Errc::kRateLimited, std::min(wait, kLongestRetry)};
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
  if (open_.size() >= settings_.max_open)
    return {Errc::kOverloaded, kShortRetry};
  const Duration wait = load.queue_wait + load.start_wait;
  if (wait <= MaxWait(info.urgency)) return {};
  return {Errc::kOverloaded, std::clamp(wait, kShortRetry, kLongestRetry)};
}

AdmissionDecision Admission::CheckDeadline(const RequestInfo& info,
                                           const LoadView& load,
                                           Time now) const {
  const std::uint64_t output =
      std::uint64_t{info.max_output_tokens} * kExpectedOutputPercent / 100;
  const Duration run =
      rates_.Prefill(load.uncached_tokens) + rates_.Decode(output);
  const Duration wait = load.queue_wait + load.start_wait;
  if (now + wait + run <= info.deadline) return {};
  const bool hopeless = now + run > info.deadline;
  return {Errc::kDeadlineInfeasible, hopeless ? Duration::zero() : wait};
}

}  // namespace comfreyflow
