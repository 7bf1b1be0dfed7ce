// The object store client with the wire format of the platform's store.
#include "platform/store.h"

#include <doctest/doctest.h>

#include <optional>
#include <vector>

#include "gateway/object-store.h"
#include "platform/stand-ins.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)

namespace {

struct StoreFixture {
  explicit StoreFixture(PlatformSettings settings = {},
                        const ObjectApi& api = StoreApi()) {
    settings.address = fake.address();
    settings.resend_reads = false;
    client = std::make_shared<PlatformClient>(io, http, settings, api);
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
  WatchAnswer Watch(const std::string& kind, const StoreVersion& version) {
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

TEST_CASE("a list goes on behind names that no address or datagram can hold") {
  StoreFixture fixture;
  const std::string long_name(1024 * 1024, 'd');
  const std::vector<std::string> names = {"a",       "b c&After=z", "c%41+#",
                                          long_name, "e:1",         "z"};
  for (const auto& name : names) fixture.fake.Put("servers", name, {{"n", 1}});
  fixture.fake.SetPageSize(1);
  const ListAnswer list = fixture.List("servers");
  CHECK_FALSE(list.error);
  REQUIRE(list.items.size() == names.size());
  for (std::size_t i = 0; i < names.size(); ++i) {
    const bool is_long = names[i] == long_name;
    CHECK((list.items[i].name == names[i]) == !is_long);
    CHECK(list.items[i].value.empty() == is_long);
  }
}

TEST_CASE("a list whose page has no later name fails and is not endless") {
  for (const char* name : {"", "a"}) {
    ObjectApi api = StoreApi();
    api.read_list = [name](const std::string&, ListAnswer& out) {
      out.items.push_back({name});
      out.more = true;
    };
    StoreFixture fixture({}, api);
    CHECK(fixture.List("servers").error == Errc::kCodec);
    CHECK(fixture.fake.calls() <= 2);
  }
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

TEST_CASE("answers carry the store's era, and a rise is told before them") {
  PlatformSettings settings;
  std::vector<EraNotice> notices;
  settings.on_era = [&](const EraNotice& notice) { notices.push_back(notice); };
  StoreFixture fixture(settings);
  fixture.fake.Put("config", "main", {{"n", 1}});
  CHECK(fixture.List("config").version == StoreVersion{1, 2});
  fixture.fake.Restore(fixture.fake.TakeCopy());
  const ListAnswer list = fixture.List("config");
  CHECK(list.version == StoreVersion{2, 2});
  CHECK(list.items.at(0).version == StoreVersion{2, 2});
  REQUIRE(notices.size() == 2);
  CHECK(notices[0].kind == EraNotice::Kind::kFirst);
  CHECK(notices[1].kind == EraNotice::Kind::kChanged);
  CHECK(notices[1].before == 1);
  CHECK(notices[1].era == 2);
}

TEST_CASE("the era is read from refusals too") {
  PlatformSettings settings;
  std::uint64_t era = 0;
  settings.on_era = [&](const EraNotice& notice) { era = notice.era; };
  StoreFixture fixture(settings);
  const auto copy = fixture.fake.TakeCopy();
  SUBCASE("503") { fixture.fake.SetDown(true); }
  SUBCASE("409") { fixture.fake.Put("hosts", "a", {{"n", 1}}); }
  SUBCASE("410") {}
  fixture.fake.SetEraText("7");
  if (fixture.fake.Has("hosts", "a")) {
    CHECK(fixture.Create("hosts", "a") == Errc::kVersionConflict);
  } else {
    fixture.Watch("config", {1, 900});
  }
  CHECK(era == 7);
}

TEST_CASE("a late answer of an earlier era is not used") {
  PlatformSettings settings;
  settings.limits.outage_after = 100;
  StoreFixture fixture(settings);
  fixture.fake.SetEraText("5");
  CHECK_FALSE(fixture.List("config").error);
  fixture.fake.SetEraText("4");
  CHECK(fixture.List("config").error == Errc::kPlatformUnavailable);
  // Whether the write took effect is not known: the object is read.
  CHECK(fixture.Create("hosts", "a") == Errc::kPlatformUnavailable);
  CHECK(fixture.client->Counts().answers_lost == 1);
  CHECK(fixture.client->Counts().outdated == 3);
  fixture.fake.SetEraText("5");
  CHECK_FALSE(fixture.List("config").error);
}

TEST_CASE("a write on the condition of another era's version is not sent") {
  StoreFixture fixture;
  fixture.fake.Put("config", "main", {{"n", 1}});
  const StoreVersion before = fixture.List("config").version;
  fixture.fake.Restore(fixture.fake.TakeCopy());
  fixture.List("config");
  const std::size_t calls = fixture.fake.calls();
  const auto written = fixture.Wait<WriteAnswer>([&](auto done) {
    fixture.client->Update("config", "main", before, R"({"n":2})", done);
  });
  CHECK(written.state == WriteState::kRefused);
  CHECK(written.error == Errc::kVersionConflict);
  CHECK(fixture.fake.calls() == calls);
}

TEST_CASE("a list whose pages are of two eras fails") {
  StoreFixture fixture;
  for (int i = 0; i < 4; ++i) {
    fixture.fake.Put("servers", "s" + std::to_string(i), {{"n", i}});
  }
  fixture.fake.SetPageSize(2);
  std::optional<ListAnswer> list;
  fixture.store.list("servers", [&](const ListAnswer& a) { list = a; });
  while (fixture.fake.calls() < 1) fixture.io.run_one();
  fixture.fake.Restore(fixture.fake.TakeCopy());
  while (!list) fixture.io.run_one();
  CHECK(list->error == Errc::kPlatformUnavailable);
  CHECK_FALSE(fixture.List("servers").error);
}
