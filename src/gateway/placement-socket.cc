// Sends and receives placement datagrams.
#include "gateway/placement-socket.h"

#include <utility>

#include "http/address.h"
#include "node/clock.h"
#include "node/run-loop.h"

namespace comfreyflow::gateway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using comfreyflow::detail::Now;
using Udp = asio::ip::udp;

std::error_code ParseUdp(const std::string& address, Udp::endpoint& out) {
  asio::ip::tcp::endpoint endpoint;
  const std::error_code error = http::ParseEndpoint(address, endpoint);
  if (!error) out = Udp::endpoint(endpoint.address(), endpoint.port());
  return error;
}

}  // namespace

PlacementSocket::PlacementSocket(asio::io_context& io, HostName self,
                                 Incarnation incarnation, wire::FleetKey key,
                                 PlacementSocketHooks hooks)
    : io_(io),
      self_(std::move(self)),
      incarnation_(incarnation),
      key_(std::move(key)),
      hooks_(std::move(hooks)),
      socket_(io) {}

std::error_code PlacementSocket::Open(const std::string& address) {
  Udp::endpoint local;
  if (const auto error = ParseUdp(address, local)) return error;
  error_code error;
  socket_.open(local.protocol(), error);
  if (!error) socket_.bind(local, error);
  if (error) return error;
  Receive();
  return {};
}

void PlacementSocket::Close() {
  error_code ignored;
  socket_.close(ignored);
}

wire::PlaceMessages& PlacementSocket::MessagesFor(const HostName& host) {
  if (outgoing_.empty()) {
    asio::post(io_, [self = shared_from_this()] { self->Send(); });
  }
  auto& messages = outgoing_[host];
  messages.sender = self_;
  messages.incarnation = incarnation_;
  return messages;
}

void PlacementSocket::Send() {
  if (!is_open()) return;
  hooks_.on_send();
  for (auto& [host, messages] : std::exchange(outgoing_, {})) {
    Udp::endpoint to;
    if (messages.empty() || ParseUdp(hooks_.address_of(host), to)) continue;
    const auto bytes = wire::EncodePlacement(messages, key_, Now());
    // A failed send counts as a lost datagram: requests are sent again.
    error_code ignored;
    socket_.send_to(asio::buffer(bytes), to, 0, ignored);
  }
}

void PlacementSocket::Receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), sender_,
      [self = shared_from_this()](const error_code& error, std::size_t size) {
        if (!self->is_open()) return;
        const node::AtExit receive([&self] { self->Receive(); });
        wire::PlaceMessages messages;
        const std::string_view bytes(self->buffer_.data(), size);
        if (!error &&
            !wire::DecodePlacement(bytes, self->key_, Now(), messages)) {
          self->hooks_.on_messages(messages);
        }
      });
}

}  // namespace comfreyflow::gateway
