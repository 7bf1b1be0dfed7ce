/// The actor that keeps this host's configuration current. It executes the
/// commands of `ConfigState` against the store and peers, and writes operators'
/// documents to the store.
#pragma once

#include <caf/all.hpp>
#include <functional>
#include <memory>
#include <string>

#include "comfreyflow/config-state.h"
#include "node/actor.h"
#include "node/admin-api.h"
#include "node/config-view.h"
#include "node/messages.h"
#include "node/supervisor.h"
#include "platform/client.h"

namespace comfreyflow::node {

/// An operator's update of the configuration, sent to the config actor. `done`
/// is called once, on any thread.
struct ConfigUpdateRequest {
  ApplyRequest request;
  std::function<void(ApplyResult)> done;
};

/// An event for `ConfigState`, sent to its actor.
struct ConfigPosted {
  ConfigEvent event;
};

struct ConfigHooks {
  std::function<void(const ConfigPtr&)> apply;
  std::function<void(const FetchConfig&)> fetch;
  /// Called with `kOk` when requests may be admitted, otherwise with the reason
  /// why they may not.
  std::function<void(Errc reason)> admitting;
};

struct ConfigDeps {
  std::string environment;
  bool require_proof = false;
  std::uint64_t seed = 0;
  PlatformClient* platform = nullptr;
  ActorRefPtr self;
  ActorRefPtr timer;
  ConfigHooks hooks;
};

class ConfigActor : public Actor {
 public:
  ConfigActor(caf::actor_config& config, ConfigDeps deps);

  caf::behavior make_behavior() override;

 private:
  void Subscribe();
  /// Passes the event to `ConfigState` and executes the resulting commands.
  void Run(const ConfigEvent& event);
  void Do(const ApplyConfig& command);
  void Do(const ReadStoredConfig& command);
  void Do(const WatchStoredConfig& command);
  void Do(const FetchConfig& command);
  void Do(const ConfigRejected& command);
  void Do(const StopAdmitting& command);
  void Do(const ResumeAdmitting& command);
  /// Validates an operator's document and starts writing it to the store.
  void Update(const ConfigUpdateRequest& message);

  ConfigDeps deps_;
  ConfigState state_;
};

}  // namespace comfreyflow::node

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::ConfigUpdateRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::ConfigPosted)
