// Hosts while the store comes back from an older copy, in a later era.
#include <doctest/doctest.h>

#include "platform/stand-ins.h"

using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

/// A target's report: its start, and how many it has written.
json Report(const FakeTarget& target, const std::string& state,
            std::uint64_t born, std::uint64_t number,
            const std::string& service = "app") {
  json entry = SampleEntry(service, target.address(), "z1", state);
  entry["born"] = born;
  entry["Seq"] = number;
  return entry;
}

/// A site whose plain service has two targets that number their reports, and
/// hosts that follow its store.
struct Drill {
  explicit Drill(std::size_t hosts = 1) {
    for (FakeTarget* target : {&first, &second}) Write(*target, "ready", 1);
    site.PutConfig(5);
    for (std::size_t i = 0; i < hosts; ++i) site.AddHost();
    for (std::size_t i = 0; i < hosts; ++i) REQUIRE(site.UntilReady(i));
  }

  void Write(const FakeTarget& target, const std::string& state,
             std::uint64_t number, std::uint64_t born = 100) {
    site.store().Put("servers", target.name(),
                     Report(target, state, born, number));
  }
  /// Raises the store's revision by changes that no host follows.
  void PassRevisions(int count) {
    for (int i = 0; i < count; ++i) {
      site.store().Put("other", "object", {{"n", i}});
    }
  }
  bool Wait(milliseconds time) {
    const auto end = std::chrono::steady_clock::now() + time;
    return site.Until([end] { return std::chrono::steady_clock::now() > end; });
  }
  /// Waits until a host has listed the targets once more.
  bool UntilListed(std::size_t listed_before) {
    return site.Until([this, listed_before] {
      return site.store().lists("servers") > listed_before;
    }) && Wait(milliseconds(50));
  }
  /// Sends requests and returns how many of them the target ran.
  std::size_t RunsOf(const FakeTarget& target, std::size_t host = 0) {
    const std::size_t before = target.requests().size();
    for (int i = 0; i < 12; ++i) site.Call(host, "GET", "/safe/x");
    return target.requests().size() - before;
  }
  int StatusOf(const std::string& key, std::size_t host = 0) {
    return site
        .Call(host, "GET", "/safe/x", {{"authorization", "Token " + key}})
        .response.status;
  }
  bool HasEra(std::size_t host, std::uint64_t era) {
    return site.Metric(host, "comfreyflow_store_era") == std::to_string(era);
  }

  Site site;
  FakeTarget& first = site.AddTarget("app", "i1");
  FakeTarget& second = site.AddTarget("app", "i2");
};

}  // namespace

TEST_CASE(
    "targets are listed again when the new era has passed the watched "
    "revision") {
  Drill drill;
  const auto copy = drill.site.store().TakeCopy();
  drill.Write(drill.first, "ready", 2);
  REQUIRE(drill.Wait(milliseconds(100)));
  const std::size_t lists = drill.site.store().lists("servers");
  drill.site.store().Restore(copy);
  // Nothing answers 410: the revision that the host watches from exists again.
  // The target left before the host's watch is back.
  drill.Write(drill.first, "draining", 3);
  drill.PassRevisions(20);
  REQUIRE(drill.UntilListed(lists));
  CHECK(drill.RunsOf(drill.first) == 0);
  CHECK(drill.RunsOf(drill.second) == 12);
}

TEST_CASE("a target that was leaving is not used as the copy lists it ready") {
  Drill drill;
  const auto copy = drill.site.store().TakeCopy();
  drill.Write(drill.first, "draining", 7);
  REQUIRE(drill.Wait(milliseconds(100)));
  const std::size_t lists = drill.site.store().lists("servers");
  drill.site.store().Restore(copy);
  REQUIRE(drill.UntilListed(lists));
  CHECK(drill.RunsOf(drill.first) == 0);
  SUBCASE("a later report of the same start opens it") {
    drill.Write(drill.first, "ready", 8);
    CHECK(drill.site.Until([&] { return drill.RunsOf(drill.first) > 0; }));
  }
  SUBCASE("a later start opens it") {
    drill.Write(drill.first, "ready", 1, 200);
    CHECK(drill.site.Until([&] { return drill.RunsOf(drill.first) > 0; }));
  }
}

TEST_CASE("a target that was gone is not used as the copy lists it ready") {
  Drill drill;
  const auto copy = drill.site.store().TakeCopy();
  drill.site.store().Remove("servers", "i1");
  REQUIRE(drill.Wait(milliseconds(100)));
  const std::size_t lists = drill.site.store().lists("servers");
  drill.site.store().Restore(copy);
  REQUIRE(drill.UntilListed(lists));
  CHECK(drill.RunsOf(drill.first) == 0);
}

TEST_CASE("a target that started after the copy is used until it is overdue") {
  Drill drill;
  drill.Write(drill.first, "draining", 2);
  drill.Write(drill.second, "draining", 2);
  const auto copy = drill.site.store().TakeCopy();
  FakeTarget& late = drill.site.AddTarget("app", "i3");
  drill.Write(late, "ready", 1);
  CHECK(drill.site.Until([&] { return drill.RunsOf(late) > 0; }));
  const std::size_t lists = drill.site.store().lists("servers");
  drill.site.store().Restore(copy);
  REQUIRE(drill.UntilListed(lists));
  CHECK(drill.RunsOf(late) > 0);
  REQUIRE(drill.Wait(milliseconds(2600)));
  CHECK(drill.RunsOf(late) == 0);
}

TEST_CASE("a key that was taken away stays away, and one added stays") {
  Drill drill;
  const auto copy = drill.site.store().TakeCopy();
  drill.site.PutConfig(
      6, [](json& config) { config["Tenants"][0]["ApiKeys"] = {"key2"}; });
  CHECK(drill.site.Until([&] { return drill.StatusOf("key2") == 200; }));
  const std::size_t lists = drill.site.store().lists("config");
  drill.site.store().Restore(copy);
  REQUIRE(drill.site.Until(
      [&] { return drill.site.store().lists("config") > lists; }));
  REQUIRE(drill.Wait(milliseconds(50)));
  CHECK(drill.StatusOf("key1") == 401);
  CHECK(drill.StatusOf("key2") == 200);
}

TEST_CASE("a host that starts from the copy does not serve its configuration") {
  Drill drill;
  const auto copy = drill.site.store().TakeCopy();
  drill.site.PutConfig(
      6, [](json& config) { config["Tenants"][0]["ApiKeys"] = {"key2"}; });
  CHECK(drill.site.Until([&] { return drill.StatusOf("key2") == 200; }));
  drill.site.store().Restore(copy);
  const auto started = drill.site.AddHost();
  REQUIRE(drill.site.UntilReady(started));
  REQUIRE(drill.Wait(milliseconds(300)));
  // The other host knows the later configuration.
  CHECK(drill.StatusOf("key1", started) != 200);
  CHECK(
      drill.site.Until([&] { return drill.StatusOf("key2", started) == 200; }));
  CHECK(drill.StatusOf("key1", started) == 401);
}

TEST_CASE("a host's object that the copy lacks is written again") {
  Drill drill;
  auto copy = drill.site.store().TakeCopy();
  REQUIRE(drill.site.Until(
      [&] { return drill.site.store().Has("comfreyflow-hosts", "host0"); }));
  copy.objects["comfreyflow-hosts"].clear();
  drill.site.store().Restore(copy);
  CHECK(drill.site.Until(
      [&] { return drill.site.store().Has("comfreyflow-hosts", "host0"); }));
}

TEST_CASE("hosts hear of a new era from the first that sees it") {
  Drill drill(3);
  const auto copy = drill.site.store().TakeCopy();
  REQUIRE(drill.site.Until([&] { return drill.HasEra(2, 1); }));
  // The watches of all hosts go silent; one call of one host sees the era.
  drill.site.store().LoseWatches();
  drill.site.store().Restore(copy);
  CHECK(drill.site.Until([&] {
    return drill.HasEra(0, 2) && drill.HasEra(1, 2) && drill.HasEra(2, 2);
  }));
}

TEST_CASE("two eras within a second leave the later state in force") {
  Drill drill;
  const auto copy = drill.site.store().TakeCopy();
  drill.Write(drill.first, "draining", 7);
  REQUIRE(drill.Wait(milliseconds(100)));
  drill.site.store().Restore(copy);
  REQUIRE(drill.Wait(milliseconds(300)));
  drill.Write(drill.second, "draining", 9);
  drill.Write(drill.first, "ready", 8);
  CHECK(drill.site.Until([&] { return drill.RunsOf(drill.first) > 0; }));
  drill.site.store().Restore(copy);
  REQUIRE(drill.site.Until([&] { return drill.HasEra(0, 3); }));
  REQUIRE(drill.Wait(milliseconds(100)));
  CHECK(drill.RunsOf(drill.first) == 12);
  CHECK(drill.RunsOf(drill.second) == 0);
}

TEST_CASE("an address given to another service runs no request meant for it") {
  Drill drill;
  const auto copy = drill.site.store().TakeCopy();
  drill.site.store().Remove("servers", "i1");
  REQUIRE(drill.Wait(milliseconds(100)));
  const auto started = drill.site.AddHost();
  REQUIRE(drill.site.UntilReady(started));
  // Another target answers at the address, as it would after a reuse.
  FakeTarget& other = drill.site.AddTarget("model", "i9");
  drill.site.store().Remove("servers", "i9");
  json entry = Report(other, "ready", 100, 1);
  auto older = copy;
  older.objects["servers"]["i1"]["Spec"]["Addr"] = entry["Addr"];
  drill.site.store().Restore(older);
  REQUIRE(drill.site.Until([&] { return drill.HasEra(started, 2); }));
  REQUIRE(drill.Wait(milliseconds(100)));
  for (int i = 0; i < 12; ++i) {
    CHECK(drill.site.Call(started, "GET", "/safe/x").response.status == 200);
  }
  for (const auto& request : other.requests()) {
    CHECK(comfreyflow::http::FieldValue(request.fields, "x-target-instance") !=
          other.name());
  }
}

TEST_CASE("an era that is missing, unreadable or lower stops nothing") {
  Drill drill;
  drill.Write(drill.first, "draining", 7);
  REQUIRE(drill.Wait(milliseconds(100)));
  for (const char* text : {"", "x", "-1", "1e3", "99999999999999999999",
                           "18446744073709551615", "0", "1, 2"}) {
    CAPTURE(text);
    drill.site.store().SetEraText(text);
    drill.Write(drill.second, "ready", 2);
    REQUIRE(drill.Wait(milliseconds(100)));
    CHECK(drill.RunsOf(drill.second) == 12);
    CHECK(drill.HasEra(0, 1));
  }
  drill.site.store().SetEraText(std::nullopt);
  drill.Write(drill.first, "ready", 8);
  CHECK(drill.site.Until([&] { return drill.RunsOf(drill.first) > 0; }));
}
