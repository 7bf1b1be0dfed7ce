// Memory that a host process holds while targets pour out answers.
#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "soak/fleet.h"

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using platform::RawTarget;
using soak::Fleet;
using soak::HostProcess;
using std::chrono::milliseconds;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr std::uint64_t kMegabyte = 1024 * 1024;
/// Half of the memory that the settings give a host.
constexpr std::uint64_t kMostMemory = 128 * kMegabyte;
constexpr int kCallers = 150;
constexpr std::size_t kReadBytes = 16 * 1024;

void Pour(const RawTarget::Socket& socket,
          const std::shared_ptr<std::string>& text) {
  boost::asio::async_write(
      *socket, boost::asio::buffer(*text),
      [socket, text](const boost::system::error_code& error, std::size_t) {
        if (!error) Pour(socket, text);
      });
}

void PourOnce(const RawTarget::Socket& socket, std::string text) {
  const auto kept = std::make_shared<std::string>(std::move(text));
  boost::asio::async_write(
      *socket, boost::asio::buffer(*kept),
      [socket, kept](const boost::system::error_code&, std::size_t) {});
}

std::string Chunk(std::size_t size) {
  char line[16];
  std::snprintf(line, sizeof(line), "%zx\r\n", size);
  return line + std::string(size, 'z') + "\r\n";
}

/// A host, a sound target, and one that answers each request by `pour`, after
/// a head that names the request.
struct Poured {
  Poured(const std::string& fields, bool is_marked,
         const std::function<void(const RawTarget::Socket&)>& pour)
      : target(fleet.io(), "pouring",
               [fields, is_marked, pour](const RawTarget::Socket& socket,
                                         const std::string& request) {
                 PourOnce(socket, platform::SuccessHead(request, is_marked) +
                                      fields + "\r\n");
                 pour(socket);
                 return false;
               }) {
    fleet.AddTarget("model", 200);
    fleet.List("app", target.name(), target.address(), 200);
    host = &fleet.AddHost();
  }

  /// Sends a request; its answer is read slowly, or not at all.
  void Send(bool reads) {
    const auto socket = std::make_shared<Tcp::socket>(fleet.Connect(*host));
    boost::asio::write(
        *socket,
        boost::asio::buffer("POST /unsafe/1 HTTP/1.1\r\nHost: a.example\r\n"
                            "X-Request-Id: u" +
                            std::to_string(callers.size()) +
                            "\r\nX-Deadline-Ms: 9000\r\n"
                            "Authorization: Token key1\r\n"
                            "Content-Length: 0\r\n\r\n"));
    callers.push_back(socket);
    if (reads) ReadSlowly(socket);
  }

  void ReadSlowly(const std::shared_ptr<Tcp::socket>& socket) {
    const auto bytes = std::make_shared<std::string>(kReadBytes, '\0');
    socket->async_read_some(
        boost::asio::buffer(*bytes),
        [this, socket, bytes](const boost::system::error_code& error,
                              std::size_t) {
          if (error) return;
          const auto timer = std::make_shared<boost::asio::steady_timer>(
              fleet.io(), milliseconds(20));
          timer->async_wait(
              [this, socket, timer](const boost::system::error_code&) {
                ReadSlowly(socket);
              });
        });
  }

  /// Requests of others, one after the other for `time`; all are served.
  void ServeOthers(milliseconds time) {
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
      const auto answer = fleet.Send(*host, "POST", "/stream/1");
      REQUIRE(fleet.Until([&answer] { return answer->ended; }));
      CHECK(answer->response.status == 200);
    }
  }

  Fleet fleet;
  RawTarget target;
  HostProcess* host = nullptr;
  std::vector<std::shared_ptr<Tcp::socket>> callers;
};

}  // namespace

TEST_CASE("answers without end to callers that read slowly fill the memory") {
  std::string fields;
  std::string text(64 * 1024, 'z');
  SUBCASE("until the connection closes") {}
  SUBCASE("in chunks") {
    fields = "Transfer-Encoding: chunked\r\n";
    text = Chunk(text.size());
  }
  const auto shared = std::make_shared<std::string>(text);
  Poured poured(fields, true, [shared](const RawTarget::Socket& socket) {
    Pour(socket, shared);
  });
  for (int i = 0; i < kCallers; ++i) poured.Send(i % 4 != 0);
  poured.ServeOthers(milliseconds(3000));
  CHECK(poured.host->Running());
  const auto peak = poured.host->PeakMemoryBytes();
  MESSAGE("peak memory " << peak / kMegabyte << " MiB");
  CHECK(peak < kMostMemory);
}

TEST_CASE("answers that are kept until they are whole fill the memory") {
  // Just below the size from which an answer is passed on, and then nothing.
  const std::string body(1000 * 1000, 'z');
  const std::string fields = "Content-Length: 1000001\r\n";
  bool is_marked = false;
  SUBCASE("with the target's mark") { is_marked = true; }
  SUBCASE("without the target's mark") {}
  Poured poured(fields, is_marked, [body](const RawTarget::Socket& socket) {
    PourOnce(socket, body);
  });
  for (int i = 0; i < kCallers; ++i) poured.Send(false);
  poured.ServeOthers(milliseconds(2000));
  CHECK(poured.host->Running());
  const auto peak = poured.host->PeakMemoryBytes();
  MESSAGE("peak memory " << peak / kMegabyte << " MiB");
  CHECK(peak < kMostMemory);
}
