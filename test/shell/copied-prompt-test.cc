// Repeatable prompts, at engines of the product's own interface that copy their
// refusals.
#include <doctest/doctest.h>

#include "shell/copying-server.h"

using namespace comfreyflow::test;  // NOLINT(google-build-using-namespace)

TEST_CASE("the copy of a refusal tells that a repeatable prompt has not run") {
  CopyingScene scene;
  for (int i = 0; i < 6 * kCalls; ++i) {
    const std::size_t before = scene.runs.all().size();
    const RawAnswer answer =
        scene.Call("/v1/completions", "", Prompt("a prompt", 8));
    if (answer.body.find("\"outcome\":\"not_run\"") != std::string::npos) {
      CHECK(scene.runs.all().size() == before);
    } else {
      CHECK(answer.status == 200);
    }
  }
  const auto due = [](const CopyingServer& server) {
    return server.copies() + server.copies_cut();
  };
  REQUIRE(due(scene.first) + due(scene.second) > 0);
}
