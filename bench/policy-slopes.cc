// Cost of decisions by size: a routing decision by number of engines, queue
// operations by number of waiting requests.
//   bench-policy-slopes
#include <chrono>
#include <cstdio>

#include "comfreyflow/router.h"
#include "comfreyflow/scheduler.h"

namespace {

using comfreyflow::PromptClass;
using comfreyflow::QueuedRequest;
using comfreyflow::RequestInfo;
using comfreyflow::Router;
using comfreyflow::Scheduler;
using comfreyflow::TargetInfo;
using comfreyflow::TargetReport;
using comfreyflow::Time;

constexpr int kRoutings = 20'000;
constexpr int kQueueRounds = 50'000;
constexpr int kRepeats = 5;
constexpr std::uint32_t kAccounts = 300;
constexpr std::uint64_t kOdd = 0x9e3779b97f4a7c15ULL;

std::string Numbered(const char* prefix, std::uint64_t number) {
  return prefix + std::to_string(number);
}

/// Lowest of some runs, in microseconds an operation.
template <class Run>
double Microseconds(int operations, Run run) {
  double best = 0;
  for (int i = 0; i < kRepeats; ++i) {
    const auto start = std::chrono::steady_clock::now();
    run();
    const std::chrono::duration<double, std::micro> taken =
        std::chrono::steady_clock::now() - start;
    if (i == 0 || taken.count() < best) best = taken.count();
  }
  return best / operations;
}

RequestInfo Request(std::uint64_t sequence, std::uint32_t tokens) {
  RequestInfo info;
  info.id = {{"host-1"}, {1}, sequence};
  info.account = {Numbered("account-", sequence % kAccounts)};
  info.service = {"main"};
  info.model = {"main"};
  info.prompt_tokens = tokens;
  info.max_output_tokens = 256;
  for (std::uint64_t i = 0; i < tokens / comfreyflow::kPrefixBlockTokens; ++i) {
    info.prefix.push_back((sequence % 1'000 * 10'007 + i + 1) * kOdd);
  }
  return info;
}

void FillRouter(Router& router, int engines) {
  for (int i = 0; i < engines; ++i) {
    TargetInfo info;
    info.name = {Numbered("engine-", i)};
    info.service = {"main"};
    info.models = {{"main"}};
    info.kv_capacity = 450'000;
    info.max_running = 64;
    router.UpsertTarget(info);
    TargetReport report;
    report.target = info.name;
    report.sequence = 1;
    report.running = i % 50;
    report.prefill_backlog_tokens = i % 7 * 5'000;
    router.ApplyReport(report, Time{});
  }
  router.Tick(Time{} + std::chrono::milliseconds(1));
}

double RoutingCost(int engines, std::uint32_t tokens) {
  Router router({});
  FillRouter(router, engines);
  std::vector<RequestInfo> requests;
  for (std::uint64_t i = 0; i < 1'000; ++i) {
    requests.push_back(Request(i, tokens));
    const auto placement = router.Place(requests[i], {}, true, Time{});
    if (placement.candidates.empty()) continue;
    const comfreyflow::AttemptId attempt{requests[i].id, 1};
    router.Sent(attempt, requests[i], placement.candidates[0], Time{});
    router.Ended(attempt, placement.candidates[0].target, requests[i], true);
  }
  return Microseconds(kRoutings, [&] {
    for (int i = 0; i < kRoutings; ++i) {
      router.Place(requests[i % requests.size()], {}, true, Time{});
    }
  });
}

double QueueCost(int waiting) {
  Scheduler scheduler;
  std::uint64_t sequence = 0;
  const auto add = [&] {
    QueuedRequest request;
    request.id = {{"host-1"}, {1}, ++sequence};
    request.account = {Numbered("account-", sequence * kOdd % kAccounts)};
    request.cost_tokens = 1'000 + sequence * kOdd % 5'000;
    request.deadline = Time{} + std::chrono::milliseconds(sequence);
    scheduler.Add(request);
  };
  while (scheduler.waiting() < static_cast<std::size_t>(waiting)) add();
  return Microseconds(kQueueRounds, [&] {
    for (int i = 0; i < kQueueRounds; ++i) {
      add();
      scheduler.Next({});
    }
  });
}

}  // namespace

int main() {
  for (const std::uint32_t tokens : {2'000U, 60'000U, 1'000'000U}) {
    double first = 0;
    for (const int engines : {60, 150, 300, 600}) {
      const double cost = RoutingCost(engines, tokens);
      if (first == 0) first = cost;
      std::printf("route %7u tokens, %3d engines: %6.2f us  x%.2f of 60\n",
                  tokens, engines, cost, cost / first);
    }
  }
  for (const int waiting : {10, 100, 1'000, 10'000}) {
    std::printf("queue add + next, %5d waiting: %6.2f us\n", waiting,
                QueueCost(waiting));
  }
  return 0;
}
