// Sound targets that send nothing for a while, as callers see them.
#include <doctest/doctest.h>

#include "platform/stand-ins.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const http::Fields kStreamFields = {{"x-token-count", "2000,100"}};

/// Sends events 1 and 2, nothing for `silence`, then event 3 and the end.
void FallsSilent(FakeTarget& target, milliseconds silence) {
  target.OnRequest([&target, silence](const http::ExchangePtr& exchange) {
    http::Response head = target.Head(exchange->request());
    head.content_type = "text/event-stream";
    exchange->StartStream(std::move(head));
    FakeTarget::WriteEvents(exchange, 1, 2);
    target.After(silence, [exchange] {
      FakeTarget::WriteEvents(exchange, 3, 1);
      exchange->End();
    });
  });
}

}  // namespace

TEST_CASE("a stream is cut as its last allowed target falls silent") {
  Site site;
  FakeTarget& target = site.AddTarget("model", "i1");
  FallsSilent(target, milliseconds(2200));
  site.PutConfig(
      1, [](nlohmann::json& config) { config["Routes"][2]["Attempts"] = 1; });
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  const Answer answer = site.Call(host, "POST", "/stream/1", kStreamFields);
  CHECK(answer.whole);
  CHECK(target.requests().size() == 1);
}

TEST_CASE("a silent target is given up though no other takes the stream") {
  Site site;
  FakeTarget& target = site.AddTarget("model", "i1");
  FallsSilent(target, milliseconds(2200));
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  const Answer answer = site.Call(host, "POST", "/stream/1", kStreamFields);
  CHECK(answer.whole);
  CHECK(target.requests().size() == 1);
}

TEST_CASE("a lookup fails because the only target is silent for a second") {
  Site site;
  FakeTarget& target = site.AddTarget("app", "i1");
  target.OnRequest([&target](const http::ExchangePtr& exchange) {
    target.After(seconds(1), [&target, exchange] {
      exchange->Respond(target.Head(exchange->request()));
    });
  });
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  const Answer answer = site.Call(host, "GET", "/safe/1");
  CHECK(answer.response.status == 200);
  CHECK(target.requests().size() == 1);
}

TEST_CASE("a stream stays with a target that is silent for good") {
  Site site;
  FakeTarget& first = site.AddTarget("model", "i1");
  FakeTarget& second = site.AddTarget("model", "i2");
  std::vector<http::ExchangePtr> open;
  for (FakeTarget* target : {&first, &second}) {
    target->OnRequest([&open, target](const http::ExchangePtr& exchange) {
      open.push_back(exchange);
      http::Response head = target->Head(exchange->request());
      head.content_type = "text/event-stream";
      exchange->StartStream(std::move(head));
      const bool is_first = open.size() == 1;
      FakeTarget::WriteEvents(exchange, is_first ? 1 : 3, is_first ? 2 : 1);
      if (!is_first) exchange->End();
    });
  }
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  const Answer answer = site.Call(host, "POST", "/stream/1", kStreamFields);
  CHECK(answer.whole);
  CHECK(open.size() == 2);
  const auto& resumed = open.back()->request();
  CHECK(http::FieldValue(resumed.fields, "last-event-id") == "2");
}
