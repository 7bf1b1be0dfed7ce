// Requests of a replayed host from arrival to end.
#include "core/replay/base-host.h"

#include <algorithm>

#include "comfreyflow/entry.h"

namespace comfreyflow::replay {
namespace {

constexpr std::uint32_t kMaxAttempts = 3;

}  // namespace

AttemptId BaseHost::AttemptOf(const Open& open) {
  return {open.info.id, open.attempt};
}

BaseHost::Open* BaseHost::Find(const AttemptId& attempt) {
  const auto at = open_.find(attempt.request.sequence);
  if (at == open_.end() || at->second.attempt != attempt.number) return nullptr;
  return &at->second;
}

HostActions BaseHost::Arrived(const RequestInfo& info, Time now) {
  out_.clear();
  const Errc code = Judge(info, now);
  if (code != Errc::kOk) {
    out_.push_back(EndRequest{info.id, code, 0});
    return std::move(out_);
  }
  Open& open = open_[info.id.sequence];
  open.info = info;
  deadlines_.insert({info.deadline, info.id.sequence});
  Dispatch(open, now);
  return std::move(out_);
}

void BaseHost::Start(Open& open, std::vector<TargetName> targets,
                     std::uint8_t priority) {
  open.targets = targets;
  out_.push_back(StartStream{AttemptOf(open), std::move(targets), priority});
}

HostActions BaseHost::FirstToken(const AttemptId& attempt, Time now) {
  out_.clear();
  if (Find(attempt) != nullptr) OnFirstToken(attempt, now);
  return std::move(out_);
}

HostActions BaseHost::Ended(const AttemptId& attempt, std::uint32_t /*cached*/,
                            Time now) {
  out_.clear();
  Open* open = Find(attempt);
  if (open != nullptr) Settle(*open, Errc::kOk, now);
  return std::move(out_);
}

HostActions BaseHost::Failed(const AttemptId& attempt, const TargetName& target,
                             bool crashed, Time now) {
  out_.clear();
  Open* open = Find(attempt);
  if (open == nullptr) return {};
  OnSuspect(target, now);
  const bool again = open->info.repeatable || !crashed;
  if (!again || open->attempt >= kMaxAttempts) {
    Settle(*open, Errc::kTargetFailed, now);
    return std::move(out_);
  }
  for (const TargetName& name : open->targets) {
    if (name != target) out_.push_back(CancelStream{attempt, name});
  }
  open->targets.clear();
  OnLeft(*open, attempt, false, now);
  open->excluded.push_back(target);
  ++open->attempt;
  Dispatch(*open, now);
  return std::move(out_);
}

void BaseHost::Settle(Open& open, Errc code, Time now) {
  const AttemptId attempt = AttemptOf(open);
  if (code != Errc::kOk) {
    for (const TargetName& name : open.targets) {
      out_.push_back(CancelStream{attempt, name});
    }
  }
  OnLeft(open, attempt, code == Errc::kOk, now);
  OnDone(open.info.id);
  out_.push_back(EndRequest{open.info.id, code, open.attempt});
  deadlines_.erase({open.info.deadline, open.info.id.sequence});
  open_.erase(open.info.id.sequence);
}

HostActions BaseHost::Tick(Time now) {
  out_.clear();
  while (!deadlines_.empty() &&
         deadlines_.begin()->first <= now + kEntryTickPeriod) {
    Settle(open_.at(deadlines_.begin()->second), Errc::kDeadlineExceeded, now);
  }
  OnTick(now);
  return std::move(out_);
}

}  // namespace comfreyflow::replay
