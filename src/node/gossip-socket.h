/// The UDP socket of the membership protocol. Signs the datagrams that it
/// sends, and passes on only received ones that are signed with the fleet key.
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

  /// Binds to `ip:port`; port 0 selects a free port.
  std::error_code Open(const std::string& address);
  std::uint16_t port() const { return port_; }
  void Start();
  void Close();
  /// Thread-safe.
  void Send(const SendDatagram& datagram);

 private:
  using Udp = boost::asio::ip::udp;
  static constexpr std::size_t kMaxDatagramBytes = 64 * 1024;

  void Receive();
  void HandleDatagram(std::size_t size);
  /// Counts a datagram that failed verification and logs the count, at most
  /// once per `kRefusalLogPeriod`.
  void HandleRefusal(const std::error_code& error);

  boost::asio::strand<boost::asio::io_context::executor_type> strand_;
  Udp::socket socket_;
  const wire::FleetKey key_;
  const Receiver receiver_;
  std::uint16_t port_ = 0;
  Udp::endpoint sender_;
  std::array<char, kMaxDatagramBytes> buffer_{};
  std::uint64_t refused_count_ = 0;
  Time next_refusal_log_at_;
};

}  // namespace comfreyflow::node
