// A host on the platform's stand-ins, from a caller's request to its answer.
#include <doctest/doctest.h>

#include <algorithm>

#include "comfreyflow/holder.h"
#include "node/log.h"
#include "platform/stand-ins.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

const http::Fields kStreamFields = {{"x-token-count", "2000,100"}};

/// Answers with a stream of `count` events that begins behind the last one the
/// request names, and breaks off in mid-event after `until` if that is set.
FakeTarget::Handler Streams(const FakeTarget& target, int count, int until) {
  return [&target, count, until](const http::ExchangePtr& exchange) {
    const auto last =
        http::FieldValue(exchange->request().fields, "last-event-id");
    const int first = last.empty() ? 1 : std::stoi(std::string(last)) + 1;
    http::Response head = target.Head(exchange->request());
    head.content_type = "text/event-stream";
    exchange->StartStream(std::move(head));
    const int end = until > 0 ? until : count;
    FakeTarget::WriteEvents(exchange, first, end - first + 1);
    if (until == 0) return exchange->End();
    exchange->Write("id: " + std::to_string(until + 1) + "\nda");
    target.AbortLater(exchange);
  };
}

std::string Events(int first, int last) {
  std::string text;
  for (int i = first; i <= last; ++i) {
    const std::string id = std::to_string(i);
    text += "id: " + id + "\ndata: word" + id + "\n\n";
  }
  return text;
}

/// Checks every line that hosts write in this program against the table of
/// events.
const bool kTapped = [] {
  node::SetLogTap([](node::Event event, const std::string& line) {
    const auto json = nlohmann::json::parse(line);
    const auto& spec = node::SpecOf(event);
    CHECK(json["event"] == spec.name);
    for (auto at = json.begin(); at != json.end(); ++at) {
      const std::string field = at.key();
      const bool known = field == "event" || node::HasField(spec, field);
      CHECK_MESSAGE(known, spec.name << " has a field " << field);
    }
  });
  return true;
}();

}  // namespace

TEST_CASE("a request is passed through unchanged, and its answer too") {
  Site site;
  FakeTarget& target = site.AddTarget("app", "i1");
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  const Answer answer =
      site.Call(host, "POST", "/safe/2f?q=%41", {{"x-any", "v"}}, "the body");
  CHECK(answer.whole);
  CHECK(answer.response.status == 200);
  CHECK(answer.response.body == "answer of i1");
  CHECK(http::FieldValue(answer.response.fields, "x-seal") == "seal-i1");
  REQUIRE(target.requests().size() == 1);
  const auto& seen = target.requests()[0];
  CHECK(seen.target == "/safe/2f?q=%41");
  CHECK(seen.method == "POST");
  CHECK(seen.body == "the body");
  CHECK(http::FieldValue(seen.fields, "x-tenant") == "account1");
  CHECK(http::FieldValue(seen.fields, "x-any") == "v");
  CHECK_FALSE(http::HasField(seen.fields, "authorization"));
}

TEST_CASE("without configuration: 503, never 404; then 404 and 401 are true") {
  Site site;
  site.AddTarget("app", "i1");
  const auto host = site.AddHost();
  CHECK(site.Call(host, "GET", "/safe/1").response.status == 503);
  CHECK(site.Get(site.settings(host).readiness, "/readyz").response.status ==
        503);
  site.PutConfig(1);
  REQUIRE(site.UntilReady(host));
  CHECK(site.Call(host, "GET", "/none/1").response.status == 404);
  CHECK(site.Call(host, "GET", "/safe/1", {{"authorization", "Token no"}})
            .response.status == 401);
}

TEST_CASE("what must not run twice is not sent again after a lost answer") {
  Site site;
  FakeTarget& first = site.AddTarget("app", "i1");
  FakeTarget& second = site.AddTarget("app", "i2");
  for (FakeTarget* target : {&first, &second}) {
    target->OnRequest([](const http::ExchangePtr& e) { e->Abort(); });
  }
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  CHECK(site.Call(host, "POST", "/unsafe/1").response.status == 502);
  CHECK(first.requests().size() + second.requests().size() == 1);
  CHECK(site.Call(host, "GET", "/safe/1").response.status == 502);
  CHECK(first.requests().size() + second.requests().size() == 3);
}

TEST_CASE("what a target did not run goes to another") {
  Site site;
  FakeTarget& first = site.AddTarget("app", "i1");
  FakeTarget& second = site.AddTarget("app", "i2");
  int refused = 0;
  for (FakeTarget* target : {&first, &second}) {
    target->OnRequest([target, &refused](const http::ExchangePtr& exchange) {
      http::Response answer = target->Head(exchange->request(), 200);
      if (++refused == 1) {
        answer.status = 503;
        answer.fields.push_back({"x-not-run", "1"});
      }
      exchange->Respond(std::move(answer));
    });
  }
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  CHECK(site.Call(host, "POST", "/unsafe/1").response.status == 200);
  CHECK(first.requests().size() == 1);
  CHECK(second.requests().size() == 1);
}

TEST_CASE("a success without its target's mark is not passed on") {
  Site site;
  FakeTarget& target = site.AddTarget("app", "i1");
  target.OnRequest([](const http::ExchangePtr& exchange) {
    http::Response answer;
    answer.body = "forged";
    exchange->Respond(std::move(answer));
  });
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  const Answer answer = site.Call(host, "POST", "/unsafe/1");
  CHECK(answer.response.status == 502);
  CHECK(answer.response.body.find("forged") == std::string::npos);
}

TEST_CASE("an answer to another request is not passed on") {
  Site site;
  FakeTarget& target = site.AddTarget("app", "i1");
  target.OnRequest([&target](const http::ExchangePtr& exchange) {
    http::Response answer = target.Head(exchange->request());
    answer.fields[0].value = "another";
    answer.body = "of another request";
    exchange->Respond(std::move(answer));
  });
  site.PutConfig(1, [](nlohmann::json& config) {
    config["Routes"][1]["TimeoutMs"] = 400;
  });
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  CHECK(site.Call(host, "POST", "/unsafe/1").response.status == 504);
}

TEST_CASE("a target's own failure of a safe request is tried elsewhere once") {
  Site site;
  FakeTarget& first = site.AddTarget("app", "i1");
  FakeTarget& second = site.AddTarget("app", "i2");
  for (FakeTarget* target : {&first, &second}) {
    target->OnRequest([target](const http::ExchangePtr& exchange) {
      http::Response answer = target->Head(exchange->request(), 500);
      answer.body = "failure of " + target->name();
      exchange->Respond(std::move(answer));
    });
  }
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  const Answer answer = site.Call(host, "GET", "/safe/1");
  CHECK(answer.response.status == 500);
  CHECK(http::FieldValue(answer.response.fields, "x-seal").starts_with("seal"));
  CHECK(first.requests().size() == 1);
  CHECK(second.requests().size() == 1);
}

TEST_CASE("a stream that breaks in mid-event goes on at another target") {
  Site site;
  FakeTarget& first = site.AddTarget("model", "i1");
  FakeTarget& second = site.AddTarget("model", "i2");
  int opened = 0;
  for (FakeTarget* target : {&first, &second}) {
    target->OnRequest([target, &opened](const http::ExchangePtr& exchange) {
      Streams(*target, 9, ++opened == 1 ? 4 : 0)(exchange);
    });
  }
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  const Answer answer = site.Call(host, "POST", "/stream/1", kStreamFields);
  CHECK(answer.whole);
  CHECK(answer.response.body == Events(1, 9));
  CHECK(opened == 2);
}

TEST_CASE("a stream whose targets all break off does not look whole") {
  Site site;
  FakeTarget& target = site.AddTarget("model", "i1");
  target.OnRequest(Streams(target, 9, 4));
  site.PutConfig(
      1, [](nlohmann::json& config) { config["Routes"][2]["Attempts"] = 1; });
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  const Answer answer = site.Call(host, "POST", "/stream/1", kStreamFields);
  CHECK_FALSE(answer.whole);
  CHECK(answer.response.body == Events(1, 4));
}

TEST_CASE("a leaving target gets nothing more, a removed one neither") {
  Site site;
  FakeTarget& first = site.AddTarget("app", "i1");
  FakeTarget& second = site.AddTarget("app", "i2");
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  site.List("app", first, "draining");
  REQUIRE(site.Until([&] {
    const auto dump =
        site.Get(site.settings(host).ip + ":" +
                     std::to_string(site.settings(host).metrics_port),
                 "/dump");
    return dump.response.body.find("\"leaving\": true") != std::string::npos ||
           site.Call(host, "GET", "/safe/x").response.body == "answer of i2";
  }));
  const auto before = first.requests().size();
  for (int i = 0; i < 8; ++i) {
    CHECK(site.Call(host, "GET", "/safe/1").response.body == "answer of i2");
  }
  CHECK(first.requests().size() == before);
  CHECK(second.requests().size() >= 8);
}

TEST_CASE(
    "a watch that tells nothing hides neither leaving nor configuration") {
  Site site;
  FakeTarget& first = site.AddTarget("app", "i1");
  site.AddTarget("app", "i2");
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  site.store().LoseWatches();
  site.List("app", first, "draining");
  site.PutConfig(2, [](nlohmann::json& config) {
    config["Routes"][0]["PathPrefix"] = "/moved/";
  });
  REQUIRE(site.Until([&] {
    return site.Call(host, "GET", "/moved/1").response.body == "answer of i2" &&
           site.Call(host, "GET", "/moved/2").response.body == "answer of i2";
  }));
  const auto before = first.requests().size();
  for (int i = 0; i < 8; ++i) site.Call(host, "GET", "/moved/1");
  CHECK(first.requests().size() == before);
}

TEST_CASE(
    "a host whose introduction was refused once introduces itself again") {
  Site site;
  site.AddTarget("app", "i1");
  site.PutConfig(1);
  site.store().RefuseWrites(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  CHECK(site.Until(
      [&] { return site.store().Has("comfreyflow-hosts", "host0"); }));
}

TEST_CASE("a host that never knew a target takes no old grant of it") {
  Site site;
  FakeTarget& gone = site.AddTarget("app", "i1");
  FakeTarget& stays = site.AddTarget("app", "i2");
  site.PutConfig(1);
  const auto holder = site.AddHost();
  REQUIRE(site.UntilReady(holder));
  // The host that has run longest alone holds the placers.
  const auto start = std::chrono::steady_clock::now();
  REQUIRE(site.Until([&] {
    return std::chrono::steady_clock::now() - start >
           kCohortSpan + milliseconds(100);
  }));
  site.store().LoseWatches();
  site.store().Remove("servers", "i1");
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  for (int i = 0; i < 12; ++i) {
    CHECK(site.Call(host, "GET", "/safe/1").response.body == "answer of i2");
  }
  CHECK(gone.requests().empty());
  CHECK(stays.requests().size() == 12);
}

TEST_CASE("a target whose entry another writer overwrote gets nothing more") {
  Site site;
  FakeTarget& first = site.AddTarget("app", "i1");
  site.AddTarget("app", "i2");
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  site.store().Put("servers", "i1", {{"Service", 7}});
  const std::string metrics = site.settings(host).ip + ":" +
                              std::to_string(site.settings(host).metrics_port);
  REQUIRE(site.Until([&] {
    site.Call(host, "GET", "/safe/1");
    const auto dump = site.Get(metrics, "/dump").response.body;
    return dump.find("\"i2\"") != std::string::npos &&
           dump.find("\"i1\"") == std::string::npos;
  }));
  const auto before = first.requests().size();
  for (int i = 0; i < 8; ++i) {
    CHECK(site.Call(host, "GET", "/safe/1").response.body == "answer of i2");
  }
  CHECK(first.requests().size() == before);
  site.List("app", first);
  CHECK(site.Until([&] {
    site.Call(host, "GET", "/safe/1");
    return first.requests().size() > before;
  }));
}

TEST_CASE("a later configuration is in force, an earlier one never again") {
  Site site;
  site.AddTarget("app", "i1");
  site.PutConfig(5);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  site.PutConfig(7, [](nlohmann::json& config) {
    config["Tenants"][0]["ApiKeys"] = {"key2"};
  });
  REQUIRE(site.Until([&] {
    return site.Call(host, "GET", "/safe/1").response.status == 401;
  }));
  site.PutConfig(6);
  const http::Fields key2 = {{"authorization", "Token key2"}};
  for (int i = 0; i < 20; ++i) {
    CHECK(site.Call(host, "GET", "/safe/1").response.status == 401);
    CHECK(site.Call(host, "GET", "/safe/1", key2).response.status == 200);
  }
}

TEST_CASE("the store's outage stops nothing") {
  Site site;
  site.AddTarget("app", "i1");
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  site.store().SetDown(true);
  for (int i = 0; i < 30; ++i) {
    CHECK(site.Call(host, "GET", "/safe/1").response.status == 200);
  }
  CHECK(site.Get(site.settings(host).readiness, "/readyz").response.status ==
        200);
  site.store().SetDown(false);
  site.PutConfig(2, [](nlohmann::json& config) {
    config["Routes"][0]["PathPrefix"] = "/moved/";
  });
  CHECK(site.Until([&] {
    return site.Call(host, "GET", "/moved/1").response.status == 200;
  }));
}

TEST_CASE("memory for a large prompt is set aside and given back") {
  Site site;
  FakeTarget& first = site.AddTarget("model", "i1");
  FakeTarget& second = site.AddTarget("model", "i2");
  for (int i = 3; i < 14; ++i) site.AddTarget("model", "i" + std::to_string(i));
  http::ExchangePtr open;
  std::string helpers;
  const auto take = [&](FakeTarget& target) {
    target.OnRequest([&](const http::ExchangePtr& exchange) {
      helpers = http::FieldValue(exchange->request().fields, "x-helpers");
      Streams(target, 3, 0)(exchange);
    });
  };
  take(first);
  take(second);
  site.PutConfig(1, [](nlohmann::json& config) {
    config["Services"][1]["Engine"]["KvTokens"] = 60000;
  });
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  const auto answer =
      site.Send(host, "POST", "/stream/1", {{"x-token-count", "90000,100"}});
  REQUIRE(site.Until([&] { return answer->ended; }));
  // Whichever target was first, the reserve and the release name one id.
  std::map<std::string, std::vector<std::string>> orders;
  const auto collect = [&orders](const FakeTarget& target) {
    for (const auto& order : target.orders()) {
      orders[order["Id"]].push_back(order["Op"]);
    }
  };
  CHECK(site.Until([&] {
    orders.clear();
    collect(first);
    collect(second);
    return std::all_of(orders.begin(), orders.end(), [](const auto& entry) {
      return entry.second.back() == "release";
    });
  }));
}

TEST_CASE("a planned stop ends open streams whole and says not ready at once") {
  Site site;
  site.SetStopTime(std::chrono::seconds(8));
  FakeTarget& target = site.AddTarget("model", "i1");
  http::ExchangePtr open;
  target.OnRequest([&](const http::ExchangePtr& exchange) {
    open = exchange;
    http::Response head = target.Head(exchange->request());
    head.content_type = "text/event-stream";
    exchange->StartStream(std::move(head));
    FakeTarget::WriteEvents(exchange, 1, 2);
  });
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  const auto answer = site.Send(host, "POST", "/stream/1", kStreamFields);
  REQUIRE(site.Until([&] { return open != nullptr; }));
  site.host(host).Stop();
  CHECK(site.Get(site.settings(host).readiness, "/readyz").response.status ==
        503);
  FakeTarget::WriteEvents(open, 3, 2);
  open->End();
  REQUIRE(site.Until([&] { return answer->ended; }));
  CHECK(answer->whole);
  CHECK(answer->response.body == Events(1, 4));
  target.OnRequest(Streams(target, 1, 0));
  const Answer last = site.Call(host, "POST", "/stream/1", kStreamFields);
  CHECK(last.response.status == 200);
  CHECK(http::FieldValue(last.response.fields, "connection") == "close");
}

TEST_CASE("a request that breaks every target reaches three and no more") {
  Site site;
  std::vector<FakeTarget*> targets;
  for (int i = 1; i <= 6; ++i) {
    targets.push_back(&site.AddTarget("app", "i" + std::to_string(i)));
    targets.back()->OnRequest([](const http::ExchangePtr& e) {
      if (e->request().body == "poison") return e->Abort();
      http::Response answer;
      answer.fields = {
          {"x-request-id",
           std::string(http::FieldValue(e->request().fields, "x-request-id"))},
          {"x-seal", "s"}};
      e->Respond(std::move(answer));
    });
  }
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  int status = 0;
  for (int i = 0; i < 8; ++i) {
    status = site.Call(host, "POST", "/safe/1", {}, "poison").response.status;
  }
  std::size_t reached = 0;
  for (const FakeTarget* target : targets) reached += target->requests().size();
  CHECK(reached <= 4);
  CHECK(status == 503);
  CHECK(site.Call(host, "POST", "/safe/1", {}, "sound").response.status == 200);
}

TEST_CASE("a target's work ends when its caller leaves") {
  Site site;
  FakeTarget& target = site.AddTarget("model", "i1");
  bool left = false;
  http::ExchangePtr open;
  target.OnRequest([&](const http::ExchangePtr& exchange) {
    open = exchange;
    exchange->OnGone([&left] { left = true; });
    http::Response head = target.Head(exchange->request());
    head.content_type = "text/event-stream";
    exchange->StartStream(std::move(head));
    FakeTarget::WriteEvents(exchange, 1, 2);
  });
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  const auto answer = site.Send(host, "POST", "/stream/1", kStreamFields);
  REQUIRE(site.Until([&] { return open != nullptr; }));
  CHECK_FALSE(left);
  answer->call->Cancel();
  CHECK(site.Until([&left] { return left; }));
  CHECK(target.requests().size() == 1);
}

TEST_CASE("hosts find each other, share placement and answer with addresses") {
  Site site;
  FakeTarget& target = site.AddTarget("app", "i1");
  site.PutConfig(1);
  const auto one = site.AddHost();
  const auto two = site.AddHost();
  REQUIRE(site.UntilReady(one));
  REQUIRE(site.UntilReady(two));
  CHECK(site.store().Has("comfreyflow-hosts", "host0"));
  REQUIRE(site.Until([&] {
    const auto answer =
        site.Get(site.settings(one).directory, "/resolve?Zone=z1");
    const auto json =
        nlohmann::json::parse(answer.response.body, nullptr, false);
    return json.is_object() && json["Addrs"].size() == 2;
  }));
  for (int i = 0; i < 6; ++i) {
    CHECK(site.Call(i % 2 == 0 ? one : two, "GET", "/safe/1").response.status ==
          200);
  }
  CHECK(target.requests().size() == 6);
  site.host(two).Stop();
  CHECK(site.Until([&] {
    const auto answer =
        site.Get(site.settings(one).directory, "/resolve?Zone=z1");
    const auto json =
        nlohmann::json::parse(answer.response.body, nullptr, false);
    return json.is_object() && json["Addrs"].size() == 1;
  }));
}

TEST_CASE("metrics tell what came of requests, store calls and budgets") {
  Site site;
  site.AddTarget("app", "i1");
  site.PutConfig(7);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  CHECK(site.Call(host, "GET", "/safe/1").response.status == 200);
  CHECK(site.Call(host, "GET", "/none/1").response.status == 404);
  const auto& settings = site.settings(host);
  const std::string text =
      site.Get(settings.ip + ":" + std::to_string(settings.metrics_port),
               "/metrics")
          .response.body;
  for (const char* line :
       {"comfreyflow_requests_total{code=\"ok\"} 1",
        "comfreyflow_requests_total{code=\"not_found\"} 1",
        "comfreyflow_answer_seconds_count{repeatable=\"yes\"} 1",
        "comfreyflow_configuration_version 7", "comfreyflow_store_reachable 1",
        "comfreyflow_store_calls_total{call=\"write\"} 1",
        "comfreyflow_store_kind_age_seconds{kind=\"config\"} ",
        "comfreyflow_store_kind_age_seconds{kind=\"servers\"} ",
        "comfreyflow_repeats_left{service=\"app\"} 50.2",
        "comfreyflow_resident_bytes ", "comfreyflow_open_descriptors "}) {
    CHECK_MESSAGE(text.find(line) != std::string::npos, line);
  }
}

TEST_CASE(
    "a large configuration is in force, the last of several told at once") {
  Site site;
  site.AddTarget("app", "i1");
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  for (const std::uint64_t version : {3, 4, 5}) {
    site.PutConfig(version, [version](nlohmann::json& config) {
      auto route = config["Routes"][0];
      for (int i = 0; i < 1500; ++i) {
        route["Name"] = "more" + std::to_string(i);
        route["PathPrefix"] =
            "/" + std::to_string(version) + "/" + std::to_string(i) + "/";
        config["Routes"].push_back(route);
      }
    });
  }
  REQUIRE(site.Until([&] {
    return site.Call(host, "GET", "/5/1499/x").response.status == 200;
  }));
  CHECK(site.Call(host, "GET", "/4/1499/x").response.status == 404);
  CHECK(site.Call(host, "GET", "/safe/1").response.status == 200);
}

TEST_CASE("a stream that can't be written by its deadline is refused at once") {
  Site site;
  FakeTarget& target = site.AddTarget("model", "i1");
  target.OnRequest(Streams(target, 3, 0));
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  // A token takes 1 ms, and there are 5 s.
  const auto call = [&](const char* guess) {
    return site.Call(
        host, "POST", "/stream/1",
        {{"x-token-count", "2000,9000"}, {"x-length-hint", guess}});
  };
  CHECK(call("6000").response.status == 503);
  CHECK(target.requests().empty());
  CHECK(call("3000").response.status == 200);
}
