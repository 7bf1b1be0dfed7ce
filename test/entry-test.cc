// The entry role end to end: one final answer for each request, whatever comes.
#include "comfreyflow/entry.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Time kStart{seconds(100)};

TargetInfo Engine(const std::string& name) {
  return {.name = {name},
          .address = "127.0.0.1:1",
          .service = {"chat"},
          .failure_domain = {"north"},
          .models = {{"m"}},
          .kv_capacity = 450'000,
          .max_running = 64};
}

RequestArrived Arrival(std::uint64_t sequence, bool repeatable = true) {
  RequestArrived event;
  event.info.id = {{"h"}, {1}, sequence};
  event.info.account = {"a"};
  event.info.service = {"chat"};
  event.info.model = {"m"};
  event.info.prompt_tokens = 1'000;
  event.info.max_output_tokens = 100;
  event.info.arrival = kStart;
  event.info.deadline = kStart + seconds(30);
  event.info.repeatable = repeatable;
  if (!repeatable) event.idempotency_key = "k";
  return event;
}

template <class Command>
std::vector<Command> Only(const EntryCommands& commands) {
  std::vector<Command> found;
  for (const EntryCommand& command : commands) {
    if (const auto* typed = std::get_if<Command>(&command)) {
      found.push_back(*typed);
    }
  }
  return found;
}

template <class Command>
Command One(const EntryCommands& commands) {
  const auto found = Only<Command>(commands);
  REQUIRE(found.size() == 1);
  return found.front();
}

/// An entry with two targets, driven to an open stream.
struct Fixture {
  Entry entry{EntrySettings{}};
  AttemptId attempt;
  TargetName target;

  Fixture() {
    entry.Handle(TargetSeen{Engine("e1")}, kStart);
    entry.Handle(TargetSeen{Engine("e2")}, kStart);
  }

  void Grant(const EntryCommands& commands) {
    const auto ask = One<AskGrant>(commands);
    attempt = ask.attempt;
    target = ask.target;
    const auto opened = entry.Handle(
        GrantAnswered{attempt, target, GrantReply::kGranted}, kStart);
    CHECK(One<OpenStream>(opened).attempt == attempt);
    entry.Handle(StreamOpened{attempt}, kStart);
  }
};

}  // namespace

TEST_CASE("a request is granted, streamed in order and finished once") {
  Fixture f;
  f.Grant(f.entry.Handle(Arrival(1), kStart));
  CHECK(One<Forward>(f.entry.Handle(ChunkArrived{f.attempt, 0, 4, 1}, kStart))
            .skip == 0);
  const auto repeated =
      f.entry.Handle(ChunkArrived{f.attempt, 0, 4, 1}, kStart);
  CHECK(Only<Forward>(repeated).empty());
  const auto overlap = f.entry.Handle(ChunkArrived{f.attempt, 2, 4, 1}, kStart);
  CHECK(One<Forward>(overlap).skip == 2);
  const auto end = f.entry.Handle(StreamEnded{f.attempt, 6}, kStart);
  CHECK(One<Finish>(end).outcome == Outcome::kDone);
  CHECK(Only<ReleaseGrant>(end).size() == 1);
  CHECK(f.entry.open_requests() == 0);
}

TEST_CASE("chunks of an attempt that was given up are never forwarded") {
  Fixture f;
  f.Grant(f.entry.Handle(Arrival(1), kStart));
  const AttemptId first = f.attempt;
  const TargetName first_target = f.target;
  f.Grant(f.entry.Handle(StreamFailed{first, Errc::kTargetFailed}, kStart));
  CHECK(f.target != first_target);
  CHECK(f.entry.Handle(ChunkArrived{first, 0, 4, 1}, kStart).empty());
  CHECK(f.entry.Handle(StreamEnded{first, 0}, kStart).empty());
}

TEST_CASE("a request that is not repeatable is not sent twice") {
  Fixture f;
  const auto claim = One<WantClaim>(f.entry.Handle(Arrival(1, false), kStart));
  f.Grant(f.entry.Handle(ClaimAnswered{claim.request, ClaimVerdict::kClaimed},
                         kStart));
  const auto end =
      f.entry.Handle(StreamFailed{f.attempt, Errc::kTargetSilent}, kStart);
  CHECK(Only<AskGrant>(end).empty());
  CHECK(One<Finish>(end).outcome == Outcome::kUnknown);
  CHECK(One<RecordOutcome>(end).outcome == Outcome::kUnknown);
}

TEST_CASE(
    "a request whose key may have run elsewhere is never called not run") {
  for (const ClaimVerdict verdict :
       {ClaimVerdict::kSeenDone, ClaimVerdict::kSeenRunning,
        ClaimVerdict::kSeenUnknown}) {
    Fixture f;
    const auto claim =
        One<WantClaim>(f.entry.Handle(Arrival(1, false), kStart));
    const auto end =
        f.entry.Handle(ClaimAnswered{claim.request, verdict}, kStart);
    CHECK(One<Finish>(end).outcome == Outcome::kUnknown);
  }
}

TEST_CASE("the deadline ends a request in every phase") {
  const Time late = kStart + seconds(30);
  SUBCASE("claiming") {
    Fixture f;
    f.entry.Handle(Arrival(1, false), kStart);
    CHECK(One<Finish>(f.entry.Handle(Tick{}, late)).outcome ==
          Outcome::kNotRun);
  }
  SUBCASE("asking") {
    Fixture f;
    f.entry.Handle(Arrival(1), kStart);
    const auto end = f.entry.Handle(Tick{}, late);
    CHECK(One<Finish>(end).outcome == Outcome::kNotRun);
    CHECK(Only<CancelAttempt>(end).empty());
  }
  SUBCASE("streaming") {
    Fixture f;
    f.Grant(f.entry.Handle(Arrival(1), kStart));
    const auto end = f.entry.Handle(Tick{}, late);
    CHECK(One<Finish>(end).outcome != Outcome::kNotRun);
    CHECK(One<CancelAttempt>(end).attempt == f.attempt);
  }
}
