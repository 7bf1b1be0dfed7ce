// Grants of one target's memory and slots.
#include "comfreyflow/steward.h"

#include <algorithm>

namespace comfreyflow {
namespace {

/// Retry advice when memory or slots lack.
constexpr Duration kFullRetry = std::chrono::milliseconds(500);
/// Wait at a target whose prefill takes longer than estimated.
constexpr Duration kOverdueWait = std::chrono::milliseconds(5);

}  // namespace

Steward::Steward(TargetInfo target, StewardSettings settings)
    : target_(std::move(target)), settings_(settings) {}

Duration Steward::wait(Time now) const {
  // An estimate that has passed does not make a busy engine free.
  const Duration least = prefilling_ > 0 ? kOverdueWait : Duration::zero();
  return std::max(least, clear_at_ - now);
}

bool Steward::Fits(const ReservationRequest& ask) const {
  const bool slot =
      target_.max_running == 0 || grants_.size() < target_.max_running;
  const bool memory = target_.kv_capacity == 0 ||
                      kv_granted_ + ask.kv_tokens <= target_.kv_capacity;
  const bool apart = !ask.suspect || suspects_ == 0;
  return slot && memory && apart;
}

/// Memory is held back for what has waited long, unless it waits too long.
bool Steward::HeldBack(const ReservationRequest& ask, Time now) const {
  if (ask.kv_tokens < settings_.small_kv_tokens) return false;
  for (const Waiting& waiting : queue_) {
    // What waits behind it, or is itself, takes nothing from the ask.
    if (waiting.ask.attempt == ask.attempt) break;
    const Duration age = now - waiting.since;
    if (age < settings_.gang_patience || age > settings_.gang_hold_limit) {
      continue;
    }
    const std::uint64_t after =
        kv_granted_ + ask.kv_tokens + waiting.ask.kv_tokens;
    if (target_.kv_capacity != 0 && after > target_.kv_capacity) return true;
  }
  return false;
}

StewardResult Steward::Reserve(const ReservationRequest& ask, Time now) {
  StewardResult turn;
  const auto answer = [&](GrantReply reply, Duration retry_after) {
    turn.answers.push_back({ask.attempt, reply, retry_after});
  };
  if (grants_.contains(ask.attempt)) {
    answer(GrantReply::kGranted, {});
    return turn;
  }
  if (closed_) {
    answer(GrantReply::kClosed, {});
    return turn;
  }
  const bool too_big =
      target_.kv_capacity != 0 && ask.kv_tokens > target_.kv_capacity;
  if (too_big || ask.expires <= now || now < suspect_until_) {
    answer(GrantReply::kRefused, kFullRetry);
    return turn;
  }
  const bool is_small = ask.kv_tokens < settings_.small_kv_tokens;
  if (is_small && shares_.Over(ask.account, target_.max_running, now)) {
    answer(GrantReply::kRefused, {});
    return turn;
  }
  const bool room = Fits(ask) && !HeldBack(ask, now);
  if (room && wait(now) <= ask.max_wait) {
    Admit(ask, now);
    answer(GrantReply::kGranted, {});
    return turn;
  }
  const Duration until = room ? wait(now) : std::max(wait(now), kFullRetry);
  if (until > ask.max_wait || queue_.size() >= settings_.max_queued) {
    answer(GrantReply::kRefused, until);
    return turn;
  }
  const auto at =
      std::find_if(queue_.begin(), queue_.end(), [&](const Waiting& waiting) {
        return waiting.ask.urgency < ask.urgency;
      });
  queue_.insert(at, {ask, now});
  answer(GrantReply::kQueued, until);
  return turn;
}

void Steward::Admit(const ReservationRequest& ask, Time now) {
  Grant grant;
  grant.kv_tokens = ask.kv_tokens;
  grant.prefill_tokens = ask.prefill_tokens;
  grant.prefilling = ask.prefill_tokens > 0;
  grant.granted = now;
  grant.expires = ask.expires;
  grant.account = ask.account;
  grant.shared = ask.kv_tokens < settings_.small_kv_tokens;
  if (grant.shared) {
    shares_.Granted(ask.account, rates_.Prefill(ask.prefill_tokens), now);
  }
  grant.suspect = ask.suspect;
  suspects_ += ask.suspect ? 1 : 0;
  grants_[ask.attempt] = grant;
  kv_granted_ += grant.kv_tokens;
  prefilling_ += grant.prefilling ? grant.prefill_tokens : 0;
  clear_at_ = std::max(clear_at_, now) + rates_.Prefill(grant.prefill_tokens);
}

void Steward::EndPrefill(Grant& grant, Time now) {
  if (!grant.prefilling) return;
  grant.prefilling = false;
  prefilling_ -= grant.prefill_tokens;
  clear_at_ = std::min(clear_at_, now + rates_.Prefill(prefilling_));
}

void Steward::Drop(std::map<AttemptId, Grant>::iterator grant, Time now) {
  EndPrefill(grant->second, now);
  if (grant->second.shared) shares_.Ended(grant->second.account);
  kv_granted_ -= grant->second.kv_tokens;
  suspects_ -= grant->second.suspect ? 1 : 0;
  grants_.erase(grant);
}

StewardResult Steward::Release(const AttemptId& attempt, Time now) {
  StewardResult turn;
  std::erase_if(queue_, [&](const Waiting& waiting) {
    return waiting.ask.attempt == attempt;
  });
  const auto grant = grants_.find(attempt);
  if (grant != grants_.end()) Drop(grant, now);
  GrantWaiting(turn, now);
  return turn;
}

StewardResult Steward::PrefillDone(const AttemptId& attempt, Time now) {
  StewardResult turn;
  const auto grant = grants_.find(attempt);
  if (grant != grants_.end()) EndPrefill(grant->second, now);
  GrantWaiting(turn, now);
  return turn;
}

void Steward::GrantWaiting(StewardResult& turn, Time now) {
  std::vector<Waiting> still;
  for (const Waiting& waiting : queue_) {
    if (waiting.ask.expires <= now) {
      turn.answers.push_back({waiting.ask.attempt, GrantReply::kRefused, {}});
    } else if (Fits(waiting.ask) && !HeldBack(waiting.ask, now)) {
      Admit(waiting.ask, now);
      turn.answers.push_back({waiting.ask.attempt, GrantReply::kGranted, {}});
    } else {
      still.push_back(waiting);
    }
  }
  queue_ = std::move(still);
}

StewardResult Steward::Listed(std::uint64_t epoch,
                              const std::vector<RunningAttempt>& running,
                              Time now) {
  StewardResult turn;
  if (epoch < epoch_) return turn;
  epoch_ = epoch;
  suspect_until_ = {};
  for (auto& [attempt, grant] : grants_) grant.seen = false;
  for (const RunningAttempt& listed : running) {
    if (listed.expires_in <= Duration::zero() || HostLapsed(listed.id, now)) {
      turn.cancels.push_back(listed.id);
    }
    auto [grant, added] = grants_.try_emplace(listed.id);
    grant->second.seen = true;
    grant->second.listed = true;
    if (!added) continue;
    grant->second.kv_tokens = listed.kv_tokens;
    grant->second.granted = now;
    grant->second.expires = now + listed.expires_in;
    kv_granted_ += listed.kv_tokens;
  }
  for (auto grant = grants_.begin(); grant != grants_.end();) {
    const auto current = grant++;
    const bool lapsed = current->second.listed ||
                        now - current->second.granted > settings_.unused_limit;
    if (!current->second.seen && lapsed) Drop(current, now);
  }
  GrantWaiting(turn, now);
  return turn;
}

void Steward::Reported(const TargetReport& report, Time now) {
  if (report.epoch < report_epoch_) return;
  // A restarted target that is not closing takes work again.
  if (report.epoch > report_epoch_) closed_ = false;
  report_epoch_ = report.epoch;
  if (report.kv_capacity != 0) target_.kv_capacity = report.kv_capacity;
  if (report.max_running != 0) target_.max_running = report.max_running;
  if (report.closing) closed_ = true;
  if (report.prefill_backlog_tokens == 0) return;
  // What the engine still had then is a floor of what is left now.
  const Time left =
      now - report.age + rates_.Prefill(report.prefill_backlog_tokens);
  if (prefilling_ > 0) clear_at_ = std::max(clear_at_, left);
}

void Steward::HostReplaced(const HostName& host, Incarnation incarnation,
                           Time now) {
  auto [gone, added] = gone_.try_emplace(host, GoneHost{incarnation, now});
  if (!added && gone->second.incarnation < incarnation) {
    gone->second = {incarnation, now};
  }
}

bool Steward::HostLapsed(const AttemptId& attempt, Time now) const {
  const auto gone = gone_.find(attempt.request.host);
  return gone != gone_.end() &&
         attempt.request.incarnation <= gone->second.incarnation &&
         now - gone->second.since >= settings_.resume_window;
}

void Steward::SuspendGrants(Time now) {
  suspect_until_ = now + settings_.suspect_limit;
}

StewardResult Steward::Close() {
  StewardResult turn;
  closed_ = true;
  for (const Waiting& waiting : queue_) {
    turn.answers.push_back({waiting.ask.attempt, GrantReply::kClosed, {}});
  }
  queue_.clear();
  return turn;
}

StewardResult Steward::Tick(Time now) {
  StewardResult turn;
  for (auto grant = grants_.begin(); grant != grants_.end();) {
    const auto current = grant++;
    if (current->second.expires > now && !HostLapsed(current->first, now)) {
      continue;
    }
    turn.cancels.push_back(current->first);
    // A listed grant stays until the target drops it from its list.
    if (!current->second.listed) Drop(current, now);
  }
  GrantWaiting(turn, now);
  return turn;
}

}  // namespace comfreyflow
