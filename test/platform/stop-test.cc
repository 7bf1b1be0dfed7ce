// Planned stops of a host, as its callers see them.
#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <vector>

#include "http/body-budget.h"
#include "http/server.h"
#include "node/log.h"
#include "platform/stand-ins.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

namespace {

const http::Fields kStreamFields = {{"x-token-count", "2000,100"}};

/// Work under way when a host stopped, as its last log line says.
std::optional<std::uint64_t> open_at_stop;
/// Lines that tell of requests which the end of a stop cut.
std::size_t requests_cut = 0;

const bool kTapped = [] {
  node::SetLogTap([](node::Event event, const std::string& line) {
    if (event == node::Event::kRequestCut) ++requests_cut;
    if (event != node::Event::kStopped) return;
    open_at_stop =
        nlohmann::json::parse(line).at("open_requests").get<std::uint64_t>();
  });
  return true;
}();

milliseconds WorkTime(const http::Request& request) {
  return milliseconds(
      std::stoi(std::string(http::FieldValue(request.fields, "x-work-ms"))));
}

/// Answers after the time that the request names.
void AnswersAfterWork(FakeTarget& target) {
  target.OnRequest([&target](const http::ExchangePtr& exchange) {
    target.After(WorkTime(exchange->request()), [&target, exchange] {
      exchange->Respond(target.Head(exchange->request()));
    });
  });
}

void WriteUntil(FakeTarget& target, const http::ExchangePtr& exchange,
                Clock::time_point end, int next) {
  constexpr milliseconds kPause{200};
  FakeTarget::WriteEvents(exchange, next, 1);
  if (Clock::now() >= end) return exchange->End();
  target.After(kPause, [&target, exchange, end, next] {
    WriteUntil(target, exchange, end, next + 1);
  });
}

/// Streams events for the time that the request names.
void StreamsDuringWork(FakeTarget& target) {
  target.OnRequest([&target](const http::ExchangePtr& exchange) {
    http::Response head = target.Head(exchange->request());
    head.content_type = "text/event-stream";
    exchange->StartStream(std::move(head));
    WriteUntil(target, exchange, Clock::now() + WorkTime(exchange->request()),
               1);
  });
}

struct LateRequest {
  std::shared_ptr<Answer> answer;
  std::string id;
  milliseconds sent_after;  ///< Since the stop began.
  milliseconds work;
};

bool WasReceived(const FakeTarget& target, const std::string& id) {
  const auto& requests = target.requests();
  return std::any_of(
      requests.begin(), requests.end(), [&id](const http::Request& request) {
        return http::FieldValue(request.fields, "x-request-id") == id;
      });
}

}  // namespace

TEST_CASE("a request that comes late in a planned stop is cut unanswered") {
  constexpr milliseconds kStopTime{4000};
  constexpr milliseconds kPardonedStart = kStopTime * 3 / 8;
  constexpr milliseconds kPardonedEnd = kStopTime * 5 / 6;
  constexpr milliseconds kReadTime{200};
  Site site;
  site.SetStopTime(kStopTime);
  FakeTarget& app = site.AddTarget("app", "i1");
  FakeTarget& model = site.AddTarget("model", "i2");
  AnswersAfterWork(app);
  StreamsDuringWork(model);
  site.PutConfig(1, [](nlohmann::json& config) {
    config["Routes"][1]["TimeoutMs"] = 1500;
    config["Services"][1]["Engine"]["Slots"] = 400;
  });
  site.SetSlots("app", app, 400);
  site.SetSlots("model", model, 400);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  open_at_stop.reset();
  site.host(host).Stop();
  const auto began = Clock::now();
  const auto since = [began] {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - began);
  };
  std::vector<LateRequest> sent;
  const auto send = [&](const char* path, milliseconds work) {
    const std::string id = "late" + std::to_string(sent.size());
    http::Fields fields = kStreamFields;
    fields.push_back({"x-work-ms", std::to_string(work.count())});
    fields.push_back({"x-request-id", id});
    const auto at = since();
    sent.push_back({site.Send(host, "POST", path, fields), id, at, work});
  };
  milliseconds next{0};
  REQUIRE(site.Until([&] {
    if (since() >= next && !site.stopped()) {
      next += milliseconds(100);
      for (const int work : {50, 500, 1500, 3000}) {
        send("/unsafe/1", milliseconds(work));
        send("/stream/1", milliseconds(work));
      }
    }
    return site.stopped();
  }));
  const auto end = since();
  CHECK(open_at_stop.value() == 0);
  std::size_t whole = 0;
  for (const auto& request : sent) {
    const Answer& answer = *request.answer;
    const bool ran =
        WasReceived(app, request.id) || WasReceived(model, request.id);
    const bool is_pardoned = request.sent_after <= kPardonedStart &&
                             request.sent_after + request.work >= kPardonedEnd;
    CAPTURE(request.id);
    CAPTURE(request.sent_after.count());
    CAPTURE(request.work.count());
    const bool is_unread =
        !ran && !answer.whole && request.sent_after + kReadTime >= end;
    if (!is_pardoned && !is_unread) CHECK(answer.whole);
    if (answer.whole && answer.response.status == 503) {
      CHECK_FALSE(ran);
      CHECK(http::HasField(answer.response.fields, "retry-after"));
    }
    if (answer.whole && answer.response.status == 200) ++whole;
  }
  CHECK(whole > 50);
}

TEST_CASE("a request that waits for a target when a host ends is not refused") {
  Site site;
  site.SetStopTime(seconds(1));
  FakeTarget& target = site.AddTarget("model", "i1");
  std::vector<http::ExchangePtr> open;
  target.OnRequest(
      [&open](const http::ExchangePtr& exchange) { open.push_back(exchange); });
  site.SetSlots("model", target, 1);
  site.PutConfig(1, [](nlohmann::json& config) {
    config["Services"][1]["Engine"]["Slots"] = 1;
  });
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  std::vector<LateRequest> sent;
  for (int i = 0; i < 6; ++i) {
    const std::string id = "waiting" + std::to_string(i);
    http::Fields fields = kStreamFields;
    fields.push_back({"x-request-id", id});
    sent.push_back({site.Send(host, "POST", "/stream/1", fields), id, {}, {}});
  }
  REQUIRE(site.Until([&] { return !target.requests().empty(); }));
  site.Get(site.settings(host).readiness, "/readyz");
  site.host(host).Stop();
  REQUIRE(site.Until([&] { return site.stopped(); }));
  std::size_t waited = 0;
  for (const auto& request : sent) {
    if (WasReceived(target, request.id)) continue;
    ++waited;
    const http::Response& response = request.answer->response;
    CHECK(request.answer->whole);
    CHECK(response.status == 503);
    CHECK(http::HasField(response.fields, "retry-after"));
  }
  CHECK(waited > 0);
}

TEST_CASE("an unsafe request that still runs when a host ends is cut") {
  Site site;
  site.SetStopTime(seconds(1));
  FakeTarget& target = site.AddTarget("app", "i1");
  std::vector<http::ExchangePtr> open;
  target.OnRequest(
      [&open](const http::ExchangePtr& exchange) { open.push_back(exchange); });
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  const auto answer = site.Send(host, "POST", "/unsafe/1");
  REQUIRE(site.Until([&] { return !open.empty(); }));
  open_at_stop.reset();
  site.host(host).Stop();
  REQUIRE(site.Until([&] { return site.stopped(); }));
  CHECK(open_at_stop.value() == 0);
  CHECK(answer->whole);
  CHECK(answer->response.status == 502);
  CHECK_FALSE(http::HasField(answer->response.fields, "retry-after"));
  CHECK(answer->response.body.find("host_stopped") != std::string::npos);
}

TEST_CASE("a stream that still runs when a host ends looks complete") {
  Site site;
  site.SetStopTime(seconds(1));
  FakeTarget& target = site.AddTarget("model", "i1");
  std::vector<http::ExchangePtr> open;
  target.OnRequest([&](const http::ExchangePtr& exchange) {
    open.push_back(exchange);
    http::Response head = target.Head(exchange->request());
    head.content_type = "text/event-stream";
    exchange->StartStream(std::move(head));
    FakeTarget::WriteEvents(exchange, 1, 2);
  });
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  const auto answer = site.Send(host, "POST", "/stream/1", kStreamFields);
  REQUIRE(site.Until([&] { return !open.empty(); }));
  site.host(host).Stop();
  REQUIRE(site.Until([&] { return site.stopped(); }));
  REQUIRE(site.Until([&] { return answer->ended; }));
  CHECK_FALSE(answer->whole);
}

TEST_CASE("a request waits in a planned stop after its time to be sent") {
  constexpr milliseconds kStopTime{4000};
  Site site;
  site.SetStopTime(kStopTime);
  FakeTarget& target = site.AddTarget("app", "i1");
  std::vector<http::ExchangePtr> open;
  target.OnRequest(
      [&open](const http::ExchangePtr& exchange) { open.push_back(exchange); });
  site.SetSlots("app", target, 1);
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  site.Send(host, "POST", "/unsafe/1");
  REQUIRE(site.Until([&] { return open.size() == 1; }));
  const auto waiting = site.Send(host, "POST", "/unsafe/1");
  site.Get(site.settings(host).readiness, "/readyz");
  site.host(host).Stop();
  requests_cut = 0;
  REQUIRE(site.Until([&] { return waiting->ended; }));
  CHECK(waiting->whole);
  CHECK(waiting->response.status == 503);
  // Refused before the end of the stop, not cut by it.
  CHECK(requests_cut == 0);
}

TEST_CASE("a request that was read behind another is dropped by a stop") {
  // It is served if that is in time, else refused.
  for (const bool is_in_time : {true, false}) {
    CAPTURE(is_in_time);
    Site site;
    FakeTarget& target = site.AddTarget("app", "i1");
    std::size_t runs = 0;
    target.OnRequest([&](const http::ExchangePtr& exchange) {
      const auto answer = [&target, exchange] {
        exchange->Respond(target.Head(exchange->request()));
      };
      if (++runs > 1) return answer();
      target.After(milliseconds(200), [&site, &target, answer] {
        site.host(0).Stop();
        target.After(milliseconds(200), answer);
      });
    });
    site.PutConfig(1);
    const auto host = site.AddHost();
    REQUIRE(site.UntilReady(host));
    const auto request = [](const char* id, const char* deadline_ms) {
      return std::string("GET /safe/1 HTTP/1.1\r\nhost: a.example\r\n") +
             "authorization: Token key1\r\nx-deadline-ms: " + deadline_ms +
             "\r\nx-request-id: " + id + "\r\n\r\n";
    };
    const std::string got =
        site.SendBytes(host, request("h1", "4000") +
                                 request("h2", is_in_time ? "700" : "4000"));
    CAPTURE(got);
    CHECK(got.starts_with("HTTP/1.1 200 OK\r\n"));
    const auto second = got.find("HTTP/1.1 ", 1);
    REQUIRE(second != std::string::npos);
    const std::string rest = got.substr(second);
    CHECK(rest.starts_with(is_in_time ? "HTTP/1.1 200" : "HTTP/1.1 503"));
    CHECK(rest.find("x-request-id: h2") != std::string::npos);
    CHECK((rest.find("not_run") == std::string::npos) == is_in_time);
    CHECK(runs == (is_in_time ? 2 : 1));
    // Only the last answer announces the end of the connection.
    CHECK(got.find("onnection: close") > second);
  }
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
