/// Messages to other hosts: gathered by receiver while a call to it is under
/// way, sent as one signed envelope, and dropped when that fails, as each
/// message is repeated by its own protocol.
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
  /// Address for calls of a host, `ip:port`; empty when none is known.
  std::function<std::string(const HostName&)> address;
  /// A message from another host; on any thread.
  std::function<void(const HostName& from, Incarnation incarnation,
                     const wire::Body& body)>
      received;
};

/// Safe to use from any thread. Has to outlive the calls of its client.
class PeerLinks {
 public:
  explicit PeerLinks(PeerDeps deps) : deps_(std::move(deps)) {}

  void Send(const HostName& to, const wire::Body& body);

  /// The server's side.
  Errc AdmitHead(const http::Request& head) const;
  void Handle(const http::ExchangePtr& exchange) const;

  std::uint64_t dropped() const;

 private:
  struct Link {
    std::vector<wire::Body> waiting;
    bool under_way = false;
  };

  void SendWaiting(const HostName& to, std::vector<wire::Body> bodies);
  void Ended(const HostName& to, bool arrived, std::size_t messages);

  const PeerDeps deps_;
  mutable std::mutex mutex_;
  std::map<HostName, Link> links_;
  std::uint64_t dropped_ = 0;
};

/// Messages that wait for one receiver at most; later ones are dropped.
inline constexpr std::size_t kPeerBacklog = 4096;

}  // namespace comfreyflow::node
