// Events and actions of a replay as the entry role's events and commands.
#include "core/replay/entry-host.h"

namespace comfreyflow::replay {
namespace {

constexpr Duration kHeartbeatPeriod = std::chrono::seconds(1);
/// The first chunk of an answer and the whole answer, as bytes of a text.
constexpr std::uint32_t kAnswerBytes = 4;

}  // namespace

EntryHost::EntryHost(EntrySettings settings) : entry_(std::move(settings)) {}

void EntryHost::Tell(const EntryEvent& event, Time now) {
  Take(entry_.Handle(event, now), now);
}

void EntryHost::Take(const EntryCommands& commands, Time now) {
  for (const EntryCommand& command : commands) {
    std::visit([&](const auto& typed) { On(typed, now); }, command);
  }
}

void EntryHost::Seen(const TargetInfo& info, Time now) {
  Tell(TargetUpdated{info}, now);
}

void EntryHost::Gone(const TargetName& target, Time now) {
  Tell(TargetRemoved{target}, now);
}

void EntryHost::Limit(const AccountSetup& account, double share, Time now) {
  AccountLimit limit = account.limit;
  limit.tokens_per_second *= share;
  limit.burst_tokens *= share;
  Tell(LimitChanged{account.account, limit, account.weight}, now);
}

void EntryHost::Reported(const TargetReport& report, Time now) {
  Tell(LoadReported{report}, now);
}

HostActions EntryHost::Prefixes(const TargetName& target, bool whole_list,
                                const std::vector<PrefixEvent>& events,
                                std::uint64_t next, Time now) {
  out_.clear();
  Tell(PrefixReported{target, whole_list, next, events}, now);
  return std::move(out_);
}

HostActions EntryHost::Arrived(const RequestInfo& info, Time now) {
  out_.clear();
  RequestArrived event;
  event.info = info;
  if (!info.repeatable) event.idempotency_key = ToString(info.id);
  Tell(event, now);
  return std::move(out_);
}

HostActions EntryHost::Answered(const TargetName& target,
                                const ReservationReply& answer, Time now) {
  out_.clear();
  Tell(GrantAnswered{answer.attempt, target, answer.reply, answer.retry_after},
       now);
  return std::move(out_);
}

HostActions EntryHost::FirstToken(const AttemptId& attempt, Time now) {
  out_.clear();
  Tell(ChunkArrived{attempt, 0, kAnswerBytes, 1}, now);
  return std::move(out_);
}

HostActions EntryHost::Ended(const AttemptId& attempt, std::uint32_t cached,
                             Time now) {
  out_.clear();
  streams_.erase(attempt);
  StreamEnded event;
  event.attempt = attempt;
  event.total_bytes = kAnswerBytes;
  event.cached_tokens = cached;
  Tell(event, now);
  return std::move(out_);
}

HostActions EntryHost::Failed(const AttemptId& attempt,
                              const TargetName& target, bool crashed,
                              Time now) {
  out_.clear();
  streams_.erase(attempt);
  StreamFailed event;
  event.attempt = attempt;
  event.code = crashed ? Errc::kTargetFailed : Errc::kTargetUnreachable;
  event.not_run = !crashed;
  event.crashed = crashed;
  Tell(event, now);
  out_.push_back(SuspectTarget{target});
  return std::move(out_);
}

HostActions EntryHost::Tick(Time now) {
  out_.clear();
  std::vector<AttemptId> due;
  for (auto& [attempt, next] : streams_) {
    if (next > now) continue;
    next = now + kHeartbeatPeriod;
    due.push_back(attempt);
  }
  for (const AttemptId& attempt : due) Tell(StreamHeartbeat{attempt}, now);
  Tell(comfreyflow::Tick{}, now);
  return std::move(out_);
}

/// The claim log of a replay has no other writer.
void EntryHost::On(const WantClaim& command, Time now) {
  Tell(ClaimAnswered{command.request, ClaimVerdict::kClaimed}, now);
}

void EntryHost::On(const RequestGrant& command, Time) {
  SendReserveRequest ask;
  ask.target = command.target;
  ask.request.attempt = command.attempt;
  ask.request.account = command.account;
  ask.request.kv_tokens = command.kv_tokens;
  ask.request.prefill_tokens = command.prefill_tokens;
  ask.request.urgency = command.urgency;
  ask.request.max_wait = command.max_wait;
  ask.request.suspect = command.suspect;
  ask.request.expires = command.expires;
  out_.push_back(ask);
}

void EntryHost::On(const ReleaseGrant& command, Time) {
  out_.push_back(SendRelease{command.target, command.attempt});
}

void EntryHost::On(const PrefillDone& command, Time) {
  out_.push_back(SendPrefillDone{command.target, command.attempt});
}

void EntryHost::On(const OpenStream& command, Time now) {
  out_.push_back(
      StartStream{command.attempt, command.targets, command.engine_priority});
  streams_[command.attempt] = now + kHeartbeatPeriod;
  Tell(StreamOpened{command.attempt}, now);
}

void EntryHost::On(const CancelAttempt& command, Time) {
  streams_.erase(command.attempt);
  out_.push_back(CancelStream{command.attempt, command.target});
}

void EntryHost::On(const Finish& command, Time) {
  out_.push_back(EndRequest{command.request, command.code, command.attempts});
}

void EntryHost::On(const FetchPrefixList& command, Time) {
  out_.push_back(FetchList{command.target});
}

}  // namespace comfreyflow::replay
