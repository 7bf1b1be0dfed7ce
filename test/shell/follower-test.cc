// Following kinds of objects: batches, gaps in the history, outages.
#include "gateway/follower.h"

#include <doctest/doctest.h>

#include <map>

using namespace comfreyflow;           // NOLINT(google-build-using-namespace)
using namespace comfreyflow::gateway;  // NOLINT(google-build-using-namespace)

namespace {

/// A store that answers as the test says, and one follower of two kinds.
struct Following {
  Following() {
    store.list = [this](const std::string& kind, const ListHandler& handler) {
      ++lists[kind];
      ListAnswer answer;
      if (down) answer.error = Errc::kPlatformUnavailable;
      answer.version = 5;
      answer.items = {{"a", 1, "x"}, {"b", 2, "y"}};
      Later([handler, answer] { handler(answer); });
    };
    store.watch = [this](const std::string& kind, std::uint64_t, Duration wait,
                         WatchHandler handler) {
      ++watches[kind];
      if (down || wait == Duration::zero()) {
        WatchAnswer answer;
        if (down) answer.error = Errc::kPlatformUnavailable;
        return Later([handler, answer] { handler(answer); });
      }
      open[kind] = std::move(handler);
    };
    std::vector<FollowedKind> kinds;
    for (const char* kind : {"one", "two"}) {
      kinds.push_back({kind,
                       [this](const auto& objects) { seen += objects.size(); },
                       [this](const auto&) { ++seen; }, [this] { ++told; }});
    }
    follower = std::make_unique<Follower>(
        io, store, std::move(kinds),
        FollowerHooks{[this] { ++lost; }, [this] { ++back; },
                      [] { return FleetInfo{}; }});
    follower->Start();
  }

  void Later(std::function<void()> action) {
    boost::asio::post(io, std::move(action));
  }
  bool Until(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!done() && std::chrono::steady_clock::now() < end) {
      io.run_for(std::chrono::milliseconds(5));
      io.restart();
    }
    return done();
  }
  void Answer(const std::string& kind, WatchAnswer answer) {
    const WatchHandler handler = std::move(open[kind]);
    open.erase(kind);
    handler(std::move(answer));
  }

  boost::asio::io_context io{1};
  ObjectStore store;
  bool down = false;
  std::map<std::string, int> lists;
  std::map<std::string, int> watches;
  std::map<std::string, WatchHandler> open;
  std::size_t seen = 0;
  int told = 0;
  int lost = 0;
  int back = 0;
  std::unique_ptr<Follower> follower;
};

}  // namespace

TEST_CASE("what one answer tells is told together, once") {
  Following one;
  REQUIRE(one.Until([&] { return one.open.size() == 2; }));
  CHECK(one.told == 2);
  CHECK(one.seen == 4);
  WatchAnswer changes;
  changes.version = 9;
  for (int i = 0; i < 100; ++i) {
    changes.changes.push_back({"n" + std::to_string(i), 9, "v"});
  }
  one.Answer("one", changes);
  CHECK(one.seen == 104);
  CHECK(one.told == 3);
  REQUIRE(one.Until([&] { return one.open.size() == 2; }));
  one.Answer("one", {});
  CHECK(one.told == 3);
}

TEST_CASE("after a gap in the history the kind is listed anew") {
  Following one;
  REQUIRE(one.Until([&] { return one.open.size() == 2; }));
  WatchAnswer gap;
  gap.history_expired = true;
  one.Answer("two", gap);
  REQUIRE(one.Until([&] { return one.open.size() == 2; }));
  CHECK(one.lists["two"] == 2);
  CHECK(one.lists["one"] == 1);
  CHECK(one.lost == 0);
}

TEST_CASE("while the store is away one kind alone tries it") {
  Following one;
  REQUIRE(one.Until([&] { return one.open.size() == 2; }));
  one.down = true;
  WatchAnswer failed;
  failed.error = Errc::kPlatformUnavailable;
  one.Answer("one", failed);
  one.Answer("two", failed);
  REQUIRE(one.Until([&] { return one.lost == 1; }));
  const auto calls = one.watches;
  REQUIRE(one.Until([&] {
    return one.watches["one"] + one.watches["two"] >
           calls.at("one") + calls.at("two") + 2;
  }));
  const bool only_one = one.watches["one"] == calls.at("one") ||
                        one.watches["two"] == calls.at("two");
  CHECK(only_one);
  one.down = false;
  REQUIRE(one.Until([&] { return one.open.size() == 2; }));
  CHECK(one.back == 1);
  CHECK(one.follower->store_up());
}
