// Dispatch of queued requests: gangs, late grants, pauses and shares.
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

RequestInfo MakeRequest(std::uint64_t sequence, std::uint32_t tokens) {
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

ReservationReply Answer(const AttemptId& attempt, GrantReply reply,
                        Duration wait = milliseconds(20)) {
  return {attempt, reply, wait};
}

TEST_CASE(
    "a gang reserves in order and releases all grants when one is refused") {
  Dispatcher dispatcher = MakeDispatcher();
  const RequestInfo info = MakeRequest(1, 1'000'000);
  const AttemptId attempt{info.id, 1};
  Time now = Time{} + milliseconds(2);
  auto requests =
      Only<SendReserveRequest>(dispatcher.Enqueue(attempt, info, {}, now));
  REQUIRE(requests.size() == 1);
  const TargetName first = requests[0].target;
  requests = Only<SendReserveRequest>(
      dispatcher.Answered(first, Answer(attempt, GrantReply::kGranted), now));
  REQUIRE(requests.size() == 1);
  const TargetName second = requests[0].target;
  CHECK(first < second);
  const auto commands =
      dispatcher.Answered(second, Answer(attempt, GrantReply::kRefused), now);
  const auto released = Only<SendRelease>(commands);
  REQUIRE(released.size() == 1);
  CHECK(released[0].target == first);
  CHECK(Only<Dispatched>(commands).empty());
  // The gang starts again after a pause.
  now += seconds(1);
  requests = Only<SendReserveRequest>(dispatcher.Tick(now));
  REQUIRE(requests.size() == 1);
  DispatchCommands last;
  for (int i = 0; i < 3; ++i) {
    last = dispatcher.Answered(requests[0].target,
                               Answer(attempt, GrantReply::kGranted), now);
    requests = Only<SendReserveRequest>(last);
    if (requests.empty()) break;
  }
  REQUIRE(Only<Dispatched>(last).size() == 1);
  CHECK(Only<Dispatched>(last)[0].targets.size() == 3);
}

TEST_CASE("a grant that arrives after the request was cancelled is released") {
  Dispatcher dispatcher = MakeDispatcher();
  const RequestInfo info = MakeRequest(1, 2'000);
  const AttemptId attempt{info.id, 1};
  const Time now = Time{} + milliseconds(2);
  const auto requests =
      Only<SendReserveRequest>(dispatcher.Enqueue(attempt, info, {}, now));
  CHECK(Only<SendRelease>(dispatcher.Leave(attempt, false, now)).size() == 1);
  const auto late = dispatcher.Answered(
      requests.at(0).target, Answer(attempt, GrantReply::kGranted), now);
  CHECK(Only<SendRelease>(late).size() == 1);
  CHECK(Only<Dispatched>(late).empty());
}

TEST_CASE("a steward that does not answer counts as refusing") {
  Dispatcher dispatcher = MakeDispatcher();
  const RequestInfo info = MakeRequest(1, 2'000);
  const AttemptId attempt{info.id, 1};
  Time now = Time{} + milliseconds(2);
  const auto requests =
      Only<SendReserveRequest>(dispatcher.Enqueue(attempt, info, {}, now));
  now += seconds(1);
  const auto commands = dispatcher.Tick(now);
  REQUIRE(Only<SendRelease>(commands).size() == 1);
  CHECK(Only<SendRelease>(commands)[0].target == requests.at(0).target);
  REQUIRE(Only<SendReserveRequest>(commands).size() == 1);
  CHECK(Only<SendReserveRequest>(commands)[0].target != requests[0].target);
}

TEST_CASE(
    "refused requests accept a longer wait, then pause, and are tried again") {
  Dispatcher dispatcher = MakeDispatcher();
  const RequestInfo info = MakeRequest(1, 2'000);
  const AttemptId attempt{info.id, 1};
  Time now = Time{} + milliseconds(2);
  auto requests =
      Only<SendReserveRequest>(dispatcher.Enqueue(attempt, info, {}, now));
  Duration longest_wait{};
  int request_count = 0;
  while (!requests.empty()) {
    ++request_count;
    longest_wait = std::max(longest_wait, requests[0].request.max_wait);
    requests = Only<SendReserveRequest>(dispatcher.Answered(
        requests[0].target, Answer(attempt, GrantReply::kRefused), now));
  }
  const DispatcherSettings settings;
  CHECK(request_count == static_cast<int>(settings.probes_short));
  CHECK(longest_wait == settings.last_wait_short);
  CHECK(Only<SendReserveRequest>(dispatcher.Tick(now + milliseconds(50)))
            .size() == 1);
}

TEST_CASE(
    "an account that used up its share reserves for one request at a time") {
  Dispatcher dispatcher = MakeDispatcher();
  Time now = Time{} + milliseconds(2);
  std::vector<SendReserveRequest> requests;
  for (std::uint64_t i = 1; i <= 10; ++i) {
    const RequestInfo info = MakeRequest(i, 2'000);
    for (auto& command : Only<SendReserveRequest>(
             dispatcher.Enqueue({info.id, 1}, info, {}, now))) {
      requests.push_back(command);
    }
  }
  while (!requests.empty()) {
    const SendReserveRequest command = requests.back();
    requests.pop_back();
    for (auto& next : Only<SendReserveRequest>(dispatcher.Answered(
             command.target,
             Answer(command.request.attempt, GrantReply::kRefused, {}), now))) {
      requests.push_back(next);
    }
  }
  now += seconds(1);
  CHECK(Only<SendReserveRequest>(dispatcher.Tick(now)).size() == 1);
}

}  // namespace
}  // namespace comfreyflow
