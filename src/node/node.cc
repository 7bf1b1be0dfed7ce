// Starts and stops the components of a host process.
#include "node/node.h"

#include <fstream>
#include <sstream>
#include <utility>

#include "node/log.h"
#include "node/node-state.h"
#include "node/run-loop.h"
#include "node/timer-service.h"

namespace comfreyflow::node {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr std::uint64_t kAdminBodyBytes = 2 * 1024 * 1024;
constexpr std::uint64_t kPeerMemoryBytes = 64 * 1024 * 1024;
constexpr std::uint64_t kAdminMemoryBytes = 16 * 1024 * 1024;
constexpr std::size_t kActorThreads = 2;

milliseconds Milliseconds(Duration time) {
  return std::chrono::duration_cast<milliseconds>(time);
}

http::ServerLimits CallerLimits(const HostSettings& settings) {
  http::ServerLimits limits;
  limits.header_bytes = settings.header_bytes;
  limits.body_bytes = settings.body_bytes;
  limits.receive_timeout = Milliseconds(settings.receive_timeout);
  limits.idle_timeout = Milliseconds(settings.idle_timeout);
  limits.write_timeout = Milliseconds(settings.write_timeout);
  return limits;
}

http::ServerLimits AdminLimits() {
  http::ServerLimits limits;
  limits.body_bytes = kAdminBodyBytes;
  return limits;
}

http::Response PlainError(Errc code) { return ErrorResponse(FailureOf(code)); }

}  // namespace

caf::actor_system_config ActorConfig() {
  caf::actor_system_config config;
  config.set("scheduler.max-threads", kActorThreads);
  config.set("logger.verbosity", caf::atom("quiet"));
  return config;
}

std::error_code ReadSecret(const std::string& file, std::string& out) {
  std::ifstream stream(file);
  std::ostringstream text;
  if (!stream || !(text << stream.rdbuf())) {
    return std::make_error_code(std::errc::io_error);
  }
  std::string secret = text.str();
  const auto first = secret.find_first_not_of(" \t\r\n");
  const auto last = secret.find_last_not_of(" \t\r\n");
  if (first == std::string::npos || last - first + 1 < kMinSecretBytes) {
    return Errc::kSettingsInvalid;
  }
  out = secret.substr(first, last - first + 1);
  return {};
}

std::error_code Node::State::StartTls() {
  if (settings().certificate_file.empty()) return {};
  tls = std::make_unique<http::TlsFiles>(settings().certificate_file,
                                         settings().key_file);
  bool changed = false;
  return tls->Reload(changed);
}

std::error_code Node::State::StartServers() {
  caller_api = std::make_unique<CallerApi>(MakeCallerDeps());
  http::ServerHooks hooks;
  hooks.admit_head = [this](const auto& head) {
    return caller_api->AdmitHead(head);
  };
  hooks.handle = [this](const auto& exchange) { caller_api->Handle(exchange); };
  hooks.error_response = [this](Errc code) { return caller_api->Error(code); };
  // Callers of a stopping host look for another one before their next request.
  hooks.keep_connections = [this] { return !is_draining; };
  http::Server::TlsSource source;
  if (tls) source = [this] { return tls->context(); };
  callers = std::make_unique<http::Server>(io, CallerLimits(settings()),
                                           std::move(hooks), bodies, source);
  admin_api = std::make_unique<AdminApi>(MakeAdminDeps());
  http::ServerHooks admin_hooks;
  admin_hooks.admit_head = [this](const auto& head) {
    return admin_api->AdmitHead(head);
  };
  admin_hooks.handle = [this](const auto& exchange) {
    admin_api->Handle(exchange);
  };
  admin_hooks.error_response = PlainError;
  admin = std::make_unique<http::Server>(
      io, AdminLimits(), std::move(admin_hooks),
      std::make_shared<http::BodyBudget>(kAdminMemoryBytes));
  if (const auto error = callers->Listen(settings().callers)) return error;
  if (const auto error = admin->Listen(settings().admin)) return error;
  return StartPeers();
}

std::error_code Node::State::StartPeers() {
  peer_links = std::make_unique<PeerLinks>(MakePeerDeps());
  http::ServerHooks hooks;
  hooks.admit_head = [this](const auto& head) {
    return peer_links->AdmitHead(head);
  };
  hooks.handle = [this](const auto& exchange) { peer_links->Handle(exchange); };
  hooks.error_response = PlainError;
  http::ServerLimits limits;
  limits.body_bytes = wire::kMaxMessageBytes;
  peers = std::make_unique<http::Server>(
      io, limits, std::move(hooks),
      std::make_shared<http::BodyBudget>(kPeerMemoryBytes));
  gossip = std::make_shared<GossipSocket>(
      io, wire::FleetKey{options.fleet_key},
      [this](const Datagram& datagram, const std::string& from) {
        membership->Send(DatagramArrived{datagram, from});
      });
  if (const auto error = peers->Listen(settings().peers)) return error;
  if (const auto error = gossip->Open(settings().gossip)) return error;
  gossip->Start();
  return {};
}

void Node::State::StartActors() {
  std::vector<ChildSpec> children;
  children.push_back({kTimerName, timer, [](caf::actor_system& all) {
                        return all.spawn<TimerService>();
                      }});
  children.push_back({"entry", entry, [this](caf::actor_system& all) {
                        return all.spawn<EntryActor>(MakeEntryDeps());
                      }});
  children.push_back({"membership", membership, [this](caf::actor_system& all) {
                        return all.spawn<MembershipActor>(MakeMembershipDeps());
                      }});
  children.push_back({"steward", steward, [this](caf::actor_system& all) {
                        return all.spawn<StewardActor>(MakeStewardDeps());
                      }});
  if (!settings().platform.empty()) StartPlatform(children);
  supervisor = system.spawn<Supervisor>(std::move(children), [this] {
    if (!exit_reported.exchange(true)) options.on_exit(1);
  });
}

void Node::State::StartPlatform(std::vector<ChildSpec>& children) {
  PlatformSettings platform_settings;
  platform_settings.address = settings().platform;
  platform = std::make_unique<PlatformClient>(io, client, platform_settings);
  children.push_back({"claims", claims, [this](caf::actor_system& all) {
                        return all.spawn<ClaimActor>(MakeClaimDeps());
                      }});
  children.push_back({"config", config_actor, [this](caf::actor_system& all) {
                        return all.spawn<ConfigActor>(MakeConfigDeps());
                      }});
  children.push_back({"orders", orders, [this](caf::actor_system& all) {
                        return all.spawn<OrdersActor>(MakeOrdersDeps());
                      }});
}

void Node::State::StartThreads() {
  work.emplace(asio::make_work_guard(io));
  for (std::uint32_t i = 0; i < settings().io_threads; ++i) {
    threads.emplace_back([this] { RunLoop(io); });
  }
}

std::error_code Node::State::LoadConfigFile() {
  if (settings().config_file.empty()) return {};
  std::ifstream stream(settings().config_file);
  std::ostringstream text;
  if (!stream || !(text << stream.rdbuf())) {
    return std::make_error_code(std::errc::io_error);
  }
  auto parsed = ParseConfig(text.str());
  for (const auto& problem : parsed.problems) {
    LogLine(Severity::kError, Event::kConfigProblem)
        .With("problem", ToString(problem));
  }
  if (!parsed.ok()) return Errc::kConfigInvalid;
  auto next = std::make_shared<ConfigGeneration>();
  next->generation = 1;
  next->text = text.str();
  next->hash = Sha256(next->text).value;
  next->digest = HashOf(parsed.config);
  next->config = std::move(parsed.config);
  ApplyConfig(next);
  return {};
}

void Node::State::ApplyConfig(const ConfigPtr& next) {
  const auto before = config->current();
  if (!config->Set(next)) return;
  LogLine(Severity::kInfo, Event::kConfigApplied)
      .With("generation", next->generation)
      .With("hash", next->hash);
  for (const auto& target : Targets()) {
    entry->Send(EntryPosted{TargetUpdated{target}});
  }
  PublishAssignments();
  if (!before) return;
  for (const auto& [name, target] : before->config.targets) {
    if (next->config.targets.count(name) == 0) {
      entry->Send(EntryPosted{TargetRemoved{name}});
    }
  }
}

void Node::State::Stop() {
  if (callers) callers->Close();
  if (admin) admin->Close();
  if (peers) peers->Close();
  if (gossip) gossip->Close();
  if (supervisor)
    caf::anon_send_exit(supervisor, caf::exit_reason::user_shutdown);
  supervisor = {};
  system.await_all_actors_done();
  work.reset();
  io.stop();
  for (auto& thread : threads) thread.join();
  threads.clear();
}

Node::Node(NodeOptions options)
    : state_(std::make_unique<State>(std::move(options))) {}

Node::~Node() { state_->Stop(); }

std::error_code Node::Start() {
  if (const auto error = state_->StartTls()) return error;
  if (const auto error = state_->StartServers()) return error;
  state_->StartActors();
  if (const auto error = state_->LoadConfigFile()) return error;
  state_->ScheduleLoads();
  state_->StartThreads();
  LogLine(Severity::kInfo, Event::kHostStarted)
      .With("host", state_->settings().name)
      .With("failure_domain", state_->settings().failure_domain)
      .With("incarnation", state_->incarnation.value);
  return {};
}

void Node::Drain() { state_->StartDrain(); }

void Node::ReloadTls() {
  if (!state_->tls) return;
  bool changed = false;
  if (const auto error = state_->tls->Reload(changed)) {
    LogLine(Severity::kError, Event::kTlsReloadFailed)
        .With("reason", error.message());
  } else if (changed) {
    LogEvent(Severity::kInfo, Event::kTlsReloaded);
  }
}

NodePorts Node::ports() const {
  NodePorts ports;
  ports.callers = state_->callers->port();
  ports.peers = state_->peers->port();
  ports.gossip = state_->gossip->port();
  ports.admin = state_->admin->port();
  return ports;
}

}  // namespace comfreyflow::node
