// The platform client against the fake platform and the faults it can inject.
#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <future>
#include <optional>
#include <thread>

#include "fakes/fake-platform.h"
#include "platform/client.h"

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

/// Makes calls of the client and blocks until each one has ended.
class Caller {
 public:
  explicit Caller(const std::string& address,
                  Duration timeout = std::chrono::seconds(5))
      : http_(context_), client_(context_, http_, Settings(address, timeout)) {}

  PlatformClient& client() { return client_; }

  template <class Answer>
  Answer Wait(const std::function<void(std::function<void(Answer)>)>& start) {
    std::optional<Answer> out;
    start([&](Answer answer) { out = std::move(answer); });
    context_.restart();
    context_.run();
    return *out;
  }
  WriteAnswer Create(const std::string& name, const std::string& value) {
    return Wait<WriteAnswer>(
        [&](auto done) { client_.Create("config", name, value, done); });
  }
  WriteAnswer Update(const std::string& name, std::uint64_t version) {
    return Wait<WriteAnswer>([&](auto done) {
      client_.Update("config", name, {0, version}, "u", done);
    });
  }
  ReadAnswer Read(const std::string& name) {
    return Wait<ReadAnswer>(
        [&](auto done) { client_.Read("config", name, done); });
  }
  WatchAnswer Watch(std::uint64_t since, Duration timeout) {
    return Wait<WatchAnswer>([&](auto done) {
      client_.Watch("config", {0, since}, timeout, done);
    });
  }

 private:
  static PlatformSettings Settings(const std::string& address,
                                   Duration timeout) {
    PlatformSettings settings;
    settings.address = address;
    settings.call_timeout = timeout;
    settings.watch_grace = milliseconds(100);
    return settings;
  }
  boost::asio::io_context context_;
  http::Client http_;
  PlatformClient client_;
};

}  // namespace

TEST_CASE("objects are created, updated, read, listed and removed") {
  fakes::FakePlatform platform;
  Caller caller(platform.address());
  const std::string name = "a/b c?\"&ü";
  CHECK(caller.Create(name, "v\n\"1\"").state == WriteState::kApplied);
  CHECK(caller.Read(name).object.value == "v\n\"1\"");
  CHECK(caller.Update(name, 1).version.revision == 2);
  CHECK(caller.Create("other", "x").version.revision == 3);
  const auto list = caller.Wait<ListAnswer>([&](auto done) {
    caller.client().List({"config", "a/", "a/b", 10}, done);
  });
  CHECK(list.version.revision == 3);
  REQUIRE(list.items.size() == 1);
  CHECK(list.items[0].name == name);
  const auto removed = caller.Wait<WriteAnswer>([&](auto done) {
    caller.client().Remove("config", name, {0, 2}, done);
  });
  CHECK(removed.state == WriteState::kApplied);
  CHECK(caller.Read(name).error == Errc::kObjectNotFound);
}

TEST_CASE(
    "a write with a version conflict is refused and reports the version") {
  fakes::FakePlatform platform;
  Caller caller(platform.address());
  caller.Create("a", "1");
  const WriteAnswer conflict = caller.Create("a", "2");
  CHECK(conflict.state == WriteState::kRefused);
  CHECK(conflict.error == Errc::kVersionConflict);
  CHECK(conflict.version.revision == 1);
  CHECK(caller.Update("a", 7).error == Errc::kVersionConflict);
  CHECK(caller.Update("none", 1).error == Errc::kObjectNotFound);
  const WriteAnswer binary = caller.Create("b", "\xff\xfe");
  CHECK(binary.state == WriteState::kRefused);
  CHECK(binary.error == Errc::kCodec);
}

TEST_CASE("a lost answer is distinguished from a conflict, applied or not") {
  fakes::FakePlatform platform;
  Caller caller(platform.address());
  for (const char* fault : {"lose_answers", "lose_requests"}) {
    caller.Read("none");  // Leaves an idle connection in the pool.
    platform.SetFaults({{fault, 1}});
    const std::string name = fault;
    CHECK(caller.Create(name, "mine").state == WriteState::kAnswerLost);
    const bool applied = name == "lose_answers";
    CHECK(ToErrc(caller.Read(name).error) ==
          (applied ? Errc::kOk : Errc::kObjectNotFound));
  }
  CHECK(platform.Counts()["writes"] == 2);
}

TEST_CASE(
    "if the platform is unresponsive, a write is uncertain and a read fails") {
  fakes::FakePlatform platform;
  Caller caller(platform.address(), milliseconds(50));
  platform.SetFaults({{"silent", true}});
  CHECK(caller.Create("a", "1").state == WriteState::kAnswerLost);
  CHECK(caller.Read("a").error == Errc::kPlatformUnavailable);
}

TEST_CASE("in an outage calls are refused locally until a probe succeeds") {
  fakes::FakePlatform platform;
  Caller caller(platform.address());
  platform.SetFaults({{"outage", true}});
  const auto write = caller.Create("a", "1");
  CHECK(write.state == WriteState::kRefused);
  CHECK(write.error == Errc::kPlatformUnavailable);
  for (int i = 0; i < 10; ++i) {
    CHECK(caller.Read("a").error == Errc::kPlatformUnavailable);
  }
  CHECK(platform.Counts()["refused"].get<int>() < 10);
  platform.SetFaults({{"outage", false}});
  std::error_code error = Errc::kPlatformUnavailable;
  while (error == Errc::kPlatformUnavailable) error = caller.Read("a").error;
  CHECK(error == Errc::kObjectNotFound);
}

TEST_CASE(
    "a call over the platform's rate limit reports kPlatformRateLimited") {
  fakes::FakePlatformSettings settings;
  settings.writes_per_second = 1;
  fakes::FakePlatform platform(settings);
  Caller caller(platform.address());
  CHECK(caller.Create("a", "1").state == WriteState::kApplied);
  const WriteAnswer second = caller.Create("b", "1");
  CHECK(second.state == WriteState::kRefused);
  CHECK(second.error == Errc::kPlatformRateLimited);
}

TEST_CASE(
    "a watch returns on a change, times out, and reports expired history") {
  fakes::FakePlatformSettings settings;
  settings.changes_kept = 2;
  fakes::FakePlatform platform(settings);
  Caller caller(platform.address());
  Caller other(platform.address());
  CHECK(caller.Watch(0, milliseconds(1)).changes.empty());
  other.Create("a", "1");
  const WatchAnswer changed = caller.Watch(0, std::chrono::seconds(5));
  REQUIRE(changed.changes.size() == 1);
  CHECK(changed.changes[0].value == "1");
  CHECK(changed.version.revision == 1);
  for (const char* name : {"b", "c", "d"}) other.Create(name, "1");
  const WatchAnswer missed = caller.Watch(1, std::chrono::seconds(5));
  CHECK(missed.history_expired);
  CHECK_FALSE(missed.error);
}

TEST_CASE("a watch that gets no answer fails, and a new one works") {
  fakes::FakePlatform platform;
  Caller caller(platform.address());
  platform.SetFaults({{"silent", true}});
  CHECK(caller.Watch(0, milliseconds(10)).error == Errc::kPlatformUnavailable);
  platform.SetFaults({{"silent", false}});
  CHECK_FALSE(caller.Watch(0, milliseconds(10)).error);
}

TEST_CASE("a watch that the platform drops without an answer times out") {
  fakes::FakePlatform platform;
  Caller caller(platform.address());
  auto broken = std::async(std::launch::async, [&] {
    return caller.Watch(0, milliseconds(300)).error;
  });
  while (platform.Counts()["watches"] == 0) std::this_thread::yield();
  platform.SetFaults({{"break_watches", true}});
  CHECK(broken.get() == Errc::kPlatformUnavailable);
  CHECK(platform.Counts()["watches"] == 1);
  CHECK_FALSE(caller.Watch(0, milliseconds(10)).error);
}

TEST_CASE("the list of hosts is read, and an invalid address throws") {
  fakes::FakePlatform platform;
  const fakes::Json list = {{"version", 3},
                            {"hosts",
                             {{{"name", "h1"},
                               {"gossip", "127.0.0.1:7946"},
                               {"state", "leaving"},
                               {"failure_domain", "kokura"}}}},
                            {"targets", fakes::Json::array()}};
  fakes::Fetch(platform.address(), "PUT", "/hosts", list.dump());
  Caller caller(platform.address());
  const auto hosts =
      caller.Wait<HostsAnswer>([&](auto done) { caller.client().Hosts(done); });
  REQUIRE(hosts.hosts.size() == 1);
  CHECK(hosts.hosts[0].leaving);
  CHECK(hosts.hosts[0].address == "127.0.0.1:7946");
  for (const char* invalid :
       {"", "127.0.0.1", "h:80", "127.0.0.1:x", "1.2.3.4:"}) {
    CHECK_THROWS_AS(Caller{invalid}, std::system_error);
  }
}

TEST_CASE("large answers are parsed outside the I/O thread, small ones on it") {
  fakes::FakePlatform platform;
  boost::asio::io_context io;
  http::Client http(io);
  std::vector<std::function<void()>> work;
  PlatformSettings settings;
  settings.address = platform.address();
  settings.offload = [&work](std::function<void()> given) {
    work.push_back(std::move(given));
  };
  PlatformClient client(io, http, settings);
  const auto run = [&io] {
    io.restart();
    io.run();
  };
  const std::string large(kLargeAnswerBytes, 'x');
  for (const auto& value : {std::string("small"), large}) {
    client.Create("config", value.substr(0, 5), value, [](WriteAnswer) {});
    run();
  }
  std::vector<std::size_t> sizes;
  const auto take = [&sizes](const ReadAnswer& answer) {
    sizes.push_back(answer.object.value.size());
  };
  client.Read("config", "small", take);
  run();
  CHECK(work.empty());
  REQUIRE(sizes.size() == 1);
  client.Read("config", "xxxxx", take);
  run();
  CHECK(sizes.size() == 1);
  REQUIRE(work.size() == 1);
  work[0]();
  CHECK(sizes.size() == 1);  // The handler runs on the I/O thread.
  run();
  REQUIRE(sizes.size() == 2);
  CHECK(sizes[1] == large.size());
}
