/// The actor that keeps this host's configuration current: carries the
/// commands of `ConfigState` to the store and to peers, and takes operators'
/// documents.
#pragma once

#include <caf/all.hpp>
#include <functional>
#include <memory>
#include <string>

#include "comfreyflow/config-state.h"
#include "node/admin-api.h"
#include "node/config-view.h"
#include "node/messages.h"
#include "node/supervisor.h"
#include "platform/client.h"

namespace comfreyflow::node {

/// An operator's document; `done` is called once, on any thread.
struct ConfigUpdateRequest {
  ApplyRequest wanted;
  std::function<void(ApplyResult)> done;
};

/// Something for the configuration's state.
struct ConfigPosted {
  ConfigEvent event;
};

struct ConfigHooks {
  std::function<void(const ConfigPtr&)> apply;
  std::function<void(const FetchConfig&)> fetch;
  /// `kOk` when requests may be admitted, else why not.
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

class ConfigActor : public caf::event_based_actor {
 public:
  ConfigActor(caf::actor_config& config, ConfigDeps deps);

  caf::behavior make_behavior() override;

 private:
  void Subscribe();
  void Run(const ConfigEvent& event);
  void Do(const ApplyConfig& command);
  void Do(const ReadStoredConfig& command);
  void Do(const WatchStoredConfig& command);
  void Do(const FetchConfig& command);
  void Do(const ConfigRejected& command);
  void Do(const StopAdmitting& command);
  void Do(const ResumeAdmitting& command);
  void Update(const ConfigUpdateRequest& message);

  ConfigDeps deps_;
  ConfigState state_;
};

}  // namespace comfreyflow::node

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::ConfigUpdateRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::ConfigPosted)
