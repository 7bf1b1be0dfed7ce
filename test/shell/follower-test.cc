// Follower of store objects: batches of changes, gaps in the history, outages.
#include "gateway/follower.h"

#include <doctest/doctest.h>

#include <map>
#include <thread>

using namespace comfreyflow;           // NOLINT(google-build-using-namespace)
using namespace comfreyflow::gateway;  // NOLINT(google-build-using-namespace)

namespace {

/// A scripted store and a follower of two kinds.
struct FollowerFixture {
  explicit FollowerFixture(StoreRole role = StoreRole::kOneOfAll) {
    store.list = [this](const std::string& kind, const ListHandler& handler) {
      ++lists[kind];
      ListAnswer answer;
      if (is_store_down) answer.error = Errc::kPlatformUnavailable;
      answer.version = {era, 5};
      answer.items = {{"a", {0, 1}, "x"}, {"b", {0, 2}, "y"}};
      Post([handler, answer] { handler(answer); });
    };
    store.watch = [this](const std::string& kind, const StoreVersion&,
                         Duration wait, WatchHandler handler) {
      ++watches[kind];
      if (is_store_down || wait == Duration::zero()) {
        WatchAnswer answer;
        if (is_store_down) answer.error = Errc::kPlatformUnavailable;
        return Post([handler, answer] { handler(answer); });
      }
      open_watches[kind] = std::move(handler);
    };

    std::vector<FollowedKind> kinds;
    fleet.role = role;
    // So many that no passive host checks a kind during the test by chance.
    if (role == StoreRole::kPassive) fleet.hosts = 1'000'000;
    for (const char* kind : {"one", "two"}) {
      kinds.push_back(
          {kind,
           [this](const auto& objects) { received_objects += objects.size(); },
           [this](const auto&) { ++received_objects; }, [this] { ++batches; }});
    }
    kinds.front().is_told_by_peers = role != StoreRole::kOneOfAll;
    follower = std::make_unique<Follower>(
        io, store, std::move(kinds),
        FollowerHooks{[this] { ++outages; }, [this] { ++recoveries; },
                      [this] { return fleet; }});
    follower->Start();
  }

  void Post(std::function<void()> action) {
    boost::asio::post(io, std::move(action));
  }
  bool RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!done() && std::chrono::steady_clock::now() < end) {
      io.run_for(std::chrono::milliseconds(5));
      io.restart();
    }
    return done();
  }
  void RunFor(std::chrono::milliseconds length) {
    io.run_for(length);
    io.restart();
  }
  int calls() const {
    int sum = 0;
    for (const auto& [kind, count] : lists) sum += count;
    for (const auto& [kind, count] : watches) sum += count;
    return sum;
  }
  void Answer(const std::string& kind, WatchAnswer answer) {
    const WatchHandler handler = std::move(open_watches[kind]);
    open_watches.erase(kind);
    handler(std::move(answer));
  }

  boost::asio::io_context io{1};
  ObjectStore store;
  bool is_store_down = false;
  std::uint64_t era = 0;
  FleetInfo fleet;
  std::map<std::string, int> lists;
  std::map<std::string, int> watches;
  std::map<std::string, WatchHandler> open_watches;
  std::size_t received_objects = 0;
  int batches = 0;
  int outages = 0;
  int recoveries = 0;
  std::unique_ptr<Follower> follower;
};

}  // namespace

TEST_CASE("objects of one store answer are delivered as one batch") {
  FollowerFixture fixture;
  REQUIRE(fixture.RunUntil([&] { return fixture.open_watches.size() == 2; }));
  CHECK(fixture.batches == 2);
  CHECK(fixture.received_objects == 4);
  WatchAnswer changes;
  changes.version = {0, 9};
  for (int i = 0; i < 100; ++i) {
    changes.changes.push_back({"n" + std::to_string(i), {0, 9}, "v"});
  }
  fixture.Answer("one", changes);
  CHECK(fixture.received_objects == 104);
  CHECK(fixture.batches == 3);
  REQUIRE(fixture.RunUntil([&] { return fixture.open_watches.size() == 2; }));
  fixture.Answer("one", {});
  CHECK(fixture.batches == 3);
}

TEST_CASE("a kind is listed again after a gap in its history") {
  FollowerFixture fixture;
  REQUIRE(fixture.RunUntil([&] { return fixture.open_watches.size() == 2; }));
  WatchAnswer gap;
  gap.history_expired = true;
  fixture.Answer("two", gap);
  REQUIRE(fixture.RunUntil([&] { return fixture.open_watches.size() == 2; }));
  CHECK(fixture.lists["two"] == 2);
  CHECK(fixture.lists["one"] == 1);
  CHECK(fixture.outages == 0);
}

TEST_CASE("only one kind probes the store during an outage") {
  FollowerFixture fixture;
  REQUIRE(fixture.RunUntil([&] { return fixture.open_watches.size() == 2; }));
  fixture.is_store_down = true;
  WatchAnswer failed;
  failed.error = Errc::kPlatformUnavailable;
  fixture.Answer("one", failed);
  fixture.Answer("two", failed);
  REQUIRE(fixture.RunUntil([&] { return fixture.outages == 1; }));
  const auto calls = fixture.watches;
  REQUIRE(fixture.RunUntil([&] {
    return fixture.watches["one"] + fixture.watches["two"] >
           calls.at("one") + calls.at("two") + 2;
  }));
  const bool only_one = fixture.watches["one"] == calls.at("one") ||
                        fixture.watches["two"] == calls.at("two");
  CHECK(only_one);
  fixture.is_store_down = false;
  REQUIRE(fixture.RunUntil([&] { return fixture.open_watches.size() == 2; }));
  CHECK(fixture.recoveries == 1);
  CHECK(fixture.follower->store_up());
}

TEST_CASE("in a new era all kinds are listed again, and open watches ignored") {
  FollowerFixture fixture;
  REQUIRE(fixture.RunUntil([&] { return fixture.open_watches.size() == 2; }));
  WatchHandler abandoned = fixture.open_watches["one"];
  fixture.open_watches.clear();
  fixture.era = 2;
  fixture.follower->OnEraChange(2);
  WatchAnswer late;
  late.version = {1, 9};
  late.changes.push_back({"late", {1, 9}, "v"});
  abandoned(late);
  REQUIRE(fixture.RunUntil([&] { return fixture.open_watches.size() == 2; }));
  CHECK(fixture.lists["one"] == 2);
  CHECK(fixture.lists["two"] == 2);
  CHECK(fixture.received_objects == 8);
  CHECK(fixture.follower->KindStatuses()[0].version == StoreVersion{2, 5});
}

TEST_CASE("a list of an earlier era is not delivered") {
  FollowerFixture fixture;
  // The lists are under way.
  fixture.follower->OnEraChange(2);
  REQUIRE(fixture.RunUntil([&] { return fixture.lists["one"] >= 2; }));
  CHECK(fixture.received_objects == 0);
  fixture.era = 2;
  REQUIRE(fixture.RunUntil([&] { return fixture.open_watches.size() == 2; }));
  CHECK(fixture.received_objects == 4);
}

TEST_CASE("a passive host makes no calls for what peers tell") {
  FollowerFixture fixture(StoreRole::kPassive);
  REQUIRE(fixture.RunUntil([&] { return fixture.open_watches.size() == 1; }));
  fixture.RunFor(std::chrono::milliseconds(1200));
  CHECK(fixture.lists["one"] == 1);
  CHECK(fixture.watches["one"] == 0);
  CHECK(fixture.watches["two"] == 1);
}

TEST_CASE("a host that becomes a reader reads at once what it put off") {
  FollowerFixture fixture(StoreRole::kPassive);
  REQUIRE(fixture.RunUntil([&] { return fixture.open_watches.size() == 1; }));
  WatchAnswer change;
  change.version = {0, 9};
  change.changes.push_back({"a", {0, 9}, "v"});

  SUBCASE("a pause after a change ends") {
    fixture.Answer("two", change);
    fixture.RunFor(std::chrono::milliseconds(100));
    REQUIRE(fixture.open_watches.empty());
  }
  SUBCASE("a watch that may be dead is replaced") {
    fixture.open_watches.clear();
  }
  const int before = fixture.calls();
  fixture.fleet.role = StoreRole::kReader;
  fixture.follower->StartReading();
  fixture.RunFor(std::chrono::milliseconds(50));
  CHECK(fixture.open_watches.size() == 2);

  // One call of each kind that does not wait at most, and its watch.
  CHECK(fixture.calls() - before <= 4);
  const int started = fixture.calls();
  fixture.RunFor(std::chrono::milliseconds(1200));
  CHECK(fixture.calls() == started);
  // Being told again changes nothing but the open watches.
  fixture.follower->StartReading();
  fixture.follower->StartReading();
  fixture.RunFor(std::chrono::milliseconds(300));
  CHECK(fixture.open_watches.size() == 2);
}

TEST_CASE("no step of a kind is scheduled twice") {
  // A timer that has fired while a refresh makes the call runs it once more.
  FollowerFixture fixture(StoreRole::kPassive);
  REQUIRE(fixture.RunUntil([&] { return fixture.open_watches.size() == 1; }));
  for (int i = 0; i < 20; ++i) {
    const int before = fixture.watches["one"];
    // Lets the timer of the rest expire before its handler runs.
    std::this_thread::sleep_for(kRoleCheckInterval +
                                std::chrono::milliseconds(5));
    fixture.Post([&fixture] { fixture.follower->RefreshStale("one"); });
    fixture.RunFor(std::chrono::milliseconds(20));
    CHECK(fixture.watches["one"] - before == 1);
  }
}
