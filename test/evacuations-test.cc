// Evacuated failure domains. Guards against requests that go to a domain which
// an operator took out of service, and against one that stays out of service
// although the operator put it back.
#include "comfreyflow/evacuations.h"

#include <doctest/doctest.h>

#include <string>

#include "placer-fixture.h"

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const FailureDomain kEast{"east"};
const FailureDomain kWest{"west"};

StoreVersion Version(std::uint64_t revision, std::uint64_t era = 0) {
  return {era, revision};
}

/// Engines of two domains in turn: those with an even number are in the east.
std::vector<PoolTarget> TwoDomains(int count) {
  auto targets = PoolTargets(count);
  for (int i = 0; i < count; ++i) {
    targets[static_cast<std::size_t>(i)].domain = i % 2 == 0 ? kEast : kWest;
  }
  return targets;
}

std::vector<PoolTarget> WithEvacuated(std::vector<PoolTarget> targets,
                                      const Evacuations& evacuations) {
  std::map<ServiceName, std::vector<PoolTarget>> pool{{{"llm"}, targets}};
  evacuations.Apply(pool);
  return pool.at({"llm"});
}

}  // namespace

TEST_CASE("nothing is known before the store or a peer has told") {
  Evacuations evacuations;
  CHECK_FALSE(evacuations.is_known());
  CHECK_FALSE(evacuations.Shared());
  SUBCASE("the store") { evacuations.SetList(Version(5), {}, kStart); }
  SUBCASE("a peer") { evacuations.Merge({Version(5), {}}, kStart); }
  CHECK(evacuations.is_known());
}

TEST_CASE("a change of the store takes effect and is reported once") {
  Evacuations evacuations;
  evacuations.SetList(Version(5), {}, kStart);
  evacuations.Put(kEast);
  evacuations.EndBatch(Version(7));
  CHECK(evacuations.IsEvacuated(kEast));
  const auto changes = evacuations.TakeChanges();
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].domain == kEast);
  CHECK(changes[0].evacuated);
  CHECK(evacuations.TakeChanges().empty());
  evacuations.Remove(kEast);
  evacuations.EndBatch(Version(9));
  CHECK_FALSE(evacuations.IsEvacuated(kEast));
  REQUIRE(evacuations.TakeChanges().size() == 1);
}

TEST_CASE("an earlier state of a peer does not undo a later one of the store") {
  Evacuations evacuations;
  evacuations.SetList(Version(9), {kEast}, kStart);
  evacuations.Merge({Version(8), {}}, kStart);
  CHECK(evacuations.IsEvacuated(kEast));
  evacuations.Merge({Version(9), {}}, kStart);
  CHECK(evacuations.IsEvacuated(kEast));
}

TEST_CASE("a late watch does not undo a later state of a peer") {
  Evacuations evacuations;
  evacuations.SetList(Version(5), {}, kStart);
  evacuations.Merge({Version(9), {kWest}}, kStart);
  evacuations.Put(kEast);
  evacuations.EndBatch(Version(7));
  CHECK(evacuations.domains() == std::set{kWest});
  evacuations.Remove(kEast);
  evacuations.Put(kWest);
  evacuations.EndBatch(Version(10));
  CHECK(evacuations.domains() == std::set{kWest});
  CHECK(evacuations.Shared()->version == Version(10));
}

TEST_CASE("a domain that an older copy of the store lacks stays evacuated") {
  Evacuations evacuations;
  evacuations.SetList(Version(50, 1), {kEast}, kStart);
  evacuations.SetList(Version(20, 2), {kWest}, kStart);
  CHECK(evacuations.domains() == std::set{kEast, kWest});
  const Time later = kStart + Evacuations::kEraRetention;
  evacuations.Tick(later - milliseconds(1));
  CHECK(evacuations.IsEvacuated(kEast));
  evacuations.Tick(later);
  CHECK(evacuations.domains() == std::set{kWest});
}

TEST_CASE("a domain that was put back stays out as an older copy lacked it") {
  Evacuations evacuations;
  evacuations.SetList(Version(50, 1), {kEast}, kStart);
  evacuations.SetList(Version(20, 2), {}, kStart);
  REQUIRE(evacuations.IsEvacuated(kEast));
  SUBCASE("written again and removed, as the store tells") {
    evacuations.Put(kEast);
    evacuations.EndBatch(Version(21, 2));
    CHECK(evacuations.IsEvacuated(kEast));
    evacuations.Remove(kEast);
    evacuations.EndBatch(Version(22, 2));
  }
  SUBCASE("written again and removed, as peers tell") {
    evacuations.Merge({Version(21, 2), {kEast}}, kStart);
    CHECK(evacuations.IsEvacuated(kEast));
    evacuations.Merge({Version(22, 2), {}}, kStart);
  }
  SUBCASE("written again and removed, as lists tell") {
    evacuations.SetList(Version(21, 2), {kEast}, kStart);
    CHECK(evacuations.IsEvacuated(kEast));
    evacuations.SetList(Version(22, 2), {}, kStart);
  }
  CHECK_FALSE(evacuations.IsEvacuated(kEast));
}

TEST_CASE("a domain that an older copy of the store brings back is evacuated") {
  Evacuations evacuations;
  evacuations.SetList(Version(50, 1), {}, kStart);
  evacuations.Merge({Version(20, 2), {kEast}}, kStart);
  CHECK(evacuations.IsEvacuated(kEast));
}

TEST_CASE("a store that falls back to an earlier era is believed") {
  Evacuations evacuations;
  evacuations.Merge({Version(20, 9), {kEast}}, kStart);
  evacuations.SetList(Version(70, 1), {}, kStart);
  evacuations.Tick(kStart + Evacuations::kEraRetention);
  CHECK_FALSE(evacuations.IsEvacuated(kEast));
}

TEST_CASE("a list of the era before puts a domain back that a peer told of") {
  Evacuations evacuations;
  evacuations.SetList(Version(70, 1), {}, kStart);
  evacuations.Merge({Version(20, 2), {kEast}}, kStart);
  evacuations.SetList(Version(71, 1), {}, kStart);
  CHECK(evacuations.IsEvacuated(kEast));
  evacuations.Merge({Version(20, 2), {kEast}}, kStart);
  evacuations.Merge({Version(21, 2), {}}, kStart);
  CHECK_FALSE(evacuations.IsEvacuated(kEast));
}

TEST_CASE("many evacuated domains leave no room for claims in a datagram") {
  Evacuations evacuations;
  std::set<FailureDomain> domains{{std::string(400, 'x')}};
  for (int i = 0; i < 40; ++i) {
    domains.insert({"eu-north-1-zone-" + std::to_string(i)});
  }
  evacuations.SetList(Version(5), domains, kStart);
  CHECK(evacuations.domains() == domains);
  Datagram datagram;
  datagram.evacuations = evacuations.Shared();
  REQUIRE(datagram.evacuations);
  CHECK(datagram.evacuations->is_partial);
  CHECK(datagram.evacuations->domains.size() >= 5);
  // Less than two thirds of the 480 bytes of a datagram.
  CHECK(SizeBound(datagram) <= 320);
}

TEST_CASE("a domain that a peer had no room to tell is put back") {
  const FailureDomain long_name{std::string(400, 'x')};
  Evacuations peer;
  peer.SetList(Version(9), {kEast, long_name}, kStart);
  Evacuations evacuations;
  evacuations.SetList(Version(5), {long_name, kWest}, kStart);
  REQUIRE(evacuations.Merge(*peer.Shared(), kStart));
  CHECK(evacuations.domains() == std::set{kEast, long_name, kWest});
  // What is passed on says as well that it is a part.
  CHECK(evacuations.Shared()->is_partial);
  // The store tells the rest.
  evacuations.Put(kEast);
  evacuations.Remove(kWest);
  evacuations.EndBatch(Version(9));
  CHECK(evacuations.domains() == std::set{kEast, long_name});
}

TEST_CASE("no request is granted a target of an evacuated domain") {
  Evacuations evacuations;
  evacuations.SetList(Version(5), {kEast, {"unknown"}}, kStart);
  Placer placer({});
  placer.SetEngine(TestEngine());
  placer.SetTargets(WithEvacuated(TwoDomains(8), evacuations), kStart);
  std::uint64_t sequence = 0;
  const auto check = [&](const PlaceJob& job) {
    for (const auto& target : Granted(placer, job, kStart).targets) {
      CHECK((target.name.value.back() - '0') % 2 == 1);
    }
  };
  for (int i = 0; i < 20; ++i) {
    check(Job(++sequence, kStart, 5'000));
    placer.Started({{"h"}, {1}, sequence}, kStart);
  }
  PlaceJob retry = Job(++sequence, kStart, 5'000);
  retry.excluded = {{"t1"}};
  check(retry);
  check(Job(++sequence, kStart, 150'000));  // A gang.
}

TEST_CASE("work that waits goes to a domain when it is put back") {
  Evacuations evacuations;
  evacuations.SetList(Version(5), {kEast}, kStart);
  const auto targets = TwoDomains(2);
  Placer placer({});
  placer.SetTargets(WithEvacuated(targets, evacuations), kStart);
  for (std::uint64_t i = 0; i < 16; ++i)
    Granted(placer, Job(i, kStart, 0), kStart);
  placer.Submit(Job(99, kStart, 0), kStart);
  CHECK(placer.TakeDecisions().empty());
  evacuations.Remove(kEast);
  evacuations.EndBatch(Version(6));
  placer.SetTargets(WithEvacuated(targets, evacuations), kStart);
  const auto decisions = placer.TakeDecisions();
  REQUIRE(decisions.size() == 1);
  CHECK(std::get<PlaceGrant>(decisions[0]).targets[0].name.value == "t0");
}

TEST_CASE("a request is refused at once while all domains are evacuated") {
  Evacuations evacuations;
  evacuations.SetList(Version(5), {kEast, kWest}, kStart);
  Placer placer({});
  placer.SetTargets(WithEvacuated(TwoDomains(4), evacuations), kStart);
  placer.Submit(Job(1, kStart, 0), kStart);
  const auto decisions = placer.TakeDecisions();
  REQUIRE(decisions.size() == 1);
  const auto& refusal = std::get<PlaceRefusal>(decisions[0]);
  CHECK(refusal.code == Errc::kNoTarget);
  CHECK(refusal.retry_after > Duration::zero());
}
