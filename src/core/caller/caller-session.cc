// Selects the host for each stream of a request, and resumes broken streams.
#include "comfreyflow/caller-session.h"

#include <algorithm>
#include <utility>

namespace comfreyflow {

using Kind = CallerStreamEnd::Kind;

CallerSession::CallerSession(CallerSessionSettings settings)
    : settings_(std::move(settings)) {}

std::optional<CallerOpen> CallerSession::Start() {
  return Next(Duration::zero(), Time::min());
}

void CallerSession::OnResumeToken(std::string token) {
  resume_token_ = std::move(token);
}

std::optional<CallerOpen> CallerSession::Ended(const CallerStreamEnd& end,
                                               Time now) {
  switch (end.kind) {
    case Kind::kComplete:
      return std::nullopt;
    case Kind::kUnreachable:
      return Next(settings_.retry_wait, now);
    case Kind::kError:
      if (end.is_draining && !resume_token_.empty()) return Resume(now);
      if (end.outcome != Outcome::kNotRun || !end.retry) return std::nullopt;
      return Next(std::max(end.retry_after, settings_.retry_wait), now);
    case Kind::kBroken:
      break;
  }
  if (!resume_token_.empty()) return Resume(now);
  // Without a token the answer can only be received from its start, so text
  // that was already received rules out a resend.
  if (!settings_.may_resend || offset_ > 0) return std::nullopt;
  return Next(settings_.retry_wait, now);
}

std::optional<CallerOpen> CallerSession::Resume(Time now) {
  ++resumes_;
  return Next(Duration::zero(), now);
}

std::optional<CallerOpen> CallerSession::Next(Duration wait, Time now) {
  if (settings_.hosts.empty() || opens_ >= settings_.max_opens) {
    return std::nullopt;
  }
  if (now != Time::min() && now + wait >= settings_.deadline) {
    return std::nullopt;
  }
  const std::string& host = settings_.hosts[next_host_];
  next_host_ = (next_host_ + 1) % settings_.hosts.size();
  ++opens_;
  return CallerOpen{host, resume_token_, offset_, wait};
}

}  // namespace comfreyflow
