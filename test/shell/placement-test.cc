// What a host does with answers about placement that are late or not its own.
#include "gateway/placement.h"

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "node/clock.h"
#include "shell/fake-holder.h"

using namespace comfreyflow;           // NOLINT(google-build-using-namespace)
using namespace comfreyflow::gateway;  // NOLINT(google-build-using-namespace)
using comfreyflow::detail::Now;
using std::chrono::milliseconds;
using namespace comfreyflow::test;  // NOLINT(google-build-using-namespace)

namespace {

const ServiceName kFirstService{"routes"};
const ServiceName kSecondService{"orders"};

/// One process of a host on a loop of its own, which stands still until `Run`.
class Process {
 public:
  Process(const PlacementPeer& self, const std::vector<PlacementPeer>& hosts) {
    PlacementSettings settings;
    settings.self = self.name;
    settings.incarnation = self.incarnation;
    settings.address = self.address;
    settings.key = kKey;
    placement_ = std::make_unique<Placement>(io_, settings);
    REQUIRE(!placement_->Open());
    std::map<ServiceName, std::vector<PoolTarget>> targets;
    for (const auto& service : {kFirstService, kSecondService}) {
      PoolTarget target;
      target.name.value = service.value + "-target";
      target.address = "127.0.0.1:1";
      target.slots = 16;
      targets[service].push_back(target);
    }
    placement_->SetTargets(targets);
    placement_->SetPeers(hosts);
  }

  void Run(milliseconds time) {
    io_.restart();
    io_.run_for(time);
  }
  /// Runs until a request was granted a target, and calls `beside` in turn; ten
  /// seconds at most.
  void RunUntilGranted(const std::function<void()>& beside = [] {}) {
    const Time end = Now() + std::chrono::seconds(10);
    while (granted_.empty() && Now() < end) {
      Run(milliseconds(5));
      beside();
    }
  }

  /// Requests a target; the sequence of the request.
  std::uint64_t Place(const ServiceName& service) {
    PlaceJob job;
    job.id = placement_->NextId();
    job.arrival = Now();
    job.deadline = job.arrival + std::chrono::seconds(5);
    job.objective = std::chrono::seconds(1);
    placement_->Place(service, job, [this](const PlaceDecision& decision) {
      const auto* grant = std::get_if<PlaceGrant>(&decision);
      if (grant != nullptr) granted_.insert(grant->targets.front().name.value);
    });
    return job.id.sequence;
  }

  /// Names of all targets that requests of this process were granted.
  const std::set<std::string>& granted() const { return granted_; }
  Placement& placement() { return *placement_; }

 private:
  boost::asio::io_context io_;
  std::unique_ptr<Placement> placement_;
  std::set<std::string> granted_;
};

constexpr milliseconds kTurn{30};

}  // namespace

TEST_CASE("a grant to a killed process is used by the host's next process") {
  const Hosts hosts;
  Process holder(hosts.holder, {hosts.holder, hosts.Asker(1)});
  holder.Run(milliseconds(400));
  {
    // The holder stands still while the first process asks and ends.
    Process first(hosts.Asker(1), {hosts.holder, hosts.Asker(1)});
    for (int i = 0; i < 4; ++i) first.Place(kFirstService);
    first.Run(kTurn);
  }
  Process second(hosts.Asker(2), {hosts.holder, hosts.Asker(2)});
  for (int i = 0; i < 4; ++i) second.Place(kSecondService);
  second.Run(kTurn);
  second.RunUntilGranted([&holder] { holder.Run(milliseconds(5)); });
  CHECK(second.granted() == std::set<std::string>{"orders-target"});
}

TEST_CASE("an older holder's grant to a killed process is used by the next") {
  // Such a holder doesn't say to which process it answers.
  const Hosts hosts;
  FakeHolder holder(hosts);
  std::set<std::uint64_t> first_sequences;
  {
    Process first(hosts.Asker(1'000), {hosts.holder, hosts.Asker(1'000)});
    for (int i = 0; i < 4; ++i) {
      first_sequences.insert(first.Place(kFirstService));
    }
    first.Run(kTurn);
  }
  CHECK(holder.Asked().size() >= first_sequences.size());
  Process second(hosts.Asker(1'001), {hosts.holder, hosts.Asker(1'001)});
  for (int i = 0; i < 4; ++i) second.Place(kSecondService);
  for (const auto sequence : first_sequences) {
    for (std::uint32_t number = 1; number <= 4; ++number) {
      holder.Grant(sequence, number, kFirstService);
    }
  }
  // Sequences of a process of an older build.
  for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
    for (std::uint32_t number = 1; number <= 4; ++number) {
      holder.Grant(sequence, number, kFirstService);
    }
  }
  second.Run(kTurn);
  CHECK(second.granted().empty());
  // It does answer this process, too.
  for (const auto& asked : holder.Asked()) {
    holder.Grant(asked.job.id.sequence, asked.job.number, kSecondService);
  }
  second.RunUntilGranted();
  CHECK(second.granted() == std::set<std::string>{"orders-target"});
}

TEST_CASE("an answer for another process is used by its sequence alone") {
  const Hosts hosts;
  FakeHolder holder(hosts);
  Process process(hosts.Asker(2), {hosts.holder, hosts.Asker(2)});
  const auto sequence = process.Place(kSecondService);
  holder.Grant(sequence, 1, kFirstService, Incarnation{1});
  process.Run(kTurn);
  CHECK(process.granted().empty());
  holder.Grant(sequence, 1, kSecondService, Incarnation{2});
  process.RunUntilGranted();
  CHECK(process.granted() == std::set<std::string>{"orders-target"});
}

TEST_CASE("a granted target of another service is used") {
  const Hosts hosts;
  FakeHolder holder(hosts);
  Process process(hosts.Asker(2), {hosts.holder, hosts.Asker(2)});
  const auto sequence = process.Place(kSecondService);
  holder.Grant(sequence, 1, kFirstService);
  process.RunUntilGranted([&holder] {
    for (const auto& asked : holder.Asked()) {
      if (asked.job.number == 1) continue;
      CHECK(asked.job.excluded == std::vector<TargetName>{{"routes-target"}});
      holder.Grant(asked.job.id.sequence, asked.job.number, kSecondService);
    }
  });
  CHECK(process.granted() == std::set<std::string>{"orders-target"});
}

TEST_CASE("grants in an evacuated domain are declined one target at a time") {
  const Hosts hosts;
  FakeHolder holder(hosts);
  Process process(hosts.Asker(1'000), {hosts.holder, hosts.Asker(1'000)});
  constexpr std::size_t kEvacuated = 20;
  std::map<ServiceName, std::vector<PoolTarget>> targets;
  std::set<TargetName> evacuated;
  for (std::size_t i = 0; i <= kEvacuated; ++i) {
    PoolTarget target;
    target.name.value = "t" + std::to_string(i);
    target.address = "127.0.0.1:1";
    target.slots = 16;
    target.evacuated = i < kEvacuated;
    if (target.evacuated) evacuated.insert(target.name);
    targets[kFirstService].push_back(target);
  }
  process.placement().SetTargets(targets);
  process.Place(kFirstService);
  process.Run(kTurn);
  const auto first = holder.Asked();
  REQUIRE_FALSE(first.empty());
  holder.GrantTarget(first.back().job.id.sequence, first.back().job.number,
                     {{"t3"}, "127.0.0.1:1"});
  process.Run(kTurn);
  CHECK(process.granted().empty());
  const auto second = holder.Asked();
  REQUIRE_FALSE(second.empty());
  const PlaceJob& job = second.back().job;
  CHECK(job.number > first.back().job.number);
  CHECK(std::set(job.excluded.begin(), job.excluded.end()) == evacuated);
  holder.GrantTarget(job.id.sequence, job.number, {{"t20"}, "127.0.0.1:1"});
  process.RunUntilGranted();
  CHECK(process.granted() == std::set<std::string>{"t20"});
}

TEST_CASE("a datagram of a killed process counts as work of the next one") {
  const Hosts hosts;
  Process holder(hosts.holder, {hosts.holder, hosts.Asker(1)});
  holder.Run(milliseconds(400));
  const auto running = [&holder] {
    const auto placers = holder.placement().PlacerSummaries();
    REQUIRE(placers.contains(kFirstService));
    return placers.at(kFirstService).running;
  };
  {
    Process first(hosts.Asker(1), {hosts.holder, hosts.Asker(1)});
    for (int i = 0; i < 4; ++i) first.Place(kFirstService);
    first.Run(kTurn);
    holder.Run(kTurn);
    while (running() < 4) holder.Run(kTurn);
    CHECK(running() == 4);
  }
  // The holder hears of the next process by its first datagram.
  Process second(hosts.Asker(2), {hosts.holder, hosts.Asker(2)});
  second.Place(kSecondService);
  second.Run(kTurn);
  holder.Run(kTurn);
  CHECK(running() == 0);
}
