// Calls that run once, at targets of the product's own interface that copy
// their refusals.
#include <doctest/doctest.h>

#include "shell/copying-server.h"

using namespace comfreyflow::test;  // NOLINT(google-build-using-namespace)

TEST_CASE("the copy of a refusal runs a plain call twice") {
  CopyingScene scene;
  for (int i = 0; i < kCalls; ++i) {
    scene.CallUntilRun("/services/rounds/orders", i, "order");
  }
  scene.CheckRuns();
  REQUIRE(scene.service.refusals() + scene.other_service.refusals() > 0);
}

TEST_CASE("the copy of a refusal runs a prompt twice") {
  CopyingScene scene;
  for (int i = 0; i < kCalls; ++i) {
    scene.CallUntilRun("/v1/completions", i, Prompt("a prompt", 8));
  }
  scene.CheckRuns();
  REQUIRE(scene.first.refusals() + scene.second.refusals() > 0);
}
