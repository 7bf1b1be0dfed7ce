// Order and fairness of the scheduler, and removal of expired requests.
#include "comfreyflow/scheduler.h"

#include <doctest/doctest.h>

#include <map>

namespace comfreyflow {
namespace {

using std::chrono::seconds;

QueuedRequest Make(std::uint64_t sequence, const char* account,
                   Urgency urgency = Urgency::kNormal,
                   std::uint64_t cost = 1'000) {
  QueuedRequest request;
  request.id = {{"h1"}, {1}, sequence};
  request.account = {account};
  request.urgency = urgency;
  request.cost_tokens = cost;
  request.deadline = Time{} + seconds(sequence);
  return request;
}

std::map<std::string, int> Served(Scheduler& scheduler, int count) {
  std::map<std::string, int> served;
  for (int i = 0; i < count; ++i) {
    ++served[scheduler.Next({})->account.value];
  }
  return served;
}

TEST_CASE("an account that floods the queue leaves another account its share") {
  Scheduler scheduler;
  for (int i = 1; i <= 1'000; ++i) scheduler.Add(Make(i, "flood"));
  for (int i = 2'001; i <= 2'010; ++i) scheduler.Add(Make(i, "small"));
  CHECK(Served(scheduler, 21)["small"] == 10);
}

TEST_CASE("weights divide tokens, not requests") {
  Scheduler scheduler;
  scheduler.SetWeight({"heavy"}, 3);
  for (int i = 1; i <= 400; ++i) {
    scheduler.Add(Make(i, "heavy", Urgency::kNormal, 2'000));
    scheduler.Add(Make(1'000 + i, "light", Urgency::kNormal, 1'000));
  }
  auto served = Served(scheduler, 200);
  // Three times the weight at twice the cost per request: three requests of
  // "heavy" for each two of "light".
  CHECK(served["heavy"] == doctest::Approx(120).epsilon(0.03));
}

TEST_CASE(
    "urgent work goes first and the lowest urgency gets a minimum share") {
  Scheduler scheduler;
  for (int i = 1; i <= 1'000; ++i) {
    scheduler.Add(Make(i, "a", Urgency::kHigh));
    scheduler.Add(Make(2'000 + i, "b", Urgency::kLow));
  }
  auto served = Served(scheduler, 420);
  CHECK(served["a"] == doctest::Approx(400).epsilon(0.02));
  CHECK(served["b"] >= 18);
}

TEST_CASE(
    "a request that was put back keeps its position and is charged once") {
  Scheduler scheduler;
  scheduler.Add(Make(1, "a"));
  scheduler.Add(Make(2, "a"));
  scheduler.Add(Make(3, "b"));
  const auto first = scheduler.Next({});
  REQUIRE(first->id.sequence == 1);
  CHECK(scheduler.PutBack(*first));
  CHECK_FALSE(scheduler.PutBack(*first));
  CHECK(scheduler.Next({})->id.sequence == 1);
  CHECK(scheduler.Next({})->id.sequence == 3);
  CHECK(scheduler.Next({})->id.sequence == 2);
}

TEST_CASE("short work is placed while long work can't be placed") {
  Scheduler scheduler;
  QueuedRequest long_request = Make(1, "a", Urgency::kHigh);
  long_request.length = PromptClass::kLong;
  scheduler.Add(long_request);
  scheduler.Add(Make(2, "a", Urgency::kLow));
  Placeable only_short;
  only_short.lanes = {true, false, false};
  CHECK(scheduler.Next(only_short)->id.sequence == 2);
  CHECK_FALSE(scheduler.Next(only_short));
  CHECK(scheduler.waiting(PromptClass::kLong) == 1);
}

TEST_CASE("a held account is skipped until it is resumed") {
  Scheduler scheduler;
  scheduler.Add(Make(1, "a"));
  scheduler.Add(Make(2, "b"));
  scheduler.Hold({"a"});
  scheduler.Add(Make(3, "a"));
  CHECK(scheduler.Next({})->id.sequence == 2);
  CHECK_FALSE(scheduler.Next({}));
  scheduler.Resume({"a"});
  CHECK(scheduler.Next({})->id.sequence == 1);
  CHECK(scheduler.Remove({{"h1"}, {1}, 3}));
  CHECK(scheduler.waiting() == 0);
}

TEST_CASE("requests are removed at their deadline") {
  Scheduler scheduler;
  for (int i = 1; i <= 5; ++i) scheduler.Add(Make(i, "a"));
  CHECK(scheduler.Expire(Time{} + seconds(2)).size() == 2);
  CHECK(scheduler.backlog_tokens(PromptClass::kShort) == 3'000);
  CHECK(scheduler.Next({})->id.sequence == 3);
}

}  // namespace
}  // namespace comfreyflow
