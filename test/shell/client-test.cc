// Calls of the HTTP client that end before they are sent.
#include "http/client.h"

#include <doctest/doctest.h>

#include <array>
#include <boost/asio.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace comfreyflow;        // NOLINT(google-build-using-namespace)
using namespace comfreyflow::http;  // NOLINT(google-build-using-namespace)
using Tcp = boost::asio::ip::tcp;

namespace {

/// A server that counts the bytes it gets, and a client on the same loop.
struct Loop {
  Loop() : acceptor(io, {boost::asio::ip::address_v4::loopback(), 0}) {
    Accept();
  }

  void Accept() {
    acceptor.async_accept(
        [this](const boost::system::error_code& error, Tcp::socket socket) {
          if (error) return;
          Read(std::make_shared<Tcp::socket>(std::move(socket)));
          Accept();
        });
  }

  void Read(const std::shared_ptr<Tcp::socket>& socket) {
    socket->async_read_some(
        boost::asio::buffer(buffer),
        [this, socket](const boost::system::error_code& error,
                       std::size_t size) {
          received += size;
          if (!error) Read(socket);
        });
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }

  /// Opens a call, and cancels it in a handler that runs when the connection
  /// has been made and before the client hears of it.
  void OpenAndCancelOnceConnected() {
    waker.async_receive(boost::asio::buffer(wake_up),
                        [this](const boost::system::error_code&, std::size_t) {
                          call->Cancel();
                          was_sent_before = was_sent;
                        });
    boost::asio::post(io, [this] {
      waker.send_to(boost::asio::buffer("x", 1), waker.local_endpoint());
      CallHooks hooks;
      hooks.on_sent = [this] { was_sent = true; };
      Request request;
      request.method = "POST";
      request.path = "/";
      call = client.Open(address(), std::move(request), {}, std::move(hooks));
      // Both events are there when the loop looks again.
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    });
    io.run_for(std::chrono::milliseconds(100));
  }

  boost::asio::io_context io{1};
  Tcp::acceptor acceptor;
  Client client{io};
  boost::asio::ip::udp::socket waker{
      io, {boost::asio::ip::address_v4::loopback(), 0}};
  std::array<char, 1> wake_up{};
  std::shared_ptr<Call> call;
  std::array<char, 4096> buffer{};
  std::size_t received = 0;
  bool was_sent = false;
  bool was_sent_before = false;  ///< Before it was cancelled.
};

}  // namespace

TEST_CASE("a call that was cancelled before it was sent is sent") {
  // Its caller was told that the request has not run.
  Loop loop;
  loop.OpenAndCancelOnceConnected();
  REQUIRE_FALSE(loop.was_sent_before);
  CHECK_FALSE(loop.was_sent);
  CHECK(loop.received == 0);
}

TEST_CASE("an answer without end is kept by a call that wants it whole") {
  // As lists of the store and documents of other hosts.
  boost::asio::io_context io{1};
  Tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
  const std::string text =
      "HTTP/1.1 200 OK\r\n\r\n" + std::string(1024 * 1024, 'z');
  const auto pour = [&text](auto& self, std::shared_ptr<Tcp::socket> socket,
                            std::size_t& poured) -> void {
    boost::asio::async_write(
        *socket, boost::asio::buffer(text),
        [&self, socket, &poured](const boost::system::error_code& error,
                                 std::size_t size) {
          poured += size;
          if (!error) self(self, socket, poured);
        });
  };
  std::size_t poured = 0;
  acceptor.async_accept(
      [&](const boost::system::error_code&, Tcp::socket socket) {
        pour(pour, std::make_shared<Tcp::socket>(std::move(socket)), poured);
      });
  Client client(io);
  Request request;
  request.method = "GET";
  request.path = "/";
  bool has_ended = false;
  client.Fetch("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
               std::move(request), {},
               [&](const CallEnd& end, const Response& answer) {
                 CHECK(end.code == Errc::kTargetFailed);
                 CHECK(answer.body.size() <= CallOptions{}.answer_bytes);
                 has_ended = true;
                 io.stop();
               });
  io.run_for(std::chrono::seconds(20));
  CHECK(has_ended);
  constexpr std::size_t kMostBytes = 32 * 1024 * 1024;
  CHECK(CallOptions{}.answer_bytes < kMostBytes);
}

namespace {

/// A server that answers each request, on kept connections.
struct Answering {
  Answering() : acceptor(io, {boost::asio::ip::address_v4::loopback(), 0}) {
    Accept();
  }

  void Accept() {
    acceptor.async_accept(
        [this](const boost::system::error_code& error, Tcp::socket socket) {
          if (error) return;
          ++connections;
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
                              std::size_t size) {
          if (error) return;
          received.append(bytes->data(), size);
          const std::string text =
              "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n";
          boost::asio::write(*socket, boost::asio::buffer(text));
          Answer(socket, bytes);
        });
  }

  CallEnd Call(const std::string& id) {
    Request request;
    request.method = "POST";
    request.path = "/";
    return Send(std::move(request), id);
  }

  CallEnd Send(Request request, const std::string& id) {
    CallOptions options;
    options.id = id;
    std::optional<CallEnd> ended;
    client.Fetch(
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
        std::move(request), options,
        [&ended](const CallEnd& end, const Response&) { ended = end; });
    while (!ended) io.run_one();
    return *ended;
  }

  boost::asio::io_context io{1};
  Tcp::acceptor acceptor;
  Client client{io};
  int connections = 0;
  std::string received;  ///< On all connections.
};

}  // namespace

TEST_CASE("a connection carries two calls with one id") {
  // A copy of the first answer would pass for the second.
  Answering server;
  for (const char* id : {"a", "b", "a", "b", "c", "a", "", ""}) {
    CHECK_FALSE(server.Call(id).answer.is_id_reused);
  }
  CHECK(server.connections == 3);
}

TEST_CASE("a connection remembers its ids without end") {
  Answering server;
  constexpr int kCalls = 1000;
  constexpr int kMostCallsOfConnection = 256;
  for (int i = 0; i < kCalls; ++i) server.Call(std::to_string(i));
  CHECK(server.connections == kCalls / kMostCallsOfConnection + 1);
}

namespace {

constexpr std::size_t kOverLibraryLimit = 70'000;

struct Part {
  Field field;
  bool is_sendable = true;
};

std::vector<Part> Parts() {
  const std::string large(kOverLibraryLimit, 'x');
  return {{{"x-a", "plain \xc3\xa4\t1"}},
          {{"content-length", "90"}},
          {{"Content-Length", "4, 90"}},
          {{"transfer-encoding", "chunked"}},
          {{"Transfer-Encoding", "gzip, chunked"}},
          {{"connection", ",,;"}},
          {{"x-large", large}, false},
          {{large, "x"}, false},
          {{"", "x"}, false},
          {{"x y", "x"}, false},
          {{"x-a", "1\r\nx-b: 2"}, false},
          {{"x-a", std::string("\0", 1)}, false}};
}

void CheckSent(Answering& server, Request request, bool is_sendable) {
  const std::string what = request.method + ' ' + request.target + ' ' +
                           request.fields[0].name.substr(0, 20);
  CAPTURE(what);
  const bool has_body = !request.body.empty();
  server.received.clear();
  CallEnd end;
  REQUIRE_NOTHROW(end = server.Send(std::move(request), ""));
  CHECK(end.sent == is_sendable);
  CHECK(end.code == (is_sendable ? Errc::kOk : Errc::kMalformedRequest));
  CHECK(server.received.empty() != is_sendable);
  CHECK(server.received.find("ncoding:") == std::string::npos);
  CHECK(server.received.find(": 90") == std::string::npos);
  CHECK(server.received.find(", 90") == std::string::npos);
  CHECK((server.received.find("Content-Length: 4\r\n") != std::string::npos) ==
        (is_sendable && has_body));
}

}  // namespace

TEST_CASE("a request that HTTP can't carry ends the process of its client") {
  Answering server;
  for (const std::string method :
       {"GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "TRACE", "PATCH",
        "PROPFIND", "get", "", "G T", "A\r\nB"}) {
    const bool is_method =
        !method.empty() && method.find_first_of(" \r") == std::string::npos;
    for (const std::string target : {"/a?b", "*", "", "/ a", "/a\r\nb: c"}) {
      const bool is_target = target == "/a?b" || target == "*";
      for (const std::string body : {"", "body"}) {
        const bool may_have_body = method != "TRACE" || body.empty();
        for (const Part& part : Parts()) {
          CheckSent(
              server, {method, "", "", {part.field}, body, {}, target},
              is_method && is_target && may_have_body && part.is_sendable);
        }
      }
    }
  }
}
