// Connections that calls with one id leave.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "http/client.h"

using namespace comfreyflow::http;  // NOLINT(google-build-using-namespace)
using Tcp = boost::asio::ip::tcp;

namespace {

/// A server that answers each request, on kept connections, and a client.
struct Answering {
  Answering() : acceptor(io, {boost::asio::ip::address_v4::loopback(), 0}) {
    Accept();
  }

  void Accept() {
    acceptor.async_accept(
        [this](const boost::system::error_code& error, Tcp::socket socket) {
          if (error) return;
          ++open;
          most_open = std::max(most_open, open);
          Answer(std::make_shared<Tcp::socket>(std::move(socket)),
                 std::make_shared<std::array<char, 4096>>());
          Accept();
        });
  }

  void Answer(const std::shared_ptr<Tcp::socket>& socket,
              const std::shared_ptr<std::array<char, 4096>>& bytes) {
    socket->async_read_some(
        boost::asio::buffer(*bytes),
        [this, socket, bytes](const boost::system::error_code& error,
                              std::size_t) {
          if (error) {
            --open;
            return;
          }
          const std::string text =
              "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\n"
              "Content-Length: 0\r\n\r\n";
          boost::asio::write(*socket, boost::asio::buffer(text));
          Answer(socket, bytes);
        });
  }

  void Call(const std::string& id) {
    Request request;
    request.method = "POST";
    request.path = "/";
    CallOptions options;
    options.id = id;
    std::optional<CallEnd> ended;
    client.Fetch(
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
        std::move(request), options,
        [&ended](const CallEnd& end, const Response&) { ended = end; });
    while (!ended) io.run_one();
    io.poll();
  }

  boost::asio::io_context io{1};
  Tcp::acceptor acceptor;
  Client client{io};
  int open = 0;  ///< Connections at the server.
  int most_open = 0;
};

constexpr int kCalls = 100;
/// Calls come one after the other: one connection is in use, one may be ending.
constexpr int kMostOpen = 2;

}  // namespace

TEST_CASE("a caller that repeats its id takes up all connections of a target") {
  // A target takes a limited number, of all hosts together.
  Answering server;
  for (int i = 0; i < kCalls; ++i) server.Call("same");
  CHECK(server.most_open <= kMostOpen);
  CHECK(server.client.idle_connections() <= kMostOpen);
}

TEST_CASE("calls with ids of their own share one connection") {
  Answering server;
  for (int i = 0; i < kCalls; ++i) server.Call(std::to_string(i));
  CHECK(server.most_open <= kMostOpen);
}
