/// The components of a running host. node.cc starts and stops them;
/// node-deps.cc and node-peers.cc connect them.
#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <caf/all.hpp>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "comfreyflow/addresses.h"
#include "comfreyflow/drain.h"
#include "comfreyflow/membership.h"
#include "http/client.h"
#include "http/server.h"
#include "http/tls.h"
#include "node/admin-api.h"
#include "node/caller-api.h"
#include "node/claim-actor.h"
#include "node/clock.h"
#include "node/config-actor.h"
#include "node/config-view.h"
#include "node/entry-actor.h"
#include "node/membership-actor.h"
#include "node/metrics.h"
#include "node/node.h"
#include "node/orders-actor.h"
#include "node/peer-links.h"
#include "node/steward-actor.h"
#include "node/supervisor.h"
#include "platform/client.h"

namespace comfreyflow::node {

/// Returns the settings of the actor library.
caf::actor_system_config ActorConfig();

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
  std::error_code StartPeers();
  void StartActors();
  void StartPlatform(std::vector<ChildSpec>& children);
  void StartThreads();
  std::error_code LoadConfigFile();
  void ApplyConfig(const ConfigPtr& next);
  void Stop();
  CallerApiDeps MakeCallerDeps();
  AdminDeps MakeAdminDeps();
  EntryDeps MakeEntryDeps();
  StewardDeps MakeStewardDeps();
  MembershipDeps MakeMembershipDeps();
  PeerDeps MakePeerDeps();
  HostRecord SelfRecord() const;
  void HandlePeerMessage(const HostName& from, Incarnation peer_incarnation,
                         const wire::Body& body);
  void AnswerOwners(const HostName& to, std::vector<AttemptId> attempts);
  void HandleLoads(const HostName& from, const wire::LoadsCall& call);
  void SendLoads();
  void ScheduleLoads();
  wire::Body LoadsBody(bool answer_wanted);
  void HandleMemberChange(const MemberChanged& event);
  void HandleView(const std::map<HostName, Member>& members,
                  const std::vector<HostName>& serving);
  void PublishAssignments();
  HostName StewardFor(const TargetName& target) const;
  std::vector<TargetInfo> LocalStewardships() const;
  void SendToAllPeers(const wire::Body& body);
  ClaimDeps MakeClaimDeps();
  ConfigDeps MakeConfigDeps();
  OrdersDeps MakeOrdersDeps();
  std::vector<TargetInfo> Targets() const;
  std::vector<LimitChanged> Limits() const;
  void Dump(std::function<void(nlohmann::ordered_json)> done);
  std::string SignResume(const Call& call, const AttemptId& attempt,
                         const TargetName& target) const;
  nlohmann::ordered_json Status() const;
  const char* StateName() const;
  std::string AddressesAnswer(const FailureDomain& caller);
  DrainPhase drain_phase() const;
  void StartDrain();
  void ScheduleDrain();
  void AdvanceDrain();

  const NodeOptions options;
  const Incarnation incarnation;
  boost::asio::io_context io;
  std::optional<
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
      work;
  std::shared_ptr<ConfigView> config;
  std::shared_ptr<http::BodyBudget> bodies;
  Metrics metrics;
  http::Client client;
  std::unique_ptr<PlatformClient> platform;
  std::unique_ptr<http::TlsFiles> tls;
  std::unique_ptr<CallerApi> caller_api;
  std::unique_ptr<AdminApi> admin_api;
  std::unique_ptr<http::Server> callers;
  std::unique_ptr<http::Server> admin;
  std::unique_ptr<http::Server> peers;
  std::unique_ptr<PeerLinks> peer_links;
  std::shared_ptr<GossipSocket> gossip;
  caf::actor_system_config system_config;
  caf::actor_system system;
  ActorRefPtr entry = std::make_shared<ActorRef>();
  ActorRefPtr timer = std::make_shared<ActorRef>();
  ActorRefPtr membership = std::make_shared<ActorRef>();
  ActorRefPtr steward = std::make_shared<ActorRef>();
  ActorRefPtr claims = std::make_shared<ActorRef>();
  ActorRefPtr config_actor = std::make_shared<ActorRef>();
  ActorRefPtr orders = std::make_shared<ActorRef>();
  caf::actor supervisor;
  std::vector<std::thread> threads;
  std::atomic<std::size_t> open_requests = 0;
  std::atomic<std::size_t> open_attempts = 0;
  std::atomic<bool> exit_reported = false;
  mutable std::mutex drain_mutex;
  comfreyflow::Drain drain;  ///< Guarded by `drain_mutex`.
  boost::asio::steady_timer drain_timer{io};
  std::atomic<bool> is_draining = false;
  std::atomic<bool> is_refusing = false;
  /// Why no requests are admitted; `kOk` if they are.
  std::atomic<Errc> stop_reason = Errc::kOk;
  mutable std::mutex view_mutex;
  // Guarded by `view_mutex`:
  std::map<HostName, Member> members;
  std::vector<HostName> serving;
  /// Value of `serving` when assignments were last published.
  std::vector<HostName> assigned_hosts;
  Addresses addresses{incarnation.value};
  std::map<TargetName, TargetReport> loads;
  std::map<TargetName, Time> load_read_at;  ///< Read or received.
  std::mt19937_64 random{incarnation.value};
  boost::asio::steady_timer loads_timer{io};
};

}  // namespace comfreyflow::node
