// Status lines that are no answer by HTTP/1.1.
#include <doctest/doctest.h>

#include <array>
#include <boost/asio.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "http/client.h"

using namespace comfreyflow;        // NOLINT(google-build-using-namespace)
using namespace comfreyflow::http;  // NOLINT(google-build-using-namespace)
using Tcp = boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

/// A server that answers each request with the same bytes on connections that
/// it leaves open.
struct Fixed {
  explicit Fixed(std::string text)
      : answer(std::move(text)),
        acceptor(io, {boost::asio::ip::address_v4::loopback(), 0}) {
    Accept();
  }

  void Accept() {
    acceptor.async_accept(
        [this](const boost::system::error_code& error, Tcp::socket socket) {
          if (error) return;
          ++connections;
          Serve(std::make_shared<Tcp::socket>(std::move(socket)));
          Accept();
        });
  }

  void Serve(const std::shared_ptr<Tcp::socket>& socket) {
    socket->async_read_some(
        boost::asio::buffer(buffer),
        [this, socket](const boost::system::error_code& error, std::size_t) {
          if (error) return;
          boost::system::error_code ignored;
          boost::asio::write(*socket, boost::asio::buffer(answer), ignored);
          Serve(socket);
        });
  }

  std::pair<CallEnd, Response> Call() {
    Request request;
    request.method = "POST";
    request.path = "/";
    CallOptions options;
    options.progress_timeout = milliseconds(300);
    std::optional<std::pair<CallEnd, Response>> result;
    client.Fetch(
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
        std::move(request), options,
        [&result](const CallEnd& end, const Response& response) {
          result = {end, response};
        });
    while (!result) io.run_one();
    return *result;
  }

  const std::string answer;
  boost::asio::io_context io{1};
  Tcp::acceptor acceptor;
  Client client{io};
  std::array<char, 4096> buffer{};
  int connections = 0;
};

const std::string kShort = "\r\nContent-Length: 2\r\n\r\nno";
const std::string kFinal = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

}  // namespace

TEST_CASE("a status that HTTP does not know passes for an answer") {
  for (const std::string line :
       {"HTTP/1.1 000 A",  "HTTP/1.1 001 A",  "HTTP/1.1 099 A",
        "HTTP/1.1 600 A",  "HTTP/1.1 799 A",  "HTTP/1.1 999 A",
        "HTTP/1.1 1000 A", "HTTP/1.1 20 A",   "HTTP/1.1 2 A",
        "HTTP/1.1  A",     "HTTP/1.1 ",       "HTTP/1.1",
        "HTTP/1.1 -20 A",  "HTTP/1.1 +20 A",  "HTTP/1.1 -200 A",
        "HTTP/1.1 +200 A", "HTTP/1.1 2 0 A",  "HTTP/1.1  200 A",
        "HTTP/1.1\t200 A", "HTTP/1.1 2x0 A",  "HTTP/1.1 0x1 A",
        "HTTP/1.1 20. A",  "HTTP/1.1 200. A", "HTTP/1.1 200x A",
        " HTTP/1.1 200 A", "HTTP/0.9 200 A",  "HTTP/1.2 200 A",
        "HTTP/1.9 200 A",  "HTTP/2.0 200 A",  "HTTP/2 200 A",
        "HTTP/3 200 A",    "HTTP/1.10 200 A", "HTTP/11 200 A",
        "HTTP/1. 200 A",   "HTTP/.1 200 A",   "HTTP/-1.1 200 A",
        "http/1.1 200 A",  "HTTPS/1.1 200 A", "ICY 200 A",
        "200 A",           "PRI * HTTP/2.0",  "GET / HTTP/1.1"}) {
    CAPTURE(line);
    Fixed server(line + kShort);
    const auto [end, response] = server.Call();
    CHECK(end.code == Errc::kTargetFailed);
    CHECK(end.sent);
    CHECK(response.body.empty());
    CHECK(server.client.idle_connections() == 0);
    server.Call();
    CHECK(server.connections == 2);
  }
}

TEST_CASE("an odd status in front of an answer is skipped") {
  for (const std::string line : {"HTTP/1.1 000 A", "HTTP/1.1 099 A",
                                 "HTTP/1.1 101 A", "HTTP/1.1 600 A"}) {
    CAPTURE(line);
    Fixed server(line + kShort + kFinal);
    CHECK(server.Call().first.code == Errc::kTargetFailed);
    CHECK(server.client.idle_connections() == 0);
  }
}

TEST_CASE("a body in a coding that is not undone passes for an answer") {
  for (const std::string coding :
       {"gzip", "gzip, chunked", "chunked, gzip", "x chunked", "identity",
        "chunked\r\nTransfer-Encoding: gzip",
        "gzip\r\nTransfer-Encoding: chunked", "gzip\r\nContent-Length: 2"}) {
    CAPTURE(coding);
    Fixed server("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding +
                 "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    const auto [end, response] = server.Call();
    CHECK(end.code == Errc::kTargetFailed);
    CHECK(response.body.empty());
    CHECK(server.client.idle_connections() == 0);
  }
  for (const std::string coding : {"chunked", "Chunked", " chunked "}) {
    CAPTURE(coding);
    Fixed server("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding +
                 "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    const auto [end, response] = server.Call();
    CHECK(end.code == Errc::kOk);
    CHECK(response.body == "ok");
  }
}

TEST_CASE("a status that HTTP knows is no answer") {
  for (const int status :
       {200, 201, 204, 299, 304, 399, 400, 418, 499, 500, 599}) {
    for (const std::string version : {"HTTP/1.0 ", "HTTP/1.1 "}) {
      CAPTURE(status);
      CAPTURE(version);
      Fixed server(version + std::to_string(status) + " A" + kShort);
      const auto [end, response] = server.Call();
      CHECK(end.code == Errc::kOk);
      CHECK(response.status == status);
    }
  }
}

TEST_CASE("provisional answers stand for the final one") {
  const std::string provisional = "HTTP/1.1 199 A\r\n\r\n";
  SUBCASE("the final one follows") {
    const auto [end, response] = Fixed(provisional + kFinal).Call();
    CHECK(end.code == Errc::kOk);
    CHECK(response.status == 200);
    CHECK(response.body == "ok");
  }
  SUBCASE("none follows") {
    CHECK(Fixed(provisional).Call().first.code == Errc::kTargetUnresponsive);
  }
  SUBCASE("without end") {
    std::string many;
    for (int i = 0; i < 100; ++i) many += provisional;
    CHECK(Fixed(many + kFinal).Call().first.code == Errc::kTargetFailed);
  }
}

TEST_CASE("a provisional answer behind the final one stands for the next") {
  for (const std::string late :
       {"HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"}) {
    CAPTURE(late);
    Fixed server(kFinal + late);
    for (int i = 1; i <= 3; ++i) {
      const auto [end, response] = server.Call();
      CHECK(end.code == Errc::kOk);
      CHECK(response.status == 200);
      CHECK(response.body == "ok");
      CHECK(server.connections == i);
    }
  }
}
