// Accepts connections and starts a session for each.
#include "http/server.h"

#include <boost/asio.hpp>
#include <boost/asio/ssl.hpp>

#include "http/address.h"
#include "http/session.h"

namespace comfreyflow::http {

namespace {

constexpr std::chrono::milliseconds kAcceptRetry{50};

}  // namespace

namespace asio = boost::asio;
using asio::ip::tcp;

struct Server::State : std::enable_shared_from_this<Server::State> {
  State(asio::io_context& context, std::shared_ptr<detail::SessionContext> all,
        TlsSource source)
      : io(context),
        acceptor(asio::make_strand(context)),
        retry(acceptor.get_executor()),
        shared(std::move(all)),
        tls(std::move(source)) {}

  void Accept() {
    acceptor.async_accept(
        asio::make_strand(io),
        [self = shared_from_this()](const boost::system::error_code& error,
                                    tcp::socket socket) {
          self->Accepted(error, std::move(socket));
        });
  }

  void Accepted(const boost::system::error_code& error, tcp::socket socket) {
    if (!acceptor.is_open()) return;
    if (error) {
      WaitAndAccept();
      return;
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    if (tls) {
      detail::StartTlsSession(std::move(socket), tls(), shared);
    } else {
      detail::StartSession(std::move(socket), shared);
    }
    Accept();
  }

  /// Out of descriptors: lets open sessions end before the next try.
  void WaitAndAccept() {
    retry.expires_after(kAcceptRetry);
    retry.async_wait(
        [self = shared_from_this()](const boost::system::error_code&) {
          if (self->acceptor.is_open()) self->Accept();
        });
  }

  asio::io_context& io;
  tcp::acceptor acceptor;
  asio::steady_timer retry;
  std::shared_ptr<detail::SessionContext> shared;
  TlsSource tls;
  std::uint16_t port = 0;
};

Server::Server(asio::io_context& io, ServerLimits limits, ServerHooks hooks,
               std::shared_ptr<BodyBudget> budget, TlsSource tls) {
  auto shared = std::make_shared<detail::SessionContext>();
  shared->limits = limits;
  shared->hooks = std::move(hooks);
  shared->budget = std::move(budget);
  state_ = std::make_shared<State>(io, std::move(shared), std::move(tls));
}

Server::~Server() { Close(); }

std::error_code Server::Listen(const std::string& address) {
  tcp::endpoint endpoint;
  if (const auto error = ParseEndpoint(address, endpoint)) return error;
  boost::system::error_code error;
  auto& acceptor = state_->acceptor;
  acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.set_option(asio::socket_base::reuse_address(true));
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) return error;
  state_->port = acceptor.local_endpoint().port();
  asio::post(acceptor.get_executor(), [state = state_] { state->Accept(); });
  return {};
}

void Server::SetLimits(const ServerLimits& limits) {
  state_->shared->limits = limits;
}

std::uint16_t Server::port() const { return state_->port; }

std::size_t Server::unanswered() const { return state_->shared->unanswered; }

void Server::Close() {
  asio::post(state_->acceptor.get_executor(), [state = state_] {
    boost::system::error_code ignored;
    state->acceptor.close(ignored);
    state->retry.cancel();
  });
}

void Server::CloseIdle() { state_->shared->connections.CloseIdle(); }

}  // namespace comfreyflow::http
