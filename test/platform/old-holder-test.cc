// What a request does after the refusal of a target that a holder grants to it
// again: late, twice, or by a build that doesn't know the list of excluded
// ones.
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "gateway/relay.h"
#include "platform/copying-target.h"
#include "platform/edge.h"
#include "shell/fake-holder.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::gateway;   // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using comfreyflow::detail::Now;
using std::chrono::milliseconds;
using test::FakeHolder;

namespace {

const ServiceName kService{"app"};

std::shared_ptr<const RouteTable> OneUnsafeRoute() {
  RouteDocument document;
  document.version = 1;
  document.services[kService].name = kService;
  Route route;
  route.name = "unsafe";
  route.host = "a.example";
  route.prefix = "/unsafe/";
  route.kind = RouteKind::kUnsafe;
  route.latency_objective = milliseconds(300);
  route.max_attempts = 2;
  route.services = {{kService, 1}};
  document.routes.push_back(route);
  return std::make_shared<RouteTable>(document);
}

TargetPathsHooks AloneHooks() {
  TargetPathsHooks hooks;
  hooks.carriers = [] { return std::vector<CarrierHost>(); };
  hooks.has_carriers = [] { return false; };
  return hooks;
}

CrashWatchHooks NoNews() {
  CrashWatchHooks hooks;
  hooks.hosts = [] { return std::vector<HostName>(); };
  hooks.send = [](const wire::CrashNewsMessage&, const std::vector<HostName>&) {
  };
  hooks.may_try = [](const ServiceName&) { return true; };
  hooks.ask_other = [](const ServiceName&, const std::string&,
                       const std::function<void(bool)>& hook) { hook(false); };
  return hooks;
}

/// A host that asks a holder and relays on a loop of its own.
class Asker {
 public:
  explicit Asker(const PlacementPeer& self)
      : placement_(io_, Settings(self)),
        client_(io_),
        budget_(std::make_shared<http::BodyBudget>(1024 * 1024)),
        paths_(client_, self.name, test::kKey, 1, budget_, AloneHooks()),
        crashes_(std::make_shared<CrashWatch>(io_, 1, NoNews())),
        stop_(std::chrono::seconds(2)),
        context_{io_,        paths_,
                 placement_, MakeEdge(),
                 {},         [table = OneUnsafeRoute()] { return table; },
                 *crashes_,  metrics_,
                 {},         stop_,
                 budget_,    [](const LeavingReport&, const std::string&) {}},
        server_(io_, {}, ServerHooks(), budget_) {
    REQUIRE(!placement_.Open());
    server_.Listen("127.0.0.1:0");
  }

  gateway::Placement& placement() { return placement_; }

  void Send() {
    http::Request request;
    request.method = "POST";
    request.target = "/unsafe/1";
    request.fields = {{"host", "a.example"},
                      {"x-request-id", "order"},
                      {"x-deadline-ms", "4000"}};
    http::CallOptions options;
    options.fresh_connection = true;
    client_.Fetch("127.0.0.1:" + std::to_string(server_.port()),
                  std::move(request), options,
                  [this](http::CallEnd, const http::Response& answer) {
                    status_ = answer.status;
                  });
  }

  void Run() {
    io_.restart();
    io_.run_for(milliseconds(2));
  }
  int status() const { return status_; }  ///< 0: no answer yet.

 private:
  static PlacementSettings Settings(const PlacementPeer& self) {
    PlacementSettings settings;
    settings.self = self.name;
    settings.incarnation = self.incarnation;
    settings.address = self.address;
    settings.key = test::kKey;
    return settings;
  }

  http::ServerHooks ServerHooks() {
    http::ServerHooks hooks;
    hooks.admit_head = [](const http::Request&) { return Errc::kOk; };
    hooks.handle = [this](http::ExchangePtr exchange) {
      StartRelay(context_, std::move(exchange));
    };
    hooks.error_response = [](Errc) { return http::Response(); };
    return hooks;
  }

  boost::asio::io_context io_;
  gateway::Placement placement_;
  http::Client client_;
  std::shared_ptr<http::BodyBudget> budget_;
  TargetPaths paths_;
  std::shared_ptr<CrashWatch> crashes_;
  node::Metrics metrics_;
  StopPlan stop_;
  RelayContext context_;
  http::Server server_;
  int status_ = 0;
};

/// Two targets that refuse the order when it comes for the first time, and a
/// host that asks for them.
struct Scene {
  Scene()
      : first(site, "app", "i1", runs, {}, RefusesFirst()),
        second(site, "app", "i2", runs, {}, RefusesNothing()),
        asker(hosts.Asker(2)),
        holder(hosts) {
    std::map<ServiceName, std::vector<PoolTarget>> targets;
    for (const auto* target : {&first, &second}) {
      PoolTarget& listed = targets[kService].emplace_back();
      listed.name.value = target->name();
      listed.address = target->address();
      listed.slots = 8;
    }
    asker.placement().SetTargets(targets);
    asker.placement().SetPeers({hosts.holder, hosts.Asker(2)});
  }

  void Grant(FakeHolder& from, const wire::PlaceRequestMessage& asked,
             std::uint32_t number, const CopyingTarget& target) {
    from.GrantTarget(asked.job.id.sequence, number,
                     {{target.name()}, target.address()});
  }

  /// Runs all loops until the order has its answer. `grant` is called for each
  /// ask that the holder gets; those after a refusal exclude its target.
  using Granting = std::function<void(const wire::PlaceRequestMessage&)>;
  void RunToEnd(FakeHolder& asked_one, const Granting& grant) {
    REQUIRE(site.Until([&] {
      asker.Run();
      for (const auto& asked : asked_one.Asked()) {
        const bool has_refused = first.refusals() > 0;
        CHECK(asked.job.excluded.empty() != has_refused);
        grant(asked);
      }
      return asker.status() != 0;
    }));
  }

  /// The order ran once, and its caller was told so.
  void CheckRanOnce() {
    CHECK(asker.status() == 200);
    CHECK(runs["order /unsafe/1"] == 1);
  }

  RunsOf runs;
  Site site;
  CopyingTarget first;
  CopyingTarget second;
  const test::Hosts hosts;
  Asker asker;
  FakeHolder holder;
};

}  // namespace

TEST_CASE("a holder that ignores the excluded targets runs an order twice") {
  // The target writes the copy when the order comes to it again.
  Scene scene;
  scene.asker.Send();
  scene.RunToEnd(scene.holder, [&](const wire::PlaceRequestMessage& asked) {
    const bool goes_on = scene.first.requests() > 1;
    scene.Grant(scene.holder, asked, asked.job.number,
                goes_on ? scene.second : scene.first);
  });
  scene.CheckRanOnce();
  REQUIRE(scene.first.requests() == 2);
}

TEST_CASE("a second answer to an earlier ask grants the refusing target") {
  Scene scene;
  scene.asker.Send();
  scene.RunToEnd(scene.holder, [&](const wire::PlaceRequestMessage& asked) {
    if (scene.first.refusals() == 0) {
      return scene.Grant(scene.holder, asked, asked.job.number, scene.first);
    }
    for (std::uint32_t number = 0; number < asked.job.number; ++number) {
      scene.Grant(scene.holder, asked, number, scene.first);
    }
    // They come first.
    for (int i = 0; i < 5; ++i) scene.asker.Run();
    CHECK(scene.first.requests() == 1);
    scene.Grant(scene.holder, asked, asked.job.number, scene.second);
  });
  scene.CheckRanOnce();
  CHECK(scene.first.requests() == 1);
}

TEST_CASE("a former holder's grant sends an order to the refusing target") {
  Scene scene;
  const PlacementPeer next{{"next"}, test::FreeAddress(), {1}};
  FakeHolder next_holder(next, scene.hosts.asker_address);
  scene.asker.Send();
  std::vector<wire::PlaceRequestMessage> at_former;
  REQUIRE(scene.site.Until([&] {
    scene.asker.Run();
    for (const auto& asked : scene.holder.Asked()) at_former.push_back(asked);
    return !at_former.empty();
  }));
  // The former holder's answer is on its way when the holder changes.
  scene.asker.placement().SetPeers({next, scene.hosts.Asker(2)});
  const auto late = [&] {
    scene.Grant(scene.holder, at_former.front(), at_former.front().job.number,
                scene.first);
  };
  late();
  scene.RunToEnd(next_holder, [&](const wire::PlaceRequestMessage& asked) {
    if (scene.first.refusals() == 0) {
      return scene.Grant(next_holder, asked, asked.job.number, scene.first);
    }
    late();
    for (int i = 0; i < 5; ++i) scene.asker.Run();
    CHECK(scene.first.requests() == 1);
    scene.Grant(next_holder, asked, asked.job.number, scene.second);
  });
  scene.CheckRanOnce();
  CHECK(scene.first.requests() == 1);
}
