// Processor time of what hosts share besides the membership, at growing sizes:
// parsing of a document, stewards, address answers, limit shares, orders.
#include <chrono>
#include <cstdio>
#include <functional>
#include <string>

#include "comfreyflow/addresses.h"
#include "comfreyflow/config.h"
#include "comfreyflow/limits.h"
#include "comfreyflow/orders.h"
#include "comfreyflow/stewardship.h"

namespace {

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;

struct Size {
  int hosts;
  int targets;
  int accounts;
  int services;
};

double Microseconds(int times, const std::function<void()>& work) {
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < times; ++i) work();
  const std::chrono::duration<double, std::micro> spent =
      std::chrono::steady_clock::now() - begin;
  return spent.count() / times;
}

std::string Number(const char* prefix, int number) {
  return prefix + std::to_string(number);
}

Config MakeConfig(const Size& size) {
  Config config;
  config.environment = "bench";
  for (int i = 0; i < size.services; ++i) {
    Service service;
    service.name = {Number("service-", i)};
    service.target_class = {Number("class-", i)};
    service.models = {{{Number("model-", i)}, "1"}};
    service.deadline = seconds(60);
    config.services[service.name] = service;
  }
  for (int i = 0; i < size.accounts; ++i) {
    Account account;
    account.name = {Number("account-", i)};
    account.keys = {Sha256(account.name.value)};
    account.tokens_per_second = 10'000;
    account.concurrent_tokens = 1'000'000;
    account.services = {{Number("service-", i % size.services)}};
    config.accounts[account.name] = account;
  }
  for (int i = 0; i < size.targets; ++i) {
    TargetConfig target;
    target.name = {Number("engine-", i)};
    target.target_class = {Number("class-", i % size.services)};
    target.failure_domain = {Number("domain-", i % 7)};
    config.targets[target.name] = target;
  }
  return config;
}

double LimitTick(const Size& size, double& asks_per_second) {
  std::vector<HostName> peers;
  for (int i = 0; i < size.hosts; ++i) peers.push_back({Number("entry-", i)});
  LimitShares shares(peers.front(), 1);
  shares.SetHosts(peers.size());
  shares.SetPeers(peers);
  for (int i = 0; i < size.accounts; ++i) {
    const AccountName account{Number("account-", i)};
    shares.SetLimit(account, {700'000, 7'000'000});
    shares.SetDemand(account, {static_cast<std::uint64_t>(i % 2 * 9'000), 0});
  }
  constexpr int kTicks = 200;
  Time now{std::chrono::hours(1)};
  double asks = 0;
  const double spent = Microseconds(kTicks, [&] {
    now += kSharePeriod;
    for (const LoanRequest& ask : shares.Tick(now)) {
      asks += 1;
      std::vector<AccountAmount> lent = ask.wanted;
      for (AccountAmount& part : lent) part.amount = {1'000, 0};
      shares.OnLoanReply(ask.to, ask.loan, lent, now);
    }
    shares.Changes(now);
  });
  asks_per_second = asks / kTicks;
  return spent;
}

double OrderTickCost(const Size& size) {
  Orders orders({{"s"}, {"entry-0"}, {1}, 4}, Time{});
  orders.Handle(DesiredChanged{{{{{"m"}, "1"}}, {}, ""}}, Time{});
  orders.Handle(IssuerChosen{true}, Time{});
  for (int i = 0; i < size.targets / size.services; ++i) {
    const ObservedTarget target{{Number("engine-", i)},
                                {Number("domain-", i % 7)},
                                {{{"m"}, "1"}},
                                {},
                                ""};
    orders.Handle(TargetObserved{target}, Time{});
  }
  return Microseconds(1000, [&] { orders.Handle(OrderTick{}, Time{}); });
}

void Row(const Size& size) {
  const Config config = MakeConfig(size);
  const std::string text = ToText(config);
  const double parse = Microseconds(5, [&] { ParseConfig(text); });
  const double find =
      Microseconds(1000, [&] { FindAccount(config, "account-1"); });
  std::vector<HostName> hosts;
  std::map<HostName, Member> view;
  for (int i = 0; i < size.hosts; ++i) {
    Member member;
    member.record.name = {Number("entry-", i)};
    member.record.failure_domain = {Number("domain-", i % 7)};
    member.record.callers = "10.0.0.1:80";
    hosts.push_back(member.record.name);
    view[member.record.name] = member;
  }
  std::vector<TargetName> targets;
  for (const auto& [name, target] : config.targets) targets.push_back(name);
  const double duties =
      Microseconds(20, [&] { DutiesOf(hosts[0], hosts, targets); });
  Addresses addresses(1);
  addresses.SetView(view);
  const double answer =
      Microseconds(1000, [&] { addresses.Answer({"domain-1"}, Time{}); });
  double asks = 0;
  const double limits = LimitTick(size, asks);
  std::printf("%5d %7d %8d %9zu %9.0f %8.1f %9.0f %9.1f %9.0f %6.1f %9.1f\n",
              size.hosts, size.targets, size.accounts, text.size(), parse, find,
              duties, answer, limits, asks, OrderTickCost(size));
}

}  // namespace

int main() {
  std::printf(
      "hosts targets accounts doc_bytes  parse_us  key_us duties_us answer_us "
      "limits_us asks/s orders_us\n");
  Row({8, 24, 10, 2});
  Row({32, 64, 40, 4});
  Row({128, 220, 110, 8});
  Row({350, 600, 240, 16});
  return 0;
}
