/// A complete host process: servers, clients and the actors that connect them.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "comfreyflow/settings.h"

namespace comfreyflow::node {

/// Settings of a host, and what it needs in addition to its settings file.
struct NodeOptions {
  HostSettings settings;
  std::string fleet_key;
  /// Called once when the process has to exit: with 0 after a drain, with 1
  /// after repeated failures of an actor.
  std::function<void(int exit_code)> on_exit;
};

/// Ports in use; they differ from the settings where those specify port 0.
struct NodePorts {
  std::uint16_t callers = 0;
  std::uint16_t peers = 0;
  std::uint16_t gossip = 0;
  std::uint16_t admin = 0;
};

class Node {
 public:
  explicit Node(NodeOptions options);
  /// Stops immediately and aborts open streams.
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Opens the listeners and starts the actors.
  std::error_code Start();
  /// Starts a graceful shutdown; `on_exit` is called when the last answer has
  /// been written, `HostSettings::stop_time` from now at the latest.
  void Drain();
  /// Reloads the TLS files if they changed.
  void ReloadTls();

  NodePorts ports() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/// Reads a secret from a file and trims surrounding white space. Fails if the
/// file cannot be read or the secret is shorter than `kMinSecretBytes`.
std::error_code ReadSecret(const std::string& file, std::string& out);
inline constexpr std::size_t kMinSecretBytes = 32;

}  // namespace comfreyflow::node
