// Connects the components of a host.
#include <algorithm>
#include <utility>

#include "comfreyflow/resume.h"
#include "node/log.h"
#include "node/node-state.h"
#include "node/peer-wire.h"
#include "node/target-poll.h"

namespace comfreyflow::node {
namespace {

using Json = nlohmann::ordered_json;
using std::chrono::milliseconds;

/// A caller may resume its stream until this long after the deadline.
constexpr milliseconds kResumeWindow{15'000};

/// Time within which all peers omit a draining host from their address answers.
constexpr Duration kPeerUpdateTime = std::chrono::seconds(3);
constexpr Duration kDrainCheckPeriod = milliseconds(50);
/// The end of a planned stop is kept free for writing the last answers: this
/// share of the stop's time, up to the maximum.
constexpr int kWriteShare = 4;
constexpr Duration kMaxWriteTime = std::chrono::seconds(2);

milliseconds Milliseconds(Duration time) {
  return std::chrono::duration_cast<milliseconds>(time);
}

ReservationRequest ToReservationRequest(const RequestGrant& grant) {
  ReservationRequest request;
  request.attempt = grant.attempt;
  request.account = grant.account;
  request.kv_tokens = grant.kv_tokens;
  request.prefill_tokens = grant.prefill_tokens;
  request.urgency = grant.urgency;
  request.max_wait = grant.max_wait;
  request.suspect = grant.suspect;
  request.expires = grant.expires;
  return request;
}

/// Version of a new target mark. Versions come from the clock, so that later
/// marks of a target supersede earlier ones, whichever host made them.
std::uint64_t NewMarkVersion() {
  return comfreyflow::detail::IncarnationFromClock().value;
}

/// Collects the parts of a dump from several actors.
struct DumpParts {
  std::mutex mutex;
  Json all;
  std::size_t pending = 0;
  std::function<void(Json)> done;

  void Add(const Json& part) {
    const std::lock_guard lock(mutex);
    all.update(part);
    if (--pending == 0) done(std::move(all));
  }
};

}  // namespace

/// Divides the fleet's account limits equally among the serving hosts, so that
/// their sum is not exceeded in a network partition.
std::vector<LimitChanged> Node::State::Limits() const {
  std::vector<LimitChanged> limits;
  const auto snapshot = config->current();
  if (!snapshot) return limits;
  std::size_t hosts = 1;
  {
    const std::lock_guard lock(view_mutex);
    hosts = std::max(hosts, serving.size());
  }
  for (const auto& [name, account] : snapshot->config.accounts) {
    LimitChanged change;
    change.account = name;
    change.limit.tokens_per_second =
        static_cast<double>(account.tokens_per_second) /
        static_cast<double>(hosts);
    change.limit.concurrent_tokens = account.concurrent_tokens / hosts;
    change.weight = account.weight;
    limits.push_back(std::move(change));
  }
  return limits;
}

std::vector<TargetInfo> Node::State::Targets() const {
  std::vector<TargetInfo> all;
  const auto snapshot = config->current();
  if (!snapshot) return all;
  for (const auto& [name, service] : snapshot->config.services) {
    for (auto& target : TargetsOf(snapshot->config, name)) {
      all.push_back(std::move(target));
    }
  }
  return all;
}

CallerApiDeps Node::State::MakeCallerDeps() {
  CallerApiDeps deps;
  deps.host = settings().name;
  deps.incarnation = incarnation;
  deps.fleet_key = options.fleet_key;
  deps.max_deadline = settings().max_deadline;
  deps.config = config;
  deps.metrics = &metrics;
  deps.arrive = [this](CallPtr call) {
    entry->Send(CallArrived{std::move(call)});
  };
  deps.addresses = [this](const FailureDomain& caller) {
    return AddressesAnswer(caller);
  };
  return deps;
}

AdminDeps Node::State::MakeAdminDeps() {
  AdminDeps deps;
  deps.key_sha256 = settings().admin_key_sha256;
  deps.environment = settings().environment;
  deps.state = [this] { return StateName(); };
  deps.metrics = [this] {
    return metrics.Render({open_requests, open_attempts, bodies->used()});
  };
  deps.status = [this] { return Status(); };
  deps.dump = [this](std::function<void(Json)> done) { Dump(std::move(done)); };
  deps.drain = [this] { StartDrain(); };
  deps.config = [this] {
    const auto snapshot = config->current();
    if (!snapshot) return Json::object();
    return Json{{"environment", settings().environment},
                {"generation", snapshot->generation},
                {"hash", snapshot->hash},
                {"document", snapshot->text}};
  };
  deps.apply = [this](ApplyRequest request,
                      std::function<void(ApplyResult)> done) {
    if (platform) {
      return config_actor->Send(
          ConfigUpdateRequest{std::move(request), std::move(done)});
    }
    ApplyResult result;
    const auto parsed = ParseConfig(request.document);
    result.problems = parsed.problems;
    result.code =
        parsed.ok() ? Errc::kPlatformUnavailable : Errc::kConfigInvalid;
    done(std::move(result));
  };
  return deps;
}

EntryDeps Node::State::MakeEntryDeps() {
  EntryDeps deps;
  deps.settings.dispatcher.router.failure_domain = settings().failure_domain;
  deps.settings.seed = incarnation.value;
  deps.settings.dispatcher.router.seed = incarnation.value;
  deps.settings.attempt.silence_limit = settings().silence_limit;
  deps.io = &io;
  deps.client = &client;
  deps.metrics = &metrics;
  deps.self = entry;
  deps.timer = timer;
  deps.hooks.targets = [this] { return Targets(); };
  deps.hooks.limits = [this] { return Limits(); };
  deps.hooks.request_grant = [this](const RequestGrant& request) {
    const HostName to = StewardFor(request.target);
    if (to == settings().name) {
      return steward->Send(
          ReserveRequested{request.target, ToReservationRequest(request)});
    }
    peer_links->Send(to,
                     ReserveBody(request.target, ToReservationRequest(request),
                                 comfreyflow::detail::Now()));
  };
  deps.hooks.release_grant = [this](const ReleaseGrant& release) {
    const HostName to = StewardFor(release.target);
    if (to == settings().name) {
      return steward->Send(ReserveReleased{release.target, release.attempt});
    }
    peer_links->Send(to, ReleaseBody(release.target, release.attempt));
  };
  deps.hooks.prefill_done = [this](const PrefillDone& done) {
    const HostName to = StewardFor(done.target);
    if (to == settings().name) {
      return steward->Send(ReservePrefilled{done.target, done.attempt});
    }
    peer_links->Send(to, PrefilledBody(done.target, done.attempt));
  };
  deps.hooks.share_suspect = [this](const ShareSuspect& share) {
    steward->Send(CrashReported{share.evidence.target});
    SendToAllPeers(CrashBody(share.evidence));
  };
  deps.hooks.fetch_prefix_list = [this](const TargetName& name,
                                        const std::string& address) {
    TargetInfo target;
    target.name = name;
    target.address = address;
    ReadCache(client, target, nullptr, [this](const PrefixReported* list) {
      if (list != nullptr) entry->Send(EntryPosted{*list});
    });
  };
  deps.hooks.share_closed = [this](const ShareClosed& share) {
    membership->Send(
        TargetMarkChanged{{share.target, {0, NewMarkVersion()}, true}});
  };
  if (platform) {
    deps.hooks.request_claim = [this](const WantClaim& want) {
      claims->Send(ClaimPosted{want});
    };
    deps.hooks.record_outcome = [this](const RecordOutcome& record) {
      claims->Send(ClaimPosted{record});
    };
  }
  deps.hooks.sign_resume = [this](const Call& call, const AttemptId& attempt,
                                  const TargetName& target) {
    return SignResume(call, attempt, target);
  };
  deps.hooks.open_changed = [this](std::size_t requests, std::size_t attempts) {
    open_requests = requests;
    open_attempts = attempts;
  };
  return deps;
}

std::string Node::State::SignResume(const Call& call, const AttemptId& attempt,
                                    const TargetName& target) const {
  if (!call.info.repeatable) return {};
  const auto wall = std::chrono::time_point_cast<milliseconds>(
      std::chrono::system_clock::now());
  const auto remaining =
      Milliseconds(call.info.deadline - comfreyflow::detail::Now());
  ResumeToken token;
  token.attempt = attempt;
  token.account = call.info.account;
  token.target = target;
  token.fingerprint = call.info.fingerprint;
  token.offset = call.offset;
  token.expires = wall + remaining + kResumeWindow;
  return SignResumeToken(token, options.fleet_key);
}

const char* Node::State::StateName() const {
  if (drain_phase() != DrainPhase::kServing) return "draining";
  if (stop_reason == Errc::kCutOff) return "cut_off";
  return config->current() ? "running" : "no_configuration";
}

std::string Node::State::AddressesAnswer(const FailureDomain& caller) {
  const Time now = comfreyflow::detail::Now();
  AddressAnswer answer;
  Json hosts = Json::array();
  {
    const std::lock_guard lock(view_mutex);
    answer = addresses.Answer(caller, now);
    for (const auto& address : answer.hosts) {
      std::string domain;
      for (const auto& [name, member] : members) {
        if (member.record.callers == address) {
          domain = member.record.failure_domain.value;
        }
      }
      hosts.push_back({{"address", address}, {"failure_domain", domain}});
    }
  }
  {
    const std::lock_guard lock(drain_mutex);
    drain.AddressAnswerSent(now + answer.ttl);
  }
  return Json{{"hosts", std::move(hosts)},
              {"expires_ms", Milliseconds(answer.ttl).count()}}
      .dump();
}

DrainPhase Node::State::drain_phase() const {
  const std::lock_guard lock(drain_mutex);
  return drain.phase();
}

void Node::State::StartDrain() {
  const Time now = comfreyflow::detail::Now();
  {
    const std::lock_guard lock(drain_mutex);
    if (drain.phase() != DrainPhase::kServing) return;
    drain.Stop(now, kPeerUpdateTime, settings().address_life,
               now + settings().stop_time);
  }
  is_draining = true;
  const Duration write_time =
      std::min(kMaxWriteTime, settings().stop_time / kWriteShare);
  entry->Send(EntryPosted{StopBegan{now + settings().stop_time - write_time}});
  LogEvent(Severity::kInfo, Event::kDrainBegan);
  ScheduleDrain();
}

void Node::State::ScheduleDrain() {
  drain_timer.expires_after(kDrainCheckPeriod);
  drain_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) AdvanceDrain();
  });
}

void Node::State::AdvanceDrain() {
  DrainPhase phase;
  {
    const std::lock_guard lock(drain_mutex);
    const std::size_t open = open_requests + callers->unanswered();
    phase = drain.Advance(open, comfreyflow::detail::Now());
  }
  if (phase >= DrainPhase::kRefusing && !is_refusing.exchange(true)) {
    LogEvent(Severity::kInfo, Event::kDrainRefuses);
    entry->Send(EntryPosted{StopAdmitting{Errc::kDraining}});
  }
  if (phase != DrainPhase::kDone) return ScheduleDrain();
  membership->Send(LeaveRequested{});
  if (!exit_reported.exchange(true)) options.on_exit(0);
}

void Node::State::Dump(std::function<void(Json)> done) {
  auto parts = std::make_shared<DumpParts>();
  parts->all["status"] = Status();
  parts->all["limits"] = {{"body_memory_bytes", bodies->limit()},
                          {"body_memory_used", bodies->used()}};
  parts->done = std::move(done);
  std::vector<ActorRefPtr> actors = {entry, steward, membership};
  if (platform) actors.insert(actors.end(), {claims, orders});
  parts->pending = actors.size();
  for (const auto& actor : actors) {
    actor->Send(DumpRequested{[parts](const Json& part) { parts->Add(part); }});
  }
}

Json Node::State::Status() const {
  const auto snapshot = config->current();
  Json status{{"host", settings().name.value},
              {"failure_domain", settings().failure_domain.value},
              {"incarnation", incarnation.value},
              {"state", StateName()},
              {"open_requests", open_requests.load()},
              {"open_attempts", open_attempts.load()}};
  status["config"] = {{"environment", settings().environment},
                      {"generation", snapshot ? snapshot->generation : 0},
                      {"hash", snapshot ? snapshot->hash : ""}};
  std::size_t alive = 0;
  std::size_t suspect = 0;
  std::size_t departed = 0;
  std::size_t in_force = 0;
  const std::lock_guard lock(view_mutex);
  for (const auto& [name, member] : members) {
    const bool is_alive = member.state == MemberState::kAlive;
    alive += is_alive ? 1 : 0;
    suspect += member.state == MemberState::kSuspect ? 1 : 0;
    departed += member.state >= MemberState::kDead ? 1 : 0;
    const bool is_self = name == settings().name;
    const bool has_config =
        snapshot && member.facts.generation >= snapshot->generation;
    if (member.state < MemberState::kDead && snapshot &&
        (is_self || has_config))
      ++in_force;
  }
  status["in_force"] = {{"hosts", in_force}, {"of", alive + suspect}};
  status["members"] = {
      {"alive", alive}, {"suspect", suspect}, {"left", departed}};
  return status;
}

}  // namespace comfreyflow::node
