// The account of a request on all its ways: priority, another target, a resumed
// stream, another host, crashes, and hosts with an older configuration. Each on
// routes that need a key and on public ones.
#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

#include "platform/stand-ins.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

const http::Fields kKey2 = {{"authorization", "Token key2"}};
const http::Fields kUnknown = {{"authorization", "Token key9"}};

std::string Field(const http::Request& request, const char* name) {
  return std::string(http::FieldValue(request.fields, name));
}

/// Accounts account1 with `key1` and account2 with `key2`.
void PutConfig(Site& site, std::uint64_t version, bool is_public,
               const std::function<void(json&)>& change = {}) {
  site.PutConfig(version, [&](json& config) {
    for (auto& route : config["Routes"]) route["Public"] = is_public;
    config["Tenants"].push_back({{"Name", "account2"}, {"ApiKeys", {"key2"}}});
    if (change) change(config);
  });
}

void MoveKey2(json& config) {
  config["Tenants"][0]["ApiKeys"] = {"key1", "key2"};
  config["Tenants"][1]["ApiKeys"] = json::array();
}

void UntilVersion(Site& site, std::size_t host, const char* version) {
  REQUIRE(site.Until([&] {
    return site.Metric(host, "comfreyflow_configuration_version") == version;
  }));
}

void OnBothRoutes(const std::function<void(bool)>& check) {
  for (const bool is_public : {false, true}) {
    CAPTURE(is_public);
    check(is_public);
  }
}

/// A host and targets that all answer with `handler`.
struct Service {
  using Handler =
      std::function<void(FakeTarget& target, const http::ExchangePtr&)>;

  Service(const std::string& name, int targets, bool is_public,
          const Handler& handler) {
    for (int i = 1; i <= targets; ++i) {
      FakeTarget& target = site.AddTarget(name, "i" + std::to_string(i));
      target.OnRequest(
          [this, &target, handler](const http::ExchangePtr& exchange) {
            accounts.push_back(Field(exchange->request(), "x-tenant"));
            handler(target, exchange);
          });
    }
    PutConfig(site, 1, is_public);
    host = site.AddHost();
    REQUIRE(site.UntilReady(host));
  }

  Site site;
  std::size_t host = 0;
  std::vector<std::string> accounts;  ///< Of each request at a target.
  http::ExchangePtr first;            ///< Held by a test; ends before the site.
};

void Serve(FakeTarget& target, const http::ExchangePtr& exchange) {
  exchange->Respond(target.Head(exchange->request()));
}

}  // namespace

TEST_CASE("a public route hides the priority of an account") {
  OnBothRoutes([](bool is_public) {
    std::string urgency;
    Service service("app", 1, is_public, [&](FakeTarget& target, auto& call) {
      urgency = Field(call->request(), "x-req-priority");
      Serve(target, call);
    });
    PutConfig(service.site, 2, is_public, [](json& config) {
      for (auto& route : config["Routes"]) route["Priority"] = 3;
      config["Tenants"][1]["Priority"] = 0;
    });
    UntilVersion(service.site, service.host, "2");
    const auto urgency_of = [&](const http::Fields& fields) {
      CHECK(service.site.Call(service.host, "GET", "/safe/1", fields)
                .response.status == 200);
      return urgency;
    };
    CHECK(urgency_of(kKey2) == "1");
    CHECK(urgency_of({}) == "4");  // Of an account without a priority.
  });
}

TEST_CASE("a second target is told another account than the first one") {
  OnBothRoutes([](bool is_public) {
    Service service("app", 2, is_public, [&](FakeTarget& target, auto& call) {
      if (service.first) return Serve(target, call);
      service.first = call;
    });
    http::ExchangePtr& first = service.first;
    const auto answer =
        service.site.Send(service.host, "POST", "/unsafe/1", kKey2);
    REQUIRE(service.site.Until([&] { return first != nullptr; }));
    // Meanwhile the key moves to another account.
    PutConfig(service.site, 2, is_public, MoveKey2);
    UntilVersion(service.site, service.host, "2");
    http::Response refusal;
    refusal.status = 503;
    refusal.fields = {
        {"x-not-run", "1"},
        {"x-request-id", Field(first->request(), "x-request-id")}};
    first->Respond(std::move(refusal));
    REQUIRE(service.site.Until([&] { return answer->ended; }));
    CHECK(answer->response.status == 200);
    CHECK(service.accounts == std::vector<std::string>{"account2", "account2"});
    service.site.Call(service.host, "POST", "/unsafe/1", kKey2);
    CHECK(service.accounts.back() == "account1");
  });
}

TEST_CASE("a stream that is resumed goes on under another account") {
  OnBothRoutes([](bool is_public) {
    FakeTarget* broken = nullptr;
    std::string resumed_after;
    const auto start = [](FakeTarget& target, const http::ExchangePtr& call) {
      http::Response head = target.Head(call->request());
      head.content_type = "text/event-stream";
      call->StartStream(std::move(head));
    };
    Service service("model", 2, is_public, [&](FakeTarget& target, auto& call) {
      start(target, call);
      if (!service.first) {
        service.first = call;
        broken = &target;
        return FakeTarget::WriteEvents(call, 1, 4);
      }
      resumed_after = Field(call->request(), "last-event-id");
      FakeTarget::WriteEvents(call, 5, 2);
      call->End();
    });
    http::ExchangePtr& first = service.first;
    http::Fields fields = kKey2;
    fields.push_back({"x-token-count", "2000,100"});
    const auto answer =
        service.site.Send(service.host, "POST", "/stream/1", fields);
    REQUIRE(service.site.Until([&] { return first != nullptr; }));
    PutConfig(service.site, 2, is_public, MoveKey2);
    UntilVersion(service.site, service.host, "2");
    broken->AbortLater(first);
    REQUIRE(service.site.Until([&] { return answer->ended; }));
    CHECK(answer->whole);
    CHECK(resumed_after == "4");
    CHECK(service.accounts == std::vector<std::string>{"account2", "account2"});
  });
}

TEST_CASE("a request over another host comes under another account or none") {
  OnBothRoutes([](bool is_public) {
    Service service("app", 1, is_public, Serve);
    const auto carrier = service.site.AddHost();
    REQUIRE(service.site.UntilReady(carrier));
    service.site.SetPath(service.host, "app", TargetPath::kRefused);
    // Until the hosts know each other, no way leads to the target.
    REQUIRE(service.site.Until([&] {
      return service.site.Call(service.host, "GET", "/safe/1", kKey2)
                 .response.status == 200;
    }));
    service.accounts.clear();
    for (const char* path : {"/safe/1", "/unsafe/1"}) {
      CHECK(service.site.Call(service.host, "POST", path, kKey2)
                .response.status == 200);
      CHECK(service.site.Call(service.host, "POST", path, kUnknown)
                .response.status == 401);
    }
    CHECK(service.accounts == std::vector<std::string>{"account2", "account2"});
  });
}

TEST_CASE("what crashes targets for one account is refused to another") {
  OnBothRoutes([](bool is_public) {
    Service service("app", 8, is_public, [](FakeTarget& target, auto& call) {
      if (Field(call->request(), "x-tenant") == "account2") {
        return target.Crash();
      }
      Serve(target, call);
    });
    const auto status = [&service](const http::Fields& fields) {
      return service.site.Call(service.host, "GET", "/safe/bad", fields)
          .response.status;
    };
    REQUIRE(service.site.Until([&] {
      status(kKey2);
      const auto before = service.accounts.size();
      status(kKey2);
      return service.accounts.size() == before;
    }));
    CHECK(service.accounts.size() >= 2);
    CHECK(service.accounts.size() <= 3);
    CHECK(status({}) == 200);
    CHECK(service.accounts.back() == "account1");
  });
}

TEST_CASE("a host without the newest configuration mixes it with its own") {
  OnBothRoutes([](bool is_public) {
    Service service("app", 1, is_public, Serve);
    const http::Fields key3 = {{"authorization", "Token key3"}};
    const auto status = [&service](const http::Fields& fields) {
      return service.site.Call(service.host, "GET", "/safe/1", fields)
          .response.status;
    };
    service.site.SetStorePath(service.host, false);
    PutConfig(service.site, 2, is_public, [](json& config) {
      MoveKey2(config);
      config["Tenants"][1]["ApiKeys"] = {"key3"};
    });
    CHECK(status(kKey2) == 200);
    CHECK(service.accounts.back() == "account2");
    CHECK(status(key3) == 401);
    service.site.SetStorePath(service.host, true);
    UntilVersion(service.site, service.host, "2");
    CHECK(status(kKey2) == 200);
    CHECK(service.accounts.back() == "account1");
    CHECK(status(key3) == 200);
    CHECK(service.accounts.back() == "account2");
  });
}
