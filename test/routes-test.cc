// Route matching, key lookup and the distribution of requests by weight.
#include "comfreyflow/routes.h"

#include <doctest/doctest.h>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)

namespace {

Route RouteTo(const std::string& name, const std::string& host,
              const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.prefix = prefix;
  route.services = {{{"s"}, 1}};
  return route;
}

RouteTable Table() {
  RouteDocument document;
  document.version = 3;
  document.routes = {RouteTo("short", "a.example", "/x/"),
                     RouteTo("long", "a.example", "/x/y/"),
                     RouteTo("other", "b.example", "/x/")};
  document.keys["k1"] = {{"account"}, 2};
  return RouteTable(std::move(document));
}

}  // namespace

TEST_CASE("the route with the longest prefix of the host matches") {
  const RouteTable table = Table();
  CHECK(table.Match("a.example", "/x/y/z")->name == "long");
  CHECK(table.Match("a.example", "/x/z")->name == "short");
  CHECK(table.Match("b.example", "/x/y/z")->name == "other");
}

TEST_CASE(
    "hosts match without case and port; unknown hosts and paths do not match") {
  const RouteTable table = Table();
  CHECK(table.Match("A.Example:8080", "/x/1")->name == "short");
  CHECK(table.Match("a.example", "/x") == nullptr);
  CHECK(table.Match("a.example", "/xy/") == nullptr);
  CHECK(table.Match("c.example", "/x/") == nullptr);
}

TEST_CASE("a known key yields its account and an unknown key none") {
  const RouteTable table = Table();
  REQUIRE(table.Holder("k1") != nullptr);
  CHECK(table.Holder("k1")->account.value == "account");
  CHECK(table.Holder("k1")->priority == 2);
  CHECK(table.Holder("") == nullptr);
  CHECK(table.Holder("k2") == nullptr);
}

TEST_CASE("a route that needs no key takes a key that nobody holds") {
  RouteDocument document;
  document.routes = {RouteTo("closed", "a.example", "/x/"),
                     RouteTo("public", "a.example", "/y/")};
  document.routes[1].is_public = true;
  document.keys["k1"] = {{"account"}, 2};
  for (const bool needs_keys : {true, false}) {
    document.needs_keys = needs_keys;
    const RouteTable table(document);
    for (const Route& route : table.document().routes) {
      const auto identify = [&](const Credentials& credentials) {
        return table.Identify(route, credentials);
      };
      const Identity known = identify({CredentialsForm::kKey, "k1"});
      CHECK(known.refusal == Errc::kOk);
      REQUIRE(known.holder != nullptr);
      CHECK(known.holder->account.value == "account");
      const Identity unknown = identify({CredentialsForm::kKey, "k2"});
      CHECK(unknown.refusal == Errc::kUnknownKey);
      const Identity none = identify({});
      const bool is_refused = needs_keys && !route.is_public;
      CHECK(none.refusal == (is_refused ? Errc::kMissingKey : Errc::kOk));
      CHECK(none.holder == nullptr);
    }
  }
}

TEST_CASE(
    "requests are distributed over services in proportion to the weights") {
  Route route;
  route.services = {{{"big"}, 9}, {{"small"}, 1}, {{"none"}, 0}};
  int big = 0;
  int small = 0;
  for (std::uint64_t draw = 0; draw < 1000; ++draw) {
    const ServiceName service = ChooseService(route, draw);
    big += service.value == "big" ? 1 : 0;
    small += service.value == "small" ? 1 : 0;
  }
  CHECK(big == 900);
  CHECK(small == 100);
}

TEST_CASE(
    "the kind of a route determines whether its requests are repeatable") {
  Route route;
  route.kind = RouteKind::kUnsafe;
  CHECK_FALSE(Repeatable(route));
  route.kind = RouteKind::kSafe;
  CHECK(Repeatable(route));
  route.kind = RouteKind::kStream;
  CHECK_FALSE(Repeatable(route));
  route.resumable = true;
  CHECK(Repeatable(route));
}
