/// The actor of the steward role: grants room on the targets that this host
/// is steward of, polls them, and sweeps their memory.
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
#include "node/messages.h"
#include "node/supervisor.h"

namespace comfreyflow::node {

struct StewardHooks {
  /// Targets of this host when the actor starts.
  std::function<std::vector<TargetInfo>()> targets;
  /// An answer for the host that owns the attempt.
  std::function<void(const TargetName&, const ReservationReply&)> answer;
  std::function<void(const TargetReport&)> report;
  std::function<void(const PrefixReported&)> cache_events;
  std::function<void(const QueryOwner&)> ask_owner;
};

struct StewardDeps {
  http::Client* client = nullptr;
  ActorRefPtr self;
  ActorRefPtr timer;
  StewardHooks hooks;
};

class StewardActor : public caf::event_based_actor {
 public:
  StewardActor(caf::actor_config& config, StewardDeps deps);

  caf::behavior make_behavior() override;

 private:
  enum Poll { kLoadPoll, kAttemptsPoll, kCachePoll, kPolls };

  /// One target under this host's care.
  struct Ward {
    TargetInfo info;
    Steward steward;
    Sweep sweep;
    std::uint64_t cache_next = 0;
    std::uint64_t epoch = 0;
    bool reported = false;  ///< Nothing is granted before the first report.
    std::array<Time, kPolls> due{};
    std::array<bool, kPolls> under_way{};
  };

  void Subscribe();
  void TakeTargets(const std::vector<TargetInfo>& targets);
  void TakeOwnerNews(const OwnerNews& message);
  void Reserve(const ReserveWanted& wanted);
  void Tick(Time now);
  void StartPolls(Ward& ward, Time now);
  void StartPoll(Ward& ward, Poll poll);
  void TakeLoad(const TargetReport& report);
  void TakeAttempts(const AttemptsRead& read);
  void CarryOut(Ward& ward, const StewardResult& turn);
  void CarryOut(Ward& ward, const SweepCommands& commands);
  Ward* Find(const TargetName& name);
  nlohmann::ordered_json Dump() const;

  StewardDeps deps_;
  std::map<TargetName, Ward> wards_;
  std::map<HostName, OwnerNews> owners_;  ///< Last news, for new wards.
};

}  // namespace comfreyflow::node
