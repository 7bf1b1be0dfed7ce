// The entry role's events: each finds its request and asks the part that
// decides.
#include "comfreyflow/entry.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/entry/state.h"

namespace comfreyflow {

using detail::Phase;
using detail::Request;

Entry::State::State(EntrySettings wanted)
    : settings(std::move(wanted)),
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
  const bool current = request != nullptr && request->attempt.current() == id;
  return current ? request : nullptr;
}

Request* Entry::State::Streaming(const AttemptId& id) {
  Request* request = Current(id);
  const bool streaming =
      request != nullptr && request->phase == Phase::kStreaming;
  return streaming ? request : nullptr;
}

void Entry::State::On(const GrantAnswered& event) {
  const ReserveAnswer answer{event.attempt, event.reply, event.retry_after};
  Carry(dispatcher.Answered(event.target, answer, now));
}

void Entry::State::On(const StreamOpened& event) {
  Request* request = Streaming(event.attempt);
  if (request != nullptr) Follow(*request, request->attempt.On(event, now));
}

void Entry::State::On(const ChunkArrived& event) {
  Request* request = Streaming(event.attempt);
  if (request == nullptr) return;
  const AttemptStep step = request->attempt.On(event, now);
  const bool first = step.action == AttemptAction::kForward &&
                     !std::exchange(request->first_token, true);
  Follow(*request, step);
  if (first) Carry(dispatcher.FirstToken(event.attempt, now));
}

void Entry::State::On(const StreamHeartbeat& event) {
  Request* request = Streaming(event.attempt);
  if (request != nullptr) Follow(*request, request->attempt.On(event, now));
}

void Entry::State::On(const StreamEnded& event) {
  Request* request = Streaming(event.attempt);
  if (request == nullptr) return;
  const AttemptStep step = request->attempt.On(event, now);
  if (step.action != AttemptAction::kSettle || step.code != Errc::kOk) {
    return Follow(*request, step);
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
    SawCrash(request->targets.front());
  }
  Follow(*request, request->attempt.On(event, now));
}

void Entry::State::On(const CallerGone& event) {
  Request* request = Find(event.request);
  if (request != nullptr) GiveUp(*request, Errc::kCancelled);
}

void Entry::State::On(const TargetSeen& event) {
  seen[event.info.name] = event.info;
  // A lagging list does not reopen a target that is leaving.
  if (!closed.contains(event.info.name))
    dispatcher.router().UpsertTarget(event.info);
}

void Entry::State::On(const TargetGone& event) {
  closed.erase(event.target);
  epochs.erase(event.target);
  seen.erase(event.target);
  dispatcher.router().RemoveTarget(event.target);
}

void Entry::State::On(const TargetClosed& event) { Close(event.target); }

void Entry::State::On(const LoadReported& event) {
  const TargetName& name = event.report.target;
  std::uint64_t& epoch = epochs[name];
  epoch = std::max(epoch, event.report.epoch);
  if (event.report.closing) {
    if (Close(name)) out.push_back(ShareClosed{name});
  } else {
    Reopen(name, event.report.epoch);
  }
  dispatcher.router().ApplyReport(event.report, now);
}

/// True when the target was open.
bool Entry::State::Close(const TargetName& target) {
  dispatcher.router().CloseTarget(target);
  return closed.try_emplace(target, epochs[target]).second;
}

/// A target that closed takes work again when it has started anew.
void Entry::State::Reopen(const TargetName& target, std::uint64_t epoch) {
  const auto at = closed.find(target);
  if (at == closed.end()) return;
  if (at->second == 0) at->second = epoch;
  if (epoch <= at->second) return;
  closed.erase(at);
  const auto info = seen.find(target);
  if (info != seen.end()) dispatcher.router().UpsertTarget(info->second);
}

void Entry::State::On(const PrefixReported& event) {
  const bool fetch = dispatcher.router().ApplyPrefixEvents(
      event.target, event.whole_list, event.events, event.next);
  if (fetch) out.push_back(FetchPrefixList{event.target});
}

void Entry::State::On(const PeerSuspects& event) {
  poison.AddEvidence(event.evidence, now);
  EndQuarantined(event.evidence.fingerprint);
}

void Entry::State::On(const SuspectCleared& event) {
  poison.Clear(event.fingerprint);
}

void Entry::State::On(const LimitChanged& event) {
  dispatcher.admission().SetLimit(event.account, event.limit, now);
  dispatcher.scheduler().SetWeight(event.account, event.weight);
}

void Entry::State::On(const StopAdmitting& event) {
  admitting = false;
  stop_reason = event.reason;
}

void Entry::State::On(const ResumeAdmitting&) { admitting = true; }

void Entry::State::On(const Tick&) {
  while (!deadlines.empty() &&
         deadlines.begin()->first <= now + kEntryTickPeriod) {
    Request& request = requests.at(deadlines.begin()->second);
    GiveUp(request, Errc::kDeadlineExceeded);
  }
  const std::vector<std::uint64_t> streams(streaming.begin(), streaming.end());
  for (const std::uint64_t sequence : streams) {
    const auto at = requests.find(sequence);
    if (at == requests.end()) continue;
    Follow(at->second, at->second.attempt.Check(now));
  }
  while (!wakes.empty() && wakes.begin()->first <= now) {
    Request& request = requests.at(wakes.begin()->second);
    wakes.erase(wakes.begin());
    StartAttempt(request);
  }
  poison.Tick(now);
  Carry(dispatcher.Tick(now));
}

Entry::Entry(EntrySettings settings)
    : state_(std::make_unique<State>(std::move(settings))) {}
Entry::~Entry() = default;
Entry::Entry(Entry&&) noexcept = default;
Entry& Entry::operator=(Entry&&) noexcept = default;

EntryCommands Entry::Handle(const EntryEvent& event, Time now) {
  state_->now = now;
  state_->out.clear();
  std::visit([this](const auto& typed) { state_->On(typed); }, event);
  return std::move(state_->out);
}

std::size_t Entry::open_requests() const { return state_->requests.size(); }

std::size_t Entry::open_attempts() const { return state_->streaming.size(); }

}  // namespace comfreyflow
