/// The UDP socket of the membership: signs what goes out, and passes on only
/// what is signed with the fleet key.
#pragma once

#include <array>
#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "comfreyflow/membership.h"
#include "wire/codec.h"

namespace comfreyflow::node {

class GossipSocket : public std::enable_shared_from_this<GossipSocket> {
 public:
  using Receiver =
      std::function<void(const Datagram& datagram, const std::string& from)>;

  GossipSocket(boost::asio::io_context& io, wire::FleetKey key,
               Receiver receiver);

  /// Binds to `ip:port`; port 0 takes a free one.
  std::error_code Open(const std::string& address);
  std::uint16_t port() const { return port_; }
  void Start();
  void Close();
  /// From any thread.
  void Send(const SendDatagram& datagram);

 private:
  using Udp = boost::asio::ip::udp;
  static constexpr std::size_t kLongestDatagram = 64 * 1024;

  void Receive();
  void Received(std::size_t size);
  /// Counts a datagram that is not a peer's, and tells of it now and then.
  void Refused(const std::error_code& error);

  boost::asio::strand<boost::asio::io_context::executor_type> strand_;
  Udp::socket socket_;
  const wire::FleetKey key_;
  const Receiver receiver_;
  std::uint16_t port_ = 0;
  Udp::endpoint from_;
  std::array<char, kLongestDatagram> buffer_{};
  std::uint64_t refused_ = 0;
  Time tell_refused_;
};

}  // namespace comfreyflow::node
