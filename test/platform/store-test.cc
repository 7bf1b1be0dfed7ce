// The platform's store through the product's one client of object stores.
#include "platform/store.h"

#include <doctest/doctest.h>

#include <optional>

#include "gateway/object-store.h"
#include "platform/stand-ins.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)

namespace {

struct StoreAndClient {
  explicit StoreAndClient(PlatformSettings settings = {}) {
    settings.address = fake.address();
    settings.resend_reads = false;
    client = std::make_shared<PlatformClient>(io, http, settings, StoreApi());
    store = gateway::MakeObjectStore(client);
  }

  template <class Answer>
  Answer Wait(const std::function<void(std::function<void(Answer)>)>& start) {
    std::optional<Answer> out;
    start([&](Answer answer) { out = std::move(answer); });
    while (!out) io.run_one();
    return *out;
  }
  ListAnswer List(const std::string& kind) {
    return Wait<ListAnswer>([&](auto done) { store.list(kind, done); });
  }
  WatchAnswer Watch(const std::string& kind, std::uint64_t version) {
    return Wait<WatchAnswer>([&](auto done) {
      store.watch(kind, version, std::chrono::seconds(5), done);
    });
  }
  std::error_code Create(const std::string& kind, const std::string& name) {
    return Wait<std::error_code>(
        [&](auto done) { store.create(kind, name, R"({"a":1})", done); });
  }

  boost::asio::io_context io{1};
  FakeStore fake{io};
  http::Client http{io};
  std::shared_ptr<PlatformClient> client;
  gateway::ObjectStore store;
};

}  // namespace

TEST_CASE("a list in pages is told whole, to be watched from its first page") {
  StoreAndClient one;
  for (int i = 0; i < 7; ++i) {
    one.fake.Put("servers", "s" + std::to_string(i), {{"n", i}});
  }
  one.fake.SetPageSize(3);
  const ListAnswer list = one.List("servers");
  CHECK_FALSE(list.error);
  REQUIRE(list.items.size() == 7);
  CHECK(list.items[6].name == "s6");
  CHECK(list.items[6].value == R"({"n":6})");
  CHECK(one.List("none").items.empty());
  one.fake.Remove("servers", "s2");
  const WatchAnswer changes = one.Watch("servers", list.version);
  REQUIRE(changes.changes.size() == 1);
  CHECK(changes.changes[0].name == "s2");
  CHECK(changes.changes[0].deleted);
  CHECK(changes.version > list.version);
}

TEST_CASE("a created object is there once, also when the answer is lost") {
  StoreAndClient one;
  CHECK_FALSE(one.Create("hosts", "a"));
  CHECK(one.Create("hosts", "a") == Errc::kVersionConflict);
  one.fake.LoseAnswers(1);
  CHECK_FALSE(one.Create("hosts", "b"));
  CHECK(one.client->Counts().answers_lost == 1);
  CHECK(one.List("hosts").items.size() == 2);
}

TEST_CASE("a watch over forgotten history says so") {
  StoreAndClient one;
  one.fake.Put("config", "main", {{"n", 1}});
  const ListAnswer list = one.List("config");
  one.fake.Put("config", "main", {{"n", 2}});
  one.fake.Forget();
  CHECK(one.Watch("config", list.version).history_expired);
  CHECK_FALSE(one.Watch("config", list.version).error);
}

TEST_CASE("calls beyond a host's part of the rate are not made") {
  PlatformSettings settings;
  settings.limits.reads_per_second = 1;
  settings.limits.burst = std::chrono::seconds(3);
  StoreAndClient one(settings);
  int refused = 0;
  for (int i = 0; i < 10; ++i) {
    if (one.List("config").error == Errc::kPlatformRateLimited) ++refused;
  }
  CHECK(refused >= 6);
  CHECK(one.fake.calls() == 10U - refused);
  CHECK(one.client->Counts().refused_locally == refused);
}

TEST_CASE("objects of other writers that can't be read are left out") {
  StoreAndClient one;
  one.fake.Put("servers", "good", {{"n", 1}});
  one.fake.Put("servers", "text", "not an object");
  one.fake.Put("servers", "nothing", nullptr);
  const ListAnswer list = one.List("servers");
  REQUIRE(list.items.size() == 3);
  CHECK(list.items[0].value == R"({"n":1})");
  CHECK(list.items[1].value.empty());
  CHECK(list.items[2].value == "not an object");
}
