// The entry role end to end: each request gets exactly one final answer,
// whatever fails.
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

/// An entry role with two targets. `Grant` takes a request to its open stream.
struct Fixture {
  Entry entry{EntrySettings{}};
  AttemptId attempt;
  TargetName target;

  Fixture() {
    entry.Handle(TargetUpdated{Engine("e1")}, kStart);
    entry.Handle(TargetUpdated{Engine("e2")}, kStart);
  }

  void Grant(const EntryCommands& commands) {
    const auto request = One<RequestGrant>(commands);
    attempt = request.attempt;
    target = request.target;
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

TEST_CASE("chunks of an abandoned attempt are never forwarded") {
  Fixture f;
  f.Grant(f.entry.Handle(Arrival(1), kStart));
  const AttemptId first = f.attempt;
  const TargetName first_target = f.target;
  f.entry.Handle(StreamFailed{first, Errc::kTargetFailed}, kStart);
  CHECK(f.entry.Handle(ChunkArrived{first, 0, 4, 1}, kStart).empty());
  f.Grant(f.entry.Handle(Tick{}, kStart + kBackoffMax));
  CHECK(f.target != first_target);
  CHECK(f.entry.Handle(ChunkArrived{first, 0, 4, 1}, kStart).empty());
  CHECK(f.entry.Handle(StreamEnded{first, 0}, kStart).empty());
}

TEST_CASE("a request that is not repeatable is not sent twice") {
  Fixture f;
  const auto claim = One<WantClaim>(f.entry.Handle(Arrival(1, false), kStart));
  f.Grant(f.entry.Handle(ClaimAnswered{claim.request, ClaimVerdict::kClaimed},
                         kStart));
  const auto end = f.entry.Handle(
      StreamFailed{f.attempt, Errc::kTargetUnresponsive}, kStart);
  CHECK(Only<RequestGrant>(end).empty());
  CHECK(One<Finish>(end).outcome == Outcome::kUnknown);
  CHECK(One<RecordOutcome>(end).outcome == Outcome::kUnknown);
}

TEST_CASE(
    "a request whose key may have run elsewhere is never reported as not run") {
  struct Case {
    ClaimVerdict verdict;
    Errc code;
    Outcome outcome;
  };
  for (const Case& expected :
       {Case{ClaimVerdict::kDuplicateDone, Errc::kAlreadyDone, Outcome::kDone},
        Case{ClaimVerdict::kDuplicateRunning, Errc::kAlreadyRunning,
             Outcome::kUnknown},
        Case{ClaimVerdict::kDuplicateUnknown, Errc::kOutcomeUnknown,
             Outcome::kUnknown}}) {
    Fixture f;
    const auto claim =
        One<WantClaim>(f.entry.Handle(Arrival(1, false), kStart));
    const auto end =
        f.entry.Handle(ClaimAnswered{claim.request, expected.verdict}, kStart);
    CHECK(One<Finish>(end).code == expected.code);
    CHECK(One<Finish>(end).outcome == expected.outcome);
    CHECK(Only<RecordOutcome>(end).empty());
  }
}

TEST_CASE("a claim that is granted after the request ended is released") {
  Fixture f;
  const auto claim = One<WantClaim>(f.entry.Handle(Arrival(1, false), kStart));
  f.entry.Handle(Tick{}, kStart + seconds(30));
  const auto late = f.entry.Handle(
      ClaimAnswered{claim.request, ClaimVerdict::kClaimed}, kStart);
  CHECK(One<RecordOutcome>(late).outcome == Outcome::kNotRun);
  CHECK(Only<RequestGrant>(late).empty());
}

TEST_CASE("two crashes quarantine a request, while other requests still run") {
  Fixture f;
  RequestArrived suspect = Arrival(1);
  suspect.info.fingerprint = 666;
  f.Grant(f.entry.Handle(suspect, kStart));
  const TargetName first = f.target;
  const auto crash = f.entry.Handle(
      StreamFailed{f.attempt, Errc::kTargetFailed, false, true}, kStart);
  CHECK(One<ShareSuspect>(crash).evidence == CrashEvidence{666, first});
  f.Grant(f.entry.Handle(Tick{}, kStart + kBackoffMax));
  CHECK(f.target != first);
  const auto end =
      f.entry.Handle(StreamFailed{f.attempt, Errc::kTargetFailed, false, true},
                     kStart + kBackoffMax);
  CHECK(One<ShareSuspect>(end).evidence.target == f.target);
  const Time later = kStart + 3 * kBackoffMax;
  f.entry.Handle(Tick{}, later);
  CHECK(f.entry.open_requests() == 0);

  RequestArrived again = suspect;
  again.info.id.sequence = 2;
  const auto refused = f.entry.Handle(again, later);
  CHECK(One<Finish>(refused).code == Errc::kQuarantined);
  CHECK(One<Finish>(refused).retry_after > Duration::zero());
  f.Grant(f.entry.Handle(Arrival(3), later));

  f.entry.Handle(SuspectCleared{666}, later);
  again.info.id.sequence = 4;
  CHECK(Only<RequestGrant>(f.entry.Handle(again, later)).size() == 1);
}

TEST_CASE("a crash report from a peer ends a running request in quarantine") {
  Fixture f;
  RequestArrived suspect = Arrival(1);
  suspect.info.fingerprint = 666;
  f.Grant(f.entry.Handle(suspect, kStart));
  f.entry.Handle(SuspectReported{{666, {"x"}}}, kStart);
  const auto end = f.entry.Handle(SuspectReported{{666, {"y"}}}, kStart);
  CHECK(One<Finish>(end).code == Errc::kQuarantined);
  CHECK(One<Finish>(end).outcome != Outcome::kNotRun);
  CHECK(One<CancelAttempt>(end).attempt == f.attempt);
}

TEST_CASE(
    "a resumed request continues at its offset and cancels the old attempt") {
  Fixture f;
  RequestArrived resumed = Arrival(1);
  const AttemptId old{{{"dead"}, {1}, 9}, 1};
  resumed.resume = ResumePoint{old, {"e1"}, 100};
  const auto start = f.entry.Handle(resumed, kStart);
  CHECK(One<CancelAttempt>(start).attempt == old);
  f.Grant(start);
  const auto chunk = f.entry.Handle(ChunkArrived{f.attempt, 90, 20, 1}, kStart);
  CHECK(One<Forward>(chunk).skip == 10);
}

TEST_CASE("resuming a request that is not repeatable does not run it again") {
  Fixture f;
  RequestArrived resumed = Arrival(1, false);
  resumed.resume = ResumePoint{{{{"dead"}, {1}, 9}, 1}, {"e1"}, 100};
  const auto end = f.entry.Handle(resumed, kStart);
  CHECK(One<Finish>(end).outcome == Outcome::kUnknown);
  CHECK(Only<WantClaim>(end).empty());
}

TEST_CASE("after a stop new requests are refused and running ones continue") {
  Fixture f;
  f.Grant(f.entry.Handle(Arrival(1), kStart));
  f.entry.Handle(StopAdmitting{Errc::kDraining}, kStart);
  CHECK(One<Finish>(f.entry.Handle(Arrival(2), kStart)).code ==
        Errc::kDraining);
  CHECK(Only<Forward>(f.entry.Handle(ChunkArrived{f.attempt, 0, 4, 1}, kStart))
            .size() == 1);
}

TEST_CASE("a request that may outlast a planned stop is taken") {
  constexpr Time kAnswerBy = kStart + seconds(20);
  struct Case {
    const char* what;
    bool repeatable;
    std::uint32_t output_tokens;
    Duration since_start;
    Duration deadline;
    bool is_taken;
  };
  const Case cases[] = {
      {"brief", true, 100, seconds(0), seconds(60), true},
      {"brief, near the end", true, 100, seconds(15), seconds(60), false},
      {"long", true, 1'000, seconds(0), seconds(60), false},
      {"long, ended by its deadline", true, 1'000, seconds(0), seconds(20),
       true},
      {"runs once", false, 100, seconds(0), seconds(21), false},
      {"runs once, in time", false, 100, seconds(0), seconds(20), true},
      {"without estimate", true, 0, seconds(0), seconds(21), false},
  };
  for (const Case& late : cases) {
    CAPTURE(late.what);
    Fixture f;
    f.entry.Handle(StopBegan{kAnswerBy}, kStart);
    RequestArrived arrival = Arrival(1, late.repeatable);
    arrival.info.max_output_tokens = late.output_tokens;
    arrival.info.arrival = kStart + late.since_start;
    arrival.info.deadline = arrival.info.arrival + late.deadline;
    const auto finishes =
        Only<Finish>(f.entry.Handle(arrival, arrival.info.arrival));
    CHECK(finishes.empty() == late.is_taken);
    if (finishes.empty()) continue;
    CHECK(finishes.front().code == Errc::kDraining);
    CHECK(finishes.front().outcome == Outcome::kNotRun);
    CHECK(finishes.front().retry_after > Duration::zero());
  }
}

TEST_CASE("requests that are open at the end of a planned stop get no answer") {
  constexpr Duration kStopTime = seconds(10);
  Fixture f;
  f.Grant(f.entry.Handle(Arrival(1), kStart));
  f.entry.Handle(ChunkArrived{f.attempt, 0, 4, 1}, kStart);
  f.Grant(f.entry.Handle(Arrival(2), kStart));
  const auto claim = One<WantClaim>(f.entry.Handle(Arrival(3, false), kStart));
  f.Grant(f.entry.Handle(ClaimAnswered{claim.request, ClaimVerdict::kClaimed},
                         kStart));
  f.entry.Handle(Arrival(4), kStart);
  f.entry.Handle(StopBegan{kStart + kStopTime}, kStart);
  // Heartbeats keep the streams from being taken for silent.
  for (Time now = kStart; now < kStart + kStopTime - seconds(1);
       now += seconds(1)) {
    for (std::uint64_t i = 1; i <= 3; ++i) {
      const AttemptId attempt{{{"h"}, {1}, i}, 1};
      f.entry.Handle(StreamHeartbeat{attempt}, now);
    }
    CHECK(Only<Finish>(f.entry.Handle(Tick{}, now)).empty());
  }
  const auto ended = f.entry.Handle(Tick{}, kStart + kStopTime);
  const auto finishes = Only<Finish>(ended);
  REQUIRE(finishes.size() == 4);
  const Outcome outcomes[] = {Outcome::kFailed, Outcome::kUnknown,
                              Outcome::kUnknown, Outcome::kNotRun};
  for (std::size_t i = 0; i < finishes.size(); ++i) {
    CHECK(finishes[i].request.sequence == i + 1);
    CHECK(finishes[i].code == Errc::kDraining);
    CHECK(finishes[i].outcome == outcomes[i]);
  }
  CHECK(Only<CancelAttempt>(ended).size() == 3);
  CHECK(One<RecordOutcome>(ended).outcome == Outcome::kUnknown);
  CHECK(f.entry.open_requests() == 0);
  CHECK(One<Finish>(f.entry.Handle(Arrival(5), kStart + kStopTime)).code ==
        Errc::kDraining);
}

TEST_CASE("a host that stops admits requests again after it was cut off") {
  Fixture f;
  f.entry.Handle(StopAdmitting{Errc::kCutOff}, kStart);
  f.entry.Handle(StopAdmitting{Errc::kDraining}, kStart);
  f.entry.Handle(StopAdmitting{Errc::kCutOff}, kStart);
  f.entry.Handle(ResumeAdmitting{}, kStart);
  CHECK(One<Finish>(f.entry.Handle(Arrival(1), kStart)).code ==
        Errc::kDraining);
}

TEST_CASE("a silent target is given up without budget for another attempt") {
  Fixture f;
  EntrySettings settings;
  settings.retry = {.per_success = 0, .capacity = 0};
  f.entry = Entry(settings);
  f.entry.Handle(TargetUpdated{Engine("e1")}, kStart);
  f.entry.Handle(TargetUpdated{Engine("e2")}, kStart);
  f.Grant(f.entry.Handle(Arrival(1), kStart));
  for (Time now = kStart; now < kStart + seconds(5); now += milliseconds(10)) {
    CHECK(Only<Finish>(f.entry.Handle(Tick{}, now)).empty());
  }
  const auto end =
      f.entry.Handle(StreamEnded{f.attempt, 0}, kStart + seconds(5));
  CHECK(One<Finish>(end).outcome == Outcome::kDone);
}

TEST_CASE("a closed target gets no new work") {
  Fixture f;
  f.entry.Handle(TargetClosed{{"e1"}}, kStart);
  for (std::uint64_t i = 1; i <= 8; ++i) {
    CHECK(One<RequestGrant>(f.entry.Handle(Arrival(i), kStart)).target.value ==
          "e2");
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

TEST_CASE(
    "a stale target list does not reopen a target, but its restart does") {
  Entry entry{EntrySettings()};
  entry.Handle(TargetUpdated{Engine("e1")}, kStart);
  entry.Handle(LoadReported{{.target = {"e1"}, .epoch = 5, .sequence = 1}},
               kStart);
  const auto closing = entry.Handle(
      LoadReported{
          {.target = {"e1"}, .epoch = 5, .sequence = 2, .closing = true}},
      kStart);
  CHECK(Only<ShareClosed>(closing).size() == 1);
  entry.Handle(TargetUpdated{Engine("e1")}, kStart);
  entry.Handle(LoadReported{{.target = {"e1"}, .epoch = 5, .sequence = 3}},
               kStart);
  auto commands = entry.Handle(Arrival(1), kStart);
  CHECK(Only<RequestGrant>(commands).empty());
  entry.Handle(LoadReported{{.target = {"e1"}, .epoch = 6, .sequence = 1}},
               kStart);
  commands = entry.Handle(Arrival(2), kStart);
  const auto later = entry.Handle(Tick{}, kStart + milliseconds(10));
  commands.insert(commands.end(), later.begin(), later.end());
  CHECK_FALSE(Only<RequestGrant>(commands).empty());
}

TEST_CASE("a long prompt is served by a service with a single engine") {
  Entry entry{EntrySettings{}};
  entry.Handle(TargetUpdated{Engine("only")}, kStart);
  RequestArrived event = Arrival(1);
  event.info.prompt_tokens = 225'000;
  CHECK(One<RequestGrant>(entry.Handle(event, kStart)).target.value == "only");
}

TEST_CASE("a prompt that needs all engines of a service gets them as a gang") {
  Fixture f;
  RequestArrived event = Arrival(1);
  event.info.prompt_tokens = 800'000;
  auto commands = f.entry.Handle(event, kStart);
  std::vector<TargetName> requested_targets;
  for (int i = 0; i < 2; ++i) {
    const auto request = One<RequestGrant>(commands);
    requested_targets.push_back(request.target);
    CHECK(request.kv_tokens * 2 >= 800'000);
    commands = f.entry.Handle(
        GrantAnswered{request.attempt, request.target, GrantReply::kGranted},
        kStart);
  }
  CHECK(requested_targets == std::vector<TargetName>{{"e1"}, {"e2"}});
  CHECK(One<OpenStream>(commands).targets.size() == 2);
}

TEST_CASE("a prompt that fits into no gang of the service is refused at once") {
  Fixture f;
  RequestArrived event = Arrival(1);
  event.info.prompt_tokens = 1'300'000;
  const auto end = f.entry.Handle(event, kStart);
  CHECK(One<Finish>(end).code == Errc::kPromptTooLong);
  CHECK(One<Finish>(end).outcome == Outcome::kNotRun);
}

TEST_CASE("a connection that breaks before any answer leaves outcome unknown") {
  Fixture f;
  const auto claim = One<WantClaim>(f.entry.Handle(Arrival(1, false), kStart));
  f.Grant(f.entry.Handle(ClaimAnswered{claim.request, ClaimVerdict::kClaimed},
                         kStart));
  SUBCASE("broken") {
    const auto end = f.entry.Handle(
        StreamFailed{f.attempt, Errc::kTargetFailed, false, true}, kStart);
    CHECK(One<Finish>(end).outcome == Outcome::kUnknown);
  }
  SUBCASE("error reply of the target") {
    const auto end = f.entry.Handle(
        StreamFailed{f.attempt, Errc::kTargetFailed, false, false}, kStart);
    CHECK(One<Finish>(end).outcome == Outcome::kFailed);
  }
}
