// Building a replayed fleet; its reports, cache events, stewards and losses.
#include <algorithm>
#include <cstdio>

#include "comfreyflow/entry.h"
#include "core/replay/fleet.h"

namespace comfreyflow::replay {
namespace {

constexpr Duration kMinReportLag = std::chrono::milliseconds(500);
constexpr Duration kMaxReportLag = std::chrono::seconds(2);
constexpr Duration kMinCacheLag = std::chrono::seconds(1);
constexpr Duration kMaxCacheLag = std::chrono::seconds(5);
/// One cache event in this many is lost.
constexpr int kCacheLossOneIn = 50;
constexpr Duration kStewardPeriod = std::chrono::milliseconds(500);
/// Time until a steward sees that its engine is gone.
constexpr Duration kStewardSeesLoss = std::chrono::seconds(1);
/// Lag of the platform's list.
constexpr Duration kListLag = std::chrono::seconds(5);
/// Mark of a failure by crash.
constexpr std::uint32_t kCrashed = 1;
/// Resolution of the lags drawn.
using LagUnit = std::chrono::microseconds;

std::string Numbered(char letter, std::uint32_t number) {
  char text[16];
  std::snprintf(text, sizeof text, "%c%03u", letter, number);
  return text;
}

Duration Draw(std::mt19937_64& random, Duration from, Duration to) {
  std::uniform_int_distribution<std::int64_t> lag(
      std::chrono::duration_cast<LagUnit>(from).count(),
      std::chrono::duration_cast<LagUnit>(to).count());
  return LagUnit(lag(random));
}

}  // namespace

void Fleet::SetUp(const std::string& policy) {
  const FleetSetup& fleet = trace_.fleet;
  const std::uint32_t hosts = policy_.central ? 1 : fleet.hosts;
  for (std::uint32_t i = 0; i < hosts; ++i) {
    Host host;
    host.domain = i % fleet.failure_domains;
    host.name = {Numbered('h', i)};
    const FailureDomain home{Numbered('d', host.domain)};
    host.policy = MakeHost(policy, home, fleet.seed * 1'000 + i, fleet);
    hosts_.push_back(std::move(host));
  }
  for (const ServiceSetup& service : fleet.services) {
    for (std::uint32_t i = 0; i < service.engines; ++i) {
      const auto index = static_cast<std::uint32_t>(engines_.size());
      EngineSeat seat{.engine = Engine(fleet.engine)};
      seat.domain = index % fleet.failure_domains;
      seat.steward_host = index % hosts;
      seat.info.name = {Numbered('e', index)};
      seat.info.service = service.service;
      seat.info.models = {{service.service.value}};
      seat.info.failure_domain = {Numbered('d', seat.domain)};
      seat.info.kv_capacity = fleet.engine.kv_tokens;
      seat.info.max_running = fleet.engine.max_running;
      seat.steward = std::make_unique<Steward>(seat.info);
      engine_by_name_[seat.info.name.value] = index;
      engines_.push_back(std::move(seat));
    }
  }
  for (std::uint32_t i = 0; i < hosts; ++i) {
    for (const EngineSeat& seat : engines_)
      hosts_[i].policy->Seen(seat.info, now_);
    for (const AccountSetup& account : fleet.accounts) {
      hosts_[i].policy->Limit(account, 1.0 / hosts, now_);
    }
    Push(Time{} + kEntryTickPeriod * i / hosts, Kind::kHostTick, i);
  }
  const auto count = static_cast<std::uint32_t>(engines_.size());
  for (std::uint32_t i = 0; i < count; ++i) {
    Push(Time{} + fleet.report_period * i / count, Kind::kReport, i);
    if (policy_.stewards) {
      Push(Time{} + kStewardPeriod * i / count, Kind::kStewardTick, i);
    }
  }
  for (const EngineLoss& loss : fleet.losses) {
    Push(Time{} + loss.at, Kind::kLoss, loss.engine);
  }
  host_of_.resize(trace_.requests.size());
  result_.records.resize(trace_.requests.size());
  if (!trace_.requests.empty()) {
    Push(Time{} + trace_.requests[0].at + fleet.hop_client, Kind::kArrival);
  }
}

void Fleet::OnReport(const Event& event) {
  EngineSeat& seat = engines_[event.a];
  if (!seat.alive) return;
  Push(now_ + trace_.fleet.report_period, Kind::kReport, event.a);
  Payload payload;
  TargetReport& report = payload.report;
  report.target = seat.info.name;
  report.epoch = 1;
  report.sequence = ++seat.sequence;
  report.running = static_cast<std::uint32_t>(seat.engine.running());
  report.waiting = static_cast<std::uint32_t>(seat.engine.waiting());
  report.kv_used = seat.engine.kv_used();
  report.kv_capacity = seat.info.kv_capacity;
  report.max_running = seat.info.max_running;
  report.prefill_backlog_tokens = seat.engine.backlog();
  report.age = Draw(random_, kMinReportLag, kMaxReportLag);
  const Time seen = now_ + report.age;
  Push(seen, Kind::kReportSeen, event.a, 0, 0, Keep(std::move(payload)));
  std::vector<PrefixEvent> events = seat.engine.TakeEvents();
  if (!trace_.fleet.cache_events || !policy_.stewards) return;
  std::erase_if(events, [&](const PrefixEvent&) {
    return random_() % kCacheLossOneIn == 0;
  });
  Payload cache;
  cache.blocks = std::move(events);
  cache.next = seat.engine.next_event();
  Push(now_ + Draw(random_, kMinCacheLag, kMaxCacheLag), Kind::kCacheSeen,
       event.a, 0, 0, Keep(std::move(cache)));
}

void Fleet::OnReportSeen(const Event& event) {
  const Payload payload = Take(event.slot);
  for (Host& host : hosts_) host.policy->Reported(payload.report, now_);
  if (policy_.stewards) {
    engines_[event.a].steward->Reported(payload.report, now_);
  }
}

void Fleet::OnCacheSeen(const Event& event) {
  const Payload payload = Take(event.slot);
  const TargetName& target = engines_[event.a].info.name;
  if (event.kind == Kind::kListSeen) {
    Carry(event.b, hosts_[event.b].policy->Prefixes(
                       target, true, payload.blocks, payload.next, now_));
    return;
  }
  for (std::uint32_t i = 0; i < hosts_.size(); ++i) {
    Carry(i, hosts_[i].policy->Prefixes(target, false, payload.blocks,
                                        payload.next, now_));
  }
}

void Fleet::OnStewardTick(const Event& event) {
  Push(now_ + kStewardPeriod, Kind::kStewardTick, event.a);
  EngineSeat& seat = engines_[event.a];
  Answers(event.a, seat.steward->Tick(now_));
  if (!seat.alive) return;
  std::vector<RunningAttempt> running;
  for (const std::uint64_t work : seat.engine.keys()) {
    running.push_back(ListedOf(work));
  }
  Answers(event.a, seat.steward->Listed(1, running, now_));
}

void Fleet::Answers(std::uint32_t engine, const StewardResult& turn) {
  for (const ReservationReply& answer : turn.answers) {
    const std::uint64_t request = answer.attempt.request.sequence;
    const std::uint32_t host = host_of_[request];
    Payload payload;
    payload.answer = answer;
    Push(now_ + ToSteward(host, engine), Kind::kAnswer, engine, host, 0,
         Keep(std::move(payload)));
  }
}

void Fleet::OnLoss(const Event& event) {
  EngineSeat& seat = engines_[event.a];
  seat.alive = false;
  seat.lost_at = now_;
  for (const std::uint64_t work : seat.engine.keys()) {
    const std::uint64_t key = StreamOfWork(work);
    const std::uint32_t host = streams_.at(key).host;
    Push(now_ + ToEngine(host, event.a), Kind::kFailed, event.a, host, key,
         kCrashed);
  }
  Push(now_ + kListLag, Kind::kLossSeen, event.a);
  Push(now_ + kStewardSeesLoss, Kind::kStewardClose, event.a);
}

}  // namespace comfreyflow::replay
