// From the first attempt of a request to its final answer: grants, streams,
// retries and crashes.
#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <vector>

#include "core/entry/state.h"

namespace comfreyflow {
namespace {

using detail::Phase;
using detail::Request;

constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(500);

}  // namespace

void Entry::State::StartAttempt(Request& request) {
  const PoisonDecision decision = poison.Decide(request.info.fingerprint, now);
  if (decision == PoisonDecision::kQuarantined) {
    return GiveUp(request, Errc::kQuarantined,
                  poison.Remaining(request.info.fingerprint, now));
  }
  std::vector<TargetName> excluded = request.tried_targets;
  for (const auto& name : poison.CrashedTargets(request.info.fingerprint)) {
    excluded.push_back(name);
  }
  if (decision == PoisonDecision::kIsolated)
    RestrictToOneTarget(request.info, excluded);
  request.phase = Phase::kDispatching;
  request.has_forwarded = false;
  const AttemptId id = request.attempt.Begin(now);
  Apply(dispatcher.Enqueue(id, request.info, excluded, now,
                           decision == PoisonDecision::kIsolated));
}

void Entry::State::RestrictToOneTarget(
    const RequestInfo& info, std::vector<TargetName>& excluded) const {
  const TargetName* chosen = nullptr;
  std::uint64_t highest = 0;
  std::vector<TargetName> others;
  for (const auto& [name, target] : known_targets) {
    const bool fits =
        target.kv_capacity == 0 ||
        info.prompt_tokens + std::uint64_t{info.max_output_tokens} <=
            target.kv_capacity;
    const bool is_excluded =
        std::find(excluded.begin(), excluded.end(), name) != excluded.end();
    if (target.service != info.service || closed_targets.contains(name))
      continue;
    others.push_back(name);
    if (!fits || is_excluded) continue;
    const std::uint64_t weight = XXH3_64bits_withSeed(
        name.value.data(), name.value.size(), info.fingerprint);
    if (chosen != nullptr && weight <= highest) continue;
    chosen = &name;
    highest = weight;
  }
  if (chosen == nullptr) return;
  std::erase(others, *chosen);
  excluded.insert(excluded.end(), others.begin(), others.end());
}

void Entry::State::Apply(const DispatchCommands& commands) {
  for (const DispatchCommand& command : commands) {
    std::visit([this](const auto& typed) { Apply(typed); }, command);
  }
}

void Entry::State::Apply(const SendReserveRequest& command) {
  const ReservationRequest& request = command.request;
  output.push_back(RequestGrant{.attempt = request.attempt,
                                .target = command.target,
                                .account = request.account,
                                .kv_tokens = request.kv_tokens,
                                .urgency = request.urgency,
                                .prefill_tokens = request.prefill_tokens,
                                .max_wait = request.max_wait,
                                .suspect = request.suspect,
                                .expires = request.expires});
}

void Entry::State::Apply(const SendRelease& command) {
  output.push_back(ReleaseGrant{command.attempt, command.target});
}

void Entry::State::Apply(const SendPrefillDone& command) {
  output.push_back(PrefillDone{command.attempt, command.target});
}

void Entry::State::Apply(const Dispatched& command) {
  Request* request = Current(command.attempt);
  if (request == nullptr) return;
  if (poison.Decide(request->info.fingerprint, now) ==
      PoisonDecision::kQuarantined) {
    return GiveUp(*request, Errc::kQuarantined,
                  poison.Remaining(request->info.fingerprint, now));
  }
  const AttemptStep step = request->attempt.Dispatch(now);
  if (step.action != AttemptAction::kNone) return ApplyStep(*request, step);
  request->phase = Phase::kStreaming;
  request->targets = command.targets;
  streaming_requests.insert(request->info.id.sequence);
  output.push_back(OpenStream{.attempt = command.attempt,
                              .targets = command.targets,
                              .offset = request->attempt.delivered(),
                              .engine_priority = command.engine_priority,
                              .expires = request->info.deadline});
}

void Entry::State::Apply(const Unplaced& command) {
  Request* request = Current(command.attempt);
  if (request == nullptr) return;
  const bool all_tried = command.code == Errc::kNoTarget &&
                         !request->tried_targets.empty() &&
                         request->attempt.current().number > 1;
  if (!all_tried) return GiveUp(*request, command.code);
  // An attempt failed on every target that could run the request, so all of
  // them are allowed again.
  request->tried_targets.clear();
  AttemptStep step{.action = AttemptAction::kRetry};
  step.code = command.code;
  Retry(*request, step);
}

void Entry::State::ApplyStep(Request& request, const AttemptStep& step) {
  switch (step.action) {
    case AttemptAction::kNone:
      return;
    case AttemptAction::kForward:
      output.push_back(Forward{request.info.id, step.skip});
      return;
    case AttemptAction::kRetry:
      return Retry(request, step);
    case AttemptAction::kSettle:
      return Settle(request, step.cancel,
                    MakeFinish(request.info.id, step.code, step.outcome));
  }
}

void Entry::State::Retry(Request& request, const AttemptStep& step) {
  const std::uint32_t number = request.attempt.current().number;
  if (number >= settings.attempt.max_attempts || !budget.Take()) {
    return GiveUp(request, step.code);
  }
  for (const TargetName& name : request.targets) {
    request.tried_targets.push_back(name);
  }
  CloseAttempt(request, step.cancel, false);
  request.phase = Phase::kBackoff;
  request.retry_at = now + Backoff(number, random);
  retry_times.insert({request.retry_at, request.info.id.sequence});
}

void Entry::State::CloseAttempt(Request& request, bool cancel,
                                bool is_complete) {
  const AttemptId id = request.attempt.current();
  if (cancel) {
    for (const TargetName& name : request.targets) {
      output.push_back(CancelAttempt{id, name});
    }
  }
  request.targets.clear();
  streaming_requests.erase(request.info.id.sequence);
  Apply(dispatcher.Leave(id, is_complete, now));
}

void Entry::State::RecordCrash(const TargetName& target) {
  std::vector<std::uint64_t> fingerprints;
  for (const std::uint64_t sequence : streaming_requests) {
    const Request& request = requests.at(sequence);
    if (std::find(request.targets.begin(), request.targets.end(), target) !=
        request.targets.end()) {
      fingerprints.push_back(request.info.fingerprint);
    }
  }
  for (const auto& evidence : poison.TargetCrashed(target, fingerprints, now)) {
    output.push_back(ShareSuspect{evidence});
  }
}

void Entry::State::EndQuarantinedRequests(std::uint64_t fingerprint) {
  const Duration remaining = poison.Remaining(fingerprint, now);
  if (remaining <= Duration::zero()) return;
  std::vector<std::uint64_t> found;
  for (const auto& [sequence, request] : requests) {
    if (request.info.fingerprint == fingerprint) found.push_back(sequence);
  }
  std::sort(found.begin(), found.end());
  for (const std::uint64_t sequence : found) {
    GiveUp(requests.at(sequence), Errc::kQuarantined, remaining);
  }
}

Finish Entry::State::MakeFinish(const RequestId& id, Errc code, Outcome outcome,
                                Duration retry_after) {
  if (retry_after <= Duration::zero() && Info(code).retry) {
    retry_after = kDefaultRetryAfter;
  }
  return {.request = id,
          .code = code,
          .outcome = outcome,
          .retry_after = retry_after};
}

void Entry::State::GiveUp(Request& request, Errc code, Duration retry_after) {
  const AttemptStep step = request.attempt.GiveUp(code);
  Settle(request, step.cancel,
         MakeFinish(request.info.id, step.code, step.outcome, retry_after));
}

void Entry::State::Settle(Request& request, bool cancel, Finish finish) {
  const RequestId id = request.info.id;
  const bool is_complete = finish.code == Errc::kOk;
  finish.attempts = request.attempt.current().number;
  if (request.has_claim) output.push_back(RecordOutcome{id, finish.outcome});
  if (is_complete) {
    budget.Succeeded();
    poison.Finished(request.info.fingerprint);
  }
  // Erased first, so that commands of the dispatcher below do not find it.
  Request ended = std::move(request);
  requests.erase(id.sequence);
  deadlines.erase({ended.info.deadline, id.sequence});
  retry_times.erase({ended.retry_at, id.sequence});
  output.push_back(finish);
  CloseAttempt(ended, cancel, is_complete);
  dispatcher.Done(id);
}

}  // namespace comfreyflow
