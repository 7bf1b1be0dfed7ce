// Hosts that cannot assign targets, because the store turned them away since
// they started, beside hosts that can.
#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/stand-ins.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::uint32_t kLargeCapacity = 400;

/// Two hosts that know two targets.
struct Fleet {
  Fleet() {
    site.AddTarget("app", "i1");
    site.AddTarget("app", "i2");
    site.PutConfig(1);
    for (std::size_t host = 0; host < 2; ++host) {
      site.AddHost();
      REQUIRE(site.UntilReady(host));
    }
  }

  /// Starts a host that does not reach the store. It is so large that the
  /// others prefer it as the holder of all placers.
  void AddUnready() {
    site.SetSettings([ip = site.settings(0).ip](HostSettings& settings) {
      settings.capacity = kLargeCapacity;
      settings.seed_ips = {ip};
    });
    site.SetStorePath(site.AddHost(), false);
  }

  nlohmann::json Dump(std::size_t host) {
    const auto& settings = site.settings(host);
    return nlohmann::json::parse(
        site.Get(settings.ip + ":" + std::to_string(settings.metrics_port),
                 "/dump")
            .response.body);
  }

  std::string Holder(std::size_t host) {
    return Dump(host)["services"]["app"]["holder"];
  }

  bool IsReady(std::size_t host) {
    return site.Get(site.settings(host).readiness, "/readyz").response.status ==
           200;
  }

  /// Sends a request to each of the first `hosts` hosts every 20 ms until
  /// `done`, or for ten seconds, and waits for the answers. Returns whether it
  /// is done.
  bool SendUntil(std::size_t hosts, const std::function<bool()>& done) {
    std::vector<std::shared_ptr<Answer>> open;
    Clock::time_point next;
    const bool is_done = site.Until([&] {
      if (Clock::now() < next) return false;
      next = Clock::now() + milliseconds(20);
      for (std::size_t host = 0; host < hosts; ++host) {
        open.push_back(
            site.Send(host, "GET", "/safe/" + std::to_string(++sent)));
      }
      return done();
    });
    for (const auto& answer : open) {
      REQUIRE(site.Until([&] { return answer->ended; }));
      refused += answer->response.status == 200 ? 0 : 1;
    }
    return is_done;
  }

  bool SendFor(std::size_t hosts, milliseconds time) {
    const auto end = Clock::now() + time;
    return SendUntil(hosts, [end] { return Clock::now() >= end; });
  }

  Site site;
  int sent = 0;
  int refused = 0;
};

}  // namespace

TEST_CASE("a host without targets refuses what other hosts ask of it") {
  Fleet fleet;
  fleet.AddUnready();
  CHECK(fleet.SendFor(2, milliseconds(3000)));
  CHECK(fleet.refused == 0);
  CHECK(fleet.Holder(0) != "host2");
  CHECK_FALSE(fleet.IsReady(2));

  // It holds the placers as soon as it can.
  fleet.site.SetStorePath(2, true);
  CHECK(fleet.SendUntil(2, [&] {
    return fleet.IsReady(2) && fleet.Holder(0) == "host2" &&
           fleet.Holder(1) == "host2";
  }));
  CHECK(fleet.SendFor(3, milliseconds(500)));
  CHECK(fleet.refused == 0);
}
