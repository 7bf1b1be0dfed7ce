// Executes the entry role's commands.
#include "node/entry-actor.h"

#include <utility>

#include "node/answer.h"
#include "node/clock.h"
#include "node/log.h"
#include "node/timer-service.h"

namespace comfreyflow::node {
namespace {

using std::chrono::milliseconds;

/// A caller's stream is idle for at most about twice this period.
constexpr Duration kCallerHeartbeatPeriod = std::chrono::seconds(1);
/// A cancel is retried until this long after the request's deadline, or after
/// the cancel if the request has already ended.
constexpr Duration kCancelGracePeriod = std::chrono::seconds(5);

LinkSink SinkForActor(ActorRefPtr self) {
  return [self = std::move(self)](LinkEvent event) {
    std::visit([&self](auto& typed) { self->Send(std::move(typed)); }, event);
  };
}

}  // namespace

EntryActor::EntryActor(caf::actor_config& config, EntryDeps deps)
    : Actor(config),
      deps_(std::move(deps)),
      entry_(deps_.settings),
      links_(*deps_.io, *deps_.client, deps_.settings.attempt.silence_limit,
             SinkForActor(deps_.self)) {}

caf::behavior EntryActor::make_behavior() {
  Subscribe();
  if (deps_.hooks.limits) {
    for (const auto& limit : deps_.hooks.limits()) Run(limit);
  }
  if (deps_.hooks.targets) {
    for (const auto& target : deps_.hooks.targets()) Run(TargetUpdated{target});
  }
  return {
      [this](const CallArrived& message) { HandleCall(message.call); },
      [this](const TextArrived& message) { HandleText(message); },
      [this](const PlainAnswered& message) { HandlePlain(message); },
      [this](const EntryPosted& message) { Run(message.event); },
      [this](const TimerTick& message) { HandleTick(message.now); },
      [this](const OwnersQueried& message) { HandleOwnerQuery(message); },
      [this](const DumpRequested& message) { message.done(Dump()); },
      [this](const ActorRestarted& message) {
        if (message.name == kTimerName) Subscribe();
      },
  };
}

void EntryActor::Subscribe() {
  deps_.timer->Send(TimerSubscribe{caf::actor(this), kEntryTickPeriod});
}

Call* EntryActor::Find(const RequestId& id) {
  const auto at = calls_.find(id);
  return at == calls_.end() ? nullptr : at->second.get();
}

void EntryActor::HandleCall(const CallPtr& call) {
  const RequestId id = call->info.id;
  calls_[id] = call;
  call->last_write_at = comfreyflow::detail::Now();
  if (call->resume) call->offset = call->resume->offset;
  call->exchange->OnGone([self = deps_.self, id] {
    self->Send(EntryPosted{CallerDisconnected{id}});
  });
  Run(RequestArrived{call->info, call->idempotency_key, call->resume});
}

void EntryActor::HandleText(const TextArrived& text) {
  chunk_text_ = text.text;
  Run(ChunkArrived{text.attempt, text.offset,
                   static_cast<std::uint32_t>(text.text.size()), text.tokens});
  chunk_text_ = {};
}

void EntryActor::HandlePlain(const PlainAnswered& answer) {
  if (Call* call = Find(answer.attempt.request)) {
    call->plain_answer = answer.response;
  }
}

void EntryActor::HandleTick(Time now) {
  Run(Tick{});
  if (now - last_heartbeats_at_ < kCallerHeartbeatPeriod) return;
  last_heartbeats_at_ = now;
  for (auto& [id, call] : calls_) {
    if (now - call->last_write_at >= kCallerHeartbeatPeriod)
      SendHeartbeat(*call, now);
  }
}

void EntryActor::HandleOwnerQuery(const OwnersQueried& query) const {
  std::vector<AttemptId> unknown;
  for (const auto& attempt : query.attempts) {
    const auto at = attempts_.find(attempt.request);
    if (at == attempts_.end() || at->second != attempt) {
      unknown.push_back(attempt);
    }
  }
  query.done(std::move(unknown));
}

void EntryActor::Run(const EntryEvent& event) {
  Observe(event);
  pending_events_.push_back(event);
  if (is_running_) return;
  is_running_ = true;
  while (!pending_events_.empty()) {
    const EntryEvent next = std::move(pending_events_.front());
    pending_events_.pop_front();
    now_ = std::max(now_, comfreyflow::detail::Now());
    for (const auto& command : entry_.Handle(next, now_)) {
      std::visit([this](const auto& typed) { Do(typed); }, command);
    }
  }
  is_running_ = false;
  if (deps_.hooks.open_changed) {
    deps_.hooks.open_changed(entry_.open_requests(), entry_.open_attempts());
  }
}

void EntryActor::Observe(const EntryEvent& event) {
  if (const auto* updated = std::get_if<TargetUpdated>(&event)) {
    targets_[updated->info.name] = updated->info;
  }
  if (const auto* failed = std::get_if<StreamFailed>(&event)) {
    LogLine(Severity::kWarning, Event::kAttemptFailed)
        .With(failed->attempt)
        .With(failed->code)
        .With("not_run", failed->not_run)
        .With("crashed", failed->crashed);
  }
}

void EntryActor::Do(const WantClaim& command) {
  if (deps_.hooks.request_claim) return deps_.hooks.request_claim(command);
  Run(ClaimAnswered{command.request, ClaimVerdict::kUnavailable});
}

void EntryActor::Do(const RecordOutcome& command) {
  if (deps_.hooks.record_outcome) deps_.hooks.record_outcome(command);
}

void EntryActor::Do(const RequestGrant& command) {
  if (deps_.hooks.request_grant) return deps_.hooks.request_grant(command);
  Run(GrantAnswered{command.attempt, command.target, GrantReply::kGranted, {}});
}

void EntryActor::Do(const ReleaseGrant& command) {
  if (deps_.hooks.release_grant) deps_.hooks.release_grant(command);
}

void EntryActor::Do(const PrefillDone& command) {
  if (deps_.hooks.prefill_done) deps_.hooks.prefill_done(command);
}

void EntryActor::Do(const OpenStream& command) {
  const auto at = calls_.find(command.attempt.request);
  if (at == calls_.end()) return;
  Call& call = *at->second;
  std::vector<std::string> addresses;
  for (const auto& name : command.targets) {
    addresses.push_back(targets_[name].address);
  }
  if (command.attempt.number > 1) deps_.metrics->Retried();
  deps_.metrics->QueueWait(now_ - call.info.arrival);
  if (deps_.hooks.sign_resume && call.stream) {
    call.resume_token =
        deps_.hooks.sign_resume(call, command.attempt, command.targets.front());
    call.resume_token_sent = false;
  }
  attempts_[command.attempt.request] = command.attempt;
  links_.Open(command, addresses, at->second);
}

void EntryActor::Do(const CancelAttempt& command) {
  links_.Close(command.attempt);
  const auto& target = targets_[command.target];
  if (target.address.empty() || target.kind == TargetKind::kPlain) return;
  const Call* call = Find(command.attempt.request);
  const Time expires = call != nullptr ? call->info.deadline : now_;
  links_.Cancel(command.attempt, target.address, expires + kCancelGracePeriod);
}

void EntryActor::Do(const Forward& command) {
  Call* call = Find(command.request);
  if (call == nullptr) return;
  const auto text = chunk_text_.substr(
      std::min<std::size_t>(command.skip, chunk_text_.size()));
  const auto length = ClassOf(call->info.prompt_tokens);
  if (call->first_text_seen) {
    deps_.metrics->BetweenTokens(length, now_ - call->last_text_at);
  } else {
    deps_.metrics->FirstToken(length, now_ - call->info.arrival);
  }
  call->first_text_seen = true;
  call->last_text_at = now_;
  SendText(*call, text, now_);
}

void EntryActor::Do(const Finish& command) {
  const auto at = calls_.find(command.request);
  if (at == calls_.end()) return;
  const CallPtr call = at->second;
  calls_.erase(at);
  attempts_.erase(command.request);
  for (std::uint32_t i = 1; i <= command.attempts; ++i) {
    links_.Close({command.request, i});
  }
  deps_.metrics->Finished(command.code);
  LogRequestEnd(*call, command);
  SendEnd(*call, command);
}

void EntryActor::Do(const ShareSuspect& command) {
  if (deps_.hooks.share_suspect) deps_.hooks.share_suspect(command);
}

void EntryActor::Do(const ShareClosed& command) {
  if (deps_.hooks.share_closed) deps_.hooks.share_closed(command);
}

void EntryActor::Do(const FetchPrefixList& command) {
  if (!deps_.hooks.fetch_prefix_list) return;
  deps_.hooks.fetch_prefix_list(command.target,
                                targets_[command.target].address);
}

void EntryActor::LogRequestEnd(const Call& call, const Finish& finish) {
  const auto severity =
      finish.code == Errc::kOk ? Severity::kInfo : Severity::kWarning;
  LogLine(severity, Event::kRequestEnded)
      .With(call.info.id)
      .With("account", call.info.account)
      .With("service", call.info.service)
      .With(finish.code)
      .With("outcome", ToString(finish.outcome))
      .With("attempts", std::uint64_t{finish.attempts})
      .With("prompt_tokens", std::uint64_t{call.info.prompt_tokens})
      .With("output_tokens", std::uint64_t{finish.output_tokens})
      .With("took_ms",
            std::chrono::duration_cast<milliseconds>(now_ - call.info.arrival));
}

nlohmann::ordered_json EntryActor::Dump() const {
  using Json = nlohmann::ordered_json;
  const Time now = comfreyflow::detail::Now();
  const auto ms = [](Duration time) {
    return std::chrono::duration_cast<milliseconds>(time).count();
  };
  Json requests = Json::array();
  for (const auto& [id, call] : calls_) {
    requests.push_back({{"id", ToString(id)},
                        {"account", call->info.account.value},
                        {"service", call->info.service.value},
                        {"model", call->info.model.value},
                        {"urgency", ToString(call->info.urgency)},
                        {"prompt_tokens", call->info.prompt_tokens},
                        {"age_ms", ms(now - call->info.arrival)},
                        {"remaining_ms", ms(call->info.deadline - now)},
                        {"offset", call->offset},
                        {"repeatable", call->info.repeatable}});
  }
  Json targets = Json::array();
  for (const auto& [name, info] : targets_) {
    targets.push_back({{"name", name.value},
                       {"address", info.address},
                       {"service", info.service.value},
                       {"failure_domain", info.failure_domain.value}});
  }
  return Json{{"requests", std::move(requests)},
              {"open_attempts", entry_.open_attempts()},
              {"targets", std::move(targets)}};
}

}  // namespace comfreyflow::node
