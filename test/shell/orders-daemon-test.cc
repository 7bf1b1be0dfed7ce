// Orders to targets: a host brings its engines to what the document wants.
#include <doctest/doctest.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "fakes/fake-engine.h"
#include "fakes/fake-platform.h"
#include "fakes/fake-service.h"
#include "host-fixture.h"

using namespace comfreyflow;        // NOLINT(google-build-using-namespace)
using namespace comfreyflow::test;  // NOLINT(google-build-using-namespace)
using Json = nlohmann::json;

namespace {

/// Waits until the engine has taken an order of the kind.
void WaitForOrder(fakes::FakeEngine& engine, const std::string& kind) {
  while (true) {
    for (const auto& order : engine.Orders()) {
      if (order.at("kind") == kind) return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

}  // namespace

TEST_CASE("a missing model is loaded on each engine, a foreign one unloaded") {
  fakes::FakePlatform platform;
  fakes::FakeEngineSettings engine_settings;
  engine_settings.models = {{"bento-llm", "1"}, {"foreign", "9"}};
  fakes::FakeEngine first(engine_settings);
  fakes::FakeEngine second(engine_settings);
  fakes::FakeService service;
  std::string text =
      ConfigText({first.address(), second.address()}, service.address());
  const std::string models = "models = bento-llm@1";
  text.replace(text.find(models), models.size(),
               "models = bento-llm@1, menu-llm@2");
  const TempFile file(text);
  HostSettings settings = Settings("h1");
  settings.platform = platform.address();
  settings.config_file = file.path();
  TestHost host(std::move(settings));

  for (auto* engine : {&first, &second}) {
    WaitForOrder(*engine, "load");
    WaitForOrder(*engine, "unload");
    for (const auto& order : engine->Orders()) {
      CHECK(order.at("fence").get<std::uint64_t>() > 0);
      if (order.at("kind") == "load") {
        CHECK(order.at("model") == "menu-llm");
        CHECK(order.at("version") == "2");
      } else {
        CHECK(order.at("kind") == "unload");
        CHECK(order.at("model") == "foreign");
      }
    }
  }
  CHECK(platform.Counts().at("writes") >= 1);
}
