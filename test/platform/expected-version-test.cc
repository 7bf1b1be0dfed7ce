// Targets that turn away what names another version of their weights, in their
// own name, beside targets that another one has replaced.
#include <doctest/doctest.h>

#include <string>

#include "platform/two-targets.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)

namespace {

const http::Fields kOtherVersion = {{"x-expect-version", "2"}};

/// Turns requests away that expect a version, in the name `at_fault`.
FakeTarget::Handler TurnsAway(FakeTarget& target, const std::string& at_fault) {
  return [&target, at_fault](const http::ExchangePtr& exchange) {
    const auto& fields = exchange->request().fields;
    if (http::FieldValue(fields, "x-expect-version").empty())
      return exchange->Respond(target.Head(exchange->request()));
    http::Response answer = target.Head(exchange->request(), 421);
    if (!at_fault.empty()) answer.fields.push_back({"at-server", at_fault});
    exchange->Respond(std::move(answer));
  };
}

int StatusOf(TwoTargets& two, const http::Fields& fields = {}) {
  return two.site.Call(two.host, "GET", "/safe/1", fields).response.status;
}

}  // namespace

TEST_CASE("a caller that expects a version takes targets from the others") {
  for (const bool is_named : {true, false}) {
    CAPTURE(is_named);
    TwoTargets two;
    for (FakeTarget* target : {&two.first, &two.second})
      target->OnRequest(TurnsAway(*target, is_named ? target->name() : ""));
    for (int i = 0; i < 10; ++i) {
      CHECK(StatusOf(two, kOtherVersion) == 503);
      CHECK(StatusOf(two) == 200);
    }
    // Each was asked by the caller that neither could serve.
    CHECK(two.first.requests().size() >= 10);
    CHECK(two.second.requests().size() >= 10);
  }
}

TEST_CASE("a target that another one has replaced is asked again") {
  TwoTargets two;
  two.first.OnRequest(TurnsAway(two.first, "i9"));
  two.second.OnRequest(TurnsAway(two.second, "i9"));
  CHECK(StatusOf(two, kOtherVersion) == 503);
  const auto before =
      two.first.requests().size() + two.second.requests().size();
  CHECK(before == 2);
  CHECK(StatusOf(two, kOtherVersion) == 503);
  CHECK(two.first.requests().size() + two.second.requests().size() == before);
}
