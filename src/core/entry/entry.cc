// The entry role: joins queueing, placement, claims and attempts.
#include "comfreyflow/entry.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "core/entry/request.h"

namespace comfreyflow {
namespace {

using detail::Phase;
using detail::Request;

constexpr std::uint32_t kMaxAttempts = 3;
constexpr Duration kRefusalRetryAfter = std::chrono::milliseconds(500);

/// A target as this entry sees it.
struct Target {
  TargetInfo info;
  std::uint32_t in_flight = 0;
  bool closed = false;
};

bool Serves(const TargetInfo& target, const RequestInfo& request) {
  if (target.service != request.service) return false;
  if (target.kind == TargetKind::kPlain) return true;
  return std::find(target.models.begin(), target.models.end(), request.model) !=
         target.models.end();
}

}  // namespace

struct Entry::State {
  EntrySettings settings;
  std::unordered_map<std::uint64_t, Request> requests;  // By sequence.
  std::set<std::pair<Time, std::uint64_t>> deadlines;
  std::map<TargetName, Target> targets;
  std::set<std::uint64_t> queue;  // Sequences in order of arrival.
  bool admitting = true;
  Errc stop_reason = Errc::kDraining;
  EntryCommands out;
  Time now;

  Request* Find(const RequestId& id) {
    const auto at = requests.find(id.sequence);
    return at != requests.end() && at->second.info.id == id ? &at->second
                                                            : nullptr;
  }

  /// The request whose current attempt this is; stale attempts find none.
  Request* Current(const AttemptId& id) {
    Request* request = Find(id.request);
    return request != nullptr && request->attempt == id ? request : nullptr;
  }

  void Refuse(const RequestId& id, Errc code) {
    out.push_back(Finish{.request = id,
                         .code = code,
                         .outcome = Info(code).outcome,
                         .retry_after = kRefusalRetryAfter});
  }

  /// Ends the request: gives back what it holds and answers the caller.
  void Settle(Request& request, Finish finish) {
    finish.request = request.info.id;
    finish.attempts = request.attempts;
    if (request.phase != Phase::kQueued && request.phase != Phase::kClaiming) {
      LeaveAttempt(request, finish.code != Errc::kOk);
    }
    if (request.claimed) {
      out.push_back(RecordOutcome{request.info.id, finish.outcome});
    }
    queue.erase(request.info.id.sequence);
    deadlines.erase({request.info.deadline, request.info.id.sequence});
    requests.erase(request.info.id.sequence);
    out.push_back(finish);
  }

  void SettleError(Request& request, Errc code) {
    Finish finish{.code = code, .outcome = Info(code).outcome};
    if (request.may_have_run && finish.outcome == Outcome::kNotRun) {
      finish.outcome = Outcome::kUnknown;
    }
    if (!request.may_have_run) finish.outcome = Outcome::kNotRun;
    finish.retry_after = kRefusalRetryAfter;
    Settle(request, finish);
  }

  /// Gives up the current attempt's hold on its targets.
  void LeaveAttempt(Request& request, bool cancel) {
    for (const TargetName& name : request.targets) {
      const auto at = targets.find(name);
      if (at != targets.end() && at->second.in_flight > 0) {
        --at->second.in_flight;
      }
      if (cancel && request.phase >= Phase::kOpening) {
        out.push_back(CancelAttempt{request.attempt, name});
      }
      out.push_back(ReleaseGrant{request.attempt, name});
    }
    request.targets.clear();
  }

  Target* Pick(const Request& request) {
    Target* best = nullptr;
    for (auto& [name, target] : targets) {
      if (target.closed || !Serves(target.info, request.info)) continue;
      const auto& excluded = request.excluded;
      if (std::find(excluded.begin(), excluded.end(), name) != excluded.end()) {
        continue;
      }
      if (best == nullptr || target.in_flight < best->in_flight) {
        best = &target;
      }
    }
    return best;
  }

  void Place(Request& request) {
    Target* target = Pick(request);
    if (target == nullptr) {
      SettleError(request, Errc::kNoTarget);
      return;
    }
    queue.erase(request.info.id.sequence);
    ++target->in_flight;
    ++request.attempts;
    request.attempt = {request.info.id, request.attempt.number + 1};
    request.targets = {target->info.name};
    request.phase = Phase::kAsking;
    out.push_back(
        AskGrant{.attempt = request.attempt,
                 .target = target->info.name,
                 .account = request.info.account,
                 .kv_tokens = std::uint64_t{request.info.prompt_tokens} +
                              request.info.max_output_tokens,
                 .urgency = request.info.urgency,
                 .expires = request.info.deadline});
  }

  void Retry(Request& request, Errc code) {
    const bool again = request.info.repeatable || !request.may_have_run;
    if (!again || request.attempts >= kMaxAttempts) {
      SettleError(request, code);
      return;
    }
    for (const TargetName& name : request.targets) {
      request.excluded.push_back(name);
    }
    LeaveAttempt(request, request.may_have_run);
    request.ran_before = request.may_have_run;
    request.phase = Phase::kQueued;
    Place(request);
  }

  void On(const RequestArrived& event) {
    const RequestId& id = event.info.id;
    if (!admitting) return Refuse(id, stop_reason);
    if (event.info.deadline <= now) return Refuse(id, Errc::kDeadlineInvalid);
    Request& request = requests[id.sequence];
    request.info = event.info;
    request.idempotency_key = event.idempotency_key;
    request.attempt = {id, 0};
    deadlines.insert({event.info.deadline, id.sequence});
    if (event.resume) request.delivered = event.resume->offset;
    if (event.info.repeatable) return Place(request);
    request.phase = Phase::kClaiming;
    out.push_back(WantClaim{id, event.info.account, event.idempotency_key,
                            event.info.fingerprint, event.info.deadline});
  }

  void On(const ClaimAnswered& event) {
    Request* request = Find(event.request);
    if (request == nullptr) {
      // Given up before the answer came: nothing was or will be dispatched.
      if (event.verdict == ClaimVerdict::kClaimed) {
        out.push_back(RecordOutcome{event.request, Outcome::kNotRun});
      }
      return;
    }
    if (request->phase != Phase::kClaiming) return;
    switch (event.verdict) {
      case ClaimVerdict::kClaimed:
        request->claimed = true;
        request->phase = Phase::kQueued;
        return Place(*request);
      case ClaimVerdict::kSeenRunning:
        return SettleSeen(*request, Errc::kAlreadyRunning);
      case ClaimVerdict::kSeenDone:
      case ClaimVerdict::kSeenUnknown:
        return SettleSeen(*request, Errc::kOutcomeUnknown);
      case ClaimVerdict::kOtherBody:
        return SettleError(*request, Errc::kIdempotencyKeyReused);
      case ClaimVerdict::kUnavailable:
        return SettleError(*request, Errc::kStoreUnavailable);
    }
  }

  /// Another request with the key may have run.
  void SettleSeen(Request& request, Errc code) {
    request.may_have_run = true;
    SettleError(request, code);
  }

  void On(const GrantAnswered& event) {
    Request* request = Current(event.attempt);
    if (request == nullptr || request->phase != Phase::kAsking) {
      if (event.reply == GrantReply::kGranted) {
        out.push_back(ReleaseGrant{event.attempt, event.target});
      }
      return;
    }
    if (event.reply == GrantReply::kQueued) return;
    if (event.reply != GrantReply::kGranted) {
      return Retry(*request, Errc::kOverloaded);
    }
    if (now >= request->info.deadline) {
      return SettleError(*request, Errc::kDeadlineExceeded);
    }
    request->phase = Phase::kOpening;
    request->may_have_run = true;  // The shell may send before it tells.
    request->last_sign = now;
    out.push_back(OpenStream{.attempt = request->attempt,
                             .targets = request->targets,
                             .offset = request->delivered,
                             .urgency = request->info.urgency,
                             .expires = request->info.deadline});
  }

  void On(const StreamOpened& event) {
    Request* request = Current(event.attempt);
    if (request == nullptr) return;
    request->phase = Phase::kStreaming;
    request->may_have_run = true;
    request->last_sign = now;
  }

  void On(const ChunkArrived& event) {
    Request* request = Current(event.attempt);
    if (request == nullptr) return;
    request->phase = Phase::kStreaming;
    request->may_have_run = true;
    request->last_sign = now;
    if (event.offset > request->delivered) {
      return Retry(*request, Errc::kAnswerGap);
    }
    const std::uint64_t end = event.offset + event.length;
    if (end <= request->delivered) return;
    const auto skip =
        static_cast<std::uint32_t>(request->delivered - event.offset);
    request->delivered = end;
    out.push_back(Forward{request->info.id, skip});
  }

  void On(const StreamHeartbeat& event) {
    Request* request = Current(event.attempt);
    if (request != nullptr) request->last_sign = now;
  }

  void On(const StreamEnded& event) {
    Request* request = Current(event.attempt);
    if (request == nullptr) return;
    if (event.total_bytes != request->delivered) {
      return Retry(*request, Errc::kAnswerGap);
    }
    Settle(*request, Finish{.prompt_tokens = event.prompt_tokens,
                            .cached_tokens = event.cached_tokens,
                            .output_tokens = event.output_tokens});
  }

  void On(const StreamFailed& event) {
    Request* request = Current(event.attempt);
    if (request == nullptr) return;
    if (event.not_run) request->may_have_run = request->ran_before;
    Retry(*request, event.code);
  }

  void On(const CallerGone& event) {
    Request* request = Find(event.request);
    if (request != nullptr) SettleError(*request, Errc::kCancelled);
  }

  void On(const TargetSeen& event) {
    targets[event.info.name].info = event.info;
  }

  void On(const TargetGone& event) { targets.erase(event.target); }

  void On(const TargetClosed& event) {
    const auto at = targets.find(event.target);
    if (at != targets.end()) at->second.closed = true;
  }

  void On(const LoadReported& event) {
    const auto at = targets.find(event.report.target);
    if (at != targets.end() && event.report.closing) at->second.closed = true;
  }

  void On(const PrefixReported&) {}
  void On(const PeerSuspects&) {}

  void On(const StopAdmitting& event) {
    admitting = false;
    stop_reason = event.reason;
  }

  void On(const ResumeAdmitting&) { admitting = true; }

  void On(const Tick&) {
    while (!deadlines.empty() && deadlines.begin()->first <= now) {
      Request& request = requests.at(deadlines.begin()->second);
      SettleError(request, Errc::kDeadlineExceeded);
    }
    std::vector<std::uint64_t> silent;
    for (const auto& [sequence, request] : requests) {
      if (request.phase < Phase::kOpening) continue;
      if (now - request.last_sign >= settings.silence_limit) {
        silent.push_back(sequence);
      }
    }
    std::sort(silent.begin(), silent.end());
    for (const std::uint64_t sequence : silent) {
      Retry(requests.at(sequence), Errc::kTargetSilent);
    }
  }
};

Entry::Entry(EntrySettings settings) : state_(std::make_unique<State>()) {
  state_->settings = std::move(settings);
}
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

std::size_t Entry::open_attempts() const {
  return static_cast<std::size_t>(std::count_if(
      state_->requests.begin(), state_->requests.end(),
      [](const auto& item) { return item.second.phase >= Phase::kOpening; }));
}

}  // namespace comfreyflow
