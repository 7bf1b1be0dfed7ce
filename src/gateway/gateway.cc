// Joins listener, relays, peers and placement.
#include "gateway/gateway.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "comfreyflow/addresses.h"
#include "comfreyflow/announced-document.h"
#include "comfreyflow/holder.h"
#include "gateway/relay.h"
#include "http/client.h"
#include "http/server.h"
#include "node/clock.h"
#include "node/log.h"

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
/// While a host stops: new requests are taken for this share of the time, and
/// streams for the first part of it only, as they last.
constexpr double kAcceptShare = 0.8;
constexpr double kStreamShare = 0.4;
/// Work that is still under way after this share of the time to stop is cut;
/// the process is gone well before it is ended by force.
constexpr double kExitShare = 8.0 / 9;
/// Callers keep an address answer for a few seconds; with nothing open for so
/// long after the order to stop, none comes any more.
constexpr double kLeastStopShare = 0.75;
constexpr Duration kStopTick = milliseconds(100);
constexpr Duration kFactsPeriod = milliseconds(250);
/// Addresses of an answer: enough that callers find one that works, and few
/// enough that large hosts get more of them.
constexpr std::size_t kAddressesOfAnswer = 16;
/// The store's own word on a new document is waited for so long before a peer
/// is asked; in a large fleet each would be asked by all.
constexpr Duration kStoreFirst = milliseconds(700);
/// Hosts of a fleet ask at different times within this.
constexpr Duration kAskSpread = milliseconds(400);

PlacerSettings WithSeed(const GatewaySettings& settings) {
  PlacerSettings placer = settings.placer;
  const auto& name = settings.self.name.value;
  placer.seed = XXH3_64bits(name.data(), name.size());
  return placer;
}

Duration PatienceOf(const HostName& host) {
  const auto hash = XXH3_64bits(host.value.data(), host.value.size());
  return kStoreFirst +
         Duration(static_cast<Duration::rep>(hash % kAskSpread.count()));
}

std::function<std::uint64_t()> ListVersion(const GatewayHooks& hooks) {
  if (!hooks.targets_known) return nullptr;
  return [known = hooks.targets_known] { return known().version; };
}

double SecondsSince(Time time) {
  return std::chrono::duration<double>(Now() - time).count();
}

}  // namespace

struct Gateway::State : std::enable_shared_from_this<State> {
  State(asio::io_context& io, GatewaySettings given, GatewayHooks given_hooks)
      : io(io),
        settings(std::move(given)),
        hooks(std::move(given_hooks)),
        client(io),
        placement(
            io, {settings.self.name, settings.self.incarnation,
                 settings.self.failure_domain, settings.placement, settings.key,
                 WithSeed(settings), ListVersion(hooks), hooks.target_marked}),
        relays{io,
               client,
               placement,
               hooks.edge,
               settings.self.failure_domain,
               [this] { return table; },
               [this](const CrashEvidence& evidence) { ShareCrash(evidence); },
               metrics,
               hooks.targets_known,
               [this](const LeavingReport& left, const std::string& request) {
                 if (hooks.target_left) hooks.target_left(left, request);
               }},
        peers(io,
              {settings.self, settings.seeds, settings.self.incarnation.value},
              settings.key, PeerHooks()),
        body_budget(
            std::make_shared<http::BodyBudget>(settings.body_memory_bytes)),
        callers(io, {}, CallerHooks(), body_budget),
        peer_calls(io, {}, PeerCallHooks(), body_budget),
        stop_timer(io),
        facts_timer(io),
        announced(PatienceOf(settings.self.name)) {
    relays.random.seed(settings.self.incarnation.value ^
                       std::hash<std::string>()(settings.self.name.value));
  }

  // ---- Callers ----

  http::ServerHooks CallerHooks() {
    http::ServerHooks server;
    server.admit_head = [](const http::Request&) { return Errc::kOk; };
    server.handle = [this](http::ExchangePtr exchange) {
      if (!Accepts(exchange->request())) {
        exchange->Respond(hooks.edge.write_failure(
            Errc::kDraining, {},
            hooks.edge.read_request(exchange->request()).id));
        return;
      }
      StartRelay(relays, std::move(exchange));
    };
    server.keep_connections = [this] { return !stopping; };
    server.error_response = [this](Errc code) {
      return hooks.edge.write_failure(code, {}, "");
    };
    return server;
  }

  bool Accepts(const http::Request& request) const {
    if (!stopping) return true;
    const Duration since = Now() - stop_began;
    if (since > settings.stop_time * kAcceptShare) return false;
    const auto caller = hooks.edge.read_request(request);
    const Route* route =
        table ? table->Match(caller.host, request.path) : nullptr;
    const bool streams = route != nullptr && route->kind == RouteKind::kStream;
    return !streams || since < settings.stop_time * kStreamShare;
  }

  // ---- Peers ----

  PeersHooks PeerHooks() {
    PeersHooks peer;
    peer.facts = [this] {
      return HostFacts{version(), 0, stopping, Detached(), returned};
    };
    peer.config_mark = [this] { return mark; };
    peer.changed = [this](const MemberChanged& event) {
      const bool gone = event.state == MemberState::kDead ||
                        event.state == MemberState::kLeft;
      const Incarnation next{event.record.incarnation.value + (gone ? 1 : 0)};
      placement.Forget(event.record.name, next);
      RefreshPeers();
      if (hooks.view_changed) hooks.view_changed();
    };
    peer.config_announced = [this](const ConfigAnnounced& event) {
      announced.Heard(event.config.generation, event.host, version(), Now());
      FetchAnnounced();
    };
    peer.target_marked = [this](const TargetMark& event) {
      if (hooks.target_marked) hooks.target_marked(event);
    };
    peer.suspect_marked = [this](const SuspectMark& event) {
      HearSuspect(event);
    };
    return peer;
  }

  /// Tells placement which hosts live and may hold placers.
  void RefreshPeers() {
    std::vector<HostView> views;
    std::vector<PlacementPeer> live;
    for (const auto& [name, member] : peers.members()) {
      const bool self = name == settings.self.name;
      const bool alive = member.state == MemberState::kAlive ||
                         member.state == MemberState::kSuspect;
      if (!self && !alive) continue;
      // Facts of a host that was just heard of are not known yet.
      const bool unable =
          self ? stopping || !table || !has_targets : member.facts.draining;
      views.push_back(
          {name, unable, self ? Detached() : member.facts.detached});
      live.push_back({name, member.record.peers, member.record.incarnation,
                      member.record.capacity, true,
                      self ? returned : member.facts.returned});
    }
    duties.Update(views, Now());
    returned = returned || duties.IsExcluded(settings.self.name);
    for (auto& peer : live) peer.may_hold = duties.MayHold(peer.name);
    placement.SetPeers(std::move(live));
  }

  /// Whether the store was there and does not answer any more.
  bool Detached() const { return !store_reachable && was_reachable; }

  /// Facts of members change without an event of their own.
  void WatchFacts() {
    facts_timer.expires_after(kFactsPeriod);
    facts_timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (error) return;
          self->RefreshPeers();
          self->FetchAnnounced();
          self->WatchFacts();
        });
  }

  void FetchAnnounced() {
    if (fetching) return;
    const auto host = announced.Ask(version(), store_reachable, Now());
    if (host) Fetch(*host);
  }

  void Fetch(const HostName& host) {
    const auto at = peers.members().find(host);
    if (at == peers.members().end()) return;
    fetching = true;
    http::Request request;
    request.method = "GET";
    request.path = kDocumentPath;
    http::CallOptions options;
    options.connect_timeout = kPeerTimeout;
    options.progress_timeout = kPeerTimeout;
    client.Fetch(at->second.record.peers, std::move(request), options,
                 [self = shared_from_this(), host](
                     http::CallEnd end, const http::Response& answer) {
                   self->fetching = false;
                   const bool whole =
                       end.code == Errc::kOk && answer.status == kOk;
                   LogLine(Severity::kInfo, Event::kDocumentFetched)
                       .With("host", host)
                       .With("whole", whole);
                   if (whole) self->hooks.document_from_peer(answer.body);
                 });
  }

  http::ServerHooks PeerCallHooks() {
    http::ServerHooks server;
    server.admit_head = [](const http::Request&) { return Errc::kOk; };
    server.handle = [this](const http::ExchangePtr& exchange) {
      http::Response response;
      if (exchange->request().path == kDocumentPath && table) {
        response.body = document_text;
      } else {
        response.status = kNotFound;
      }
      exchange->Respond(std::move(response));
    };
    server.error_response = [](Errc code) {
      http::Response response;
      response.status = Info(code).http_status;
      return response;
    };
    return server;
  }

  /// Peers are told how many targets a request has crashed.
  void ShareCrash(const CrashEvidence& evidence) {
    const auto crashed = relays.poison.CrashedTargets(evidence.fingerprint);
    LogLine(Severity::kWarning, Event::kCrashSuspected)
        .With("fingerprint", evidence.fingerprint)
        .With("target", evidence.target)
        .With("crashes", std::uint64_t{crashed.size()});
    peers.ShareSuspect(
        {evidence.fingerprint, static_cast<std::uint32_t>(crashed.size())});
  }

  /// A peer's count stands for as many targets, whose names do not travel.
  void HearSuspect(const SuspectMark& suspect) {
    const Time now = Now();
    std::size_t known =
        relays.poison.CrashedTargets(suspect.fingerprint).size();
    for (; known < suspect.crashes; ++known) {
      relays.poison.Heard(
          {suspect.fingerprint, {"peer-" + std::to_string(known)}}, now);
    }
  }

  std::uint64_t version() const {
    return table ? table->document().version : 0;
  }

  // ---- Planned stop ----

  void StopTick() {
    stop_timer.expires_after(kStopTick);
    stop_timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (error) return;
          const Duration since = Now() - self->stop_began;
          const bool idle = self->relays.open == 0 &&
                            self->callers.unanswered() == 0 &&
                            since > self->settings.stop_time * kLeastStopShare;
          if (!idle && since < self->settings.stop_time * kExitShare) {
            return self->StopTick();
          }
          LogLine(Severity::kInfo, Event::kStopped)
              .With("open_requests", std::uint64_t{self->relays.open})
              .With("took", std::chrono::duration_cast<milliseconds>(since));
          self->peers.Leave();
          self->hooks.stopped();
        });
  }

  asio::io_context& io;
  const GatewaySettings settings;
  const GatewayHooks hooks;
  std::shared_ptr<const RouteTable> table;
  std::string document_text;
  ConfigMark mark;
  node::Metrics metrics;
  http::Client client;
  Placement placement;
  RelayContext relays;
  Peers peers;
  std::shared_ptr<http::BodyBudget> body_budget;
  http::Server callers;
  http::Server peer_calls;
  asio::steady_timer stop_timer;
  asio::steady_timer facts_timer;
  bool fetching = false;
  AnnouncedDocument announced;
  bool has_targets = false;
  Time applied_at;  ///< When the configuration came into force.
  Time targets_at;  ///< When the list of targets changed.
  bool stopping = false;
  bool store_reachable = false;
  bool was_reachable = false;
  HolderEligibility duties;
  bool returned = false;  ///< Was cut off while most others were not.
  Time stop_began;
};

Gateway::Gateway(asio::io_context& io, GatewaySettings settings,
                 GatewayHooks hooks)
    : state_(
          std::make_shared<State>(io, std::move(settings), std::move(hooks))) {}

Gateway::~Gateway() = default;

std::error_code Gateway::Open() {
  if (const auto error =
          state_->callers.Listen(state_->settings.self.callers)) {
    return error;
  }
  if (const auto error =
          state_->peer_calls.Listen(state_->settings.self.peers)) {
    return error;
  }
  if (const auto error = state_->placement.Open()) return error;
  if (const auto error = state_->peers.Open()) return error;
  state_->RefreshPeers();
  state_->WatchFacts();
  return {};
}

bool Gateway::Apply(RouteDocument document, std::string text) {
  if (document.version <= version()) return false;
  const CallerLimits limits = document.limits;
  LogLine(Severity::kInfo, Event::kDocumentApplied)
      .With("version", document.version)
      .With("before", version())
      .With("routes", std::uint64_t{document.routes.size()})
      .With("keys", std::uint64_t{document.keys.size()});
  state_->table = std::make_shared<RouteTable>(std::move(document));
  state_->mark = {version(), XXH3_64bits(text.data(), text.size())};
  state_->document_text = std::move(text);
  state_->applied_at = Now();
  http::ServerLimits server;
  server.header_bytes = limits.header_bytes;
  server.body_bytes = limits.body_bytes;
  server.receive_timeout = limits.receive_timeout;
  server.idle_timeout = limits.idle_timeout;
  state_->callers.SetLimits(server);
  state_->placement.SetServices(state_->table->document().services);
  return true;
}

std::uint64_t Gateway::version() const { return state_->version(); }

void Gateway::SetTargets(
    const std::map<ServiceName, std::vector<PoolTarget>>& targets) {
  state_->has_targets = true;
  state_->targets_at = Now();
  state_->placement.SetTargets(targets);
}

void Gateway::ShareTarget(const TargetMark& mark) {
  state_->peers.ShareTarget(mark);
  if (mark.start != 0) state_->placement.ShareLeaving(mark);
}

void Gateway::SetStoreReachable(bool reachable) {
  state_->store_reachable = reachable;
  state_->was_reachable = state_->was_reachable || reachable;
  state_->RefreshPeers();
}

void Gateway::SetListedHosts(std::vector<ListedHost> hosts) {
  state_->peers.SetListed(std::move(hosts));
}

bool Gateway::holds_placer() const { return state_->placement.holds(); }

bool Gateway::ready() const {
  return state_->table != nullptr && state_->has_targets && !state_->stopping;
}

std::vector<std::string> Gateway::Addresses(const FailureDomain&) const {
  std::vector<WeightedHost> hosts;
  for (const auto& [name, member] : state_->peers.members()) {
    const bool self = name == state_->settings.self.name;
    if (self && !ready()) continue;
    if (!self && (member.state != MemberState::kAlive ||
                  member.facts.draining || member.facts.generation == 0)) {
      continue;
    }
    hosts.push_back(
        {member.record.callers, static_cast<double>(member.record.capacity)});
  }
  return SampleHosts(std::move(hosts), kAddressesOfAnswer,
                     state_->relays.random);
}

const std::map<HostName, Member>& Gateway::members() const {
  return state_->peers.members();
}

void Gateway::Stop() {
  if (state_->stopping) return;
  LogLine(Severity::kInfo, Event::kStopping)
      .With("open_requests", std::uint64_t{state_->relays.open});
  state_->stopping = true;
  state_->stop_began = Now();
  state_->RefreshPeers();
  state_->StopTick();
}

std::string Gateway::MetricsText(std::vector<node::Reading> more) const {
  State& state = *state_;
  const auto add = [&more](const char* name, const char* help, double value) {
    more.push_back({name, "gauge", help, {{"", value}}});
  };
  add("comfreyflow_configuration_version", "Configuration in force; 0: none.",
      static_cast<double>(version()));
  add("comfreyflow_configuration_age_seconds", "Since it came into force.",
      SecondsSince(state.applied_at));
  add("comfreyflow_targets_age_seconds", "Since the list of targets changed.",
      SecondsSince(state.targets_at));
  add("comfreyflow_store_reachable", "1 while the store answers.",
      state.store_reachable ? 1 : 0);
  add("comfreyflow_targets_resting",
      "Targets that want no request of this host for a while.",
      static_cast<double>(state.placement.resting()));
  add("comfreyflow_targets_limited",
      "Limits known here that targets named for the requests of all hosts.",
      static_cast<double>(state.placement.limited()));
  more.push_back(
      {"comfreyflow_grants_past_limits_total",
       "counter",
       "Grants while other targets had no turn left under a limit.",
       {{"", static_cast<double>(state.placement.grants_past_limits())}}});
  node::Reading waiting{"comfreyflow_placer_waiting",
                        "gauge",
                        "Requests that wait at a placer held here.",
                        {}};
  node::Reading repeats{"comfreyflow_repeats_left",
                        "gauge",
                        "Second sends that the budget still allows.",
                        {}};
  for (const auto& [service, held] : state.placement.Held()) {
    const std::string label = "service=\"" + service.value + "\"";
    waiting.values.push_back({label, static_cast<double>(held.waiting)});
    repeats.values.push_back({label, held.retries_left});
  }
  more.push_back(std::move(waiting));
  more.push_back(std::move(repeats));
  for (auto& reading : node::ProcessReadings()) {
    more.push_back(std::move(reading));
  }
  return state.metrics.Render(
      {state.relays.open, state.relays.open, state.body_budget->used()}, more);
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
              {"stopping", state_->stopping},
              {"store_reachable", state_->store_reachable},
              {"open_requests", state_->relays.open},
              {"hosts", std::move(hosts)},
              {"services", std::move(services)}};
}

std::size_t Gateway::open_requests() const { return state_->relays.open; }

}  // namespace comfreyflow::gateway
