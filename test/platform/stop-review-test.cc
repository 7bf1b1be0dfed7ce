// Requests that a planned stop or a silent target must not cost.
#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <vector>

#include "http/body-budget.h"
#include "http/server.h"
#include "platform/stand-ins.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

namespace {

const http::Fields kStreamFields = {{"x-token-count", "2000,100"}};

void SetSlots(Site& site, const char* service, const FakeTarget& target,
              int slots) {
  auto entry = SampleEntry(service, target.address(), "z1", "ready");
  entry["Slots"] = slots;
  site.store().Put("servers", target.name(), entry);
}

/// Writes `pieces` of a plain answer, one each 100 ms.
void WritePieces(FakeTarget& target, const http::ExchangePtr& exchange,
                 int pieces) {
  if (pieces == 0) return exchange->End();
  exchange->Write("piece ");
  target.After(milliseconds(100), [&target, exchange, pieces] {
    WritePieces(target, exchange, pieces - 1);
  });
}

/// Sends events 1 and 2, nothing for `silence`, then event 3 and the end.
void FallSilent(FakeTarget& target, const http::ExchangePtr& exchange,
                milliseconds silence) {
  http::Response head = target.Head(exchange->request());
  head.content_type = "text/event-stream";
  exchange->StartStream(std::move(head));
  FakeTarget::WriteEvents(exchange, 1, 2);
  target.After(silence, [exchange] {
    FakeTarget::WriteEvents(exchange, 3, 1);
    exchange->End();
  });
}

}  // namespace

TEST_CASE("a plain answer is given up while its body arrives") {
  Site site;
  std::vector<FakeTarget*> targets = {&site.AddTarget("app", "i1"),
                                      &site.AddTarget("app", "i2")};
  for (auto* target : targets) {
    target->OnRequest([target](const http::ExchangePtr& exchange) {
      exchange->StartStream(target->Head(exchange->request()));
      WritePieces(*target, exchange, 12);
    });
  }
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  const Answer answer = site.Call(host, "GET", "/safe/1");
  CHECK(answer.response.status == 200);
  CHECK(targets[0]->requests().size() + targets[1]->requests().size() == 1);
}

TEST_CASE("a stream ends with its silent target because another refused it") {
  Site site;
  std::vector<FakeTarget*> targets = {&site.AddTarget("model", "i1"),
                                      &site.AddTarget("model", "i2")};
  FakeTarget* first = nullptr;
  for (auto* target : targets) {
    target->OnRequest([&first, target](const http::ExchangePtr& exchange) {
      if (first == nullptr) first = target;
      if (target == first) {
        return FallSilent(*target, exchange, milliseconds(1900));
      }
      http::Response full = target->Head(exchange->request(), 503);
      full.fields.push_back({"x-not-run", "1"});
      exchange->Respond(std::move(full));
    });
  }
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  const Answer answer = site.Call(host, "POST", "/stream/1", kStreamFields);
  CHECK(answer.response.status == 200);
  CHECK(answer.whole);
}

TEST_CASE("a caller leaves as the end of its attempt frees another target") {
  Site site;
  std::vector<FakeTarget*> targets;
  std::size_t received = 0;
  std::vector<http::ExchangePtr> open;
  for (int i = 1; i <= 4; ++i) {
    targets.push_back(&site.AddTarget("model", "i" + std::to_string(i)));
    FakeTarget& target = *targets.back();
    target.OnRequest([&](const http::ExchangePtr& exchange) {
      if (exchange->request().target == "/stream/warmup") {
        return FallSilent(target, exchange, milliseconds(1));
      }
      ++received;
      open.push_back(exchange);
    });
  }
  site.PutConfig(1, [](nlohmann::json& config) {
    config["Services"][1]["Engine"]["KvTokens"] = 60000;
  });
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  // Until then the placer waits for other hosts.
  CHECK(site.Call(host, "POST", "/stream/warmup", kStreamFields).whole);
  const auto answer =
      site.Send(host, "POST", "/stream/1", {{"x-token-count", "90000,100"}});
  REQUIRE(site.Until([&] { return received == 1; }));
  const auto leaves_at = Clock::now() + milliseconds(1600);
  REQUIRE(site.Until([&] { return Clock::now() >= leaves_at; }));
  const std::size_t before = received;
  answer->call->Cancel();
  const auto end = Clock::now() + milliseconds(300);
  REQUIRE(site.Until([&] { return Clock::now() >= end; }));
  CHECK(received == before);
}

TEST_CASE("a request waits in a planned stop after its time to be sent") {
  constexpr milliseconds kStopTime{4000};
  Site site;
  site.SetStopTime(kStopTime);
  FakeTarget& target = site.AddTarget("app", "i1");
  std::vector<http::ExchangePtr> open;
  target.OnRequest(
      [&open](const http::ExchangePtr& exchange) { open.push_back(exchange); });
  SetSlots(site, "app", target, 1);
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  site.Send(host, "POST", "/unsafe/1");
  REQUIRE(site.Until([&] { return open.size() == 1; }));
  const auto waiting = site.Send(host, "POST", "/unsafe/1");
  site.Get(site.settings(host).readiness, "/readyz");
  site.host(host).Stop();
  const auto began = Clock::now();
  REQUIRE(site.Until([&] { return waiting->ended; }));
  CHECK(waiting->whole);
  CHECK(waiting->response.status == 503);
  // 300 ms to answer, 1.5 s of silence: it can't be sent after 8/9 less those.
  CHECK(Clock::now() - began < kStopTime / 2);
}

TEST_CASE("a dark target gets requests while the others are full") {
  Site site;
  FakeTarget& full = site.AddTarget("app", "i2");
  std::vector<http::ExchangePtr> open;
  const auto keep = [&open](const http::ExchangePtr& exchange) {
    open.push_back(exchange);
  };
  full.OnRequest(keep);
  SetSlots(site, "app", full, 1);
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  const auto busy = site.Send(host, "POST", "/unsafe/1");
  REQUIRE(site.Until([&] { return full.requests().size() == 1; }));
  FakeTarget& dark = site.AddTarget("app", "i1");
  dark.OnRequest(keep);
  SetSlots(site, "app", dark, 40);
  std::vector<std::shared_ptr<Answer>> answers;
  const auto began = Clock::now();
  auto next = began;
  std::size_t before = 0;
  REQUIRE(site.Until([&] {
    const auto now = Clock::now();
    if (now - began < seconds(1)) before = dark.requests().size();
    if (now >= next) {
      next += milliseconds(50);
      answers.push_back(site.Send(host, "GET", "/safe/1"));
    }
    return now - began >= milliseconds(2500);
  }));
  // The first was silent for 450 ms, after which only trials may follow.
  MESSAGE("in the first second " << before << ", in all "
                                 << dark.requests().size());
  CHECK(dark.requests().size() - before <= 5);
}

TEST_CASE("a request is read and dropped as its idle connection is closed") {
  namespace asio = boost::asio;
  using asio::ip::tcp;
  asio::io_context io{1};
  std::size_t received = 0;
  http::ServerHooks hooks;
  hooks.admit_head = [](const http::Request&) { return Errc::kOk; };
  hooks.handle = [&received](const http::ExchangePtr& exchange) {
    ++received;
    exchange->Respond({});
  };
  hooks.error_response = [](Errc) { return http::Response{}; };
  http::Server server(io, {}, hooks,
                      std::make_shared<http::BodyBudget>(1 << 20));
  REQUIRE_FALSE(server.Listen("127.0.0.1:0"));
  asio::io_context caller_io;
  tcp::socket caller(caller_io);
  caller.connect({asio::ip::address_v4::loopback(), server.port()});
  io.run_for(milliseconds(50));
  asio::write(caller, asio::buffer(std::string(
                          "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n")));
  asio::post(io, [&server] { server.CloseIdle(); });
  io.run_for(milliseconds(50));
  const bool was_read = received == 1;
  tcp::socket idle(caller_io);
  idle.connect({asio::ip::address_v4::loopback(), server.port()});
  io.run_for(milliseconds(50));
  server.CloseIdle();
  io.run_for(milliseconds(50));
  CHECK(idle.available() == 0);
  idle.non_blocking(true);
  // A connection that is closed with unread bytes is reset, one whose bytes
  // were read ends.
  boost::system::error_code error;
  std::string answer(1, '\0');
  caller.read_some(asio::buffer(answer), error);
  CHECK((was_read || error == asio::error::connection_reset));
  CHECK((was_read || error));
  idle.read_some(asio::buffer(answer), error);
  CHECK(error == asio::error::eof);
}
