// Sound targets that send nothing for a while, as callers see them.
#include <doctest/doctest.h>

#include <chrono>
#include <vector>

#include "platform/stand-ins.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

namespace {

const http::Fields kStreamFields = {{"x-token-count", "2000,100"}};

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

void FallsSilent(FakeTarget& target, milliseconds silence) {
  target.OnRequest([&target, silence](const http::ExchangePtr& exchange) {
    FallSilent(target, exchange, silence);
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

TEST_CASE("a dark target gets requests while the others are full") {
  Site site;
  FakeTarget& full = site.AddTarget("app", "i2");
  std::vector<http::ExchangePtr> open;
  const auto keep = [&open](const http::ExchangePtr& exchange) {
    open.push_back(exchange);
  };
  full.OnRequest(keep);
  site.SetSlots("app", full, 1);
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  const auto busy = site.Send(host, "POST", "/unsafe/1");
  REQUIRE(site.Until([&] { return full.requests().size() == 1; }));
  FakeTarget& dark = site.AddTarget("app", "i1");
  dark.OnRequest(keep);
  site.SetSlots("app", dark, 40);
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
