// Orders: lease and fencing, staged and limited loads, versions that fail to
// load.
#include "comfreyflow/orders.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ModelVersion kOld{{"m"}, "1"};
const ModelVersion kNew{{"m"}, "2"};

struct SentOrder {
  int issuer = 0;
  Time at;
  SendOrder order;
};

/// Two possible issuers, one lease object, and targets that load a version in
/// 20 s.
class Simulation {
 public:
  explicit Simulation(int targets, std::uint32_t max_concurrent_loads = 2) {
    for (int i = 0; i < targets; ++i) {
      ObservedTarget target;
      target.target = {"t" + std::to_string(i)};
      target.failure_domain = {"d" + std::to_string(i % 3)};
      target.models = {kOld};
      targets_[target.target] = target;
    }
    for (int i = 0; i < 2; ++i) {
      OrderSettings settings{
          {"s"}, {"h" + std::to_string(i)}, {7}, max_concurrent_loads};
      issuers_.emplace_back(settings, now_);
      Deliver(i, DesiredChanged{{{kOld}, {}, ""}});
    }
  }

  void SetDesired(const DesiredTargets& desired) {
    for (int i = 0; i < 2; ++i) Deliver(i, DesiredChanged{desired});
  }
  void SetIssuer(int i, bool self) { Deliver(i, IssuerChosen{self}); }
  void Run(Duration length) {
    for (const Time end = now_ + length; now_ < end;) {
      now_ += milliseconds(500);
      FinishLoads();
      for (int i = 0; i < 2; ++i) {
        if (paused[i]) continue;
        for (const auto& [name, target] : targets_) {
          Deliver(i, TargetObserved{target});
        }
        Deliver(i, OrderTick{});
      }
    }
  }
  void RemoveTarget(const TargetName& name) {
    targets_.erase(name);
    for (int i = 0; i < 2; ++i) Deliver(i, TargetVanished{name});
  }
  bool AllServe(const ModelVersion& model) const {
    return std::all_of(targets_.begin(), targets_.end(), [&](const auto& t) {
      return t.second.models == std::set<ModelVersion>{model};
    });
  }
  std::size_t loading() const { return loading_.size(); }
  Orders& issuer(int i) { return issuers_[i]; }
  Time now() const { return now_; }

  bool paused[2] = {false, false};
  bool store_reachable = true;
  bool lose_next_response = false;
  bool version_loads = true;
  std::vector<SentOrder> sent;
  int rollout_stops = 0;
  int store_calls = 0;
  std::set<FailureDomain> loading_domains;
  std::size_t max_loading = 0;
  bool two_domains_at_once = false;
  LeaseValue lease;

 private:
  void Deliver(int i, const OrderEvent& event) {
    for (const OrderCommand& command : issuers_[i].Handle(event, now_)) {
      Execute(i, command);
    }
  }
  void Execute(int i, const OrderCommand& command) {
    if (std::holds_alternative<RolloutStopped>(command)) ++rollout_stops;
    if (const auto* order = std::get_if<SendOrder>(&command)) {
      sent.push_back({i, now_, *order});
      ReceiveOrder(*order);
    }
    if (std::holds_alternative<ReadLease>(command)) {
      ++store_calls;
      if (store_reachable) {
        Deliver(i, LeaseRead{version_, lease});
      } else {
        Deliver(i, LeaseUnanswered{});
      }
    }
    if (const auto* write = std::get_if<WriteLease>(&command)) {
      ++store_calls;
      Write(i, *write);
    }
  }
  void Write(int i, const WriteLease& write) {
    if (!store_reachable) return Deliver(i, LeaseUnanswered{});
    if (write.if_version != version_) return Deliver(i, LeaseConflict{});
    lease = write.value;
    version_ += 3;
    if (lose_next_response) {
      lose_next_response = false;
      return Deliver(i, LeaseUnanswered{});
    }
    Deliver(i, LeaseWritten{version_});
  }
  /// Targets of this test do not check the fence.
  void ReceiveOrder(const SendOrder& order) {
    ObservedTarget& target = targets_.at(order.target);
    if (order.kind == OrderKind::kUnload) target.models.erase(order.model);
    if (order.kind != OrderKind::kLoad) return;
    if (target.models.contains(order.model)) return;
    loading_.emplace(order.target, std::pair{order.model, now_ + seconds(20)});
    max_loading = std::max(max_loading, loading_.size());
    std::set<FailureDomain> domains;
    for (const auto& [name, load] : loading_) {
      domains.insert(targets_.at(name).failure_domain);
    }
    two_domains_at_once = two_domains_at_once || domains.size() > 1;
  }
  void FinishLoads() {
    for (auto load = loading_.begin(); load != loading_.end();) {
      if (now_ < load->second.second) {
        ++load;
        continue;
      }
      if (version_loads)
        targets_.at(load->first).models.insert(load->second.first);
      load = loading_.erase(load);
    }
  }

  std::vector<Orders> issuers_;
  std::map<TargetName, ObservedTarget> targets_;
  std::map<TargetName, std::pair<ModelVersion, Time>> loading_;
  std::uint64_t version_ = 0;
  Time now_{std::chrono::hours(1)};
};

}  // namespace

TEST_CASE(
    "no orders are sent and the store is not called while all targets match") {
  Simulation simulation(6);
  simulation.SetIssuer(0, true);
  simulation.Run(seconds(120));
  CHECK(simulation.sent.empty());
  CHECK(simulation.store_calls == 0);
}

TEST_CASE(
    "a new version is loaded per failure domain, first on one target, within "
    "the load limit") {
  Simulation simulation(9);
  simulation.SetIssuer(0, true);
  simulation.SetDesired({{kNew}, {}, ""});
  simulation.Run(seconds(15));
  CHECK(simulation.loading() == 1);
  simulation.Run(seconds(400));
  CHECK(simulation.AllServe(kNew));
  CHECK(simulation.max_loading == 2);
  CHECK_FALSE(simulation.two_domains_at_once);
  simulation.Run(seconds(5));
  CHECK(simulation.lease.holder.value.empty());
  CHECK(simulation.issuer(0).converged());
  for (const SentOrder& sent : simulation.sent)
    CHECK(sent.at < sent.order.not_after);
}

TEST_CASE(
    "a version that fails to load stops the rollout and is not attempted "
    "again") {
  Simulation simulation(9);
  simulation.version_loads = false;
  simulation.SetIssuer(0, true);
  simulation.SetDesired({{kNew}, {}, ""});
  simulation.Run(kLoadTimeout + seconds(30));
  CHECK(simulation.rollout_stops == 1);
  CHECK(simulation.lease.failed.contains(kNew));
  std::set<TargetName> attempted;
  for (const SentOrder& sent : simulation.sent)
    attempted.insert(sent.order.target);
  CHECK(attempted.size() == 1);
  CHECK(simulation.AllServe(kOld));
  // The next issuer reads the failure from the lease and does not load the
  // version on another target.
  simulation.SetIssuer(0, false);
  simulation.SetIssuer(1, true);
  simulation.Run(kLoadTimeout);
  CHECK(simulation.issuer(1).failed().contains(kNew));
  CHECK(simulation.AllServe(kOld));
  CHECK(simulation.rollout_stops == 1);
}

TEST_CASE("a target that is removed during the first load stops the rollout") {
  Simulation simulation(9);
  simulation.SetIssuer(0, true);
  simulation.SetDesired({{kNew}, {}, ""});
  simulation.Run(seconds(3));
  REQUIRE(simulation.sent.size() == 1);
  simulation.RemoveTarget(simulation.sent[0].order.target);
  CHECK(simulation.rollout_stops == 1);
}

TEST_CASE(
    "an issuer that resumes after a pause with an expired lease sends no "
    "orders") {
  Simulation simulation(9);
  simulation.SetIssuer(0, true);
  simulation.SetDesired({{kNew}, {}, ""});
  simulation.Run(seconds(5));
  REQUIRE(simulation.issuer(0).holds_lease(simulation.now()));
  const std::uint64_t old_fence = simulation.issuer(0).fence();
  const Time paused_at = simulation.now();
  simulation.paused[0] = true;
  simulation.SetIssuer(1, true);
  simulation.Run(seconds(60));
  const std::size_t before = simulation.sent.size();
  REQUIRE(simulation.sent.back().issuer == 1);
  CHECK(simulation.issuer(1).fence() > old_fence);
  simulation.paused[0] = false;
  simulation.Run(seconds(60));
  for (std::size_t i = before; i < simulation.sent.size(); ++i) {
    CHECK(simulation.sent[i].issuer == 1);
  }
  // The second issuer starts only after the lease time and margin of the first.
  for (const SentOrder& sent : simulation.sent) {
    if (sent.issuer == 1)
      CHECK(sent.at > paused_at + kLeaseDuration - seconds(5));
  }
}

TEST_CASE(
    "two hosts that are both selected as issuer never send orders at the same "
    "time") {
  Simulation simulation(9);
  simulation.SetIssuer(0, true);
  simulation.SetIssuer(1, true);
  simulation.SetDesired({{kNew}, {}, ""});
  simulation.Run(seconds(300));
  CHECK(simulation.AllServe(kNew));
  std::uint64_t fence = 0;
  Time last_end;
  int last_issuer = -1;
  for (const SentOrder& sent : simulation.sent) {
    CHECK(sent.order.fence >= fence);
    fence = sent.order.fence;
    const bool issuer_changed = last_issuer >= 0 && sent.issuer != last_issuer;
    // Before the lease expires, another issuer can only acquire it if it was
    // released.
    if (issuer_changed && sent.at < last_end) CHECK(simulation.AllServe(kNew));
    last_issuer = sent.issuer;
    last_end = sent.order.not_after;
  }
}

TEST_CASE(
    "the result of a lease write without a response is found by reading the "
    "lease") {
  Simulation simulation(3);
  simulation.lose_next_response = true;
  simulation.SetIssuer(0, true);
  simulation.SetDesired({{kNew}, {}, ""});
  simulation.Run(seconds(5));
  CHECK(simulation.issuer(0).holds_lease(simulation.now()));
  CHECK(simulation.sent.size() == 1);
}

TEST_CASE(
    "no orders are sent after the lease expires while the store is "
    "unreachable") {
  Simulation simulation(9);
  simulation.SetIssuer(0, true);
  simulation.SetDesired({{kNew}, {}, ""});
  simulation.Run(seconds(3));
  simulation.store_reachable = false;
  simulation.Run(kLeaseDuration);
  const std::size_t sent = simulation.sent.size();
  CHECK_FALSE(simulation.issuer(0).holds_lease(simulation.now()));
  simulation.Run(seconds(60));
  CHECK(simulation.sent.size() == sent);
  simulation.store_reachable = true;
  simulation.Run(seconds(300));
  CHECK(simulation.AllServe(kNew));
}

TEST_CASE("a lease is parsed from its text form") {
  const LeaseValue value{{"h1"}, {123}, {kOld, kNew}};
  LeaseValue parsed;
  REQUIRE(ParseLease(ToText(value), parsed));
  CHECK(parsed == value);
  REQUIRE(ParseLease(ToText(LeaseValue{}), parsed));
  CHECK(parsed == LeaseValue{});
  for (const char* malformed : {"", "[other]\n", "[lease]\nincarnation = x\n",
                                "[lease]\nfailed = m\n", "nonsense"}) {
    CHECK_FALSE(ParseLease(malformed, parsed));
  }
}
