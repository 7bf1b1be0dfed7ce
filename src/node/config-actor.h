/// The actor that keeps this host's configuration current: reads and watches
/// the document in the platform's store, fetches newer generations from peers,
/// and takes operators' documents.
#pragma once

#include <caf/all.hpp>
#include <functional>
#include <memory>
#include <string>

#include "node/admin-api.h"
#include "node/config-view.h"
#include "node/messages.h"
#include "node/supervisor.h"
#include "platform/client.h"

namespace comfreyflow::node {

/// An operator's document; `done` is called once, on any thread.
struct ConfigWanted {
  ApplyWanted wanted;
  std::function<void(ApplyResult)> done;
};

/// A document as the store or a peer has it.
struct ConfigSeen {
  std::uint64_t generation = 0;
  std::string text;
};

/// The store answered a read or watch; the next one may start.
struct StoreRead {
  std::error_code error;
  std::uint64_t version = 0;  ///< Of the kind, from a watch; else 0.
};

/// A peer has this generation in force.
struct PeerGeneration {
  HostName host;
  std::uint64_t generation = 0;
};

/// Whether this host is one of the few that watch the store.
struct WatchDuty {
  bool on = true;
};

struct ConfigHooks {
  std::function<void(const ConfigPtr&)> apply;
  std::function<void(const HostName&)> fetch_from_peer;
  /// Whether this host can still learn of newer generations.
  std::function<void(bool reachable)> reachable;
};

struct ConfigDeps {
  std::string environment;
  bool require_proof = false;
  std::shared_ptr<ConfigView> view;
  PlatformClient* platform = nullptr;
  ActorRefPtr self;
  ActorRefPtr timer;
  ConfigHooks hooks;
};

/// A host that reached neither the store nor a peer for this long cannot know
/// whether its configuration is current.
inline constexpr Duration kConfigReach = std::chrono::seconds(15);

class ConfigActor : public caf::event_based_actor {
 public:
  ConfigActor(caf::actor_config& config, ConfigDeps deps);

  caf::behavior make_behavior() override;

 private:
  void Subscribe();
  void Tick(Time now);
  void Read();
  void Watch();
  void TakeRead(const StoreRead& read);
  void TakeDocument(const ConfigSeen& seen);
  void TakePeer(const PeerGeneration& peer);
  void Apply(const ConfigWanted& message);
  std::uint64_t generation() const;

  ConfigDeps deps_;
  bool watch_duty_ = true;
  bool call_under_way_ = false;
  bool read_once_ = false;
  std::uint64_t watched_ = 0;  ///< Version of the kind behind the last answer.
  Time next_read_;
  Time last_contact_;
  bool reachable_ = true;
};

}  // namespace comfreyflow::node

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::ConfigWanted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::ConfigSeen)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::StoreRead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::PeerGeneration)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(comfreyflow::node::WatchDuty)
