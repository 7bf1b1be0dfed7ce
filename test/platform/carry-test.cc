// Requests that one host sends to a target over another host.
#include <doctest/doctest.h>

#include <chrono>
#include <random>
#include <vector>

#include "platform/stand-ins.h"
#include "wire/codec.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

namespace {

/// Two hosts of which the first reaches no target.
struct TwoHosts {
  TwoHosts() : app(site.AddTarget("app", "a1")), model(AddModel()) {
    site.PutConfig(1);
    cut = site.AddHost();
    carrier = site.AddHost();
    REQUIRE(site.UntilReady(cut));
    REQUIRE(site.UntilReady(carrier));
    // By then the hosts know each other.
    const auto end = Clock::now() + milliseconds(600);
    site.Until([&] { return Clock::now() >= end; });
    for (const char* service : {"app", "model"}) {
      site.SetPath(cut, service, TargetPath::kRefused);
    }
  }

  FakeTarget& AddModel() {
    FakeTarget& target = site.AddTarget("model", "m1");
    target.CloseAfterAnswers();
    return target;
  }

  std::string PeerAddress(std::size_t host) const {
    const auto& settings = site.settings(host);
    return settings.ip + ":" + std::to_string(settings.placement_port);
  }

  /// A frame as the other hosts of the fleet sign it.
  std::string Frame(const std::string& address, const std::string& fleet,
                    const std::string& method = "GET") const {
    wire::CarryHead head;
    head.sender = "host0";
    head.request = "id1";
    head.service_name = "app";
    head.address = address;
    head.progress_ms = 1000;
    head.idle_limit_ms = 1000;
    head.method = method;
    head.target = "/safe/1";
    wire::CarriedField& field = head.fields.emplace_back();
    field.name = "x-target-instance";
    field.value = app.name();
    return wire::EncodeCarry(head, "body", {"comfreyflow " + fleet});
  }

  Answer PostFrame(std::string frame) {
    http::Request request;
    request.method = "POST";
    request.path = "/peer/carry";
    request.body = std::move(frame);
    return site.Fetch(PeerAddress(carrier), std::move(request));
  }

  Site site;
  FakeTarget& app;
  FakeTarget& model;
  std::size_t cut = 0;
  std::size_t carrier = 0;
};

}  // namespace

TEST_CASE("a host sends what a foreign fleet or a broken frame asks for") {
  TwoHosts hosts;
  hosts.app.CloseAfterAnswers();
  const std::string& fleet = hosts.site.settings(0).deployment;
  const std::string good = hosts.Frame(hosts.app.address(), fleet);
  const auto before = hosts.app.requests().size();
  const auto refused = [&hosts](std::string frame) {
    const Answer answer = hosts.PostFrame(std::move(frame));
    return answer.whole && http::FieldValue(answer.response.fields,
                                            "carry-failed") == "declined";
  };
  CHECK(refused(hosts.Frame(hosts.app.address(), "other" + fleet)));
  CHECK(refused(hosts.Frame("127.0.0.1:1", fleet)));
  CHECK(refused(""));
  CHECK(refused(good.substr(0, good.size() / 2)));
  std::mt19937_64 random(44);
  for (int i = 0; i < 200; ++i) {
    std::string broken = good;
    broken[random() % broken.size()] ^= static_cast<char>(1 + random() % 255);
    CHECK(refused(std::move(broken)));
  }
  CHECK(hosts.app.requests().size() == before);
  const Answer carried = hosts.PostFrame(good);
  CHECK(http::FieldValue(carried.response.fields, "carried") == "1");
  CHECK(hosts.app.requests().size() == before + 1);
}

TEST_CASE("a carried request that HTTP can't carry ends the carrying host") {
  TwoHosts hosts;
  hosts.app.CloseAfterAnswers();
  const std::string& fleet = hosts.site.settings(0).deployment;
  const auto before = hosts.app.requests().size();
  for (const char* method : {"TRACE", "", "A\r\nB", "G T"}) {
    Answer answer;
    REQUIRE_NOTHROW(answer = hosts.PostFrame(
                        hosts.Frame(hosts.app.address(), fleet, method)));
    CHECK(http::FieldValue(answer.response.fields, "carry-failed") ==
          "declined");
  }
  CHECK(hosts.app.requests().size() == before);
  hosts.PostFrame(hosts.Frame(hosts.app.address(), fleet));
  CHECK(hosts.app.requests().size() == before + 1);
}

TEST_CASE("a carried answer without a body is waited for or given one") {
  TwoHosts hosts;
  int status = 0;
  hosts.app.OnRequest([&](const http::ExchangePtr& exchange) {
    http::Response answer = hosts.app.Head(exchange->request(), status);
    if (status == 200) answer.body = "not for HEAD";
    exchange->Respond(std::move(answer));
  });
  for (const char* method : {"HEAD", "GET"}) {
    for (const int each : {200, 204, 304}) {
      CAPTURE(method);
      CAPTURE(each);
      status = each;
      const auto began = Clock::now();
      const std::string got = hosts.site.SendBytes(
          hosts.cut, std::string(method) +
                         " /safe/1 HTTP/1.1\r\nhost: a.example\r\n"
                         "x-request-id: b" +
                         method + std::to_string(each) +
                         "\r\nx-deadline-ms: 4000\r\n"
                         "authorization: Token key1\r\n\r\n");
      CHECK(Clock::now() - began < seconds(2));
      const bool has_body = status == 200 && method == std::string("GET");
      CHECK_MESSAGE(got.starts_with("HTTP/1.1 " + std::to_string(each)), got);
      CHECK_MESSAGE(got.ends_with("\r\n\r\n") != has_body, got);
      CHECK(got.find("ransfer-") == std::string::npos);
    }
  }
  const Answer hop = hosts.PostFrame(hosts.Frame(
      hosts.app.address(), hosts.site.settings(0).deployment, "HEAD"));
  CHECK(http::FieldValue(hop.response.fields, "carried") == "1");
}

TEST_CASE("a carried stream arrives as a whole at its end") {
  TwoHosts hosts;
  std::vector<http::ExchangePtr> open;
  hosts.model.OnRequest([&](const http::ExchangePtr& exchange) {
    open.push_back(exchange);
    http::Response head = hosts.model.Head(exchange->request());
    head.content_type = "text/event-stream";
    exchange->StartStream(std::move(head));
    FakeTarget::WriteEvents(exchange, 1, 1);
  });
  const std::string bytes =
      "POST /stream/1 HTTP/1.1\r\nhost: a.example\r\nx-request-id: s1\r\n"
      "x-deadline-ms: 4000\r\nauthorization: Token key1\r\n"
      "x-token-count: 2000,100\r\ncontent-length: 0\r\n\r\n";
  const std::string got = hosts.site.SendBytes(hosts.cut, bytes);
  CHECK(open.size() >= 1);
  CHECK(got.find("word1") != std::string::npos);
  CHECK(got.find("word2") == std::string::npos);
}

TEST_CASE("a target works on after the caller of a carried stream has left") {
  TwoHosts hosts;
  bool is_gone = false;
  std::vector<http::ExchangePtr> open;
  hosts.model.OnRequest([&](const http::ExchangePtr& exchange) {
    open.push_back(exchange);
    exchange->OnGone([&is_gone] { is_gone = true; });
  });
  const auto answer = hosts.site.Send(hosts.cut, "POST", "/stream/1",
                                      {{"x-token-count", "2000,100"}});
  REQUIRE(hosts.site.Until([&] { return open.size() == 1; }));
  answer->call->Cancel();
  const auto left_at = Clock::now();
  REQUIRE(hosts.site.Until([&] { return is_gone; }));
  CHECK(Clock::now() - left_at < milliseconds(500));
}

TEST_CASE("an unsafe request runs twice as its answer is lost on the hop") {
  TwoHosts hosts;
  hosts.app.CloseAfterAnswers();
  const auto before = hosts.app.requests().size();
  hosts.app.OnRequest(
      [](const http::ExchangePtr& exchange) { exchange->Abort(); });
  const Answer answer = hosts.site.Call(hosts.cut, "POST", "/unsafe/1");
  CHECK(hosts.app.requests().size() == before + 1);
  // 503 would say that it was not run.
  CHECK(answer.response.status == 502);
}

TEST_CASE("hosts that all reach nothing send a request to each other") {
  TwoHosts hosts;
  hosts.app.CloseAfterAnswers();
  hosts.site.Call(hosts.cut, "GET", "/safe/last");
  hosts.site.SetPath(hosts.carrier, "app", TargetPath::kRefused);
  const auto before = hosts.app.requests().size();
  const auto began = Clock::now();
  const Answer answer = hosts.site.Call(hosts.cut, "GET", "/safe/1");
  CHECK(answer.response.status == 503);
  CHECK(hosts.app.requests().size() == before);
  CHECK(Clock::now() - began < seconds(1));
}

TEST_CASE("a target is held for crashed that one host does not reach") {
  TwoHosts hosts;
  hosts.app.CloseAfterAnswers();
  hosts.app.OnRequest(
      [](const http::ExchangePtr& exchange) { exchange->Abort(); });
  hosts.site.Call(hosts.cut, "POST", "/unsafe/1");
  REQUIRE(hosts.site.Until([&hosts] {
    return hosts.site.Metric(hosts.cut,
                             "comfreyflow_crashes_unconfirmed_total") == "1" ||
           hosts.site.Metric(hosts.cut,
                             "comfreyflow_crashes_confirmed_total") == "1";
  }));
  CHECK(hosts.site.Metric(hosts.cut, "comfreyflow_crashes_confirmed_total") ==
        "0");
}

TEST_CASE("a host sends on to a target that wants nothing of it") {
  TwoHosts hosts;
  hosts.app.CloseAfterAnswers();
  int received = 0;
  hosts.app.OnRequest([&](const http::ExchangePtr& exchange) {
    ++received;
    http::Response full = hosts.app.Head(exchange->request(), 503);
    full.fields.push_back({"x-not-run", "1"});
    full.fields.push_back({"retry-after", "5"});
    exchange->Respond(std::move(full));
  });
  hosts.site.Call(hosts.carrier, "GET", "/safe/1");
  REQUIRE(received == 1);
  const Answer answer = hosts.site.Call(hosts.cut, "GET", "/safe/1");
  CHECK(answer.response.status == 503);
  CHECK(received == 1);
}
