// Keys on routes that need none.
#include <doctest/doctest.h>

#include <string>

#include "platform/stand-ins.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)

TEST_CASE("a route that becomes public hides whose request it is") {
  Site site;
  FakeTarget& target = site.AddTarget("app", "i1");
  site.PutConfig(1);
  const std::size_t host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  // The field of a request at the target.
  const auto field = [&target](const char* name) {
    return std::string(http::FieldValue(target.requests().back().fields, name));
  };
  const auto status = [&](const http::Fields& fields) {
    return site.Call(host, "GET", "/safe/1", fields).response.status;
  };
  const http::Fields unknown = {{"authorization", "Token nobody"}};
  REQUIRE(status({}) == 200);
  REQUIRE(field("x-tenant") == "account1");
  REQUIRE(status(unknown) == 401);

  site.PutConfig(2, [](nlohmann::json& config) {
    for (auto& route : config["Routes"]) route["Public"] = true;
  });
  REQUIRE(site.Until([&] {
    return site.Metric(host, "comfreyflow_configuration_version") == "2";
  }));
  CHECK(status({}) == 200);
  CHECK(field("x-tenant") == "account1");
  CHECK(field("authorization").empty());
  // A key tells whose request it is; none is taken for no key.
  const auto runs = target.requests().size();
  CHECK(status(unknown) == 401);
  CHECK(target.requests().size() == runs);
}
