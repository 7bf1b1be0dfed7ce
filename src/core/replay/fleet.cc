// The loop of a replay: events from outside, and the hosts' actions.
#include "core/replay/fleet.h"

#include <algorithm>

#include "comfreyflow/entry.h"

namespace comfreyflow::replay {
namespace {

constexpr Duration kSameHost = std::chrono::microseconds(20);
/// Time after the last deadline in which a late end is still seen.
constexpr Duration kGrace = std::chrono::seconds(1);

}  // namespace

Fleet::Fleet(const Trace& trace, const std::string& policy)
    : trace_(trace), policy_(SetupOf(policy)), random_(trace.fleet.seed) {
  SetUp(policy);
}

void Fleet::Push(Time at, Kind kind, std::uint32_t a, std::uint32_t b,
                 std::uint64_t key, std::uint32_t slot) {
  events_.push({at, order_++, kind, a, b, key, slot});
}

std::uint32_t Fleet::Keep(Payload payload) {
  if (free_payloads_.empty()) {
    payloads_.push_back(std::move(payload));
    return static_cast<std::uint32_t>(payloads_.size() - 1);
  }
  const std::uint32_t slot = free_payloads_.back();
  free_payloads_.pop_back();
  payloads_[slot] = std::move(payload);
  return slot;
}

Fleet::Payload Fleet::Take(std::uint32_t slot) {
  free_payloads_.push_back(slot);
  return std::move(payloads_[slot]);
}

Duration Fleet::Hop(std::uint32_t from, std::uint32_t to) const {
  return from == to ? trace_.fleet.hop_same : trace_.fleet.hop_other;
}

Duration Fleet::ToEngine(std::uint32_t host, std::uint32_t engine) const {
  return Hop(hosts_[host].domain, engines_[engine].domain);
}

Duration Fleet::ToSteward(std::uint32_t host, std::uint32_t engine) const {
  const std::uint32_t steward = engines_[engine].steward_host;
  if (steward == host) return kSameHost;
  return Hop(hosts_[host].domain, hosts_[steward].domain);
}

std::uint32_t Fleet::EngineOf(const TargetName& target) const {
  return engine_by_name_.at(target.value);
}

RequestInfo Fleet::InfoOf(std::uint64_t index) const {
  const TraceRequest& request = trace_.requests[index];
  RequestInfo info;
  info.id = {hosts_[host_of_[index]].name, {1}, index};
  info.account = request.account;
  info.service = request.service;
  info.model = {request.service.value};
  info.urgency = request.urgency;
  info.prompt_tokens = request.prompt_tokens;
  info.max_output_tokens = request.max_output_tokens;
  info.prefix = ChainOf(request, index);
  info.fingerprint = index + 1;
  info.arrival = now_;
  info.deadline = now_ + request.deadline;
  info.repeatable = request.repeatable;
  return info;
}

RunningAttempt Fleet::ListedOf(std::uint64_t work) const {
  const std::uint64_t key = StreamOfWork(work);
  const std::uint64_t request = RequestOfStream(key);
  const TraceRequest& traced = trace_.requests[request];
  RunningAttempt out;
  out.id = {{hosts_[host_of_[request]].name, {1}, request},
            AttemptOfStream(key)};
  const std::size_t members = streams_.at(key).engines.size();
  out.kv_tokens = (traced.prompt_tokens + traced.max_output_tokens) / members;
  out.expires_in = Time{} + traced.at + traced.deadline + kGrace - now_;
  return out;
}

Result Fleet::Run() {
  Duration last{};
  for (const TraceRequest& request : trace_.requests) {
    last = std::max(last, request.at + request.deadline);
  }
  const Time stop = Time{} + last + kGrace;
  while (!events_.empty()) {
    const Event event = events_.top();
    if (event.at > stop) break;
    if (arrived_ == trace_.requests.size() && open_ == 0) break;
    events_.pop();
    now_ = event.at;
    ++result_.events;
    Handle(event);
  }
  const std::chrono::duration<double> run = now_ - Time{};
  const std::chrono::duration<double> busy = busy_;
  result_.busy_share =
      busy.count() / run.count() / static_cast<double>(engines_.size());
  return std::move(result_);
}

void Fleet::Handle(const Event& event) {
  switch (event.kind) {
    case Kind::kArrival:
      return OnArrival(event);
    case Kind::kHostTick:
      Push(now_ + kEntryTickPeriod, Kind::kHostTick, event.a);
      return Carry(event.a, hosts_[event.a].policy->Tick(now_));
    case Kind::kStewardTick:
      return OnStewardTick(event);
    case Kind::kIteration:
      return OnIteration(event);
    case Kind::kReport:
      return OnReport(event);
    case Kind::kReportSeen:
      return OnReportSeen(event);
    case Kind::kCacheSeen:
    case Kind::kListSeen:
      return OnCacheSeen(event);
    case Kind::kSubmit:
      return OnSubmit(event);
    case Kind::kCancel:
      return OnCancel(event);
    case Kind::kGangReady:
      engines_[event.a].engine.GangReady(event.key);
      return Kick(event.a);
    case Kind::kAsk: {
      const Payload payload = Take(event.slot);
      return Answers(event.a,
                     engines_[event.a].steward->Reserve(payload.ask, now_));
    }
    case Kind::kRelease: {
      const Payload payload = Take(event.slot);
      return Answers(event.a, engines_[event.a].steward->Release(
                                  payload.ask.attempt, now_));
    }
    case Kind::kPrefillDone: {
      const Payload payload = Take(event.slot);
      return Answers(event.a, engines_[event.a].steward->PrefillDone(
                                  payload.ask.attempt, now_));
    }
    case Kind::kAnswer: {
      const Payload payload = Take(event.slot);
      HostPolicy& policy = *hosts_[event.b].policy;
      return Carry(event.b, policy.Answered(engines_[event.a].info.name,
                                            payload.answer, now_));
    }
    case Kind::kFirstToken:
    case Kind::kEnded:
    case Kind::kFailed:
      return OnStream(event);
    case Kind::kLoss:
      return OnLoss(event);
    case Kind::kSuspect:
      return engines_[event.a].steward->SuspendGrants(now_);
    case Kind::kStewardClose:
      return Answers(event.a, engines_[event.a].steward->Close());
    case Kind::kLossSeen:
      for (Host& host : hosts_) {
        host.policy->Gone(engines_[event.a].info.name, now_);
      }
      return;
  }
}

void Fleet::OnArrival(const Event& event) {
  const std::uint64_t index = event.key;
  if (index + 1 < trace_.requests.size()) {
    Push(Time{} + trace_.requests[index + 1].at + trace_.fleet.hop_client,
         Kind::kArrival, 0, 0, index + 1);
  }
  const auto host =
      static_cast<std::uint32_t>(std::uniform_int_distribution<std::size_t>(
          0, hosts_.size() - 1)(random_));
  host_of_[index] = host;
  ++arrived_;
  ++open_;
  const HostActions actions = hosts_[host].policy->Arrived(InfoOf(index), now_);
  for (const HostAction& action : actions) {
    const auto* end = std::get_if<EndRequest>(&action);
    if (end != nullptr && end->request.sequence == index) {
      result_.records[index].refused = true;
    }
  }
  Carry(host, actions);
}

void Fleet::OnStream(const Event& event) {
  const std::uint64_t request = RequestOfStream(event.key);
  const std::uint32_t host = event.b;
  HostPolicy& policy = *hosts_[host].policy;
  const AttemptId attempt{{hosts_[host].name, {1}, request},
                          AttemptOfStream(event.key)};
  Record& record = result_.records[request];
  if (event.kind == Kind::kFirstToken) {
    if (record.ttft < Duration::zero() && !record.ended) {
      record.ttft = now_ + trace_.fleet.hop_client -
                    (Time{} + trace_.requests[request].at);
    }
    return Carry(host, policy.FirstToken(attempt, now_));
  }
  if (event.kind == Kind::kEnded) {
    return Carry(host, policy.Ended(attempt, event.slot, now_));
  }
  const bool crashed = event.slot != 0;
  if (crashed) record.on_lost_engine = true;
  Carry(host,
        policy.Failed(attempt, engines_[event.a].info.name, crashed, now_));
}

void Fleet::Carry(std::uint32_t host, const HostActions& actions) {
  for (const HostAction& action : actions) {
    std::visit([&](const auto& typed) { Do(host, typed); }, action);
  }
}

void Fleet::Do(std::uint32_t host, const SendReserveRequest& action) {
  const std::uint32_t engine = EngineOf(action.target);
  ++result_.probes;
  Payload payload;
  payload.ask = action.request;
  Push(now_ + ToSteward(host, engine), Kind::kAsk, engine, host, 0,
       Keep(std::move(payload)));
}

void Fleet::Do(std::uint32_t host, const SendRelease& action) {
  const std::uint32_t engine = EngineOf(action.target);
  Payload payload;
  payload.ask.attempt = action.attempt;
  Push(now_ + ToSteward(host, engine), Kind::kRelease, engine, host, 0,
       Keep(std::move(payload)));
}

void Fleet::Do(std::uint32_t host, const SendPrefillDone& action) {
  const std::uint32_t engine = EngineOf(action.target);
  Payload payload;
  payload.ask.attempt = action.attempt;
  Push(now_ + ToSteward(host, engine), Kind::kPrefillDone, engine, host, 0,
       Keep(std::move(payload)));
}

void Fleet::Do(std::uint32_t host, const StartStream& action) {
  const std::uint64_t index = action.attempt.request.sequence;
  const TraceRequest& request = trace_.requests[index];
  const std::uint64_t key = StreamKey(action.attempt);
  Record& record = result_.records[index];
  if (record.placed < Duration::zero()) {
    record.placed = now_ - (Time{} + request.at);
  }
  Stream& stream = streams_[key];
  stream.host = host;
  const std::size_t members = action.targets.size();
  const std::uint64_t total =
      std::uint64_t{request.prompt_tokens} + request.max_output_tokens;
  const std::uint64_t share = (total + members - 1) / members;
  for (std::uint32_t rank = 0; rank < members; ++rank) {
    const std::uint32_t engine = EngineOf(action.targets[rank]);
    stream.engines.push_back(engine);
    Payload payload;
    payload.work.key = WorkKey(key, rank);
    payload.work.priority = action.priority;
    payload.work.kv_tokens = share;
    if (rank == 0) {
      payload.work.prompt_tokens = request.prompt_tokens;
      payload.work.output_tokens = request.output_tokens;
      payload.work.chain = ChainOf(request, index);
      const std::size_t blocks = share / kPrefixBlockTokens;
      if (payload.work.chain.size() > blocks) payload.work.chain.resize(blocks);
      payload.work.waits_for_gang = members > 1;
    }
    Push(now_ + ToEngine(host, engine), Kind::kSubmit, engine, host, key,
         Keep(std::move(payload)));
  }
}

void Fleet::Do(std::uint32_t host, const CancelStream& action) {
  const std::uint32_t engine = EngineOf(action.target);
  Push(now_ + ToEngine(host, engine), Kind::kCancel, engine, host,
       StreamKey(action.attempt));
}

void Fleet::Do(std::uint32_t /*host*/, const EndRequest& action) {
  Record& record = result_.records[action.request.sequence];
  if (record.ended) return;
  record.ended = true;
  record.code = action.code;
  record.attempts = action.attempts;
  const TraceRequest& request = trace_.requests[action.request.sequence];
  const Duration taken = now_ - (Time{} + request.at + trace_.fleet.hop_client);
  record.late = taken > request.deadline;
  --open_;
}

void Fleet::Do(std::uint32_t host, const FetchList& action) {
  const std::uint32_t engine = EngineOf(action.target);
  if (!engines_[engine].alive) return;
  Payload payload;
  payload.blocks = engines_[engine].engine.CachedBlocks();
  payload.next = engines_[engine].engine.next_event();
  Push(now_ + 2 * ToEngine(host, engine), Kind::kListSeen, engine, host, 0,
       Keep(std::move(payload)));
}

void Fleet::Do(std::uint32_t host, const SuspectTarget& action) {
  const std::uint32_t engine = EngineOf(action.target);
  Push(now_ + ToSteward(host, engine), Kind::kSuspect, engine, host);
}

void Fleet::OnSubmit(const Event& event) {
  Payload payload = Take(event.slot);
  if (!engines_[event.a].alive) {
    // The connection can't be made: nothing of it ran. What was sent before
    // its host could hear of the loss counts as in flight.
    if (now_ - 2 * ToEngine(event.b, event.a) <= engines_[event.a].lost_at) {
      result_.records[RequestOfStream(event.key)].on_lost_engine = true;
    }
    Push(now_ + ToEngine(event.b, event.a), Kind::kFailed, event.a, event.b,
         event.key);
    return;
  }
  engines_[event.a].engine.Submit(std::move(payload.work));
  Kick(event.a);
}

void Fleet::OnCancel(const Event& event) {
  const auto stream = streams_.find(event.key);
  if (stream == streams_.end() || !engines_[event.a].alive) return;
  const auto& engines = stream->second.engines;
  for (std::uint32_t rank = 0; rank < engines.size(); ++rank) {
    if (engines[rank] != event.a) continue;
    engines_[event.a].engine.Cancel(WorkKey(event.key, rank));
  }
  Kick(event.a);
}

void Fleet::Kick(std::uint32_t engine) {
  EngineSeat& seat = engines_[engine];
  if (!seat.alive || seat.engine.in_iteration()) return;
  EngineStep step;
  if (seat.engine.Begin(step)) {
    Push(now_ + seat.engine.length(), Kind::kIteration, engine);
    busy_ += seat.engine.length();
  }
  Admitted(engine, step);
}

void Fleet::Admitted(std::uint32_t engine, const EngineStep& step) {
  for (const EngineStep::Admitted& admitted : step.admitted) {
    const std::uint64_t key = StreamOfWork(admitted.key);
    Stream& stream = streams_.at(key);
    if (RankOfWork(admitted.key) == 0) {
      stream.cached = admitted.cached_tokens;
      result_.records[RequestOfStream(key)].cached_tokens = stream.cached;
    }
    if (++stream.admitted < stream.engines.size()) continue;
    if (stream.engines.size() == 1) continue;
    const std::uint32_t first = stream.engines.front();
    Push(now_ + Hop(engines_[engine].domain, engines_[first].domain),
         Kind::kGangReady, first, 0, WorkKey(key, 0));
  }
}

void Fleet::OnIteration(const Event& event) {
  EngineSeat& seat = engines_[event.a];
  if (!seat.alive) return;
  if (seat.engine.decoding() > 0) {
    result_.gaps.Add(seat.engine.length(), seat.engine.decoding());
  }
  EngineStep step;
  seat.engine.End(step);
  for (const std::uint64_t work : step.first_tokens) {
    const std::uint64_t key = StreamOfWork(work);
    const std::uint32_t host = streams_.at(key).host;
    Push(now_ + ToEngine(host, event.a), Kind::kFirstToken, event.a, host, key);
  }
  for (const std::uint64_t work : step.finished) {
    const std::uint64_t key = StreamOfWork(work);
    const Stream& stream = streams_.at(key);
    Push(now_ + ToEngine(stream.host, event.a), Kind::kEnded, event.a,
         stream.host, key, stream.cached);
    // The other members of a gang give their memory back with the first.
    for (std::size_t rank = 1; rank < stream.engines.size(); ++rank) {
      const std::uint32_t member = stream.engines[rank];
      Push(now_ + Hop(seat.domain, engines_[member].domain), Kind::kCancel,
           member, stream.host, key);
    }
  }
  Kick(event.a);
}

}  // namespace comfreyflow::replay
