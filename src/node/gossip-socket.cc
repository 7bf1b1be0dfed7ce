// Sends and receives datagrams.
#include "node/gossip-socket.h"

#include <utility>

#include "http/address.h"
#include "node/clock.h"
#include "node/log.h"

namespace comfreyflow::node {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

/// Refused datagrams are told at most so often.
constexpr Duration kRefusedPeriod = std::chrono::seconds(10);

std::string TextOf(const asio::ip::udp::endpoint& endpoint) {
  const auto ip = endpoint.address();
  const std::string host =
      ip.is_v6() ? "[" + ip.to_string() + "]" : ip.to_string();
  return host + ":" + std::to_string(endpoint.port());
}

}  // namespace

GossipSocket::GossipSocket(asio::io_context& io, wire::FleetKey key,
                           Receiver receiver)
    : strand_(asio::make_strand(io)),
      socket_(strand_),
      key_(std::move(key)),
      receiver_(std::move(receiver)) {}

std::error_code GossipSocket::Open(const std::string& address) {
  asio::ip::tcp::endpoint endpoint;
  if (const auto error = http::ParseEndpoint(address, endpoint)) return error;
  const Udp::endpoint local(endpoint.address(), endpoint.port());
  error_code error;
  socket_.open(local.protocol(), error);
  if (!error) socket_.bind(local, error);
  if (error) return error;
  port_ = socket_.local_endpoint().port();
  return {};
}

void GossipSocket::Start() {
  asio::post(strand_, [self = shared_from_this()] { self->Receive(); });
}

void GossipSocket::Close() {
  asio::post(strand_, [self = shared_from_this()] {
    error_code ignored;
    self->socket_.close(ignored);
  });
}

void GossipSocket::Send(const SendDatagram& datagram) {
  asio::ip::tcp::endpoint endpoint;
  if (http::ParseEndpoint(datagram.to, endpoint)) return;
  auto bytes = wire::EncodeDatagram(datagram.datagram, key_);
  asio::post(
      strand_, [self = shared_from_this(), bytes = std::move(bytes),
                to = Udp::endpoint(endpoint.address(), endpoint.port())] {
        error_code ignored;  // A lost datagram is the protocol's normal case.
        self->socket_.send_to(asio::buffer(bytes), to, 0, ignored);
      });
}

void GossipSocket::Receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), from_,
      [self = shared_from_this()](const error_code& error, std::size_t size) {
        if (!self->socket_.is_open()) return;
        if (!error) self->Received(size);
        self->Receive();
      });
}

void GossipSocket::Received(std::size_t size) {
  Datagram datagram;
  const std::string_view bytes(buffer_.data(), size);
  if (const auto error = wire::DecodeDatagram(bytes, key_, datagram)) {
    return Refused(error);
  }
  receiver_(datagram, TextOf(from_));
}

void GossipSocket::Refused(const std::error_code& error) {
  ++refused_;
  const Time now = comfreyflow::detail::Now();
  if (now < tell_refused_) return;
  tell_refused_ = now + kRefusedPeriod;
  LogLine(Severity::kWarning, Event::kPeerRefused)
      .With(ToErrc(error))
      .With("from", TextOf(from_))
      .With("count", refused_);
}

}  // namespace comfreyflow::node
