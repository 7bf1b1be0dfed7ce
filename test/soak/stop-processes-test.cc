// Planned stops of host processes: signals, configurations, placers and
// connections in the time between SIGTERM and the end of the process.
#include <doctest/doctest.h>
#include <signal.h>

#include <filesystem>

#include "soak/fleet.h"

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using platform::Answer;
using platform::FakeTarget;
using soak::Fleet;
using soak::HostProcess;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;
using Tcp = boost::asio::ip::tcp;
using Json = nlohmann::json;

namespace {

void AnswersAfter(FakeTarget& target, milliseconds work,
                  std::size_t bytes = 0) {
  target.OnRequest([&target, work, bytes](const http::ExchangePtr& exchange) {
    target.After(work, [&target, exchange, bytes] {
      http::Response answer = target.Head(exchange->request());
      answer.body = std::string(bytes, 'x');
      exchange->Respond(std::move(answer));
    });
  });
}

const std::string kKeptRequest =
    "GET /safe/1 HTTP/1.1\r\nhost: a.example\r\nx-request-id: kept\r\n"
    "x-deadline-ms: 15000\r\nauthorization: Token key1\r\n\r\n";

/// Reads what has arrived, without waiting.
void ReadArrived(Tcp::socket& socket, std::string& read) {
  boost::system::error_code ignored;
  std::string buffer(socket.available(ignored), '\0');
  if (buffer.empty()) return;
  buffer.resize(socket.read_some(boost::asio::buffer(buffer), ignored));
  read += buffer;
}

/// Reads to the end of a connection whose other end is gone.
std::string ReadRest(Tcp::socket& socket) {
  std::string read;
  boost::system::error_code ignored;
  boost::asio::read(socket, boost::asio::dynamic_buffer(read), ignored);
  return read;
}

/// Bytes of the body, or nothing while the head is incomplete.
std::size_t BodyBytes(const std::string& answer) {
  const auto head = answer.find("\r\n\r\n");
  return head == std::string::npos ? 0 : answer.size() - head - 4;
}

}  // namespace

TEST_CASE("signals and a configuration in a stop cut a running request") {
  Fleet fleet;
  FakeTarget& target = fleet.AddTarget("app", 8);
  AnswersAfter(target, milliseconds(1500));
  HostProcess& host = fleet.AddHost();
  const auto order = fleet.Send(host, "POST", "/unsafe/1");
  const auto lookup = fleet.Send(host, "GET", "/safe/1");
  REQUIRE(fleet.Until([&] { return target.requests().size() == 2; }));
  host.Signal(SIGTERM);
  fleet.PutConfig(2, [](Json& config) {
    platform::SetRouteTimes(config, milliseconds(100), milliseconds(50));
    platform::SetAccountKey(config, "key2");
  });
  for (const int signal : {SIGHUP, SIGTERM, SIGINT, SIGHUP}) {
    host.Signal(signal);
    const auto next = Clock::now() + milliseconds(100);
    fleet.Until([next] { return Clock::now() > next; });
  }
  REQUIRE(fleet.UntilGone(host));
  CHECK(host.status() == 0);
  for (const auto& answer : {order, lookup}) {
    CHECK(answer->whole);
    CHECK(answer->response.status == 200);
  }
  CHECK(target.requests().size() == 2);
}

TEST_CASE("requests that wait at a placer are lost when its host stops") {
  constexpr std::size_t kRequests = 5;
  Fleet fleet;
  FakeTarget& target = fleet.AddTarget("app", 1);
  AnswersAfter(target, milliseconds(1000));
  HostProcess& first = fleet.AddHost();
  HostProcess& second = fleet.AddHost();
  const bool first_holds = !fleet.Holds(second, "app");
  REQUIRE(fleet.Holds(first, "app") == first_holds);
  HostProcess& holder = first_holds ? first : second;
  HostProcess& other = first_holds ? second : first;
  std::vector<std::shared_ptr<Answer>> answers;
  for (std::size_t i = 0; i < kRequests; ++i) {
    answers.push_back(fleet.Send(other, "POST", "/unsafe/1"));
  }
  REQUIRE(fleet.Until([&] { return !target.requests().empty(); }));
  holder.Signal(SIGTERM);
  REQUIRE(fleet.UntilGone(holder));
  REQUIRE(fleet.Until([&] {
    return std::all_of(answers.begin(), answers.end(),
                       [](const auto& answer) { return answer->ended; });
  }));
  for (const auto& answer : answers) {
    CHECK(answer->whole);
    CHECK(answer->response.status == 200);
  }
  CHECK(target.requests().size() == kRequests);
}

TEST_CASE("a host that left keeps the place of its request") {
  Fleet fleet;
  FakeTarget& target = fleet.AddTarget("app", 1);
  std::vector<http::ExchangePtr> held;
  target.OnRequest([&](const http::ExchangePtr& exchange) {
    if (held.empty()) return held.push_back(exchange);
    exchange->Respond(target.Head(exchange->request()));
  });
  HostProcess& stays = fleet.AddHost();
  HostProcess& leaves = fleet.AddHost();
  const auto unanswered = fleet.Send(leaves, "POST", "/unsafe/1");
  REQUIRE(fleet.Until([&] { return held.size() == 1; }));
  const auto waiting = fleet.Send(stays, "POST", "/unsafe/1");
  leaves.Signal(SIGTERM);
  REQUIRE(fleet.UntilGone(leaves));
  REQUIRE(fleet.Until([&] { return waiting->ended; }));
  CHECK(waiting->whole);
  CHECK(waiting->response.status == 200);
  CHECK(target.requests().size() == 2);
}

TEST_CASE("an idle kept connection gets bytes at the end of a stop") {
  Fleet fleet;
  fleet.AddTarget("app", 8);
  HostProcess& host = fleet.AddHost();
  Tcp::socket unused = fleet.Connect(host);
  Tcp::socket kept = fleet.Connect(host);
  boost::asio::write(kept, boost::asio::buffer(kKeptRequest));
  std::string first;
  REQUIRE(fleet.Until([&] {
    ReadArrived(kept, first);
    return BodyBytes(first) > 0;
  }));
  CHECK(first.starts_with("HTTP/1.1 200"));
  host.Signal(SIGTERM);
  REQUIRE(fleet.UntilGone(host));
  CHECK(host.status() == 0);
  CHECK(ReadRest(unused).empty());
  CHECK(ReadRest(kept).empty());
}

TEST_CASE("an answer that a slow caller reads is cut by a stop") {
  constexpr std::size_t kBytes = 3'000'000;
  Fleet fleet;
  FakeTarget& target = fleet.AddTarget("app", 8);
  AnswersAfter(target, milliseconds(0), kBytes);
  HostProcess& host = fleet.AddHost();
  Tcp::socket reads = fleet.Connect(host);
  Tcp::socket waits = fleet.Connect(host);
  boost::asio::write(reads, boost::asio::buffer(kKeptRequest));
  boost::asio::write(waits, boost::asio::buffer(kKeptRequest));
  REQUIRE(fleet.Until(
      [&] { return reads.available() > 0 && waits.available() > 0; }));
  host.Signal(SIGTERM);
  std::string read;
  REQUIRE(fleet.Until([&] {
    ReadArrived(reads, read);
    return BodyBytes(read) >= kBytes;
  }));
  REQUIRE(fleet.UntilGone(host));
  read += ReadRest(reads);
  const std::string late = ReadRest(waits);
  const bool is_whole = BodyBytes(late) >= kBytes;
  const bool has_length =
      late.find("Content-Length: " + std::to_string(kBytes)) !=
      std::string::npos;
  const bool looks_whole =
      is_whole || (!has_length && late.ends_with("0\r\n\r\n"));
  CHECK(looks_whole == is_whole);
}
