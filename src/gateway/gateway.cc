// Connects the listeners, relays, membership and placement of a host.
#include "gateway/gateway.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "comfreyflow/addresses.h"
#include "comfreyflow/announced-document.h"
#include "comfreyflow/holder.h"
#include "comfreyflow/store-readers.h"
#include "gateway/relay.h"
#include "gateway/target-paths.h"
#include "http/client.h"
#include "http/server.h"
#include "node/clock.h"
#include "node/log.h"
#include "node/run-loop.h"

namespace comfreyflow::gateway {
namespace {

namespace asio = boost::asio;
using comfreyflow::detail::Now;
using node::Event;
using node::LogEvent;
using node::LogLine;
using node::Severity;
using std::chrono::milliseconds;

constexpr const char* kDocumentPath = "/peer/document";
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr std::chrono::milliseconds kPeerTimeout{1000};
constexpr Duration kStopTick = milliseconds(50);
constexpr Duration kFactsPollPeriod = milliseconds(250);
/// Number of addresses returned to a caller: enough for the caller to find a
/// working host, and few enough that hosts with more capacity are returned more
/// often.
constexpr std::size_t kAddressesPerAnswer = 16;
/// After a peer announced a new document, the host waits this long for the
/// store to deliver it before it requests the document from the peer. In a
/// large fleet that peer would otherwise receive requests from all hosts.
constexpr Duration kStoreDeliveryWait = milliseconds(700);
/// Hosts spread their requests for the document over this time.
constexpr Duration kDocumentRequestSpread = milliseconds(400);

PlacerSettings WithSeed(const GatewaySettings& settings) {
  PlacerSettings placer = settings.placer;
  const auto& name = settings.self.name.value;
  placer.seed = XXH3_64bits(name.data(), name.size());
  return placer;
}

Duration DocumentSpread(const HostName& host) {
  const auto hash = XXH3_64bits(host.value.data(), host.value.size());
  return Duration(
      static_cast<Duration::rep>(hash % kDocumentRequestSpread.count()));
}

double SecondsSince(Time time) {
  return std::chrono::duration<double>(Now() - time).count();
}

}  // namespace

struct Gateway::State : std::enable_shared_from_this<State> {
  State(asio::io_context& io, GatewaySettings initial_settings,
        GatewayHooks initial_hooks)
      : io(io),
        settings(std::move(initial_settings)),
        hooks(std::move(initial_hooks)),
        client(io, hooks.path),
        answer_budget(
            std::make_shared<http::BodyBudget>(settings.answer_memory_bytes)),
        placement(
            io, {settings.self.name, settings.self.incarnation,
                 settings.self.failure_domain, settings.placement, settings.key,
                 WithSeed(settings), !settings.seeds.empty(),
                 hooks.is_target_removed, hooks.target_marked,
                 [this](const HostName& sender,
                        const wire::CrashNewsMessage& news) {
                   crashes->OnNews(sender, news);
                 }}),
        paths(client, settings.self.name, settings.key, RandomSeed(),
              answer_budget, PathsHooks()),
        crashes(std::make_shared<CrashWatch>(io, RandomSeed(), CrashHooks())),
        relay_context{
            io,
            paths,
            placement,
            hooks.edge,
            settings.self.failure_domain,
            [this] { return ServedTable(); },
            *crashes,
            metrics,
            hooks.target_list_status,
            stop,
            answer_budget,
            [this](const LeavingReport& left, const std::string& request) {
              if (hooks.target_left) hooks.target_left(left, request);
            }},
        peers(io,
              {settings.self, settings.seeds, settings.self.incarnation.value},
              settings.key, PeerHooks()),
        body_budget(
            std::make_shared<http::BodyBudget>(settings.body_memory_bytes)),
        caller_server(io, {}, CallerServerHooks(), body_budget),
        peer_server(io, {}, PeerServerHooks(), body_budget),
        stop_timer(io),
        facts_timer(io),
        announced(kStoreDeliveryWait, DocumentSpread(settings.self.name)) {
    relay_context.random.seed(RandomSeed());
  }

  std::uint64_t RandomSeed() const {
    return settings.self.incarnation.value ^
           std::hash<std::string>()(settings.self.name.value);
  }

  /// The table for new requests; none while this host must not serve the one
  /// in force.
  std::shared_ptr<const RouteTable> ServedTable() {
    if (hooks.may_send && !hooks.may_send()) return nullptr;
    return announced.MustNotServe(version(), Now()) ? nullptr : table;
  }

  // ---- Callers ----

  http::ServerHooks CallerServerHooks() {
    http::ServerHooks server;
    server.admit_head = [](const http::Request&) { return Errc::kOk; };
    server.handle = [this](http::ExchangePtr exchange) {
      StartRelay(relay_context, std::move(exchange));
    };
    server.keep_connections = [this] { return !stop.is_stopping(); };
    server.error_response = [this](Errc code) {
      return hooks.edge.write_failure(code, {}, "");
    };
    return server;
  }

  // ---- Peers ----

  PeersHooks PeerHooks() {
    PeersHooks peer;
    peer.facts = [this] { return Facts(); };
    peer.config_mark = [this] { return mark; };
    peer.changed = [this](const MemberChanged& event) {
      const bool has_ended = event.state == MemberState::kDead ||
                             event.state == MemberState::kLeft;
      const Incarnation next{event.record.incarnation.value +
                             (has_ended ? 1 : 0)};
      placement.Forget(event.record.name, next);
      RefreshPeers();
      if (hooks.view_changed) hooks.view_changed();
    };
    peer.store_era = hooks.store_era;
    peer.store_era_announced = hooks.store_era_announced;
    peer.evacuations = hooks.evacuations;
    peer.evacuations_announced = hooks.evacuations_announced;
    peer.config_announced = [this](const ConfigAnnounced& event) {
      announced.OnAnnouncement(event.config.generation, event.host, version(),
                               Now());
      FetchAnnounced();
    };
    peer.target_marked = [this](const TargetMark& event) {
      if (hooks.target_marked) hooks.target_marked(event);
    };
    return peer;
  }

  /// Whether this host has what it needs to assign targets to the requests of
  /// all hosts: what it needs to serve its own callers.
  bool CanPlace() { return has_targets && ServedTable() != nullptr; }

  HostFacts Facts() {
    HostFacts facts;
    facts.generation = version();
    facts.draining = stop.is_stopping();
    facts.detached = IsDetached();
    facts.returned = was_detached;
    facts.unready = !CanPlace();
    return facts;
  }

  /// Updates the live hosts, and which of them may hold placers, for placement.
  void RefreshPeers() {
    UpdateStoreReaders();
    std::vector<HostView> views;
    std::vector<PlacementPeer> live;
    for (const auto& [name, member] : peers.members()) {
      const bool self = name == settings.self.name;
      const bool alive = member.state == MemberState::kAlive ||
                         member.state == MemberState::kSuspect;
      if (!self && !alive) continue;
      // Until the facts of a host are known, it counts as able.
      const HostFacts facts = self ? Facts() : member.facts;
      views.push_back({name, facts.draining || facts.unready, facts.detached,
                       store_readers.Reads(name) && !facts.unready});
      live.push_back({name, member.record.peers, member.record.incarnation,
                      member.record.capacity, true, facts.returned});
    }
    eligibility.Update(views, Now());
    was_detached = was_detached || eligibility.IsExcluded(settings.self.name);
    for (auto& peer : live) peer.may_hold = eligibility.MayHold(peer.name);
    placement.SetAble(CanPlace());
    placement.SetPeers(std::move(live));
  }

  /// Decides anew whether this host reads the store.
  void UpdateStoreReaders() {
    const StoreRole before = store_readers.role();
    const bool is_changed = store_readers.Update(
        peers.members(),
        {settings.self.name, placement.holds_active_placer(), IsDetached()},
        Now());
    peers.SetStoreReaders(store_readers.attached_readers());
    if (!is_changed) return;
    LogLine(Severity::kInfo, Event::kStoreRole)
        .With("role", ToString(store_readers.role()))
        .With("hosts", std::uint64_t{store_readers.hosts()})
        .With("readers", std::uint64_t{store_readers.readers().size()});
    if (before == StoreRole::kPassive && hooks.store_reading_started)
      hooks.store_reading_started();
  }

  /// Whether the store was reachable before and is not now.
  bool IsDetached() const { return !store_reachable && was_store_reachable; }

  /// Polls the facts of members, because their changes raise no event.
  void PollFacts() {
    facts_timer.expires_after(kFactsPollPeriod);
    facts_timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (error) return;
          const node::AtExit poll([&self] { self->PollFacts(); });
          self->RefreshPeers();
          self->FetchAnnounced();
          self->client.CloseExpired();
        });
  }

  void FetchAnnounced() {
    if (is_fetching) return;
    const auto host =
        announced.PeerToAsk(version(), store_reachable,
                            store_readers.role() == StoreRole::kPassive, Now());
    if (host) Fetch(*host);
  }

  void Fetch(const HostName& host) {
    const auto at = peers.members().find(host);
    if (at == peers.members().end()) return;
    is_fetching = true;
    http::Request request;
    request.method = "GET";
    request.path = kDocumentPath;
    http::CallOptions options;
    options.connect_timeout = kPeerTimeout;
    options.progress_timeout = kPeerTimeout;
    client.Fetch(at->second.record.peers, std::move(request), options,
                 [self = shared_from_this(), host](
                     http::CallEnd end, const http::Response& answer) {
                   self->is_fetching = false;
                   const bool is_complete =
                       end.code == Errc::kOk && answer.status == kOk;
                   LogLine(Severity::kInfo, Event::kDocumentFetched)
                       .With("host", host)
                       .With("whole", is_complete);
                   if (is_complete) self->hooks.document_from_peer(answer.body);
                 });
  }

  /// Each copy counts until it was written, as a peer may read it slowly.
  void ServeDocument(const http::ExchangePtr& exchange) {
    http::Response response;
    response.lease = std::make_shared<http::BodyLease>(answer_budget->Lease());
    if (response.lease->GrowTo(document_text.size())) {
      response.body = document_text;
    } else {
      response.status = Info(Errc::kOverloaded).http_status;
    }
    exchange->Respond(std::move(response));
  }

  http::ServerHooks PeerServerHooks() {
    http::ServerHooks server;
    server.admit_head = [](const http::Request&) { return Errc::kOk; };
    server.handle = [this](const http::ExchangePtr& exchange) {
      const std::string& path = exchange->request().path;
      if (path == kCarryPath) return paths.Carry(exchange);
      if (path == kReachPath) return paths.AnswerOther(exchange);
      if (path == kDocumentPath && table) return ServeDocument(exchange);
      http::Response response;
      response.status = kNotFound;
      exchange->Respond(std::move(response));
    };
    server.error_response = [](Errc code) {
      http::Response response;
      response.status = Info(code).http_status;
      return response;
    };
    return server;
  }

  bool MayCarry(const HostName& name, const Member& member) const {
    return name != settings.self.name && !member.facts.draining &&
           member.state == MemberState::kAlive;
  }

  TargetPathsHooks PathsHooks() {
    TargetPathsHooks path;
    path.carriers = [this] {
      std::vector<CarrierHost> carriers;
      for (const auto& [name, member] : peers.members()) {
        if (MayCarry(name, member)) {
          carriers.push_back(
              {name, member.record.peers, member.record.capacity});
        }
      }
      return carriers;
    };
    path.has_carriers = [this] {
      const auto& members = peers.members();
      return std::any_of(members.begin(), members.end(), [this](const auto& m) {
        return MayCarry(m.first, m.second);
      });
    };
    path.accepts = [this](const ServiceName& service,
                          const std::string& address) {
      return placement.FindAccepting(service, address).has_value();
    };
    path.id_of = [this](const http::Request& request) {
      return hooks.edge.read_request(request).id;
    };
    path.owner = [this](const http::Response& head,
                        const std::string& request_id) {
      return OwnerOf(hooks.edge.read_head(head), request_id);
    };
    path.answer_carried = [this](const ServiceName& service,
                                 const std::string& address,
                                 const http::Response& head) {
      const TargetHead report = hooks.edge.read_head(head);
      const auto target = placement.FindAccepting(service, address);
      if (!report.back_off || !target) return;
      placement.BackOffReported(service, *target, *report.back_off);
    };
    path.may_carry = [this] { return !stop.is_stopping(); };
    return path;
  }

  CrashWatchHooks CrashHooks() {
    CrashWatchHooks crash;
    crash.hosts = [this] { return placement.OtherHosts(); };
    crash.send = [this](const wire::CrashNewsMessage& news,
                        const std::vector<HostName>& hosts) {
      placement.SendCrashNews(news, hosts);
    };
    crash.may_try = [this](const ServiceName& service) {
      return placement.HolderOf(service) == settings.self.name;
    };
    crash.ask_other = [this](const ServiceName& service,
                             const std::string& address,
                             std::function<void(bool)> hook) {
      paths.AskOther(service, address, std::move(hook));
    };
    crash.path = hooks.path;
    return crash;
  }

  std::uint64_t version() const {
    return table ? table->document().version : 0;
  }

  // ---- Planned stop ----

  void BeginStop() {
    stop.Begin(Now());
    RefreshPeers();
    ForEachOpen(&OpenRequest::OnStopTick);
    caller_server.CloseIdle();
    StopTick();
  }

  /// Calls `action` for each open request. It may end others, too.
  void ForEachOpen(void (OpenRequest::*action)()) {
    auto& open = relay_context.open_requests;
    for (auto* request : std::vector(open.begin(), open.end())) {
      if (open.contains(request)) (request->*action)();
    }
  }

  void StopTick() {
    stop_timer.expires_after(kStopTick);
    stop_timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error) self->AdvanceStop(Now());
        });
  }

  void AdvanceStop(Time now) {
    const bool is_idle =
        relay_context.open_requests.empty() && caller_server.unanswered() == 0;
    // The memory of helpers is released by calls that follow the answers.
    const bool is_done = is_closed && is_idle && client.open_calls() == 0;
    if (now >= stop.ExitBy() || is_done) return Exit(now);
    if (now >= stop.AnswerBy() || (is_idle && now >= stop.IdleFrom())) Close();
    if (!is_closed) ForEachOpen(&OpenRequest::OnStopTick);
    StopTick();
  }

  /// Answers what is open. Connections that come from now on are refused, and
  /// requests that were read meanwhile are answered before the exit.
  void Close() {
    if (std::exchange(is_closed, true)) return;
    caller_server.Close();
    caller_server.CloseIdle();
    ForEachOpen(&OpenRequest::OnStopEnding);
  }

  void Exit(Time now) {
    LogLine(Severity::kInfo, Event::kStopped)
        .With("open_requests",
              std::uint64_t{relay_context.open_requests.size()})
        .With("unanswered", std::uint64_t{caller_server.unanswered()})
        .With("took",
              std::chrono::duration_cast<milliseconds>(stop.Elapsed(now)));
    peers.Leave();
    hooks.stopped();
  }

  asio::io_context& io;
  const GatewaySettings settings;
  const GatewayHooks hooks;
  StopPlan stop{settings.stop_time};
  std::shared_ptr<const RouteTable> table;
  std::string document_text;
  ConfigMark mark;
  node::Metrics metrics;
  http::Client client;
  std::shared_ptr<http::BodyBudget> answer_budget;
  Placement placement;
  TargetPaths paths;
  std::shared_ptr<CrashWatch> crashes;
  RelayContext relay_context;
  Peers peers;
  std::shared_ptr<http::BodyBudget> body_budget;
  http::Server caller_server;
  http::Server peer_server;
  asio::steady_timer stop_timer;
  asio::steady_timer facts_timer;
  bool is_fetching = false;
  AnnouncedDocument announced;
  bool has_targets = false;
  Time applied_at;          ///< When the current configuration came into force.
  Time targets_changed_at;  ///< When the target list last changed.
  bool is_closed = false;   ///< Open requests were answered to stop.
  bool store_reachable = false;
  bool was_store_reachable = false;
  HolderEligibility eligibility;
  StoreReaderChoice store_readers;
  /// This host lost the store while most other hosts kept it.
  bool was_detached = false;
};

Gateway::Gateway(asio::io_context& io, GatewaySettings settings,
                 GatewayHooks hooks)
    : state_(
          std::make_shared<State>(io, std::move(settings), std::move(hooks))) {}

Gateway::~Gateway() { state_->crashes->Stop(); }

std::error_code Gateway::Open() {
  if (const auto error =
          state_->caller_server.Listen(state_->settings.self.callers)) {
    return error;
  }
  if (const auto error =
          state_->peer_server.Listen(state_->settings.self.peers)) {
    return error;
  }
  if (const auto error = state_->placement.Open()) return error;
  state_->crashes->Start();
  if (const auto error = state_->peers.Open()) return error;
  state_->RefreshPeers();
  state_->PollFacts();
  return {};
}

bool Gateway::Apply(RouteDocument document, std::string text) {
  if (document.version <= version()) return false;
  const CallerLimits limits = document.limits;
  LogLine(Severity::kInfo, Event::kDocumentApplied)
      .With("version", document.version)
      .With("before", version())
      .With("routes", std::uint64_t{document.routes.size()})
      .With("keys", std::uint64_t{document.keys.size()})
      .With("shared_keys", std::uint64_t{document.shared_keys});
  state_->table = std::make_shared<RouteTable>(std::move(document));
  state_->mark = {version(), XXH3_64bits(text.data(), text.size())};
  state_->document_text = std::move(text);
  state_->applied_at = Now();
  http::ServerLimits server;
  server.header_bytes = limits.header_bytes;
  server.body_bytes = limits.body_bytes;
  server.receive_timeout = limits.receive_timeout;
  server.idle_timeout = limits.idle_timeout;
  state_->caller_server.SetLimits(server);
  state_->placement.SetServices(state_->table->document().services);
  return true;
}

std::uint64_t Gateway::version() const { return state_->version(); }

void Gateway::SetTargets(
    const std::map<ServiceName, std::vector<PoolTarget>>& targets) {
  const bool is_first = !std::exchange(state_->has_targets, true);
  state_->targets_changed_at = Now();
  state_->placement.SetTargets(targets);
  std::set<std::string> addresses;
  for (const auto& [service, pool] : targets) {
    for (const auto& target : pool) addresses.insert(target.address);
  }
  state_->client.SetListed(addresses);
  if (is_first) state_->RefreshPeers();
}

void Gateway::ShareTarget(const TargetMark& mark) {
  state_->peers.ShareTarget(mark);
  if (mark.start != 0) state_->placement.BroadcastLeaving(mark);
}

void Gateway::SetStoreReachable(bool reachable) {
  state_->store_reachable = reachable;
  state_->was_store_reachable = state_->was_store_reachable || reachable;
  state_->RefreshPeers();
}

void Gateway::SetListedHosts(std::vector<ListedHost> hosts) {
  state_->peers.SetListed(std::move(hosts));
}

StoreRole Gateway::store_role() const { return state_->store_readers.role(); }

bool Gateway::holds_placer() const {
  return state_->placement.holds_active_placer();
}

bool Gateway::ready() const {
  return state_->CanPlace() && !state_->stop.is_stopping();
}

std::vector<std::string> Gateway::Addresses(const FailureDomain&) const {
  std::vector<WeightedHost> hosts;
  for (const auto& [name, member] : state_->peers.members()) {
    const bool self = name == state_->settings.self.name;
    if (self && !ready()) continue;
    if (!self &&
        (member.state != MemberState::kAlive || member.facts.draining ||
         member.facts.unready || member.facts.generation == 0)) {
      continue;
    }
    hosts.push_back(
        {member.record.callers, static_cast<double>(member.record.capacity)});
  }
  return SampleHosts(std::move(hosts), kAddressesPerAnswer,
                     state_->relay_context.random);
}

const std::map<HostName, Member>& Gateway::members() const {
  return state_->peers.members();
}

void Gateway::Stop() {
  if (state_->stop.is_stopping()) return;
  LogLine(Severity::kInfo, Event::kStopping)
      .With("open_requests",
            std::uint64_t{state_->relay_context.open_requests.size()});
  state_->BeginStop();
}

std::string Gateway::MetricsText(std::vector<node::MetricFamily> more) const {
  State& state = *state_;
  const auto add = [&more](const char* name, const char* help, double value) {
    more.push_back({name, "gauge", help, {{"", value}}});
  };
  add("comfreyflow_configuration_version",
      "Version of the configuration in force, or 0 if there is none.",
      static_cast<double>(version()));
  add("comfreyflow_configuration_age_seconds",
      "Time since the current configuration came into force.",
      SecondsSince(state.applied_at));
  add("comfreyflow_targets_age_seconds",
      "Time since the target list last changed.",
      SecondsSince(state.targets_changed_at));
  add("comfreyflow_store_reachable", "1 if the store answers, otherwise 0.",
      state.store_reachable ? 1 : 0);
  add("comfreyflow_targets_resting",
      "Targets that currently ask this host to back off.",
      static_cast<double>(state.placement.targets_backing_off()));
  add("comfreyflow_targets_limited",
      "Limits known to this host that targets set for the requests of all "
      "hosts.",
      static_cast<double>(state.placement.limited_targets()));
  add("comfreyflow_targets_cold",
      "Targets that are cold: they bear fewer requests a second for a while.",
      static_cast<double>(state.placement.cold_targets()));
  const auto& crashes = *state.crashes;
  add("comfreyflow_crash_verdicts",
      "Verdicts on requests that crash targets and are not sent.",
      static_cast<double>(crashes.ledger().verdicts().size()));
  add("comfreyflow_answer_memory_bytes",
      "Memory that answers of targets take on their way to callers.",
      static_cast<double>(state.answer_budget->used()));
  const auto count = [&more](const char* name, const char* help,
                             std::uint64_t value) {
    more.push_back({name, "counter", help, {{"", static_cast<double>(value)}}});
  };
  count("comfreyflow_crashes_confirmed_total",
        "Crashes of targets that this host saw and confirmed.",
        crashes.confirmed());
  count("comfreyflow_crashes_unconfirmed_total",
        "Broken connections to targets that did not turn out to be crashes.",
        crashes.unconfirmed());
  count("comfreyflow_crash_refusals_total",
        "Requests that were not sent because they crash targets.",
        crashes.refused());
  add("comfreyflow_services_out_of_reach",
      "Services whose targets this host does not reach by itself.",
      static_cast<double>(state.paths.services_out_of_reach()));
  add("comfreyflow_carrying",
      "Requests of other hosts that this host sends to targets now.",
      static_cast<double>(state.paths.carrying()));
  count("comfreyflow_carried_by_others_total",
        "Attempts of this host that other hosts sent to targets.",
        state.paths.carried_by_others());
  count("comfreyflow_carried_for_others_total",
        "Requests of other hosts that this host sent to targets.",
        state.paths.carried_for_others());
  more.push_back(
      {"comfreyflow_grants_past_limits_total",
       "counter",
       "Grants made while other targets had no permit left under a rate limit.",
       {{"", static_cast<double>(state.placement.grants_past_limits())}}});
  node::MetricFamily waiting{"comfreyflow_placer_waiting",
                             "gauge",
                             "Requests that wait at a placer on this host.",
                             {}};
  node::MetricFamily retries{"comfreyflow_repeats_left",
                             "gauge",
                             "Retries that the retry budget still allows.",
                             {}};
  for (const auto& [service, held] : state.placement.PlacerSummaries()) {
    const std::string label = "service=\"" + service.value + "\"";
    waiting.values.push_back({label, static_cast<double>(held.waiting)});
    retries.values.push_back({label, held.retries_left});
  }
  more.push_back(std::move(waiting));
  more.push_back(std::move(retries));
  node::MetricFamily decisions{
      "comfreyflow_queue_decisions_total",
      "counter",
      "Requests that the cost-aware queues on this host let wait, deferred or "
      "refused, by the measure by which others were preferred.",
      {}};
  for (const auto& [kind, number] : state.placement.queue_decisions()) {
    decisions.values.push_back({std::string("outcome=\"") +
                                    ToString(kind.first) + "\",by=\"" +
                                    ToString(kind.second) + "\"",
                                static_cast<double>(number)});
  }
  if (!decisions.values.empty()) more.push_back(std::move(decisions));
  for (auto& reading : node::ProcessMetrics()) {
    more.push_back(std::move(reading));
  }
  return state.metrics.Render(
      {state.relay_context.open_requests.size(),
       state.relay_context.open_requests.size(), state.body_budget->used()},
      more);
}

nlohmann::ordered_json Gateway::Dump() const {
  using Json = nlohmann::ordered_json;
  Json hosts = Json::array();
  for (const auto& [name, member] : state_->peers.members()) {
    hosts.push_back({{"name", name.value},
                     {"state", ToString(member.state)},
                     {"generation", member.facts.generation},
                     {"draining", member.facts.draining},
                     {"detached", member.facts.detached},
                     {"unready", member.facts.unready},
                     {"capacity", member.record.capacity}});
  }
  Json services = Json::object();
  if (state_->table) {
    for (const auto& [name, service] : state_->table->document().services) {
      Json targets = Json::array();
      for (const auto& load : state_->placement.Loads(name)) {
        targets.push_back({{"name", load.name.value},
                           {"running", load.running},
                           {"short_streams", load.shorts},
                           {"long_reads", load.long_prefills},
                           {"memory_tokens", load.memory},
                           {"failures", load.failures},
                           {"pace", load.pace},
                           {"leaving", load.leaving}});
        if (load.evacuated) targets.back()["evacuated"] = true;
        if (load.limit) targets.back()["limit_per_second"] = *load.limit;
      }
      services[name.value] = {
          {"holder", state_->placement.HolderOf(name).value},
          {"targets", std::move(targets)}};
    }
  }
  return Json{{"host", state_->settings.self.name.value},
              {"version", version()},
              {"ready", ready()},
              {"stopping", state_->stop.is_stopping()},
              {"store_reachable", state_->store_reachable},
              {"open_requests", state_->relay_context.open_requests.size()},
              {"hosts", std::move(hosts)},
              {"services", std::move(services)}};
}

std::size_t Gateway::open_requests() const {
  return state_->relay_context.open_requests.size();
}

}  // namespace comfreyflow::gateway
