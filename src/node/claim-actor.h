/// The actor that owns the claim log, which allows each idempotency key to run
/// only once. It executes the log's commands against the platform's store and
/// peers.
#pragma once

#include <caf/all.hpp>
#include <functional>

#include "comfreyflow/claims.h"
#include "node/actor.h"
#include "node/messages.h"
#include "node/metrics.h"
#include "node/supervisor.h"
#include "platform/client.h"

namespace comfreyflow::node {

/// An event for the claim log, sent to its actor.
struct ClaimPosted {
  ClaimEvent event;
};

struct ClaimHooks {
  std::function<void(const ClaimAnswered&)> answered;
  std::function<void(const AskClaimSteward&)> query_claim_steward;
  std::function<void(const AnswerPeer&)> answer_peer;
  /// Stewards of the shards, read when the actor starts. The steward of a shard
  /// is the host that serves the claims of its keys.
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

class ClaimActor : public Actor {
 public:
  ClaimActor(caf::actor_config& config, ClaimDeps deps);

  caf::behavior make_behavior() override;

 private:
  void Subscribe();
  /// Passes the event to the claim log and executes the resulting commands.
  void Run(const ClaimEvent& event);
  void Do(const ClaimAnswered& command);
  void Do(const StoreGet& command);
  void Do(const StoreCreate& command);
  void Do(const StoreUpdate& command);
  void Do(const StoreList& command);
  void Do(const StoreDelete& command);
  void Do(const AskClaimSteward& command);
  void Do(const AnswerPeer& command);
  /// Returns a handler that reports the result of write `op` to the claim log.
  PlatformClient::WriteHandler WriteResultHandler(std::uint64_t op) const;
  nlohmann::ordered_json Dump() const;

  ClaimDeps deps_;
  Claims claims_;
};

}  // namespace comfreyflow::node

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::ClaimPosted)
