// The retry budget of a service while its placer moves between hosts.
#include "comfreyflow/retry-window.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double kRatio = 0.2;
constexpr double kSlack = 100;  ///< Of the rule; holders use half of it.
constexpr Duration kWindow = seconds(10);
constexpr Time kStart{seconds(1000)};

RetryLimits Limits() { return {kRatio, kSlack / 2, kWindow}; }

/// Hosts that all send each request twice if they may, and one of which holds
/// the placer.
class Fleet {
 public:
  Fleet(std::size_t size, std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < size; ++i) {
      hosts_.push_back({{"h" + std::to_string(i)}, {1}});
    }
  }

  void Run(Duration time, Duration period, Duration move_period,
           Duration death_period) {
    const Time end = now_ + time;
    Time move_at = now_ + move_period;
    Time death_at = now_ + death_period;
    for (; now_ < end; now_ += period) {
      if (now_ >= move_at) {
        move_at = now_ + move_period;
        Move(random_() % hosts_.size());
      }
      if (now_ >= death_at) {
        death_at = now_ + death_period;
        Restart(random_() % hosts_.size());
      }
      SendTwice(hosts_[random_() % hosts_.size()]);
    }
  }

  /// The holder tells the next one all it knows, and ends.
  void StopHolder() {
    Host last = std::move(holder());
    holder() = {last.name, {last.incarnation.value + 1}};
    Move((holder_ + 1) % hosts_.size());
    Tell(last, holder());
  }

  /// The largest number by which repeats in some window exceed what the rule
  /// allows; negative: none does.
  double WorstExcess() const {
    double worst = -kSlack;
    for (std::size_t first = 0; first < retries_.size(); ++first) {
      const Time begin = retries_[first];
      const auto in_window = std::count_if(
          retries_.begin() + static_cast<std::ptrdiff_t>(first), retries_.end(),
          [begin](Time at) { return at < begin + kWindow; });
      const double allowed = kRatio * MostRequests(begin) + kSlack;
      worst = std::max(worst, static_cast<double>(in_window) - allowed);
    }
    return worst;
  }
  std::size_t retries() const { return retries_.size(); }
  std::size_t requests() const { return requests_.size(); }

 private:
  struct Host {
    HostName name;
    Incarnation incarnation;
    GrantLog log{kWindow};
    RetryWindow window{Limits()};
    std::pair<HostName, Incarnation> told;
  };

  Host& holder() { return hosts_[holder_]; }

  void Move(std::size_t to) {
    if (to == holder_) return;
    holder_ = to;
    holder().window.SetUnknownShare(0);
  }

  bool HasEnded(const HostName& name, Incarnation incarnation) const {
    return std::none_of(hosts_.begin(), hosts_.end(), [&](const Host& host) {
      return host.name == name && host.incarnation == incarnation;
    });
  }

  /// What the host granted, and what it was granted, is forgotten.
  void Restart(std::size_t index) {
    Host& host = hosts_[index];
    host = {host.name, {host.incarnation.value + 1}};
    if (index != holder_) return;
    // The others agree on another one; the dead host is unknown to it.
    Move((index + 1) % hosts_.size());
    holder().window.SetUnknownShare(1.0 / static_cast<double>(hosts_.size()));
  }

  void Tell(Host& host, Host& by) {
    host.told = {by.name, by.incarnation};
    by.window.SetElsewhere(
        {host.name, host.incarnation,
         host.log.GrantedByOthers(by.name, by.incarnation, now_)});
    for (auto& grants : host.window.Departed(
             [this](const HostName&name, Incarnation incarnation) {
               return HasEnded(name, incarnation);
             },
             now_)) {
      by.window.AddDeparted(std::move(grants));
    }
  }

  void SendTwice(Host& host) {
    Host& by = holder();
    const std::pair to(by.name, by.incarnation);
    if (host.told != to) Tell(host, by);
    requests_.push_back(now_);
    by.window.RecordRequest(host.name, host.incarnation, now_);
    host.log.Record(by.name, by.incarnation, false, now_);
    if (!by.window.TakeRetry(host.name, host.incarnation, now_)) return;
    retries_.push_back(now_);
    host.log.Record(by.name, by.incarnation, true, now_);
  }

  /// In the window, the one before it, and the one half a window before it.
  double MostRequests(Time begin) const {
    double most = 0;
    for (const Duration back : {Duration(), kWindow / 2, kWindow}) {
      const auto first =
          std::lower_bound(requests_.begin(), requests_.end(), begin - back);
      const auto last = std::lower_bound(requests_.begin(), requests_.end(),
                                         begin - back + kWindow);
      most = std::max(most, static_cast<double>(last - first));
    }
    return most;
  }

  std::mt19937_64 random_;
  std::vector<Host> hosts_;
  std::size_t holder_ = 0;
  Time now_ = kStart;
  std::vector<Time> requests_;
  std::vector<Time> retries_;
};

}  // namespace

TEST_CASE("a placer that moves between living hosts grants budgets anew") {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    Fleet fleet(3 + seed % 7, seed);
    const Duration move = milliseconds(200 + 97 * (seed % 40));
    fleet.Run(seconds(25), milliseconds(20 + seed % 60), move, seconds(100));
    INFO("seed " << seed);
    REQUIRE(fleet.WorstExcess() <= 0);
  }
}

TEST_CASE("hosts that die one after the other take the count with them") {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    Fleet fleet(9, seed);
    const Duration death = milliseconds(1500 + 53 * (seed % 40));
    fleet.Run(seconds(25), milliseconds(20 + seed % 60), seconds(100), death);
    INFO("seed " << seed);
    REQUIRE(fleet.WorstExcess() <= 0);
  }
}

TEST_CASE("a rolling stop of all hosts takes the count with it") {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    Fleet fleet(3 + seed % 7, seed);
    for (int i = 0; i < 40; ++i) {
      fleet.Run(milliseconds(300 + 17 * (seed % 50)),
                milliseconds(20 + seed % 60), seconds(100), seconds(100));
      fleet.StopHolder();
    }
    INFO("seed " << seed);
    REQUIRE(fleet.WorstExcess() <= 0);
  }
}

TEST_CASE("a placer that stays gets fewer retries than the rule allows it") {
  Fleet fleet(9, 1);
  fleet.Run(seconds(10), milliseconds(20), seconds(100), seconds(100));
  CHECK(fleet.requests() == 500);
  CHECK(fleet.retries() >= 500 * kRatio + kSlack / 2 - 1);
}

TEST_CASE("grants of one holder are counted twice as it is told of them") {
  GrantLog log(kWindow);
  log.Record({"a"}, {1}, true, kStart);
  log.Record({"b"}, {1}, true, kStart);
  log.Record({"a"}, {2}, true, kStart);
  const auto retries = [&log](const char* holder, Incarnation incarnation) {
    std::uint32_t count = 0;
    for (const auto& grants :
         log.GrantedByOthers({holder}, incarnation, kStart)) {
      count += grants.retries;
    }
    return count;
  };
  CHECK(retries("a", {1}) == 2);
  CHECK(retries("c", {1}) == 3);
  CHECK(log.has_retries(kStart));
  CHECK_FALSE(log.has_retries(kStart + seconds(11)));
}
