// Orders: one issuer by lease and fence, staged and paced loads, bad versions.
#include "comfreyflow/orders.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ModelVersion kOld{{"m"}, "1"};
const ModelVersion kNew{{"m"}, "2"};

struct Sent {
  int issuer = 0;
  Time at;
  SendOrder order;
};

/// Two hosts that may issue, one lease object, targets that load in 20 s.
class Bed {
 public:
  explicit Bed(int targets, std::uint32_t max_concurrent_loads = 2) {
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
      Tell(i, DesiredChanged{{{kOld}, {}, ""}});
    }
  }

  void Desire(const DesiredTargets& desired) {
    for (int i = 0; i < 2; ++i) Tell(i, DesiredChanged{desired});
  }
  void Choose(int i, bool self) { Tell(i, IssuerChosen{self}); }
  void Run(Duration length) {
    for (const Time end = now_ + length; now_ < end;) {
      now_ += milliseconds(500);
      Load();
      for (int i = 0; i < 2; ++i) {
        if (paused[i]) continue;
        for (const auto& [name, target] : targets_) {
          Tell(i, TargetObserved{target});
        }
        Tell(i, OrderTick{});
      }
    }
  }
  void Vanish(const TargetName& name) {
    targets_.erase(name);
    for (int i = 0; i < 2; ++i) Tell(i, TargetVanished{name});
  }
  bool All(const ModelVersion& model) const {
    return std::all_of(targets_.begin(), targets_.end(), [&](const auto& t) {
      return t.second.models == std::set<ModelVersion>{model};
    });
  }
  std::size_t loading() const { return loading_.size(); }
  Orders& issuer(int i) { return issuers_[i]; }
  Time now() const { return now_; }

  bool paused[2] = {false, false};
  bool store_up = true;
  bool lose_next_write = false;
  bool good_version = true;
  std::vector<Sent> sent;
  int stops = 0;
  int store_calls = 0;
  std::set<FailureDomain> loading_domains;
  std::size_t most_loading = 0;
  bool two_domains_at_once = false;
  LeaseValue lease;

 private:
  void Tell(int i, const OrderEvent& event) {
    for (const OrderCommand& command : issuers_[i].Handle(event, now_)) {
      Do(i, command);
    }
  }
  void Do(int i, const OrderCommand& command) {
    if (std::holds_alternative<RolloutStopped>(command)) ++stops;
    if (const auto* order = std::get_if<SendOrder>(&command)) {
      sent.push_back({i, now_, *order});
      Take(*order);
    }
    if (std::holds_alternative<ReadLease>(command)) {
      ++store_calls;
      if (store_up) {
        Tell(i, LeaseRead{version_, lease});
      } else {
        Tell(i, LeaseUnanswered{});
      }
    }
    if (const auto* write = std::get_if<WriteLease>(&command)) {
      ++store_calls;
      Write(i, *write);
    }
  }
  void Write(int i, const WriteLease& write) {
    if (!store_up) return Tell(i, LeaseUnanswered{});
    if (write.if_version != version_) return Tell(i, LeaseConflict{});
    lease = write.value;
    version_ += 3;
    if (lose_next_write) {
      lose_next_write = false;
      return Tell(i, LeaseUnanswered{});
    }
    Tell(i, LeaseWritten{version_});
  }
  /// Targets do not check the fence.
  void Take(const SendOrder& order) {
    ObservedTarget& target = targets_.at(order.target);
    if (order.kind == OrderKind::kUnload) target.models.erase(order.model);
    if (order.kind != OrderKind::kLoad) return;
    if (target.models.contains(order.model)) return;
    loading_.emplace(order.target, std::pair{order.model, now_ + seconds(20)});
    most_loading = std::max(most_loading, loading_.size());
    std::set<FailureDomain> domains;
    for (const auto& [name, load] : loading_) {
      domains.insert(targets_.at(name).failure_domain);
    }
    two_domains_at_once = two_domains_at_once || domains.size() > 1;
  }
  void Load() {
    for (auto at = loading_.begin(); at != loading_.end();) {
      if (now_ < at->second.second) {
        ++at;
        continue;
      }
      if (good_version) targets_.at(at->first).models.insert(at->second.first);
      at = loading_.erase(at);
    }
  }

  std::vector<Orders> issuers_;
  std::map<TargetName, ObservedTarget> targets_;
  std::map<TargetName, std::pair<ModelVersion, Time>> loading_;
  std::uint64_t version_ = 0;
  Time now_{std::chrono::hours(1)};
};

}  // namespace

TEST_CASE("at rest nothing is sent and the store is not called") {
  Bed bed(6);
  bed.Choose(0, true);
  bed.Run(seconds(120));
  CHECK(bed.sent.empty());
  CHECK(bed.store_calls == 0);
}

TEST_CASE("a new version goes out by domain, one target first, and paced") {
  Bed bed(9);
  bed.Choose(0, true);
  bed.Desire({{kNew}, {}, ""});
  bed.Run(seconds(15));
  CHECK(bed.loading() == 1);
  bed.Run(seconds(400));
  CHECK(bed.All(kNew));
  CHECK(bed.most_loading == 2);
  CHECK_FALSE(bed.two_domains_at_once);
  bed.Run(seconds(5));
  CHECK(bed.lease.holder.value.empty());
  CHECK(bed.issuer(0).converged());
  for (const Sent& sent : bed.sent) CHECK(sent.at < sent.order.not_after);
}

TEST_CASE("a version that does not load stops, is reported and stays stopped") {
  Bed bed(9);
  bed.good_version = false;
  bed.Choose(0, true);
  bed.Desire({{kNew}, {}, ""});
  bed.Run(kLoadTime + seconds(30));
  CHECK(bed.stops == 1);
  CHECK(bed.lease.failed.contains(kNew));
  std::set<TargetName> tried;
  for (const Sent& sent : bed.sent) tried.insert(sent.order.target);
  CHECK(tried.size() == 1);
  CHECK(bed.All(kOld));
  // The next issuer reads the failure and tries no other target.
  bed.Choose(0, false);
  bed.Choose(1, true);
  bed.Run(kLoadTime);
  CHECK(bed.issuer(1).failed().contains(kNew));
  CHECK(bed.All(kOld));
  CHECK(bed.stops == 1);
}

TEST_CASE("a target that dies over its load stops the rollout") {
  Bed bed(9);
  bed.Choose(0, true);
  bed.Desire({{kNew}, {}, ""});
  bed.Run(seconds(3));
  REQUIRE(bed.sent.size() == 1);
  bed.Vanish(bed.sent[0].order.target);
  CHECK(bed.stops == 1);
}

TEST_CASE("a paused issuer that wakes with an old lease issues nothing") {
  Bed bed(9);
  bed.Choose(0, true);
  bed.Desire({{kNew}, {}, ""});
  bed.Run(seconds(5));
  REQUIRE(bed.issuer(0).holds_lease(bed.now()));
  const std::uint64_t old_fence = bed.issuer(0).fence();
  const Time paused_at = bed.now();
  bed.paused[0] = true;
  bed.Choose(1, true);
  bed.Run(seconds(60));
  const std::size_t before = bed.sent.size();
  REQUIRE(bed.sent.back().issuer == 1);
  CHECK(bed.issuer(1).fence() > old_fence);
  bed.paused[0] = false;
  bed.Run(seconds(60));
  for (std::size_t i = before; i < bed.sent.size(); ++i) {
    CHECK(bed.sent[i].issuer == 1);
  }
  // The second issuer began only after the first one's time and margin.
  for (const Sent& sent : bed.sent) {
    if (sent.issuer == 1) CHECK(sent.at > paused_at + kLeaseTime - seconds(5));
  }
}

TEST_CASE("two hosts that both think they are chosen never issue at one time") {
  Bed bed(9);
  bed.Choose(0, true);
  bed.Choose(1, true);
  bed.Desire({{kNew}, {}, ""});
  bed.Run(seconds(300));
  CHECK(bed.All(kNew));
  std::uint64_t fence = 0;
  Time last_end;
  int last_issuer = -1;
  for (const Sent& sent : bed.sent) {
    CHECK(sent.order.fence >= fence);
    fence = sent.order.fence;
    const bool handed = last_issuer >= 0 && sent.issuer != last_issuer;
    // Only a released lease passes before its end.
    if (handed && sent.at < last_end) CHECK(bed.All(kNew));
    last_issuer = sent.issuer;
    last_end = sent.order.not_after;
  }
}

TEST_CASE("a lease write without an answer is settled by reading") {
  Bed bed(3);
  bed.lose_next_write = true;
  bed.Choose(0, true);
  bed.Desire({{kNew}, {}, ""});
  bed.Run(seconds(5));
  CHECK(bed.issuer(0).holds_lease(bed.now()));
  CHECK(bed.sent.size() == 1);
}

TEST_CASE("with the store down the lease runs out and nothing is sent") {
  Bed bed(9);
  bed.Choose(0, true);
  bed.Desire({{kNew}, {}, ""});
  bed.Run(seconds(3));
  bed.store_up = false;
  bed.Run(kLeaseTime);
  const std::size_t sent = bed.sent.size();
  CHECK_FALSE(bed.issuer(0).holds_lease(bed.now()));
  bed.Run(seconds(60));
  CHECK(bed.sent.size() == sent);
  bed.store_up = true;
  bed.Run(seconds(300));
  CHECK(bed.All(kNew));
}

TEST_CASE("the text of a lease survives the trip") {
  const LeaseValue value{{"h1"}, {123}, {kOld, kNew}};
  LeaseValue read;
  REQUIRE(ParseLease(ToText(value), read));
  CHECK(read == value);
  REQUIRE(ParseLease(ToText(LeaseValue{}), read));
  CHECK(read == LeaseValue{});
  for (const char* bad : {"", "[other]\n", "[lease]\nincarnation = x\n",
                          "[lease]\nfailed = m\n", "nonsense"}) {
    CHECK_FALSE(ParseLease(bad, read));
  }
}
