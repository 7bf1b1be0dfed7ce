/// The socket for placement datagrams. Messages to a host that are written
/// while one event is handled leave in one datagram.
#pragma once

#include <array>
#include <boost/asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>

#include "wire/placement.h"

namespace comfreyflow::gateway {

struct PlacementSocketHooks {
  /// Receives the messages of each valid datagram.
  std::function<void(const wire::PlaceMessages&)> on_messages;
  /// Returns the `ip:port` of a host; empty if it is not known.
  std::function<std::string(const HostName&)> address_of;
  /// Called before the collected messages are sent.
  std::function<void()> on_send;
};

/// Used on one I/O thread only. Datagrams may be lost without notice.
class PlacementSocket : public std::enable_shared_from_this<PlacementSocket> {
 public:
  PlacementSocket(boost::asio::io_context& io, HostName self,
                  Incarnation incarnation, wire::FleetKey key,
                  PlacementSocketHooks hooks);

  /// Binds to `address` (`ip:port`) and starts to receive.
  std::error_code Open(const std::string& address);
  void Close();
  bool is_open() const { return socket_.is_open(); }
  /// The messages to the host that are sent next.
  wire::PlaceMessages& MessagesFor(const HostName& host);

 private:
  void Send();
  void Receive();

  static constexpr std::size_t kMaxDatagramBytes = 60 * 1024;

  boost::asio::io_context& io_;
  const HostName self_;
  const Incarnation incarnation_;
  const wire::FleetKey key_;
  const PlacementSocketHooks hooks_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, kMaxDatagramBytes> buffer_{};
  std::map<HostName, wire::PlaceMessages> outgoing_;
};

}  // namespace comfreyflow::gateway
