// From the queue to the grants of a request's targets.
#include "comfreyflow/dispatcher.h"

#include <algorithm>

namespace comfreyflow {
namespace {

std::size_t Index(PromptClass length) {
  return static_cast<std::size_t>(length);
}

/// Output tokens that a request is expected to take of those it may.
constexpr std::uint32_t kExpectedOutputPercent = 50;
/// Requests over which the time in the queue is averaged.
constexpr int kWaitWindow = 16;
/// Fewer waiting requests than this say little of the wait.
constexpr std::int64_t kFewWaiting = 4;

}  // namespace

Dispatcher::Dispatcher(DispatcherSettings settings)
    : settings_(std::move(settings)),
      admission_(settings_.admission),
      router_(settings_.router) {}

AdmissionVerdict Dispatcher::Arrived(const RequestInfo& info, Time now) {
  const PromptClass length = router_.Classify(info);
  LoadView load;
  load.uncached_tokens = router_.UncachedAtBest(info);
  load.queue_wait = QueueWait(info.account, length, now);
  return admission_.Arrived(info, load, now);
}

void Dispatcher::Done(const RequestId& id) { admission_.Ended(id); }

Duration Dispatcher::QueueWait(const AccountName& account, PromptClass length,
                               Time now) const {
  const auto& by_account = waits_[Index(length)];
  // Short work of an account is judged by the account's own waits; long work
  // waits for what all accounts share.
  const bool is_short = length == PromptClass::kShort;
  const auto found = by_account.find(is_short ? account : AccountName{});
  if (found == by_account.end()) return Duration::zero();
  const Waits& waits = found->second;
  if (waits.count == 0) return Duration::zero();
  const Duration ages = now.time_since_epoch() * waits.count - waits.since;
  return std::max(ages / std::max(waits.count, kFewWaiting), waits.average);
}

Dispatcher::Waits& Dispatcher::WaitsOf(const Work& work) {
  const bool is_short = work.queued.length == PromptClass::kShort;
  return waits_[Index(work.queued.length)]
               [is_short ? work.queued.account : AccountName{}];
}

Dispatcher::Work* Dispatcher::Find(const AttemptId& attempt) {
  const auto found = work_.find(attempt.request);
  if (found == work_.end() || found->second.attempt != attempt) return nullptr;
  return &found->second;
}

std::uint32_t& Dispatcher::asking(const Work& work) {
  return asking_[Index(work.queued.length)];
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
  work.placed_before = attempt.number > 1;
  work.queued.id = info.id;
  work.queued.account = info.account;
  work.queued.urgency = info.urgency;
  work.queued.length = router_.Classify(info);
  work.queued.cost_tokens =
      std::uint64_t{info.prompt_tokens} +
      std::uint64_t{info.max_output_tokens} * kExpectedOutputPercent / 100;
  work.queued.deadline = info.deadline;
  work.enqueued = now;
  const auto [at, added] = work_.insert_or_assign(info.id, std::move(work));
  scheduler_.Add(at->second.queued);
  Waits& waits = WaitsOf(at->second);
  ++waits.count;
  waits.since += now.time_since_epoch();
  PlaceWaiting(now);
  return std::move(out_);
}

Placeable Dispatcher::Room() const {
  Placeable room;
  for (std::size_t i = 0; i < asking_.size(); ++i) {
    room.lanes[i] = asking_[i] < settings_.max_asking[i];
  }
  return room;
}

void Dispatcher::PlaceWaiting(Time now) {
  while (const auto next = scheduler_.Next(Room())) {
    Work& work = work_.at(next->id);
    work.queued = *next;
    // An account that had its share tries with one request at a time.
    if (on_trial_.contains(next->account)) HoldAccount(next->account, now);
    work.refusals = 0;
    work.share_refusals = 0;
    work.skipped = work.excluded;
    Place(work, now);
  }
}

void Dispatcher::Place(Work& work, Time now) {
  const Placement placement =
      router_.Place(work.info, work.skipped, !work.placed_before, now);
  work.placed_before = true;
  work.kind = placement.kind;
  work.candidates = placement.candidates;
  work.held = 0;
  switch (placement.kind) {
    case Placement::Kind::kCandidates:
      work.candidates.resize(1);
      return Ask(work, now);
    case Placement::Kind::kGang:
      return Ask(work, now);
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
  const bool old = now - work.enqueued >= settings_.patience;
  if (work.kind == Placement::Kind::kGang) {
    return old ? settings_.gang_timeout : settings_.probe_wait_long;
  }
  const bool is_short = work.queued.length == PromptClass::kShort;
  const std::uint32_t probes =
      is_short ? settings_.probes_short : settings_.probes_long;
  if (work.refusals + 1 < probes) {
    return is_short ? settings_.probe_wait_short : settings_.probe_wait_long;
  }
  if (is_short) return settings_.last_wait_short;
  return old ? settings_.memory_wait : settings_.last_wait_long;
}

void Dispatcher::Ask(Work& work, Time now) {
  SetPhase(work, Phase::kAsking);
  SetWake(work, now + settings_.ask_timeout);
  const Candidate& candidate = work.candidates[work.held];
  SendReserveRequest send;
  send.target = candidate.target;
  send.request.attempt = work.attempt;
  send.request.account = work.info.account;
  send.request.kv_tokens = candidate.kv_tokens;
  send.request.prefill_tokens =
      candidate.prefills ? candidate.uncached_tokens : 0;
  send.request.urgency = work.info.urgency;
  send.request.max_wait = MaxWait(work, now);
  send.request.expires = work.info.deadline;
  send.request.suspect = work.suspect;
  out_.push_back(send);
}

DispatchCommands Dispatcher::Answered(const TargetName& target,
                                      const ReserveAnswer& answer, Time now) {
  out_.clear();
  Work* work = Find(answer.attempt);
  const bool expected = work != nullptr && work->phase == Phase::kAsking &&
                        work->candidates[work->held].target == target;
  if (!expected) {
    if (answer.reply == GrantReply::kGranted && !Holds(work, target)) {
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
      SetWake(*work, now + MaxWait(*work, now));
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

bool Dispatcher::Holds(const Work* work, const TargetName& target) const {
  if (work == nullptr) return false;
  for (std::size_t i = 0; i < work->held; ++i) {
    if (work->candidates[i].target == target) return true;
  }
  return false;
}

void Dispatcher::Granted(Work& work, Time now) {
  ++work.held;
  work.steward_queues = false;
  if (work.held < work.candidates.size()) return Ask(work, now);
  SetPhase(work, Phase::kDispatched);
  SetWake(work, {});
  ForgetWait(work);
  EndTrial(work.info.account);
  const Duration waited = now - work.enqueued;
  Duration& average = WaitsOf(work).average;
  average += (waited - average) / kWaitWindow;
  work.sent = now;
  Dispatched done;
  done.attempt = work.attempt;
  done.length = work.queued.length;
  done.engine_priority = EnginePriority(work.info.urgency, done.length);
  for (const Candidate& candidate : work.candidates) {
    router_.Sent(work.attempt, work.info, candidate, now);
    const auto at =
        candidate.prefills ? done.targets.begin() : done.targets.end();
    done.targets.insert(at, candidate.target);
  }
  out_.push_back(done);
}

void Dispatcher::Refused(Work& work, Duration wait, Time now) {
  work.steward_queues = false;
  ++work.refusals;
  const TargetName& target = work.candidates[work.held].target;
  if (wait == Duration::zero()) {
    // The target has room for others: the router is to go on thinking so.
    ++work.share_refusals;
    work.skipped.push_back(target);
  } else {
    router_.Refused(target, wait, now);
  }
  if (work.kind == Placement::Kind::kGang) {
    GiveBack(work);
    return Pause(work, settings_.gang_backoff, now);
  }
  const bool is_short = work.queued.length == PromptClass::kShort;
  const std::uint32_t probes =
      is_short ? settings_.probes_short : settings_.probes_long;
  if (work.refusals < probes) return Place(work, now);
  if (work.share_refusals * 2 >= work.refusals) {
    HoldAccount(work.info.account, now);
    return Pause(work, settings_.share_pause, now);
  }
  Pause(work, is_short ? settings_.backoff_short : settings_.backoff_long, now);
}

void Dispatcher::HoldAccount(const AccountName& account, Time now) {
  scheduler_.Hold(account);
  on_trial_.insert(account);
  held_until_[account] = now + settings_.share_pause;
}

void Dispatcher::EndTrial(const AccountName& account) {
  if (on_trial_.erase(account) == 0) return;
  held_until_.erase(account);
  scheduler_.Resume(account);
}

void Dispatcher::ResumeAccounts(Time now) {
  std::erase_if(held_until_, [&](const auto& held) {
    if (held.second > now) return false;
    scheduler_.Resume(held.first);
    return true;
  });
}

void Dispatcher::Pause(Work& work, Duration length, Time now) {
  SetPhase(work, Phase::kPaused);
  SetWake(work, now + length);
}

void Dispatcher::Wake(Work& work, Time now) {
  if (work.phase == Phase::kPaused) {
    SetPhase(work, Phase::kQueued);
    SetWake(work, {});
    scheduler_.PutBack(work.queued);
    return;
  }
  // The steward did not answer, or what it queued did not come up in time.
  const TargetName& target = work.candidates[work.held].target;
  out_.push_back(SendRelease{target, work.attempt});
  Refused(work, settings_.ask_timeout, now);
}

void Dispatcher::SetPhase(Work& work, Phase phase) {
  if (work.phase == Phase::kAsking) --asking(work);
  work.phase = phase;
  if (work.phase == Phase::kAsking) ++asking(work);
}

void Dispatcher::SetWake(Work& work, Time wake) {
  if (work.wake != Time{}) wakes_.erase({work.wake, work.info.id});
  work.wake = wake;
  if (wake != Time{}) wakes_.insert({wake, work.info.id});
}

void Dispatcher::ForgetWait(const Work& work) {
  Waits& waits = WaitsOf(work);
  --waits.count;
  waits.since -= work.enqueued.time_since_epoch();
}

void Dispatcher::GiveBack(Work& work) {
  for (std::size_t i = 0; i < work.held; ++i) {
    out_.push_back(SendRelease{work.candidates[i].target, work.attempt});
  }
  work.held = 0;
}

void Dispatcher::Fail(Work& work, Errc code) {
  out_.push_back(Unplaced{work.attempt, code});
  ForgetWait(work);
  SetPhase(work, Phase::kQueued);
  SetWake(work, {});
  GiveBack(work);
  work_.erase(work.info.id);
}

DispatchCommands Dispatcher::FirstToken(const AttemptId& attempt, Time now) {
  out_.clear();
  Work* work = Find(attempt);
  if (work == nullptr || work->phase != Phase::kDispatched ||
      work->first_token != Time{}) {
    return {};
  }
  work->first_token = now;
  for (const Candidate& candidate : work->candidates) {
    router_.FirstToken(attempt, candidate.target);
  }
  const Candidate& first = *std::find_if(
      work->candidates.begin(), work->candidates.end(),
      [](const Candidate& candidate) { return candidate.prefills; });
  admission_.rates().ObservePrefill(first.uncached_tokens, now - work->sent);
  out_.push_back(SendPrefillDone{first.target, attempt});
  return std::move(out_);
}

DispatchCommands Dispatcher::Leave(const AttemptId& attempt, bool whole,
                                   Time now) {
  out_.clear();
  Work* work = Find(attempt);
  if (work == nullptr) return std::move(out_);
  if (work->phase == Phase::kQueued) scheduler_.Remove(attempt.request);
  if (work->phase == Phase::kAsking) {
    const TargetName& target = work->candidates[work->held].target;
    out_.push_back(SendRelease{target, attempt});
  }
  if (work->phase == Phase::kDispatched) {
    for (const Candidate& candidate : work->candidates) {
      router_.Ended(attempt, candidate.target, work->info, whole);
    }
  }
  GiveBack(*work);
  if (work->phase != Phase::kDispatched) ForgetWait(*work);
  SetPhase(*work, Phase::kQueued);
  SetWake(*work, {});
  work_.erase(attempt.request);
  PlaceWaiting(now);
  return std::move(out_);
}

DispatchCommands Dispatcher::Tick(Time now) {
  out_.clear();
  router_.Tick(now);
  ResumeAccounts(now);
  while (!wakes_.empty() && wakes_.begin()->first <= now) {
    Wake(work_.at(wakes_.begin()->second), now);
  }
  PlaceWaiting(now);
  return std::move(out_);
}

}  // namespace comfreyflow
