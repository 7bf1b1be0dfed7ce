// From the queue to grants: gangs, late answers, pauses, trials.
#include "comfreyflow/dispatcher.h"

#include <doctest/doctest.h>

namespace comfreyflow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Dispatcher MakeDispatcher() {
  Dispatcher dispatcher{DispatcherSettings{}};
  for (int i = 0; i < 12; ++i) {
    TargetInfo info;
    info.name = {"e" + std::to_string(10 + i)};
    info.service = {"s"};
    info.models = {{"m"}};
    info.kv_capacity = 450'000;
    info.max_running = 64;
    dispatcher.router().UpsertTarget(info);
  }
  dispatcher.Tick(Time{} + milliseconds(1));
  return dispatcher;
}

RequestInfo Make(std::uint64_t sequence, std::uint32_t tokens) {
  RequestInfo info;
  info.id = {{"h1"}, {1}, sequence};
  info.account = {"a"};
  info.service = {"s"};
  info.model = {"m"};
  info.prompt_tokens = tokens;
  info.max_output_tokens = 256;
  info.deadline = Time{} + seconds(100);
  return info;
}

template <class Command>
std::vector<Command> Only(const DispatchCommands& commands) {
  std::vector<Command> out;
  for (const auto& command : commands) {
    if (const auto* typed = std::get_if<Command>(&command)) {
      out.push_back(*typed);
    }
  }
  return out;
}

ReserveAnswer Answer(const AttemptId& attempt, GrantReply reply,
                     Duration wait = milliseconds(20)) {
  return {attempt, reply, wait};
}

TEST_CASE("a gang asks in order and gives all back when one refuses") {
  Dispatcher dispatcher = MakeDispatcher();
  const RequestInfo info = Make(1, 1'000'000);
  const AttemptId attempt{info.id, 1};
  Time now = Time{} + milliseconds(2);
  auto asks =
      Only<SendReserveRequest>(dispatcher.Enqueue(attempt, info, {}, now));
  REQUIRE(asks.size() == 1);
  const TargetName first = asks[0].target;
  asks = Only<SendReserveRequest>(
      dispatcher.Answered(first, Answer(attempt, GrantReply::kGranted), now));
  REQUIRE(asks.size() == 1);
  const TargetName second = asks[0].target;
  CHECK(first < second);
  const auto commands =
      dispatcher.Answered(second, Answer(attempt, GrantReply::kRefused), now);
  const auto released = Only<SendRelease>(commands);
  REQUIRE(released.size() == 1);
  CHECK(released[0].target == first);
  CHECK(Only<Dispatched>(commands).empty());
  // It begins again by itself after a pause.
  now += seconds(1);
  asks = Only<SendReserveRequest>(dispatcher.Tick(now));
  REQUIRE(asks.size() == 1);
  DispatchCommands last;
  for (int i = 0; i < 3; ++i) {
    last = dispatcher.Answered(asks[0].target,
                               Answer(attempt, GrantReply::kGranted), now);
    asks = Only<SendReserveRequest>(last);
    if (asks.empty()) break;
  }
  REQUIRE(Only<Dispatched>(last).size() == 1);
  CHECK(Only<Dispatched>(last)[0].targets.size() == 3);
}

TEST_CASE("a grant that comes after the request left is given back") {
  Dispatcher dispatcher = MakeDispatcher();
  const RequestInfo info = Make(1, 2'000);
  const AttemptId attempt{info.id, 1};
  const Time now = Time{} + milliseconds(2);
  const auto asks =
      Only<SendReserveRequest>(dispatcher.Enqueue(attempt, info, {}, now));
  CHECK(Only<SendRelease>(dispatcher.Leave(attempt, false, now)).size() == 1);
  const auto late = dispatcher.Answered(
      asks.at(0).target, Answer(attempt, GrantReply::kGranted), now);
  CHECK(Only<SendRelease>(late).size() == 1);
  CHECK(Only<Dispatched>(late).empty());
}

TEST_CASE("a steward that is silent counts as refusing") {
  Dispatcher dispatcher = MakeDispatcher();
  const RequestInfo info = Make(1, 2'000);
  const AttemptId attempt{info.id, 1};
  Time now = Time{} + milliseconds(2);
  const auto asks =
      Only<SendReserveRequest>(dispatcher.Enqueue(attempt, info, {}, now));
  now += seconds(1);
  const auto commands = dispatcher.Tick(now);
  REQUIRE(Only<SendRelease>(commands).size() == 1);
  CHECK(Only<SendRelease>(commands)[0].target == asks.at(0).target);
  REQUIRE(Only<SendReserveRequest>(commands).size() == 1);
  CHECK(Only<SendReserveRequest>(commands)[0].target != asks[0].target);
}

TEST_CASE("refusals end in a wider wait, then a pause, and never in silence") {
  Dispatcher dispatcher = MakeDispatcher();
  const RequestInfo info = Make(1, 2'000);
  const AttemptId attempt{info.id, 1};
  Time now = Time{} + milliseconds(2);
  auto asks =
      Only<SendReserveRequest>(dispatcher.Enqueue(attempt, info, {}, now));
  Duration widest{};
  int asked = 0;
  while (!asks.empty()) {
    ++asked;
    widest = std::max(widest, asks[0].request.max_wait);
    asks = Only<SendReserveRequest>(dispatcher.Answered(
        asks[0].target, Answer(attempt, GrantReply::kRefused), now));
  }
  const DispatcherSettings settings;
  CHECK(asked == static_cast<int>(settings.probes_short));
  CHECK(widest == settings.last_wait_short);
  CHECK(Only<SendReserveRequest>(dispatcher.Tick(now + milliseconds(50)))
            .size() == 1);
}

TEST_CASE("an account that had its share tries one request at a time") {
  Dispatcher dispatcher = MakeDispatcher();
  Time now = Time{} + milliseconds(2);
  std::vector<SendReserveRequest> asks;
  for (std::uint64_t i = 1; i <= 10; ++i) {
    const RequestInfo info = Make(i, 2'000);
    for (auto& ask : Only<SendReserveRequest>(
             dispatcher.Enqueue({info.id, 1}, info, {}, now))) {
      asks.push_back(ask);
    }
  }
  while (!asks.empty()) {
    const SendReserveRequest ask = asks.back();
    asks.pop_back();
    for (auto& next : Only<SendReserveRequest>(dispatcher.Answered(
             ask.target, Answer(ask.request.attempt, GrantReply::kRefused, {}),
             now))) {
      asks.push_back(next);
    }
  }
  now += seconds(1);
  CHECK(Only<SendReserveRequest>(dispatcher.Tick(now)).size() == 1);
}

}  // namespace
}  // namespace comfreyflow
