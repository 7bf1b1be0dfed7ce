/// The actor of the steward role. Each target has one host as its steward,
/// which grants reservations of the target's capacity, polls the target, and
/// sweeps it: cancels attempts whose owning host no longer knows them.
#pragma once

#include <array>
#include <caf/all.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "comfreyflow/steward.h"
#include "comfreyflow/sweep.h"
#include "http/client.h"
#include "node/actor.h"
#include "node/messages.h"
#include "node/supervisor.h"

namespace comfreyflow::node {

struct StewardHooks {
  /// Returns the targets of which this host is the steward when the actor
  /// starts.
  std::function<std::vector<TargetInfo>()> targets;
  /// Delivers an answer to the host that owns the attempt.
  std::function<void(const TargetName&, const ReservationReply&)> answer;
  std::function<void(const TargetReport&)> report;
  std::function<void(const PrefixReported&)> cache_events;
  std::function<void(const QueryOwner&)> query_owner;
};

struct StewardDeps {
  http::Client* client = nullptr;
  ActorRefPtr self;
  ActorRefPtr timer;
  StewardHooks hooks;
};

class StewardActor : public Actor {
 public:
  StewardActor(caf::actor_config& config, StewardDeps deps);

  caf::behavior make_behavior() override;

 private:
  enum Poll { kLoadPoll, kAttemptsPoll, kCachePoll, kPolls };

  /// A target of which this host is the steward.
  struct ManagedTarget {
    TargetInfo info;
    Steward steward;
    Sweep sweep;
    std::uint64_t cache_next = 0;
    std::uint64_t epoch = 0;
    bool has_report = false;  ///< Nothing is granted until true.
    std::array<Time, kPolls> next_poll_at{};
    std::array<bool, kPolls> in_flight{};
  };

  void Subscribe();
  void UpdateTargets(const std::vector<TargetInfo>& targets);
  void HandleOwnerUpdate(const OwnerUpdate& message);
  void Reserve(const ReserveRequested& request);
  void Tick(Time now);
  void StartPolls(ManagedTarget& managed, Time now);
  void StartPoll(ManagedTarget& managed, Poll poll);
  void HandleLoad(const TargetReport& report);
  void HandleAttempts(const AttemptsRead& read);
  void Execute(ManagedTarget& managed, const StewardResult& result);
  void Execute(ManagedTarget& managed, const SweepCommands& commands);
  ManagedTarget* Find(const TargetName& name);
  nlohmann::ordered_json Dump() const;

  StewardDeps deps_;
  std::map<TargetName, ManagedTarget> targets_;
  std::map<HostName, OwnerUpdate>
      owner_updates_;  ///< Latest per host, for new targets.
};

}  // namespace comfreyflow::node
