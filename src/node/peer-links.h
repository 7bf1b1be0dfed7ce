/// Messages to other hosts. While a call to a receiver is in flight, further
/// messages to it are queued; they are then sent as one signed envelope. If a
/// call fails, its messages are dropped, as each protocol retries its messages.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "comfreyflow/types.h"
#include "http/client.h"
#include "http/server.h"
#include "wire/codec.h"

namespace comfreyflow::node {

struct PeerDeps {
  HostName self;
  Incarnation incarnation;
  wire::FleetKey key;
  http::Client* client = nullptr;
  /// Returns the address, `ip:port`, at which a host takes calls of its peers;
  /// empty if unknown.
  std::function<std::string(const HostName&)> address;
  /// Called for each message from another host, on any thread.
  std::function<void(const HostName& from, Incarnation incarnation,
                     const wire::Body& body)>
      on_message;
};

/// Thread-safe. Must outlive the calls of its client.
class PeerLinks {
 public:
  explicit PeerLinks(PeerDeps deps) : deps_(std::move(deps)) {}

  void Send(const HostName& to, const wire::Body& body);

  /// Hooks of the server that receives envelopes.
  Errc AdmitHead(const http::Request& head) const;
  void Handle(const http::ExchangePtr& exchange) const;

  std::uint64_t dropped() const;

 private:
  struct Link {
    std::vector<wire::Body> pending;
    bool in_flight = false;
  };

  void SendBatch(const HostName& to, std::vector<wire::Body> bodies);
  void HandleSent(const HostName& to, bool delivered, std::size_t messages);

  const PeerDeps deps_;
  mutable std::mutex mutex_;
  std::map<HostName, Link> links_;
  std::uint64_t dropped_ = 0;
};

/// Maximum number of queued messages for one receiver; further messages are
/// dropped.
inline constexpr std::size_t kMaxPendingMessages = 4096;

}  // namespace comfreyflow::node
