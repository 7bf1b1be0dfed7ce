// Handles the events of the entry role: finds the request of an event and
// passes it to the component that decides.
#include "comfreyflow/entry.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/entry/state.h"

namespace comfreyflow {

using detail::Phase;
using detail::Request;

Entry::State::State(EntrySettings initial_settings)
    : settings(std::move(initial_settings)),
      dispatcher(settings.dispatcher),
      poison(settings.poison),
      budget(settings.retry),
      random(settings.seed) {}

Request* Entry::State::Find(const RequestId& id) {
  const auto at = requests.find(id.sequence);
  if (at == requests.end() || at->second.info.id != id) return nullptr;
  return &at->second;
}

Request* Entry::State::Current(const AttemptId& id) {
  Request* request = Find(id.request);
  const bool is_current =
      request != nullptr && request->attempt.current() == id;
  return is_current ? request : nullptr;
}

Request* Entry::State::Streaming(const AttemptId& id) {
  Request* request = Current(id);
  const bool is_streaming =
      request != nullptr && request->phase == Phase::kStreaming;
  return is_streaming ? request : nullptr;
}

void Entry::State::On(const GrantAnswered& event) {
  const ReservationReply answer{event.attempt, event.reply, event.retry_after};
  Apply(dispatcher.Answered(event.target, answer, now));
}

void Entry::State::On(const StreamOpened& event) {
  Request* request = Streaming(event.attempt);
  if (request != nullptr) ApplyStep(*request, request->attempt.On(event, now));
}

void Entry::State::On(const ChunkArrived& event) {
  Request* request = Streaming(event.attempt);
  if (request == nullptr) return;
  const AttemptStep step = request->attempt.On(event, now);
  const bool first = step.action == AttemptAction::kForward &&
                     !std::exchange(request->has_forwarded, true);
  ApplyStep(*request, step);
  if (first) Apply(dispatcher.FirstToken(event.attempt, now));
}

void Entry::State::On(const StreamHeartbeat& event) {
  Request* request = Streaming(event.attempt);
  if (request != nullptr) ApplyStep(*request, request->attempt.On(event, now));
}

void Entry::State::On(const StreamEnded& event) {
  Request* request = Streaming(event.attempt);
  if (request == nullptr) return;
  const AttemptStep step = request->attempt.On(event, now);
  if (step.action != AttemptAction::kSettle || step.code != Errc::kOk) {
    return ApplyStep(*request, step);
  }
  Finish finish{.request = request->info.id};
  finish.prompt_tokens = event.prompt_tokens;
  finish.cached_tokens = event.cached_tokens;
  finish.output_tokens = event.output_tokens;
  Settle(*request, false, finish);
}

void Entry::State::On(const StreamFailed& event) {
  Request* request = Streaming(event.attempt);
  if (request == nullptr) return;
  if (event.crashed && !request->targets.empty()) {
    RecordCrash(request->targets.front());
  }
  ApplyStep(*request, request->attempt.On(event, now));
}

void Entry::State::On(const CallerDisconnected& event) {
  Request* request = Find(event.request);
  if (request != nullptr) GiveUp(*request, Errc::kCancelled);
}

void Entry::State::On(const TargetUpdated& event) {
  known_targets[event.info.name] = event.info;
  // A stale target list does not reopen a target that is leaving.
  if (!closed_targets.contains(event.info.name))
    dispatcher.router().UpsertTarget(event.info);
}

void Entry::State::On(const TargetRemoved& event) {
  closed_targets.erase(event.target);
  reported_epochs.erase(event.target);
  known_targets.erase(event.target);
  dispatcher.router().RemoveTarget(event.target);
}

void Entry::State::On(const TargetClosed& event) { Close(event.target); }

void Entry::State::On(const LoadReported& event) {
  const TargetName& name = event.report.target;
  std::uint64_t& epoch = reported_epochs[name];
  epoch = std::max(epoch, event.report.epoch);
  if (event.report.closing) {
    if (Close(name)) output.push_back(ShareClosed{name});
  } else {
    Reopen(name, event.report.epoch);
  }
  dispatcher.router().ApplyReport(event.report, now);
}

bool Entry::State::Close(const TargetName& target) {
  dispatcher.router().CloseTarget(target);
  return closed_targets.try_emplace(target, reported_epochs[target]).second;
}

void Entry::State::Reopen(const TargetName& target, std::uint64_t epoch) {
  const auto at = closed_targets.find(target);
  if (at == closed_targets.end()) return;
  if (at->second == 0) at->second = epoch;
  if (epoch <= at->second) return;
  closed_targets.erase(at);
  const auto info = known_targets.find(target);
  if (info != known_targets.end())
    dispatcher.router().UpsertTarget(info->second);
}

void Entry::State::On(const PrefixReported& event) {
  const bool fetch = dispatcher.router().ApplyPrefixEvents(
      event.target, event.is_complete_list, event.events, event.next);
  if (fetch) output.push_back(FetchPrefixList{event.target});
}

void Entry::State::On(const SuspectReported& event) {
  poison.AddEvidence(event.evidence, now);
  EndQuarantinedRequests(event.evidence.fingerprint);
}

void Entry::State::On(const SuspectCleared& event) {
  poison.Clear(event.fingerprint);
}

void Entry::State::On(const LimitChanged& event) {
  dispatcher.admission().SetLimit(event.account, event.limit, now);
  dispatcher.scheduler().SetWeight(event.account, event.weight);
}

void Entry::State::On(const StopAdmitting& event) {
  if (!admitting && stop_reason == Errc::kDraining) return;
  admitting = false;
  stop_reason = event.reason;
}

void Entry::State::On(const ResumeAdmitting&) {
  if (stop_reason != Errc::kDraining) admitting = true;
}

void Entry::State::On(const StopBegan& event) { answer_by = event.answer_by; }

bool Entry::State::StopsBefore(const RequestInfo& info) {
  if (!answer_by || info.deadline <= *answer_by) return false;
  const bool has_estimate = info.max_output_tokens > 0;
  // A request that may run only once can't be sent again if it is ended here.
  if (!info.repeatable || !has_estimate) return true;
  // Leaves time for an attempt that fails or falls silent at its end.
  const Duration limit =
      2 * dispatcher.AnswerTime(info, now) + settings.attempt.silence_limit;
  return now + limit > *answer_by;
}

void Entry::State::EndAllRequests(Errc code) {
  std::vector<std::uint64_t> open;
  for (const auto& [deadline, sequence] : deadlines) open.push_back(sequence);
  for (const std::uint64_t sequence : open) {
    GiveUp(requests.at(sequence), code);
  }
}

void Entry::State::On(const Tick&) {
  while (!deadlines.empty() &&
         deadlines.begin()->first <= now + kEntryTickPeriod) {
    Request& request = requests.at(deadlines.begin()->second);
    GiveUp(request, Errc::kDeadlineExceeded);
  }
  if (answer_by && *answer_by <= now + kEntryTickPeriod) {
    On(StopAdmitting{Errc::kDraining});
    EndAllRequests(Errc::kDraining);
  }
  const std::vector<std::uint64_t> streams(streaming_requests.begin(),
                                           streaming_requests.end());
  for (const std::uint64_t sequence : streams) {
    const auto at = requests.find(sequence);
    if (at == requests.end()) continue;
    const AttemptStep step = at->second.attempt.Check(now);
    // Without another attempt nothing is gained by the end of this one.
    const bool retries = step.action == AttemptAction::kRetry;
    if (!retries || budget.left() >= 1) ApplyStep(at->second, step);
  }
  while (!retry_times.empty() && retry_times.begin()->first <= now) {
    Request& request = requests.at(retry_times.begin()->second);
    retry_times.erase(retry_times.begin());
    StartAttempt(request);
  }
  poison.Tick(now);
  Apply(dispatcher.Tick(now));
}

Entry::Entry(EntrySettings settings)
    : state_(std::make_unique<State>(std::move(settings))) {}
Entry::~Entry() = default;
Entry::Entry(Entry&&) noexcept = default;
Entry& Entry::operator=(Entry&&) noexcept = default;

EntryCommands Entry::Handle(const EntryEvent& event, Time now) {
  state_->now = now;
  state_->output.clear();
  std::visit([this](const auto& typed) { state_->On(typed); }, event);
  return std::move(state_->output);
}

std::size_t Entry::open_requests() const { return state_->requests.size(); }

std::size_t Entry::open_attempts() const {
  return state_->streaming_requests.size();
}

}  // namespace comfreyflow
