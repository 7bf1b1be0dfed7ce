// The object store client with the wire format of the platform's store.
#include "platform/store.h"

#include <doctest/doctest.h>

#include <optional>

#include "gateway/object-store.h"
#include "platform/stand-ins.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)

namespace {

struct StoreFixture {
  explicit StoreFixture(PlatformSettings settings = {}) {
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

TEST_CASE(
    "a paged list is complete, and is watched from its first page's version") {
  StoreFixture fixture;
  for (int i = 0; i < 7; ++i) {
    fixture.fake.Put("servers", "s" + std::to_string(i), {{"n", i}});
  }
  fixture.fake.SetPageSize(3);
  const ListAnswer list = fixture.List("servers");
  CHECK_FALSE(list.error);
  REQUIRE(list.items.size() == 7);
  CHECK(list.items[6].name == "s6");
  CHECK(list.items[6].value == R"({"n":6})");
  CHECK(fixture.List("none").items.empty());
  fixture.fake.Remove("servers", "s2");
  const WatchAnswer changes = fixture.Watch("servers", list.version);
  REQUIRE(changes.changes.size() == 1);
  CHECK(changes.changes[0].name == "s2");
  CHECK(changes.changes[0].deleted);
  CHECK(changes.version > list.version);
}

TEST_CASE("an object is created exactly once, even if the answer is lost") {
  StoreFixture fixture;
  CHECK_FALSE(fixture.Create("hosts", "a"));
  CHECK(fixture.Create("hosts", "a") == Errc::kVersionConflict);
  fixture.fake.LoseAnswers(1);
  CHECK_FALSE(fixture.Create("hosts", "b"));
  CHECK(fixture.client->Counts().answers_lost == 1);
  CHECK(fixture.List("hosts").items.size() == 2);
}

TEST_CASE("a watch from a version whose history has expired reports it") {
  StoreFixture fixture;
  fixture.fake.Put("config", "main", {{"n", 1}});
  const ListAnswer list = fixture.List("config");
  fixture.fake.Put("config", "main", {{"n", 2}});
  fixture.fake.Forget();
  CHECK(fixture.Watch("config", list.version).history_expired);
  CHECK_FALSE(fixture.Watch("config", list.version).error);
}

TEST_CASE("calls over the host's rate limit are not sent") {
  PlatformSettings settings;
  settings.limits.reads_per_second = 1;
  settings.limits.burst = std::chrono::seconds(3);
  StoreFixture fixture(settings);
  int refused = 0;
  for (int i = 0; i < 10; ++i) {
    if (fixture.List("config").error == Errc::kPlatformRateLimited) ++refused;
  }
  CHECK(refused >= 6);
  CHECK(fixture.fake.calls() == 10U - refused);
  CHECK(fixture.client->Counts().refused_locally == refused);
}

TEST_CASE("objects whose Spec is null or text are listed") {
  StoreFixture fixture;
  fixture.fake.Put("servers", "good", {{"n", 1}});
  fixture.fake.Put("servers", "text", "not an object");
  fixture.fake.Put("servers", "nothing", nullptr);
  const ListAnswer list = fixture.List("servers");
  REQUIRE(list.items.size() == 3);
  CHECK(list.items[0].value == R"({"n":1})");
  CHECK(list.items[1].value.empty());
  CHECK(list.items[2].value == "not an object");
}
