// Puts a host process together.
#include "node/node.h"

#include <atomic>
#include <boost/asio.hpp>
#include <caf/all.hpp>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include "comfreyflow/resume.h"
#include "http/address.h"
#include "http/client.h"
#include "http/server.h"
#include "http/tls.h"
#include "node/admin-api.h"
#include "node/caller-api.h"
#include "node/clock.h"
#include "node/config-view.h"
#include "node/entry-actor.h"
#include "node/log.h"
#include "node/metrics.h"
#include "node/supervisor.h"
#include "node/timer-service.h"

namespace comfreyflow::node {
namespace {

namespace asio = boost::asio;
using Json = nlohmann::ordered_json;
using std::chrono::milliseconds;

constexpr std::uint64_t kAdminBodyBytes = 2 * 1024 * 1024;
constexpr std::uint64_t kAdminMemoryBytes = 16 * 1024 * 1024;
/// A caller may continue its stream this long after the deadline's start.
constexpr milliseconds kResumeWindow{15'000};
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

std::vector<TargetInfo> AllTargets(const Config& config) {
  std::vector<TargetInfo> all;
  for (const auto& [name, service] : config.services) {
    for (auto& target : TargetsOf(config, name)) {
      all.push_back(std::move(target));
    }
  }
  return all;
}

caf::actor_system_config ActorConfig() {
  caf::actor_system_config config;
  config.set("scheduler.max-threads", kActorThreads);
  config.set("logger.verbosity", caf::atom("quiet"));
  return config;
}

}  // namespace

std::error_code ReadSecret(const std::string& file, std::string& out) {
  std::ifstream stream(file);
  std::ostringstream text;
  if (!stream || !(text << stream.rdbuf())) {
    return std::make_error_code(std::errc::io_error);
  }
  std::string secret = text.str();
  const auto first = secret.find_first_not_of(" \t\r\n");
  const auto last = secret.find_last_not_of(" \t\r\n");
  if (first == std::string::npos || last - first + 1 < kLeastSecretBytes) {
    return Errc::kSettingsInvalid;
  }
  out = secret.substr(first, last - first + 1);
  return {};
}

struct Node::State {
  explicit State(NodeOptions all)
      : options(std::move(all)),
        incarnation(comfreyflow::detail::IncarnationFromClock()),
        config(std::make_shared<ConfigView>()),
        bodies(std::make_shared<http::BodyBudget>(
            options.settings.body_memory_bytes)),
        client(io),
        system_config(ActorConfig()),
        system(system_config) {}

  const HostSettings& settings() const { return options.settings; }

  std::error_code StartTls();
  std::error_code StartServers();
  void StartActors();
  void StartThreads();
  std::error_code LoadConfigFile();
  void ApplyConfig(const ConfigPtr& next);
  void Stop();
  CallerApiDeps CallerDeps();
  AdminDeps MakeAdminDeps();
  EntryDeps MakeEntryDeps();
  std::string SignResume(const Call& call, const AttemptId& attempt,
                         const TargetName& target) const;
  Json Status() const;
  const char* StateName() const;

  const NodeOptions options;
  const Incarnation incarnation;
  asio::io_context io;
  std::optional<asio::executor_work_guard<asio::io_context::executor_type>>
      work;
  std::shared_ptr<ConfigView> config;
  std::shared_ptr<http::BodyBudget> bodies;
  Metrics metrics;
  http::Client client;
  std::unique_ptr<http::TlsFiles> tls;
  std::unique_ptr<CallerApi> caller_api;
  std::unique_ptr<AdminApi> admin_api;
  std::unique_ptr<http::Server> callers;
  std::unique_ptr<http::Server> admin;
  caf::actor_system_config system_config;
  caf::actor_system system;
  ActorRefPtr entry = std::make_shared<ActorRef>();
  ActorRefPtr timer = std::make_shared<ActorRef>();
  caf::actor supervisor;
  std::vector<std::thread> threads;
  std::atomic<std::size_t> open_requests = 0;
  std::atomic<std::size_t> open_attempts = 0;
  std::atomic<bool> draining = false;
  std::atomic<bool> exit_told = false;
};

std::error_code Node::State::StartTls() {
  if (settings().certificate_file.empty()) return {};
  tls = std::make_unique<http::TlsFiles>(settings().certificate_file,
                                         settings().key_file);
  bool changed = false;
  return tls->Reload(changed);
}

std::error_code Node::State::StartServers() {
  caller_api = std::make_unique<CallerApi>(CallerDeps());
  http::ServerHooks hooks;
  hooks.admit_head = [this](const auto& head) {
    return caller_api->AdmitHead(head);
  };
  hooks.handle = [this](const auto& exchange) { caller_api->Handle(exchange); };
  hooks.error_response = [this](Errc code) { return caller_api->Error(code); };
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
  return admin->Listen(settings().admin);
}

void Node::State::StartActors() {
  std::vector<ChildSpec> children;
  children.push_back({kTimerName, timer, [](caf::actor_system& all) {
                        return all.spawn<TimerService>();
                      }});
  children.push_back({"entry", entry, [this](caf::actor_system& all) {
                        return all.spawn<EntryActor>(MakeEntryDeps());
                      }});
  supervisor = system.spawn<Supervisor>(std::move(children), [this] {
    if (!exit_told.exchange(true)) options.on_exit(1);
  });
}

void Node::State::StartThreads() {
  work.emplace(asio::make_work_guard(io));
  for (std::uint32_t i = 0; i < settings().io_threads; ++i) {
    threads.emplace_back([this] { io.run(); });
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
    LogLine(Severity::kError, "config_problem")
        .With("problem", ToString(problem));
  }
  if (!parsed.ok()) return Errc::kConfigInvalid;
  auto next = std::make_shared<ConfigGeneration>();
  next->generation = 1;
  next->text = text.str();
  next->hash = Sha256(next->text).value;
  next->config = std::move(parsed.config);
  ApplyConfig(next);
  return {};
}

void Node::State::ApplyConfig(const ConfigPtr& next) {
  const auto before = config->current();
  if (!config->Set(next)) return;
  LogLine(Severity::kInfo, "config_applied")
      .With("generation", next->generation)
      .With("hash", next->hash);
  for (const auto& target : AllTargets(next->config)) {
    entry->Send(EntryPosted{TargetSeen{target}});
  }
  if (!before) return;
  for (const auto& [name, target] : before->config.targets) {
    if (next->config.targets.count(name) == 0) {
      entry->Send(EntryPosted{TargetGone{name}});
    }
  }
}

CallerApiDeps Node::State::CallerDeps() {
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
  deps.addresses = [this](const FailureDomain&) {
    constexpr int kAnswerLifeMs = 30'000;
    return Json{
        {"hosts",
         Json::array({{{"address", settings().callers},
                       {"failure_domain", settings().failure_domain.value}}})},
        {"expires_ms", kAnswerLifeMs}}
        .dump();
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
  deps.dump = [this](std::function<void(Json)> done) {
    entry->Send(DumpWanted{[this, done = std::move(done)](const Json& state) {
      Json all{{"status", Status()}};
      all.update(state);
      all["limits"] = {{"body_memory_bytes", bodies->limit()},
                       {"body_memory_used", bodies->used()}};
      done(std::move(all));
    }});
  };
  deps.drain = [this] {
    draining = true;
    entry->Send(EntryPosted{StopAdmitting{Errc::kDraining}});
  };
  deps.config = [this] {
    const auto now = config->current();
    if (!now) return Json::object();
    return Json{{"environment", settings().environment},
                {"generation", now->generation},
                {"hash", now->hash},
                {"document", now->text}};
  };
  deps.apply = [](const ApplyWanted& wanted,
                  const std::function<void(ApplyResult)>& done) {
    ApplyResult result;
    const auto parsed = ParseConfig(wanted.document);
    result.problems = parsed.problems;
    result.code =
        parsed.ok() ? Errc::kPlatformUnavailable : Errc::kConfigInvalid;
    done(std::move(result));
  };
  return deps;
}

EntryDeps Node::State::MakeEntryDeps() {
  EntryDeps deps;
  deps.settings.seed = incarnation.value;
  deps.settings.dispatcher.router.home = settings().failure_domain;
  deps.settings.dispatcher.router.seed = incarnation.value;
  deps.settings.attempt.silence_limit = settings().silence_limit;
  deps.io = &io;
  deps.client = &client;
  deps.metrics = &metrics;
  deps.self = entry;
  deps.timer = timer;
  deps.hooks.targets = [this] {
    const auto now = config->current();
    return now ? AllTargets(now->config) : std::vector<TargetInfo>();
  };
  deps.hooks.sign_resume = [this](const Call& call, const AttemptId& attempt,
                                  const TargetName& target) {
    return SignResume(call, attempt, target);
  };
  deps.hooks.open_changed = [this](std::size_t requests, std::size_t attempts) {
    open_requests = requests;
    open_attempts = attempts;
    if (draining && requests == 0 && !exit_told.exchange(true)) {
      options.on_exit(0);
    }
  };
  return deps;
}

std::string Node::State::SignResume(const Call& call, const AttemptId& attempt,
                                    const TargetName& target) const {
  if (!call.info.repeatable) return {};
  const auto wall = std::chrono::time_point_cast<milliseconds>(
      std::chrono::system_clock::now());
  const auto left =
      Milliseconds(call.info.deadline - comfreyflow::detail::Now());
  ResumeToken token;
  token.attempt = attempt;
  token.account = call.info.account;
  token.target = target;
  token.fingerprint = call.info.fingerprint;
  token.offset = call.offset;
  token.expires = wall + left + kResumeWindow;
  return SignResumeToken(token, options.fleet_key);
}

const char* Node::State::StateName() const {
  if (draining) return "draining";
  return config->current() ? "running" : "no_configuration";
}

Json Node::State::Status() const {
  const auto now = config->current();
  Json status{{"host", settings().name.value},
              {"failure_domain", settings().failure_domain.value},
              {"incarnation", incarnation.value},
              {"state", StateName()},
              {"open_requests", open_requests.load()},
              {"open_attempts", open_attempts.load()}};
  status["config"] = {{"environment", settings().environment},
                      {"generation", now ? now->generation : 0},
                      {"hash", now ? now->hash : ""}};
  return status;
}

void Node::State::Stop() {
  if (callers) callers->Close();
  if (admin) admin->Close();
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
  state_->StartActors();
  if (const auto error = state_->LoadConfigFile()) return error;
  if (const auto error = state_->StartServers()) return error;
  state_->StartThreads();
  LogLine(Severity::kInfo, "host_started")
      .With("host", state_->settings().name)
      .With("failure_domain", state_->settings().failure_domain)
      .With("incarnation", state_->incarnation.value);
  return {};
}

void Node::Drain() {
  state_->draining = true;
  state_->entry->Send(EntryPosted{StopAdmitting{Errc::kDraining}});
}

void Node::ReloadTls() {
  if (!state_->tls) return;
  bool changed = false;
  if (const auto error = state_->tls->Reload(changed)) {
    LogLine(Severity::kError, "tls_reload_failed")
        .With("reason", error.message());
  } else if (changed) {
    LogLine(Severity::kInfo, "tls_reloaded");
  }
}

NodePorts Node::ports() const {
  NodePorts ports;
  ports.callers = state_->callers->port();
  ports.admin = state_->admin->port();
  return ports;
}

}  // namespace comfreyflow::node
