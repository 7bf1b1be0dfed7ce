// Sends and receives the datagrams of the gossip protocol.
#include "node/gossip-socket.h"

#include <utility>

#include "http/address.h"
#include "node/clock.h"
#include "node/log.h"
#include "node/run-loop.h"

namespace comfreyflow::node {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

/// Minimum time between two log lines about refused datagrams.
constexpr Duration kRefusalLogPeriod = std::chrono::seconds(10);

std::string FormatEndpoint(const asio::ip::udp::endpoint& endpoint) {
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
  asio::post(strand_,
             [self = shared_from_this(), bytes = std::move(bytes),
              to = Udp::endpoint(endpoint.address(), endpoint.port())] {
               error_code ignored;  // The protocol tolerates lost datagrams.
               self->socket_.send_to(asio::buffer(bytes), to, 0, ignored);
             });
}

void GossipSocket::Receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), sender_,
      [self = shared_from_this()](const error_code& error, std::size_t size) {
        if (!self->socket_.is_open()) return;
        const AtExit receive([&self] { self->Receive(); });
        if (!error) self->HandleDatagram(size);
      });
}

void GossipSocket::HandleDatagram(std::size_t size) {
  Datagram datagram;
  const std::string_view bytes(buffer_.data(), size);
  if (const auto error = wire::DecodeDatagram(bytes, key_, datagram)) {
    return HandleRefusal(error);
  }
  receiver_(datagram, FormatEndpoint(sender_));
}

void GossipSocket::HandleRefusal(const std::error_code& error) {
  ++refused_count_;
  const Time now = comfreyflow::detail::Now();
  if (now < next_refusal_log_at_) return;
  next_refusal_log_at_ = now + kRefusalLogPeriod;
  LogLine(Severity::kWarning, Event::kPeerRefused)
      .With(ToErrc(error))
      .With("from", FormatEndpoint(sender_))
      .With("count", refused_count_);
}

}  // namespace comfreyflow::node
