// Moves requests from the queue to the grants of their targets.
#include "comfreyflow/dispatcher.h"

#include <algorithm>

namespace comfreyflow {
namespace {

std::size_t ClassIndex(PromptClass length) {
  return static_cast<std::size_t>(length);
}

/// Expected share of the maximum output tokens that a request uses.
constexpr std::uint32_t kExpectedOutputPercent = 50;
/// Number of requests over which the queueing time is averaged.
constexpr int kQueueWaitWindow = 16;
/// The mean age of waiting requests is taken over at least this number of
/// requests, as fewer say little about the wait.
constexpr std::int64_t kMinWaitSample = 4;

}  // namespace

Dispatcher::Dispatcher(DispatcherSettings settings)
    : settings_(std::move(settings)),
      admission_(settings_.admission),
      router_(settings_.router) {}

AdmissionDecision Dispatcher::Arrived(const RequestInfo& info, Time now) {
  const PromptClass length = router_.Classify(info);
  LoadView load;
  load.uncached_tokens = router_.UncachedAtBest(info);
  load.queue_wait = QueueWait(info.account, length, now);
  return admission_.Arrived(info, load, now);
}

Duration Dispatcher::AnswerTime(const RequestInfo& info, Time now) {
  const RateModel& rates = admission_.rates();
  return QueueWait(info.account, router_.Classify(info), now) +
         rates.Prefill(info.prompt_tokens) +
         rates.Decode(info.max_output_tokens);
}

void Dispatcher::Done(const RequestId& id) { admission_.Ended(id); }

Duration Dispatcher::QueueWait(const AccountName& account, PromptClass length,
                               Time now) const {
  const auto& by_account = waits_[ClassIndex(length)];
  // Short work is estimated from the waits of the same account. Long work waits
  // for resources that all accounts share, so its waits are not split.
  const bool is_short = length == PromptClass::kShort;
  const auto found = by_account.find(is_short ? account : AccountName{});
  if (found == by_account.end()) return Duration::zero();
  const QueueWaits& waits = found->second;
  if (waits.count == 0) return Duration::zero();
  const Duration total_age =
      now.time_since_epoch() * waits.count - waits.enqueued_sum;
  return std::max(total_age / std::max(waits.count, kMinWaitSample),
                  waits.average);
}

Dispatcher::QueueWaits& Dispatcher::QueueWaitsOf(const Work& work) {
  const bool is_short = work.queued.length == PromptClass::kShort;
  return waits_[ClassIndex(work.queued.length)]
               [is_short ? work.queued.account : AccountName{}];
}

Dispatcher::Work* Dispatcher::Find(const AttemptId& attempt) {
  const auto found = work_.find(attempt.request);
  if (found == work_.end() || found->second.attempt != attempt) return nullptr;
  return &found->second;
}

std::uint32_t& Dispatcher::reserving(const Work& work) {
  return reserving_[ClassIndex(work.queued.length)];
}

DispatchCommands Dispatcher::Enqueue(const AttemptId& attempt,
                                     const RequestInfo& info,
                                     const std::vector<TargetName>& excluded,
                                     Time now, bool suspect) {
  out_.clear();
  Work work;
  work.info = info;
  work.attempt = attempt;
  work.excluded = excluded;
  work.suspect = suspect;
  work.was_placed = attempt.number > 1;
  work.queued.id = info.id;
  work.queued.account = info.account;
  work.queued.urgency = info.urgency;
  work.queued.length = router_.Classify(info);
  work.queued.cost_tokens =
      std::uint64_t{info.prompt_tokens} +
      std::uint64_t{info.max_output_tokens} * kExpectedOutputPercent / 100;
  work.queued.deadline = info.deadline;
  work.enqueued_at = now;
  const auto [at, added] = work_.insert_or_assign(info.id, std::move(work));
  scheduler_.Add(at->second.queued);
  QueueWaits& waits = QueueWaitsOf(at->second);
  ++waits.count;
  waits.enqueued_sum += now.time_since_epoch();
  PlaceWaiting(now);
  return std::move(out_);
}

Placeable Dispatcher::AvailableLanes() const {
  Placeable available;
  for (std::size_t i = 0; i < reserving_.size(); ++i) {
    available.lanes[i] = reserving_[i] < settings_.max_reserving[i];
  }
  return available;
}

void Dispatcher::PlaceWaiting(Time now) {
  while (const auto next = scheduler_.Next(AvailableLanes())) {
    Work& work = work_.at(next->id);
    work.queued = *next;
    // An account that was refused for its share sends one request at a time.
    if (on_probation_.contains(next->account)) PauseAccount(next->account, now);
    work.refusals = 0;
    work.share_refusals = 0;
    work.skipped = work.excluded;
    Place(work, now);
  }
}

void Dispatcher::Place(Work& work, Time now) {
  const Placement placement =
      router_.Place(work.info, work.skipped, !work.was_placed, now);
  work.was_placed = true;
  work.kind = placement.kind;
  work.candidates = placement.candidates;
  work.granted = 0;
  switch (placement.kind) {
    case Placement::Kind::kCandidates:
      work.candidates.resize(1);
      return RequestGrant(work, now);
    case Placement::Kind::kGang:
      return RequestGrant(work, now);
    case Placement::Kind::kWait:
      return Pause(work, settings_.backoff_long, now);
    case Placement::Kind::kNoTarget:
      if (work.skipped.size() > work.excluded.size()) {
        return Pause(work, settings_.backoff_short, now);
      }
      return Fail(work, Errc::kNoTarget);
    case Placement::Kind::kTooLong:
      return Fail(work, Errc::kPromptTooLong);
  }
}

Duration Dispatcher::MaxWait(const Work& work, Time now) const {
  const bool waits_long = now - work.enqueued_at >= settings_.memory_wait_age;
  if (work.kind == Placement::Kind::kGang) {
    return waits_long ? settings_.gang_timeout : settings_.probe_wait_long;
  }
  const bool is_short = work.queued.length == PromptClass::kShort;
  const std::uint32_t probes =
      is_short ? settings_.probes_short : settings_.probes_long;
  if (work.refusals + 1 < probes) {
    return is_short ? settings_.probe_wait_short : settings_.probe_wait_long;
  }
  if (is_short) return settings_.last_wait_short;
  return waits_long ? settings_.memory_wait : settings_.last_wait_long;
}

void Dispatcher::RequestGrant(Work& work, Time now) {
  SetPhase(work, Phase::kReserving);
  SetWakeTime(work, now + settings_.reserve_timeout);
  const Candidate& candidate = work.candidates[work.granted];
  SendReserveRequest command;
  command.target = candidate.target;
  command.request.attempt = work.attempt;
  command.request.account = work.info.account;
  command.request.kv_tokens = candidate.kv_tokens;
  command.request.prefill_tokens =
      candidate.prefills ? candidate.uncached_tokens : 0;
  command.request.urgency = work.info.urgency;
  command.request.max_wait = MaxWait(work, now);
  command.request.expires = work.info.deadline;
  command.request.suspect = work.suspect;
  out_.push_back(command);
}

DispatchCommands Dispatcher::Answered(const TargetName& target,
                                      const ReservationReply& answer,
                                      Time now) {
  out_.clear();
  Work* work = Find(answer.attempt);
  const bool expected = work != nullptr && work->phase == Phase::kReserving &&
                        work->candidates[work->granted].target == target;
  if (!expected) {
    if (answer.reply == GrantReply::kGranted && !HoldsGrant(work, target)) {
      out_.push_back(SendRelease{target, answer.attempt});
    }
    return std::move(out_);
  }
  switch (answer.reply) {
    case GrantReply::kGranted:
      Granted(*work, now);
      break;
    case GrantReply::kQueued:
      work->steward_queues = true;
      SetWakeTime(*work, now + MaxWait(*work, now));
      break;
    case GrantReply::kClosed:
      router_.CloseTarget(target);
      Refused(*work, answer.retry_after, now);
      break;
    case GrantReply::kRefused:
      Refused(*work, answer.retry_after, now);
      break;
  }
  PlaceWaiting(now);
  return std::move(out_);
}

bool Dispatcher::HoldsGrant(const Work* work, const TargetName& target) const {
  if (work == nullptr) return false;
  for (std::size_t i = 0; i < work->granted; ++i) {
    if (work->candidates[i].target == target) return true;
  }
  return false;
}

void Dispatcher::Granted(Work& work, Time now) {
  ++work.granted;
  work.steward_queues = false;
  if (work.granted < work.candidates.size()) return RequestGrant(work, now);
  SetPhase(work, Phase::kDispatched);
  SetWakeTime(work, {});
  RemoveFromQueueWaits(work);
  EndProbation(work.info.account);
  const Duration queue_wait = now - work.enqueued_at;
  Duration& average = QueueWaitsOf(work).average;
  average += (queue_wait - average) / kQueueWaitWindow;
  work.sent_at = now;
  Dispatched dispatched;
  dispatched.attempt = work.attempt;
  dispatched.length = work.queued.length;
  dispatched.engine_priority =
      EnginePriority(work.info.urgency, dispatched.length);
  for (const Candidate& candidate : work.candidates) {
    router_.Sent(work.attempt, work.info, candidate, now);
    const auto at = candidate.prefills ? dispatched.targets.begin()
                                       : dispatched.targets.end();
    dispatched.targets.insert(at, candidate.target);
  }
  out_.push_back(dispatched);
}

void Dispatcher::Refused(Work& work, Duration wait, Time now) {
  work.steward_queues = false;
  ++work.refusals;
  const TargetName& target = work.candidates[work.granted].target;
  if (wait == Duration::zero()) {
    // Only the share of this account is used up. The target has room for other
    // accounts, so the router does not record the refusal.
    ++work.share_refusals;
    work.skipped.push_back(target);
  } else {
    router_.Refused(target, wait, now);
  }
  if (work.kind == Placement::Kind::kGang) {
    ReleaseGrants(work);
    return Pause(work, settings_.gang_backoff, now);
  }
  const bool is_short = work.queued.length == PromptClass::kShort;
  const std::uint32_t probes =
      is_short ? settings_.probes_short : settings_.probes_long;
  if (work.refusals < probes) return Place(work, now);
  if (work.share_refusals * 2 >= work.refusals) {
    PauseAccount(work.info.account, now);
    return Pause(work, settings_.share_pause, now);
  }
  Pause(work, is_short ? settings_.backoff_short : settings_.backoff_long, now);
}

void Dispatcher::PauseAccount(const AccountName& account, Time now) {
  scheduler_.Hold(account);
  on_probation_.insert(account);
  paused_until_[account] = now + settings_.share_pause;
}

void Dispatcher::EndProbation(const AccountName& account) {
  if (on_probation_.erase(account) == 0) return;
  paused_until_.erase(account);
  scheduler_.Resume(account);
}

void Dispatcher::ResumeAccounts(Time now) {
  std::erase_if(paused_until_, [&](const auto& entry) {
    if (entry.second > now) return false;
    scheduler_.Resume(entry.first);
    return true;
  });
}

void Dispatcher::Pause(Work& work, Duration length, Time now) {
  SetPhase(work, Phase::kPaused);
  SetWakeTime(work, now + length);
}

void Dispatcher::OnWakeTime(Work& work, Time now) {
  if (work.phase == Phase::kPaused) {
    SetPhase(work, Phase::kQueued);
    SetWakeTime(work, {});
    scheduler_.PutBack(work.queued);
    return;
  }
  // The steward did not answer, or did not grant the queued request in time.
  const TargetName& target = work.candidates[work.granted].target;
  out_.push_back(SendRelease{target, work.attempt});
  Refused(work, settings_.reserve_timeout, now);
}

void Dispatcher::SetPhase(Work& work, Phase phase) {
  if (work.phase == Phase::kReserving) --reserving(work);
  work.phase = phase;
  if (work.phase == Phase::kReserving) ++reserving(work);
}

void Dispatcher::SetWakeTime(Work& work, Time wake_at) {
  if (work.wake_at != Time{}) wake_times_.erase({work.wake_at, work.info.id});
  work.wake_at = wake_at;
  if (wake_at != Time{}) wake_times_.insert({wake_at, work.info.id});
}

void Dispatcher::RemoveFromQueueWaits(const Work& work) {
  QueueWaits& waits = QueueWaitsOf(work);
  --waits.count;
  waits.enqueued_sum -= work.enqueued_at.time_since_epoch();
}

void Dispatcher::ReleaseGrants(Work& work) {
  for (std::size_t i = 0; i < work.granted; ++i) {
    out_.push_back(SendRelease{work.candidates[i].target, work.attempt});
  }
  work.granted = 0;
}

void Dispatcher::Fail(Work& work, Errc code) {
  out_.push_back(Unplaced{work.attempt, code});
  RemoveFromQueueWaits(work);
  SetPhase(work, Phase::kQueued);
  SetWakeTime(work, {});
  ReleaseGrants(work);
  work_.erase(work.info.id);
}

DispatchCommands Dispatcher::FirstToken(const AttemptId& attempt, Time now) {
  out_.clear();
  Work* work = Find(attempt);
  if (work == nullptr || work->phase != Phase::kDispatched ||
      work->first_token_at != Time{}) {
    return {};
  }
  work->first_token_at = now;
  for (const Candidate& candidate : work->candidates) {
    router_.FirstToken(attempt, candidate.target);
  }
  const Candidate& first = *std::find_if(
      work->candidates.begin(), work->candidates.end(),
      [](const Candidate& candidate) { return candidate.prefills; });
  admission_.rates().ObservePrefill(first.uncached_tokens, now - work->sent_at);
  out_.push_back(SendPrefillDone{first.target, attempt});
  return std::move(out_);
}

DispatchCommands Dispatcher::Leave(const AttemptId& attempt, bool complete,
                                   Time now) {
  out_.clear();
  Work* work = Find(attempt);
  if (work == nullptr) return std::move(out_);
  if (work->phase == Phase::kQueued) scheduler_.Remove(attempt.request);
  if (work->phase == Phase::kReserving) {
    const TargetName& target = work->candidates[work->granted].target;
    out_.push_back(SendRelease{target, attempt});
  }
  if (work->phase == Phase::kDispatched) {
    for (const Candidate& candidate : work->candidates) {
      router_.Ended(attempt, candidate.target, work->info, complete);
    }
  }
  ReleaseGrants(*work);
  if (work->phase != Phase::kDispatched) RemoveFromQueueWaits(*work);
  SetPhase(*work, Phase::kQueued);
  SetWakeTime(*work, {});
  work_.erase(attempt.request);
  PlaceWaiting(now);
  return std::move(out_);
}

DispatchCommands Dispatcher::Tick(Time now) {
  out_.clear();
  router_.Tick(now);
  ResumeAccounts(now);
  while (!wake_times_.empty() && wake_times_.begin()->first <= now) {
    OnWakeTime(work_.at(wake_times_.begin()->second), now);
  }
  PlaceWaiting(now);
  return std::move(out_);
}

}  // namespace comfreyflow
