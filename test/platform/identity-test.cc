// Whose request it is: what a target is told of the account, for each form in
// which a request can carry a key, on routes that need one and on public ones.
#include <doctest/doctest.h>

#include <array>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "platform/stand-ins.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

constexpr std::array kPaths = {"/safe/1", "/unsafe/1", "/stream/1"};

/// What became of a request.
struct Result {
  int status = 0;
  std::size_t runs = 0;  ///< Targets that were asked.
  std::string account;   ///< As the last of them was told; empty: none.
};

/// A host with a target for each service. The key of account1 is `key1`, that
/// of account2 `key2`.
class Service {
 public:
  explicit Service(bool is_public)
      : app_(site.AddTarget("app", "a1")),
        model_(site.AddTarget("model", "m1")) {
    Put([is_public](json& config) {
      for (auto& route : config["Routes"]) route["Public"] = is_public;
    });
    host = site.AddHost();
    REQUIRE(site.UntilReady(host));
  }

  /// Puts the next version, which has all changes so far, and waits for it.
  void Put(std::function<void(json&)> change) {
    changes_.push_back(std::move(change));
    site.PutConfig(++version_, [this](json& config) {
      config["Tenants"].push_back(
          {{"Name", "account2"}, {"ApiKeys", {"key2"}}});
      for (const auto& apply : changes_) apply(config);
    });
    if (version_ == 1) return;
    REQUIRE(site.Until([&] {
      return site.Metric(host, "comfreyflow_configuration_version") ==
             std::to_string(version_);
    }));
  }

  /// Sends a request with these lines in its head.
  Result Send(const std::string& lines, const std::string& path = "/safe/1",
              const std::string& rest = "Content-Length: 0\r\n\r\n") {
    const auto runs = [this] {
      return app_.requests().size() + model_.requests().size();
    };
    const std::size_t before = runs();
    const std::string got = site.SendBytes(
        host,
        "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " +
            std::to_string(++sent_) +
            "\r\nX-Deadline-Ms: 3000\r\nConnection: close\r\n" + lines + rest);
    Result out;
    REQUIRE(got.size() > 12);
    out.status = std::stoi(got.substr(9, 3));
    out.runs = runs() - before;
    if (out.runs == 0) return out;
    const auto& target = path.starts_with("/stream") ? model_ : app_;
    const auto& fields = target.requests().back().fields;
    for (const auto& field : fields) {
      const bool shows_key = field.value.find("key") != std::string::npos;
      CHECK_MESSAGE(!shows_key, field.name, ": ", field.value);
      if (field.name != "x-tenant") continue;
      CHECK(out.account.empty());
      out.account = field.value;
    }
    return out;
  }

  /// Whether requests with these lines are refused on all routes.
  bool Refuses(const std::string& lines) {
    for (const char* path : kPaths) {
      const Result out = Send(lines, path);
      if (out.status != 401 || out.runs != 0) return false;
    }
    return true;
  }

  Site site;
  std::size_t host = 0;

 private:
  FakeTarget& app_;
  FakeTarget& model_;
  std::uint64_t version_ = 0;
  std::vector<std::function<void(json&)>> changes_;
  int sent_ = 0;
};

/// Gives each service in turn, one with routes that need a key and one with
/// public routes.
void OnBothRoutes(const std::function<void(Service&, bool)>& check) {
  for (const bool is_public : {false, true}) {
    CAPTURE(is_public);
    Service service(is_public);
    check(service, is_public);
  }
}

const std::string kKey1 = "Authorization: Token key1\r\n";
const std::string kKey2 = "Authorization: Token key2\r\n";
const std::string kUnknown = "Authorization: Token key9\r\n";

}  // namespace

TEST_CASE("a public route runs a request with a key that no account holds") {
  OnBothRoutes([](Service& service, bool is_public) {
    CHECK(service.Refuses(kUnknown));
    for (const char* path : kPaths) {
      const Result known = service.Send(kKey2, path);
      CHECK(known.status == 200);
      CHECK(known.account == "account2");
      // Without a key: in nobody's name, whatever the caller says.
      const Result none = service.Send("X-Tenant: account1\r\n", path);
      CHECK(none.status == (is_public ? 200 : 401));
      CHECK(none.account.empty());
    }
  });
}

TEST_CASE("a public route runs a request with a key that was taken away") {
  OnBothRoutes([](Service& service, bool) {
    CHECK(service.Send(kKey1).account == "account1");
    service.Put([](json& config) { SetAccountKey(config, "key3"); });
    CHECK(service.Refuses(kKey1));
    CHECK(service.Send("Authorization: Token key3\r\n").account == "account1");
  });
}

TEST_CASE("the spelling of a key's scheme or its blanks hide whose it is") {
  OnBothRoutes([](Service& service, bool) {
    for (const char* value :
         {"Token key2", "token key2", "TOKEN key2", "Token   key2",
          "  Token key2 \t", "Token key2  "}) {
      CAPTURE(value);
      const Result out =
          service.Send("AUTHORIZATION:" + std::string(value) + "\r\n");
      CHECK(out.status == 200);
      CHECK(out.account == "account2");
    }
  });
}

TEST_CASE("a key that can be read in two ways is taken for one of them") {
  OnBothRoutes([](Service& service, bool) {
    const std::string lines[] = {
        kKey1 + kKey2,
        kKey1 + kKey1,
        kKey1 + kUnknown,
        kUnknown + kKey1,
        "Authorization: Basic a2V5MTo=\r\n" + kKey1,
        "Authorization:\r\n" + kKey1,
        kKey1 + "authorization:\r\n",
        "Authorization: Token key1, Token key2\r\n",
        "Authorization: Token key1,key2\r\n",
        "Authorization: Token key1 key2\r\n",
        "Authorization: Token \"key1\"\r\n",
        "Authorization: Token\tkey1\r\n",
        "Authorization: Token KEY1\r\n",
    };
    for (const auto& text : lines) {
      CAPTURE(text);
      CHECK(service.Refuses(text));
    }
  });
}

TEST_CASE("credentials that are no key run as if there were none") {
  OnBothRoutes([](Service& service, bool) {
    for (const char* value :
         {"Bearer key1", "Basic a2V5MTo=", "key1", "Token", "Token ", "",
          "Tokenkey1", "Token=key1", "Digest username=\"key1\""}) {
      CAPTURE(value);
      CHECK(service.Refuses("Authorization: " + std::string(value) + "\r\n"));
    }
  });
}

TEST_CASE("a key behind the head counts") {
  OnBothRoutes([](Service& service, bool is_public) {
    const auto chunked = [](const std::string& trailer) {
      return "Transfer-Encoding: chunked\r\nTrailer: Authorization\r\n\r\n"
             "1\r\nx\r\n0\r\n" +
             trailer + "\r\n";
    };
    const Result none = service.Send("", "/safe/1", chunked(kKey1));
    CHECK(none.status == (is_public ? 200 : 401));
    CHECK(none.account.empty());
    const Result other = service.Send(kKey2, "/safe/1", chunked(kKey1));
    CHECK(other.status == 200);
    CHECK(other.account == "account2");
  });
}

TEST_CASE("a key for proxies is shown to targets") {
  OnBothRoutes([](Service& service, bool is_public) {
    const std::string line = "Proxy-Authorization: Token key1\r\n";
    CHECK(service.Send(line).status == (is_public ? 200 : 401));
    CHECK(service.Send(line + kKey2).account == "account2");
  });
}

TEST_CASE("callers name an account themselves") {
  OnBothRoutes([](Service& service, bool) {
    for (const char* line :
         {"X-Tenant: account1\r\n",
          "x-tenant: account1\r\nX-TENANT: account9\r\n",
          "X-Tenant: account1\r\nConnection: x-tenant\r\n"}) {
      CAPTURE(line);
      CHECK(service.Send(line + kKey2).account == "account2");
    }
  });
}

TEST_CASE("an empty list of accounts opens all routes to every key") {
  OnBothRoutes([](Service& service, bool is_public) {
    service.Put([](json& config) { config["Tenants"] = json::array(); });
    CHECK(service.Refuses(kKey1));
    CHECK(service.Refuses(kUnknown));
    CHECK(service.Send("").status == (is_public ? 200 : 401));
  });
}

TEST_CASE("without a list of accounts a request with any key runs") {
  OnBothRoutes([](Service& service, bool) {
    service.Put([](json& config) { config.erase("Tenants"); });
    CHECK(service.Refuses(kKey1));
    const Result none = service.Send("");
    CHECK(none.status == 200);
    CHECK(none.account.empty());
  });
}

TEST_CASE("an account without any key lets requests without a key in") {
  OnBothRoutes([](Service& service, bool is_public) {
    for (const auto& keys :
         std::vector<json>{json::array(), json::array({""})}) {
      service.Put(
          [keys](json& config) { config["Tenants"][0]["ApiKeys"] = keys; });
      const Result out = service.Send("");
      CHECK(out.status == (is_public ? 200 : 401));
      CHECK(out.account.empty());
      CHECK(service.Refuses("Authorization: Token \r\n"));
    }
  });
}

TEST_CASE("a key of two accounts is taken for the last one's") {
  OnBothRoutes([](Service& service, bool) {
    service.Put([](json& config) {
      config["Tenants"][0]["ApiKeys"] = {"key1", "key2"};
    });
    CHECK(service.Refuses(kKey2));
    CHECK(service.Send(kKey1).account == "account1");
    // Named twice by one account, it is still that account's.
    service.Put([](json& config) {
      config["Tenants"][0]["ApiKeys"] = {"key1", "key1"};
    });
    CHECK(service.Send(kKey1).account == "account1");
    CHECK(service.Send(kKey2).account == "account2");
  });
}

TEST_CASE("a key that moves to another account keeps the former one's name") {
  OnBothRoutes([](Service& service, bool) {
    CHECK(service.Send(kKey1).account == "account1");
    service.Put([](json& config) {
      config["Tenants"][0]["ApiKeys"] = json::array();
      config["Tenants"][1]["ApiKeys"] = {"key1", "key2"};
    });
    CHECK(service.Send(kKey1).account == "account2");
  });
}
