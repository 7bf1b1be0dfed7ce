// Connects a host with its peers: membership, stewardships, claims, orders and
// the configuration.
#include <algorithm>
#include <utility>

#include "comfreyflow/stewardship.h"
#include "node/log.h"
#include "node/node-state.h"
#include "node/peer-wire.h"

namespace comfreyflow::node {
namespace {

using comfreyflow::detail::IncarnationFromClock;
using comfreyflow::detail::Now;
using std::chrono::milliseconds;

/// Time between two exchanges of load reports with a random peer.
constexpr Duration kLoadExchangePeriod = milliseconds(250);
/// Reports received longer ago than this are not forwarded.
constexpr Duration kMaxReportHoldTime = std::chrono::seconds(3);
/// Open requests per step of the load figure that is gossiped to peers.
constexpr std::size_t kRequestsPerLoadStep = 16;

std::string WithPort(const std::string& address, std::uint16_t port) {
  return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

/// Whether `report` is newer than the `current` one of the same target.
bool IsNewer(const TargetReport& report, const TargetReport& current) {
  if (report.epoch != current.epoch) return report.epoch > current.epoch;
  return report.sequence > current.sequence;
}

}  // namespace

HostRecord Node::State::SelfRecord() const {
  HostRecord record;
  record.name = settings().name;
  record.incarnation = incarnation;
  record.failure_domain = settings().failure_domain;
  record.gossip = WithPort(settings().gossip, gossip->port());
  record.peers = WithPort(settings().peers, peers->port());
  record.callers = WithPort(settings().callers, callers->port());
  return record;
}

MembershipDeps Node::State::MakeMembershipDeps() {
  MembershipDeps deps;
  deps.settings.self = SelfRecord();
  deps.settings.seeds = settings().seeds;
  deps.settings.seed = incarnation.value;
  deps.socket = gossip;
  deps.platform = platform.get();
  deps.self = membership;
  deps.timer = timer;
  deps.hooks.facts = [this] {
    HostFacts facts;
    const auto snapshot = config->current();
    facts.generation = snapshot ? snapshot->generation : 0;
    const std::size_t step = open_requests / kRequestsPerLoadStep;
    facts.load =
        static_cast<std::uint8_t>(std::min<std::size_t>(step, kLoadSteps - 1));
    facts.draining = drain_phase() != DrainPhase::kServing;
    facts.unready = snapshot == nullptr;
    return facts;
  };
  deps.hooks.config_mark = [this] {
    const auto snapshot = config->current();
    return snapshot ? MarkOf(snapshot->generation, snapshot->digest)
                    : ConfigMark{};
  };
  deps.hooks.member_changed = [this](const MemberChanged& event) {
    HandleMemberChange(event);
  };
  deps.hooks.config_announced = [this](const ConfigAnnounced& event) {
    config_actor->Send(
        ConfigPosted{PeerConfigAnnounced{event.host, event.config}});
  };
  deps.hooks.target_marked = [this](const TargetMark& mark) {
    if (mark.closed) entry->Send(EntryPosted{TargetClosed{mark.target}});
  };
  deps.hooks.view = [this](const auto& all, const auto& hosts) {
    HandleView(all, hosts);
  };
  deps.hooks.targets_listed = [this](const std::vector<PlatformMember>& all) {
    for (const auto& target : all) {
      if (!target.leaving) continue;
      entry->Send(EntryPosted{TargetClosed{{target.name}}});
      membership->Send(TargetMarkChanged{
          {{target.name}, {0, IncarnationFromClock().value}, true}});
    }
  };
  return deps;
}

void Node::State::HandleMemberChange(const MemberChanged& event) {
  const auto& record = event.record;
  if (event.state == MemberState::kAlive) {
    steward->Send(OwnerUpdate{OwnerAlive{record.name, record.incarnation}});
  } else if (event.state != MemberState::kSuspect) {
    steward->Send(OwnerUpdate{OwnerLost{record.name, record.incarnation}});
    config_actor->Send(ConfigPosted{PeerRemoved{record.name}});
  }
}

void Node::State::HandleView(const std::map<HostName, Member>& all,
                             const std::vector<HostName>& hosts) {
  bool changed = false;
  {
    const std::lock_guard lock(view_mutex);
    members = all;
    serving = hosts;
    addresses.SetView(all);
    changed = assigned_hosts != hosts;
    assigned_hosts = hosts;
  }
  config_actor->Send(ConfigPosted{MembershipViewReceived{
      HasQuorum(all), RankInDomain(all, settings().name)}});
  if (changed) PublishAssignments();
}

void Node::State::SendToAllPeers(const wire::Body& body) {
  std::vector<HostName> others;
  {
    const std::lock_guard lock(view_mutex);
    for (const auto& [name, member] : members) {
      const bool is_alive = member.state < MemberState::kDead;
      if (is_alive && name != settings().name) others.push_back(name);
    }
  }
  for (const auto& host : others) peer_links->Send(host, body);
}

void Node::State::PublishAssignments() {
  for (auto& limit : Limits()) entry->Send(EntryPosted{std::move(limit)});
  steward->Send(StewardshipsChanged{LocalStewardships()});
  ClaimStewards stewards;
  {
    const std::lock_guard lock(view_mutex);
    stewards.by_shard = AssignClaimStewards(serving, ClaimSettings().shards);
  }
  if (platform) claims->Send(ClaimPosted{std::move(stewards)});
}

HostName Node::State::StewardFor(const TargetName& target) const {
  const std::lock_guard lock(view_mutex);
  HostName steward_host = StewardOf(serving, target);
  return steward_host.value.empty() ? settings().name : steward_host;
}

std::vector<TargetInfo> Node::State::LocalStewardships() const {
  std::vector<TargetInfo> local_targets;
  for (auto& target : Targets()) {
    if (StewardFor(target.name) == settings().name) {
      local_targets.push_back(std::move(target));
    }
  }
  return local_targets;
}

PeerDeps Node::State::MakePeerDeps() {
  PeerDeps deps;
  deps.self = settings().name;
  deps.incarnation = incarnation;
  deps.key = {options.fleet_key};
  deps.client = &client;
  deps.address = [this](const HostName& host) {
    const std::lock_guard lock(view_mutex);
    const auto at = members.find(host);
    return at == members.end() ? std::string() : at->second.record.peers;
  };
  deps.on_message = [this](const HostName& from, Incarnation peer,
                           const wire::Body& body) {
    HandlePeerMessage(from, peer, body);
  };
  return deps;
}

void Node::State::HandlePeerMessage(const HostName& from, Incarnation peer,
                                    const wire::Body& body) {
  if (body.__isset.reserve) {
    steward->Send(ReserveRequested{{body.reserve.target},
                                   ReserveFromWire(body.reserve, Now())});
  } else if (body.__isset.grant) {
    entry->Send(EntryPosted{GrantFromWire(body.grant)});
  } else if (body.__isset.release) {
    steward->Send(
        ReserveReleased{{body.release.target}, FromWire(body.release.attempt)});
  } else if (body.__isset.prefilled) {
    steward->Send(ReservePrefilled{{body.prefilled.target},
                                   FromWire(body.prefilled.attempt)});
  } else if (body.__isset.loads) {
    HandleLoads(from, body.loads);
  } else if (body.__isset.owners) {
    AnswerOwners(from, FromWire(body.owners.attempts));
  } else if (body.__isset.owners_answer) {
    steward->Send(OwnerUpdate{
        OwnerAnswered{from, peer, FromWire(body.owners_answer.unknown)}});
  } else if (body.__isset.config) {
    const auto snapshot = config->current();
    if (!snapshot) return;
    wire::ConfigAnswer answer;
    answer.generation = static_cast<std::int64_t>(snapshot->generation);
    answer.text = snapshot->text;
    wire::Body out;
    out.__set_config_answer(answer);
    peer_links->Send(from, out);
  } else if (body.__isset.config_answer) {
    const auto& answer = body.config_answer;
    config_actor->Send(ConfigPosted{PeerDocumentReceived{
        from, {static_cast<std::uint64_t>(answer.generation), answer.text}}});
  } else if (body.__isset.crash) {
    const CrashEvidence evidence = CrashFromWire(body.crash);
    entry->Send(EntryPosted{SuspectReported{evidence}});
    steward->Send(CrashReported{evidence.target});
  } else if (body.__isset.claims) {
    claims->Send(ClaimPosted{PeerClaims{from, FromWire(body.claims)}});
  } else if (body.__isset.claims_answer) {
    claims->Send(ClaimPosted{PeerVerdicts{from, FromWire(body.claims_answer)}});
  }
}

void Node::State::AnswerOwners(const HostName& to,
                               std::vector<AttemptId> attempts) {
  entry->Send(OwnersQueried{std::move(attempts),
                            [this, to](const std::vector<AttemptId>& unknown) {
                              peer_links->Send(to, OwnersAnswerBody(unknown));
                            }});
}

void Node::State::ScheduleLoads() {
  loads_timer.expires_after(kLoadExchangePeriod);
  loads_timer.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    SendLoads();
    ScheduleLoads();
  });
}

void Node::State::SendLoads() {
  HostName to;
  {
    const std::lock_guard lock(view_mutex);
    std::vector<HostName> others;
    for (const auto& host : serving) {
      if (host != settings().name) others.push_back(host);
    }
    if (others.empty()) return;
    to = others[random() % others.size()];
  }
  peer_links->Send(to, LoadsBody(true));
}

wire::Body Node::State::LoadsBody(bool answer_wanted) {
  wire::LoadsCall call;
  call.answer_wanted = answer_wanted;
  const Time now = Now();
  {
    const std::lock_guard lock(view_mutex);
    for (const auto& [name, report] : loads) {
      const Duration held = now - load_read_at[name];
      if (held > kMaxReportHoldTime) continue;
      TargetReport aged = report;
      aged.age += held;
      call.reports.push_back(ToWire(aged));
    }
  }
  wire::Body body;
  body.__set_loads(call);
  return body;
}

void Node::State::HandleLoads(const HostName& from,
                              const wire::LoadsCall& call) {
  std::vector<TargetReport> newer;
  {
    const std::lock_guard lock(view_mutex);
    for (const auto& item : call.reports) {
      TargetReport report = FromWire(item);
      const auto current = loads.find(report.target);
      if (current != loads.end() && !IsNewer(report, current->second)) continue;
      loads[report.target] = report;
      load_read_at[report.target] = Now();
      newer.push_back(std::move(report));
    }
  }
  for (auto& report : newer) {
    entry->Send(EntryPosted{LoadReported{std::move(report)}});
  }
  if (call.answer_wanted) peer_links->Send(from, LoadsBody(false));
}

StewardDeps Node::State::MakeStewardDeps() {
  StewardDeps deps;
  deps.client = &client;
  deps.self = steward;
  deps.timer = timer;
  deps.hooks.targets = [this] { return LocalStewardships(); };
  deps.hooks.answer = [this](const TargetName& target,
                             const ReservationReply& answer) {
    const HostName& owner = answer.attempt.request.host;
    if (owner != settings().name) {
      return peer_links->Send(owner, GrantBody(target, answer));
    }
    entry->Send(EntryPosted{GrantAnswered{answer.attempt, target, answer.reply,
                                          answer.retry_after}});
  };
  deps.hooks.report = [this](const TargetReport& report) {
    {
      const std::lock_guard lock(view_mutex);
      loads[report.target] = report;
      load_read_at[report.target] = Now();
    }
    if (report.closing) {
      membership->Send(TargetMarkChanged{
          {report.target, {0, IncarnationFromClock().value}, true}});
    }
    entry->Send(EntryPosted{LoadReported{report}});
  };
  deps.hooks.cache_events = [this](const PrefixReported& events) {
    entry->Send(EntryPosted{events});
  };
  deps.hooks.query_owner = [this](const QueryOwner& query) {
    if (query.host != settings().name) {
      return peer_links->Send(query.host, OwnersBody(query.attempts));
    }
    entry->Send(
        OwnersQueried{query.attempts, [this](std::vector<AttemptId> unknown) {
                        steward->Send(OwnerUpdate{OwnerAnswered{
                            settings().name, incarnation, std::move(unknown)}});
                      }});
  };
  return deps;
}

ClaimDeps Node::State::MakeClaimDeps() {
  ClaimDeps deps;
  deps.settings.host = settings().name;
  // Each start of the actor needs a new incarnation, because its sequence
  // numbers restart.
  deps.settings.incarnation = IncarnationFromClock();
  deps.platform = platform.get();
  deps.metrics = &metrics;
  deps.self = claims;
  deps.timer = timer;
  deps.hooks.answered = [this](const ClaimAnswered& answer) {
    entry->Send(EntryPosted{answer});
  };
  deps.hooks.query_claim_steward = [this](const AskClaimSteward& query) {
    peer_links->Send(query.steward, ClaimsBody(query.records));
  };
  deps.hooks.answer_peer = [this](const AnswerPeer& answer) {
    peer_links->Send(answer.to, ClaimsAnswerBody(answer.verdicts));
  };
  deps.hooks.stewards = [this] {
    const std::lock_guard lock(view_mutex);
    return ClaimStewards{AssignClaimStewards(serving, ClaimSettings().shards)};
  };
  return deps;
}

OrdersDeps Node::State::MakeOrdersDeps() {
  OrdersDeps deps;
  deps.self_name = settings().name;
  deps.incarnation = IncarnationFromClock();
  deps.client = &client;
  deps.platform = platform.get();
  deps.self = orders;
  deps.timer = timer;
  deps.assignments = [this]() -> std::vector<OrderAssignment> {
    const auto snapshot = config->current();
    if (!snapshot) return {};
    const std::lock_guard lock(view_mutex);
    return OrderAssignmentsOf(snapshot->config, serving, settings().name);
  };
  return deps;
}

ConfigDeps Node::State::MakeConfigDeps() {
  ConfigDeps deps;
  deps.environment = settings().environment;
  deps.require_proof = settings().require_proof;
  deps.seed = incarnation.value;
  deps.platform = platform.get();
  deps.self = config_actor;
  deps.timer = timer;
  deps.hooks.apply = [this](const ConfigPtr& next) { ApplyConfig(next); };
  deps.hooks.fetch = [this](const FetchConfig& fetch) {
    wire::ConfigCall call;
    call.generation = static_cast<std::int64_t>(fetch.generation);
    wire::Body body;
    body.__set_config(call);
    peer_links->Send(fetch.from, body);
  };
  deps.hooks.admitting = [this](Errc reason) {
    stop_reason = reason;
    LogLine(Severity::kWarning, Event::kAdmitting).With(reason);
    if (reason != Errc::kOk) {
      entry->Send(EntryPosted{StopAdmitting{reason}});
    } else if (!is_refusing) {
      entry->Send(EntryPosted{ResumeAdmitting{}});
    }
  };
  return deps;
}

}  // namespace comfreyflow::node
