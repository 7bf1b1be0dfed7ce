// Shares of account limits: their sum stays within the limit under any fault,
// and hosts with demand receive loans.
#include "comfreyflow/limits.h"

#include <doctest/doctest.h>

#include <deque>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const AccountName kAccount{"a"};
constexpr LimitAmount kLimit{8000, 80000};

HostName Name(int i) { return {"h" + std::to_string(i)}; }

/// Hosts that lend to each other over a network with loss, partitions and long
/// delays.
class Fleet {
 public:
  Fleet(int count, std::uint64_t seed) : random_(seed) {
    std::vector<HostName> names;
    for (int i = 0; i < count; ++i) names.push_back(Name(i));
    for (int i = 0; i < count; ++i) {
      hosts_.emplace_back(Name(i), seed * 100 + i);
      hosts_.back().SetHosts(count);
      hosts_.back().SetPeers(names);
      hosts_.back().SetLimit(kAccount, kLimit);
    }
  }

  void Run(int steps) {
    for (int step = 0; step < steps; ++step) {
      now_ += seconds(1);
      for (int i = 0; i < size(); ++i) {
        for (const LoanRequest& request : hosts_[i].Tick(now_))
          SendRequest(i, request);
      }
      Deliver();
      CheckSum();
    }
  }
  void CheckSum() {
    LimitAmount sum;
    for (const LimitShares& host : hosts_) {
      sum.tokens_per_second += host.Share(kAccount, now_).tokens_per_second;
      sum.concurrent_tokens += host.Share(kAccount, now_).concurrent_tokens;
    }
    CHECK(sum.tokens_per_second <= kLimit.tokens_per_second);
    CHECK(sum.concurrent_tokens <= kLimit.concurrent_tokens);
  }
  LimitShares& host(int i) { return hosts_[i]; }
  std::uint64_t Rate(int i) const {
    return hosts_[i].Share(kAccount, now_).tokens_per_second;
  }
  int size() const { return static_cast<int>(hosts_.size()); }

  double loss = 0;
  int delay = 0;  // Steps until a reply is delivered.
  bool partitioned = false;

 private:
  struct PendingReply {
    int steps_left;
    int from;
    LoanReply loan_reply;
  };
  bool IsLost() {
    return std::uniform_real_distribution<>(0, 1)(random_) < loss;
  }
  int Index(const HostName& name) const {
    return std::stoi(name.value.substr(1));
  }
  void SendRequest(int from, const LoanRequest& request) {
    const int to = Index(request.to);
    if (IsLost() || (partitioned && from % 2 != to % 2)) return;
    const LoanReply loan_reply = hosts_[to].OnLoanRequest(
        Name(from), request.loan, request.wanted, now_);
    if (!IsLost()) replies_.push_back({delay, to, loan_reply});
  }
  void Deliver() {
    std::deque<PendingReply> undelivered;
    for (PendingReply& reply : replies_) {
      if (reply.steps_left-- > 0) {
        undelivered.push_back(reply);
        continue;
      }
      hosts_[Index(reply.loan_reply.to)].OnLoanReply(
          Name(reply.from), reply.loan_reply.loan, reply.loan_reply.lent, now_);
    }
    replies_ = undelivered;
  }

  std::mt19937_64 random_;
  std::vector<LimitShares> hosts_;
  std::deque<PendingReply> replies_;
  Time now_{std::chrono::hours(1)};
};

}  // namespace

TEST_CASE("without demand each host has an equal share") {
  Fleet fleet(8, 1);
  fleet.Run(5);
  for (int i = 0; i < 8; ++i) CHECK(fleet.Rate(i) == 1000);
  CHECK(fleet.host(0).Changes(Time{std::chrono::hours(2)}).size() == 1);
  CHECK(fleet.host(0).Changes(Time{std::chrono::hours(2)}).empty());
}

TEST_CASE("a host with demand borrows most of the limit and later returns it") {
  Fleet fleet(8, 2);
  fleet.host(3).SetDemand(kAccount, {20000, 200000});
  fleet.Run(30);
  CHECK(fleet.Rate(3) >= 5600);
  fleet.host(3).SetDemand(kAccount, {});
  fleet.Run(15);
  for (int i = 0; i < 8; ++i) CHECK(fleet.Rate(i) == 1000);
}

TEST_CASE(
    "the sum of shares stays within the limit under loss, delay, partitions "
    "and changing demand") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    Fleet fleet(8, seed);
    std::mt19937_64 random(seed);
    for (int phase = 0; phase < 12; ++phase) {
      fleet.loss = phase % 3 == 0 ? 0.3 : 0.02;
      fleet.delay = static_cast<int>(random() % 3);
      fleet.partitioned = phase % 4 == 1;
      for (int i = 0; i < 8; ++i) {
        fleet.host(i).SetDemand(kAccount, {random() % 6000, random() % 60000});
      }
      fleet.Run(7);
    }
  }
}

TEST_CASE("a reply that is late, repeated or unknown adds nothing") {
  LimitShares host({"h0"}, 1);
  host.SetHosts(2);
  host.SetPeers({{"h0"}, {"h1"}});
  host.SetLimit(kAccount, kLimit);
  host.SetDemand(kAccount, {8000, 0});
  Time now{std::chrono::hours(1)};
  const auto requests = host.Tick(now);
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].to.value == "h1");
  const std::vector<AccountAmount> lent = {{kAccount, {500, 0}}};
  host.OnLoanReply({"h1"}, LoanId{999}, lent, now);
  host.OnLoanReply({"h7"}, requests[0].loan, lent, now);
  CHECK(host.Share(kAccount, now).tokens_per_second == 4000);
  host.OnLoanReply({"h1"}, requests[0].loan, lent, now + seconds(1));
  CHECK(host.Share(kAccount, now + seconds(1)).tokens_per_second == 4500);
  host.OnLoanReply({"h1"}, requests[0].loan, lent, now + seconds(1));
  CHECK(host.Share(kAccount, now + seconds(1)).tokens_per_second == 4500);
  CHECK(host.Share(kAccount, now + kLoanTime).tokens_per_second == 4000);
}
