/// One whole host process: servers, clients and the actors between them.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "comfreyflow/settings.h"

namespace comfreyflow::node {

/// What a host needs besides its settings file.
struct NodeOptions {
  HostSettings settings;
  std::string fleet_key;
  /// Called once when the process has to end: drained, or given up.
  std::function<void(int exit_code)> on_exit;
};

/// Ports in use, for settings that ask for port 0.
struct NodePorts {
  std::uint16_t callers = 0;
  std::uint16_t peers = 0;
  std::uint16_t gossip = 0;
  std::uint16_t admin = 0;
};

class Node {
 public:
  explicit Node(NodeOptions options);
  /// Stops at once; streams are cut.
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Opens the listeners and starts the actors.
  std::error_code Start();
  /// Begins a planned stop; `on_exit` follows when the last stream has ended.
  void Drain();
  /// Reads the TLS files again if they changed.
  void ReloadTls();

  NodePorts ports() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/// Reads a secret from a file, without white space at its ends. Errors when
/// the file cannot be read or holds fewer than `kMinSecretBytes`.
std::error_code ReadSecret(const std::string& file, std::string& out);
inline constexpr std::size_t kMinSecretBytes = 32;

}  // namespace comfreyflow::node
