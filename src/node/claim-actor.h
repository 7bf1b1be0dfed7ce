/// The actor that owns the claim log: carries its commands to the platform's
/// store and to peers.
#pragma once

#include <caf/all.hpp>
#include <functional>

#include "comfreyflow/claims.h"
#include "node/messages.h"
#include "node/metrics.h"
#include "node/supervisor.h"
#include "platform/client.h"

namespace comfreyflow::node {

/// Something for the claim log.
struct ClaimPosted {
  ClaimEvent event;
};

struct ClaimHooks {
  std::function<void(const ClaimAnswered&)> answered;
  std::function<void(const AskClaimSteward&)> query_claim_steward;
  std::function<void(const AnswerPeer&)> answer_peer;
  /// Stewards of the shards when the actor starts.
  std::function<ClaimStewards()> stewards;
};

struct ClaimDeps {
  ClaimSettings settings;
  PlatformClient* platform = nullptr;
  Metrics* metrics = nullptr;
  ActorRefPtr self;
  ActorRefPtr timer;
  ClaimHooks hooks;
};

class ClaimActor : public caf::event_based_actor {
 public:
  ClaimActor(caf::actor_config& config, ClaimDeps deps);

  caf::behavior make_behavior() override;

 private:
  void Subscribe();
  void Run(const ClaimEvent& event);
  void Do(const ClaimAnswered& command);
  void Do(const StoreGet& command);
  void Do(const StoreCreate& command);
  void Do(const StoreUpdate& command);
  void Do(const StoreList& command);
  void Do(const StoreDelete& command);
  void Do(const AskClaimSteward& command);
  void Do(const AnswerPeer& command);
  /// Tells the log how the write with this number ended.
  PlatformClient::WriteHandler Written(std::uint64_t op) const;
  nlohmann::ordered_json Dump() const;

  ClaimDeps deps_;
  Claims claims_;
};

}  // namespace comfreyflow::node

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::ClaimPosted)
