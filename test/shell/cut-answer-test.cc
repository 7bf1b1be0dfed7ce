// Answers that a target breaks off while it is still being sent the request.
#include <doctest/doctest.h>

#include <array>
#include <boost/asio.hpp>
#include <chrono>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http/client.h"

using namespace comfreyflow;        // NOLINT(google-build-using-namespace)
using namespace comfreyflow::http;  // NOLINT(google-build-using-namespace)
using Tcp = boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

/// Longer than the buffers of both ends.
constexpr std::size_t kUploadBytes = 12 * 1024 * 1024;

enum class Close : std::uint8_t {
  kReset,            ///< Without an end of its bytes.
  kShutDown,         ///< Reads the rest of the request.
  kShutDownUnread,   ///< Leaves the rest of the request, keeps the connection.
  kShutDownAndReset  ///< Ends its bytes, and then refuses those of the request.
};

/// A server that answers at once with some bytes and then closes in some way.
struct Cutter {
  Cutter(std::string text, Close close)
      : answer(std::move(text)),
        way(close),
        acceptor(io, {boost::asio::ip::address_v4::loopback(), 0}) {
    constexpr int kReceiveBytes = 64 * 1024;
    acceptor.set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBytes));
    Accept();
  }

  void Accept() {
    acceptor.async_accept([this](const boost::system::error_code& error,
                                 Tcp::socket accepted) {
      if (error) return;
      ++connections;
      const auto socket = std::make_shared<Tcp::socket>(std::move(accepted));
      sockets.push_back(socket);
      socket->async_wait(Tcp::socket::wait_read,
                         [this, socket](const boost::system::error_code&) {
                           AnswerOn(socket);
                         });
      Accept();
    });
  }

  void AnswerOn(const std::shared_ptr<Tcp::socket>& socket) {
    boost::asio::write(*socket, boost::asio::buffer(answer));
    const auto timer =
        std::make_shared<boost::asio::steady_timer>(io, milliseconds(50));
    timer->async_wait([this, timer, socket](const boost::system::error_code&) {
      EndOf(socket);
    });
  }

  void EndOf(const std::shared_ptr<Tcp::socket>& socket) {
    if (way != Close::kReset) socket->shutdown(Tcp::socket::shutdown_send);
    if (way == Close::kShutDown) return ReadAll(socket);
    if (way == Close::kShutDownUnread) return;
    socket->set_option(boost::asio::socket_base::linger(true, 0));
    if (way == Close::kReset) return socket->close();
    socket->close();
  }

  void ReadAll(const std::shared_ptr<Tcp::socket>& socket) {
    socket->async_read_some(
        boost::asio::buffer(buffer),
        [this, socket](const boost::system::error_code& error, std::size_t) {
          if (!error) ReadAll(socket);
        });
  }

  /// The end of a call with a body of `bytes`, and what it got until then.
  std::pair<CallEnd, Response> Call(std::size_t bytes) {
    Request request;
    request.method = "POST";
    request.path = "/";
    request.body = std::string(bytes, 'u');
    std::optional<std::pair<CallEnd, Response>> result;
    client.Fetch(
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
        std::move(request), options,
        [&result](const CallEnd& end, const Response& response) {
          result = {end, response};
        });
    io.restart();
    const auto until =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!result && std::chrono::steady_clock::now() < until) {
      io.run_one_for(milliseconds(100));
    }
    REQUIRE(result);
    return *result;
  }

  const std::string answer;
  const Close way;
  boost::asio::io_context io{1};
  Tcp::acceptor acceptor;
  Client client{io};
  CallOptions options;
  std::vector<std::shared_ptr<Tcp::socket>> sockets;
  std::array<char, 65536> buffer{};
  int connections = 0;
};

const std::string kHead = "HTTP/1.1 200 OK\r\n";
const std::string kOpenEnded = kHead + "\r\npart";

}  // namespace

TEST_CASE("an answer without length that a reset cuts passes for a whole one") {
  // The error of a connection is told once, to the write; the read meets an
  // end that looks like an orderly one.
  for (const std::size_t bytes : {std::size_t{0}, kUploadBytes}) {
    CAPTURE(bytes);
    for (int i = 0; i < 10; ++i) {
      Cutter cutter(kOpenEnded, Close::kReset);
      const auto [end, response] = cutter.Call(bytes);
      CHECK(end.code == Errc::kTargetFailed);
      CHECK(end.sent);
    }
  }
}

TEST_CASE("an answer whose end is told before its request was read is lost") {
  for (const auto way :
       {Close::kShutDown, Close::kShutDownUnread, Close::kShutDownAndReset}) {
    CAPTURE(static_cast<int>(way));
    for (const char* head :
         {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 413 Long\r\n\r\n",
          "HTTP/1.1 413 Long\r\nContent-Length: 4\r\n\r\n"}) {
      CAPTURE(head);
      Cutter cutter(std::string(head) + "part", way);
      const auto [end, response] = cutter.Call(kUploadBytes);
      CHECK(end.code == Errc::kOk);
      CHECK(response.body == "part");
      CHECK(cutter.client.idle_connections() == 0);
    }
  }
}

TEST_CASE("an answer shorter than it said passes for a whole one") {
  for (const char* text :
       {"Content-Length: 9\r\n\r\npart",
        "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
        "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n",
        "Transfer-Encoding: chunked\r\n\r\n9\r\npart", "X-Cut: "}) {
    CAPTURE(text);
    for (const auto way : {Close::kReset, Close::kShutDown,
                           Close::kShutDownUnread, Close::kShutDownAndReset}) {
      CAPTURE(static_cast<int>(way));
      for (const std::size_t bytes : {std::size_t{0}, kUploadBytes}) {
        CAPTURE(bytes);
        Cutter cutter(kHead + text, way);
        CHECK(cutter.Call(bytes).first.code == Errc::kTargetFailed);
        CHECK(cutter.client.idle_connections() == 0);
      }
    }
  }
}

TEST_CASE("memory is taken for the length that an answer says") {
  // Calls whose answers are passed on as they come have no limit of length.
  for (const std::string length :
       {"4294967296", "4611686018427387903", "9223372036854775807",
        "18446744073709551614"}) {
    CAPTURE(length);
    Cutter cutter(kHead + "Content-Length: " + length + "\r\n\r\npart",
                  Close::kShutDown);
    cutter.options.answer_bytes = std::numeric_limits<std::uint64_t>::max();
    CallEnd end;
    CHECK_NOTHROW(end = cutter.Call(0).first);
    CHECK(end.code == Errc::kTargetFailed);
  }
}
