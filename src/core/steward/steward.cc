// Grants the memory and slots of one target.
#include "comfreyflow/steward.h"

#include <algorithm>

namespace comfreyflow {
namespace {

/// Retry advice if memory or slots are not available.
constexpr Duration kFullRetry = std::chrono::milliseconds(500);
/// Estimated wait after the estimated end of a prefill that has not ended.
constexpr Duration kOverdueWait = std::chrono::milliseconds(5);

}  // namespace

Steward::Steward(TargetInfo target, StewardSettings settings)
    : target_(std::move(target)), settings_(settings) {}

Duration Steward::wait(Time now) const {
  // An engine is still busy if its prefill exceeds the estimated time.
  const Duration min_wait =
      prefilling_tokens_ > 0 ? kOverdueWait : Duration::zero();
  return std::max(min_wait, prefills_done_at_ - now);
}

bool Steward::Fits(const ReservationRequest& request) const {
  const bool has_slot =
      target_.max_running == 0 || grants_.size() < target_.max_running;
  const bool has_memory =
      target_.kv_capacity == 0 ||
      kv_granted_ + request.kv_tokens <= target_.kv_capacity;
  const bool suspect_allowed = !request.suspect || suspect_grants_ == 0;
  return has_slot && has_memory && suspect_allowed;
}

/// Whether memory is held back from the request for another one that has been
/// queued for a while. After `max_gang_hold` that one no longer holds back
/// memory.
bool Steward::IsHeldBack(const ReservationRequest& request, Time now) const {
  if (request.kv_tokens < settings_.small_kv_tokens) return false;
  for (const QueuedRequest& queued : queue_) {
    // Only requests ahead in the queue hold back memory.
    if (queued.request.attempt == request.attempt) break;
    const Duration age = now - queued.queued_at;
    if (age < settings_.gang_hold_delay || age > settings_.max_gang_hold) {
      continue;
    }
    const std::uint64_t total =
        kv_granted_ + request.kv_tokens + queued.request.kv_tokens;
    if (target_.kv_capacity != 0 && total > target_.kv_capacity) return true;
  }
  return false;
}

StewardResult Steward::Reserve(const ReservationRequest& request, Time now) {
  StewardResult result;
  const auto reply_with = [&](GrantReply reply, Duration retry_after) {
    result.answers.push_back({request.attempt, reply, retry_after});
  };
  if (grants_.contains(request.attempt)) {
    reply_with(GrantReply::kGranted, {});
    return result;
  }
  if (is_closed_) {
    reply_with(GrantReply::kClosed, {});
    return result;
  }
  const bool is_too_large =
      target_.kv_capacity != 0 && request.kv_tokens > target_.kv_capacity;
  if (is_too_large || request.expires <= now || now < suspended_until_) {
    reply_with(GrantReply::kRefused, kFullRetry);
    return result;
  }
  const bool is_small = request.kv_tokens < settings_.small_kv_tokens;
  if (is_small &&
      shares_.IsOverShare(request.account, target_.max_running, now)) {
    reply_with(GrantReply::kRefused, {});
    return result;
  }
  const bool has_room = Fits(request) && !IsHeldBack(request, now);
  if (has_room && wait(now) <= request.max_wait) {
    Admit(request, now);
    reply_with(GrantReply::kGranted, {});
    return result;
  }
  const Duration wait_estimate =
      has_room ? wait(now) : std::max(wait(now), kFullRetry);
  if (wait_estimate > request.max_wait ||
      queue_.size() >= settings_.max_queued) {
    reply_with(GrantReply::kRefused, wait_estimate);
    return result;
  }
  const auto position = std::find_if(
      queue_.begin(), queue_.end(), [&](const QueuedRequest& queued) {
        return queued.request.urgency < request.urgency;
      });
  queue_.insert(position, {request, now});
  reply_with(GrantReply::kQueued, wait_estimate);
  return result;
}

void Steward::Admit(const ReservationRequest& request, Time now) {
  Grant grant;
  grant.kv_tokens = request.kv_tokens;
  grant.prefill_tokens = request.prefill_tokens;
  grant.is_prefilling = request.prefill_tokens > 0;
  grant.granted_at = now;
  grant.expires_at = request.expires;
  grant.account = request.account;
  grant.in_shares = request.kv_tokens < settings_.small_kv_tokens;
  if (grant.in_shares) {
    shares_.Granted(request.account, rates_.Prefill(request.prefill_tokens),
                    now);
  }
  grant.is_suspect = request.suspect;
  suspect_grants_ += request.suspect ? 1 : 0;
  grants_[request.attempt] = grant;
  kv_granted_ += grant.kv_tokens;
  prefilling_tokens_ += grant.is_prefilling ? grant.prefill_tokens : 0;
  prefills_done_at_ =
      std::max(prefills_done_at_, now) + rates_.Prefill(grant.prefill_tokens);
}

void Steward::EndPrefill(Grant& grant, Time now) {
  if (!grant.is_prefilling) return;
  grant.is_prefilling = false;
  prefilling_tokens_ -= grant.prefill_tokens;
  prefills_done_at_ =
      std::min(prefills_done_at_, now + rates_.Prefill(prefilling_tokens_));
}

void Steward::RemoveGrant(std::map<AttemptId, Grant>::iterator grant,
                          Time now) {
  EndPrefill(grant->second, now);
  if (grant->second.in_shares) shares_.Ended(grant->second.account);
  kv_granted_ -= grant->second.kv_tokens;
  suspect_grants_ -= grant->second.is_suspect ? 1 : 0;
  grants_.erase(grant);
}

StewardResult Steward::Release(const AttemptId& attempt, Time now) {
  StewardResult result;
  std::erase_if(queue_, [&](const QueuedRequest& queued) {
    return queued.request.attempt == attempt;
  });
  const auto grant = grants_.find(attempt);
  if (grant != grants_.end()) RemoveGrant(grant, now);
  GrantQueued(result, now);
  return result;
}

StewardResult Steward::PrefillDone(const AttemptId& attempt, Time now) {
  StewardResult result;
  const auto grant = grants_.find(attempt);
  if (grant != grants_.end()) EndPrefill(grant->second, now);
  GrantQueued(result, now);
  return result;
}

void Steward::GrantQueued(StewardResult& result, Time now) {
  std::vector<QueuedRequest> remaining;
  for (const QueuedRequest& queued : queue_) {
    if (queued.request.expires <= now) {
      result.answers.push_back(
          {queued.request.attempt, GrantReply::kRefused, {}});
    } else if (Fits(queued.request) && !IsHeldBack(queued.request, now)) {
      Admit(queued.request, now);
      result.answers.push_back(
          {queued.request.attempt, GrantReply::kGranted, {}});
    } else {
      remaining.push_back(queued);
    }
  }
  queue_ = std::move(remaining);
}

StewardResult Steward::Listed(std::uint64_t epoch,
                              const std::vector<RunningAttempt>& running,
                              Time now) {
  StewardResult result;
  if (epoch < epoch_) return result;
  epoch_ = epoch;
  suspended_until_ = {};
  for (auto& [attempt, grant] : grants_) grant.in_last_list = false;
  for (const RunningAttempt& listed : running) {
    if (listed.expires_in <= Duration::zero() ||
        ResumeWindowPassed(listed.id, now)) {
      result.cancels.push_back(listed.id);
    }
    auto [grant, added] = grants_.try_emplace(listed.id);
    grant->second.in_last_list = true;
    grant->second.was_listed = true;
    if (!added) continue;
    grant->second.kv_tokens = listed.kv_tokens;
    grant->second.granted_at = now;
    grant->second.expires_at = now + listed.expires_in;
    kv_granted_ += listed.kv_tokens;
  }
  for (auto grant = grants_.begin(); grant != grants_.end();) {
    const auto current = grant++;
    const bool has_lapsed =
        current->second.was_listed ||
        now - current->second.granted_at > settings_.unused_grant_timeout;
    if (!current->second.in_last_list && has_lapsed) RemoveGrant(current, now);
  }
  GrantQueued(result, now);
  return result;
}

void Steward::Reported(const TargetReport& report, Time now) {
  if (report.epoch < report_epoch_) return;
  // A target that was restarted accepts work again unless it reports closing.
  if (report.epoch > report_epoch_) is_closed_ = false;
  report_epoch_ = report.epoch;
  if (report.kv_capacity != 0) target_.kv_capacity = report.kv_capacity;
  if (report.max_running != 0) target_.max_running = report.max_running;
  if (report.closing) is_closed_ = true;
  if (report.prefill_backlog_tokens == 0) return;
  // The reported backlog gives the earliest time at which the prefills can end.
  const Time backlog_done_at =
      now - report.age + rates_.Prefill(report.prefill_backlog_tokens);
  if (prefilling_tokens_ > 0)
    prefills_done_at_ = std::max(prefills_done_at_, backlog_done_at);
}

void Steward::HostReplaced(const HostName& host, Incarnation incarnation,
                           Time now) {
  auto [replaced, added] =
      replaced_hosts_.try_emplace(host, ReplacedHost{incarnation, now});
  if (!added && replaced->second.incarnation < incarnation) {
    replaced->second = {incarnation, now};
  }
}

bool Steward::ResumeWindowPassed(const AttemptId& attempt, Time now) const {
  const auto replaced = replaced_hosts_.find(attempt.request.host);
  return replaced != replaced_hosts_.end() &&
         attempt.request.incarnation <= replaced->second.incarnation &&
         now - replaced->second.replaced_at >= settings_.resume_window;
}

void Steward::SuspendGrants(Time now) {
  suspended_until_ = now + settings_.max_suspension;
}

StewardResult Steward::Close() {
  StewardResult result;
  is_closed_ = true;
  for (const QueuedRequest& queued : queue_) {
    result.answers.push_back({queued.request.attempt, GrantReply::kClosed, {}});
  }
  queue_.clear();
  return result;
}

StewardResult Steward::Tick(Time now) {
  StewardResult result;
  for (auto grant = grants_.begin(); grant != grants_.end();) {
    const auto current = grant++;
    if (current->second.expires_at > now &&
        !ResumeWindowPassed(current->first, now)) {
      continue;
    }
    result.cancels.push_back(current->first);
    // A grant that the target has listed stays until it is no longer listed.
    if (!current->second.was_listed) RemoveGrant(current, now);
  }
  GrantQueued(result, now);
  return result;
}

}  // namespace comfreyflow
