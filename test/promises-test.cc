// The guarantees of attempts, retries, quarantine, sweeps, drains and resume
// tokens, each tested on its own.
#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>

#include "comfreyflow/attempt.h"
#include "comfreyflow/drain.h"
#include "comfreyflow/poison.h"
#include "comfreyflow/resume.h"
#include "comfreyflow/retry.h"
#include "comfreyflow/sweep.h"

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

namespace {

const Time kStart{1h};

RequestInfo Request(bool repeatable) {
  RequestInfo info;
  info.id = {{"h"}, {1}, 7};
  info.arrival = kStart;
  info.deadline = kStart + 10s;
  info.repeatable = repeatable;
  return info;
}

AttemptId Run(Attempt& attempt, Time now) {
  const AttemptId id = attempt.Begin(now);
  CHECK(attempt.Dispatch(now).action == AttemptAction::kNone);
  attempt.On(StreamOpened{id}, now);
  return id;
}

std::size_t Cancels(const SweepCommands& commands) {
  return static_cast<std::size_t>(std::count_if(
      commands.begin(), commands.end(), [](const SweepCommand& command) {
        return std::holds_alternative<CancelOnTarget>(command);
      }));
}

AttemptId Listed(const std::string& host, std::uint64_t incarnation) {
  return {{{host}, {incarnation}, 1}, 1};
}

AttemptsListed ListOf(const AttemptId& id, Duration expires_in = 1min) {
  return {1, {{id, 100, expires_in}}};
}

}  // namespace

TEST_CASE("bytes are forwarded once, in order, from the current attempt") {
  Attempt attempt(Request(true), 0);
  const AttemptId first = Run(attempt, kStart);
  CHECK(attempt.On(ChunkArrived{first, 0, 10, 1}, kStart).action ==
        AttemptAction::kForward);
  CHECK(attempt.On(ChunkArrived{first, 0, 10, 1}, kStart).action ==
        AttemptAction::kNone);
  const AttemptStep overlap = attempt.On(ChunkArrived{first, 5, 10, 1}, kStart);
  CHECK(overlap.action == AttemptAction::kForward);
  CHECK(overlap.skip == 5);
  CHECK(attempt.On(ChunkArrived{first, 20, 5, 1}, kStart).action ==
        AttemptAction::kRetry);
  const AttemptId second = Run(attempt, kStart);
  CHECK(attempt.On(ChunkArrived{first, 15, 5, 1}, kStart).action ==
        AttemptAction::kNone);
  CHECK(attempt.delivered() == 15);
  CHECK(attempt.On(ChunkArrived{second, 15, 5, 1}, kStart).action ==
        AttemptAction::kForward);
  const AttemptStep end = attempt.On(StreamEnded{second, 20, 0, 0, 0}, kStart);
  CHECK(end.action == AttemptAction::kSettle);
  CHECK(end.outcome == Outcome::kDone);
  CHECK(attempt.On(ChunkArrived{second, 20, 5, 1}, kStart).action ==
        AttemptAction::kNone);
}

TEST_CASE("a stream that ends before its last byte is no complete answer") {
  Attempt attempt(Request(false), 0);
  const AttemptId id = Run(attempt, kStart);
  attempt.On(ChunkArrived{id, 0, 10, 1}, kStart);
  const AttemptStep end = attempt.On(StreamEnded{id, 30, 0, 0, 0}, kStart);
  CHECK(end.action == AttemptAction::kSettle);
  CHECK(end.outcome == Outcome::kFailed);
}

TEST_CASE("a request is reported as not run only if no attempt ran it") {
  SUBCASE("nothing dispatched") {
    Attempt attempt(Request(false), 0);
    CHECK(attempt.Check(kStart + 10s).outcome == Outcome::kNotRun);
  }
  SUBCASE("dispatched, and it is not known whether a byte was sent") {
    Attempt attempt(Request(false), 0);
    attempt.Begin(kStart);
    attempt.Dispatch(kStart);
    CHECK(attempt.Check(kStart + 10s).outcome == Outcome::kUnknown);
  }
  SUBCASE("an earlier attempt may have run") {
    Attempt attempt(Request(true), 0);
    const AttemptId first = Run(attempt, kStart);
    CHECK(attempt
              .On(StreamFailed{first, Errc::kTargetFailed, false, true}, kStart)
              .action == AttemptAction::kRetry);
    const AttemptId second = Run(attempt, kStart);
    attempt.On(StreamFailed{second, Errc::kTargetUnreachable, true, false},
               kStart);
    CHECK(attempt.GiveUp(Errc::kNoTarget).outcome != Outcome::kNotRun);
  }
  SUBCASE("the target reports it after content was received") {
    Attempt attempt(Request(false), 0);
    const AttemptId id = Run(attempt, kStart);
    attempt.On(ChunkArrived{id, 0, 1, 1}, kStart);
    CHECK(
        attempt.On(StreamFailed{id, Errc::kTargetRefused, true, false}, kStart)
            .outcome == Outcome::kFailed);
  }
}

TEST_CASE(
    "a request that is not repeatable is retried only if no byte was sent") {
  Attempt unsent(Request(false), 0);
  const AttemptId id = unsent.Begin(kStart);
  unsent.Dispatch(kStart);
  CHECK(
      unsent.On(StreamFailed{id, Errc::kTargetUnreachable, true, false}, kStart)
          .action == AttemptAction::kRetry);
  Attempt sent(Request(false), 0);
  const AttemptId other = Run(sent, kStart);
  const AttemptStep refused =
      sent.On(StreamFailed{other, Errc::kTargetRefused, true, false}, kStart);
  CHECK(refused.action == AttemptAction::kSettle);
  CHECK(refused.outcome == Outcome::kNotRun);
  Attempt broken(Request(false), 0);
  const AttemptId third = Run(broken, kStart);
  CHECK(broken.On(StreamFailed{third, Errc::kTargetFailed, false, true}, kStart)
            .action == AttemptAction::kSettle);
}

TEST_CASE("a host that was paused past a deadline does not dispatch") {
  Attempt attempt(Request(false), 0);
  attempt.Begin(kStart);
  const AttemptStep step = attempt.Dispatch(kStart + 1h);
  CHECK(step.action == AttemptAction::kSettle);
  CHECK(step.outcome == Outcome::kNotRun);
}

TEST_CASE(
    "an unresponsive target ends an attempt, but a pause of the local host "
    "does "
    "not") {
  Attempt attempt(Request(true), 0);
  Run(attempt, kStart);
  CHECK(attempt.Check(kStart + 5s).action == AttemptAction::kNone);
  Time now = kStart + 5s;
  AttemptStep step;
  while (step.action == AttemptAction::kNone) step = attempt.Check(now += 10ms);
  CHECK(step.action == AttemptAction::kRetry);
  CHECK(step.code == Errc::kTargetUnresponsive);
  CHECK(now == kStart + 8s);
}

TEST_CASE("silence ends an attempt that no other one may follow") {
  Attempt attempt(Request(false), 0);
  const AttemptId id = Run(attempt, kStart);
  for (Time now = kStart; now < kStart + 9s; now += 10ms) {
    CHECK(attempt.Check(now).action == AttemptAction::kNone);
  }
  CHECK(attempt.On(ChunkArrived{id, 0, 10, 1}, kStart + 9s).action ==
        AttemptAction::kForward);
  const AttemptStep end = attempt.Check(kStart + 10s);
  CHECK(end.action == AttemptAction::kSettle);
  CHECK(end.code == Errc::kDeadlineExceeded);
}

TEST_CASE("retries stay within their budget and prefer other failure domains") {
  RetryBudget budget({0.1, 2});
  CHECK(budget.Take());
  CHECK(budget.Take());
  CHECK_FALSE(budget.Take());
  for (int i = 0; i < 11; ++i) budget.Succeeded();
  CHECK(budget.Take());
  CHECK_FALSE(budget.Take());
  const std::vector<RetryCandidate> all = {
      {{"t1"}, {"a"}}, {{"t2"}, {"a"}}, {{"t3"}, {"b"}}};
  const auto order = RetryOrder(all, {all[0]});
  REQUIRE(order.size() == 2);
  CHECK(order[0].target.value == "t3");
  CHECK(order[1].target.value == "t2");
  std::mt19937_64 random(1);
  for (std::uint32_t retry = 1; retry < 40; ++retry) {
    const Duration wait = Backoff(retry, random);
    CHECK(wait <= kBackoffMax);
    CHECK(wait >= kBackoffBase / 2);
  }
}

TEST_CASE(
    "two crashes quarantine a fingerprint, but one is cleared by a completed "
    "request") {
  Poison poison;
  CHECK(poison.TargetCrashed({"t1"}, {1, 2}, kStart).size() == 2);
  CHECK(poison.Decide(1, kStart) == PoisonDecision::kIsolated);
  CHECK(poison.Decide(3, kStart) == PoisonDecision::kAllowed);
  poison.Finished(2);
  CHECK(poison.Decide(2, kStart) == PoisonDecision::kAllowed);
  // A repeated report of the same crash is not counted again.
  CHECK_FALSE(poison.AddEvidence({1, {"t1"}}, kStart));
  CHECK(poison.Decide(1, kStart) == PoisonDecision::kIsolated);
  CHECK(poison.AddEvidence({1, {"t2"}}, kStart));
  CHECK(poison.Decide(1, kStart) == PoisonDecision::kQuarantined);
  poison.Finished(1);
  CHECK(poison.Decide(1, kStart) == PoisonDecision::kQuarantined);
  CHECK(poison.Remaining(1, kStart) == 15min);
  CHECK(poison.Decide(1, kStart + 15min) == PoisonDecision::kAllowed);
  poison.Clear(1);
  CHECK(poison.Decide(1, kStart) == PoisonDecision::kAllowed);
}

TEST_CASE("the number of remembered fingerprints is bounded") {
  PoisonSettings settings;
  settings.max_fingerprints = 10;
  Poison poison(settings);
  for (std::uint64_t i = 0; i < 100; ++i)
    poison.AddEvidence({i, {"t"}}, kStart + std::chrono::seconds(i));
  CHECK(poison.size() == 10);
  CHECK(poison.Decide(99, kStart + 99s) == PoisonDecision::kIsolated);
}

TEST_CASE(
    "a sweep repeats the cancelling of orphaned attempts until they end") {
  Sweep sweep;
  const AttemptId old = Listed("h", 1);
  sweep.Handle(OwnerAlive{{"h"}, {1}}, kStart);
  CHECK(Cancels(sweep.Handle(ListOf(old), kStart)) == 0);
  sweep.Handle(OwnerAlive{{"h"}, {2}}, kStart + 1s);
  CHECK(Cancels(sweep.Handle(ListOf(old), kStart + 15s)) == 0);
  CHECK(Cancels(sweep.Handle(ListOf(old), kStart + 16s)) == 1);
  CHECK(Cancels(sweep.Handle(ListOf(old), kStart + 17s)) == 1);
  CHECK(sweep.cancelling() == 1);
  sweep.Handle(AttemptsListed{1, {}}, kStart + 18s);
  CHECK(sweep.cancelling() == 0);
}

TEST_CASE("a sweep keeps the streams of live hosts whatever gossip reports") {
  Sweep sweep;
  const AttemptId live = Listed("h", 5);
  sweep.Handle(OwnerAlive{{"h"}, {5}}, kStart);
  sweep.Handle(ListOf(live), kStart);
  sweep.Handle(OwnerLost{{"h"}, {5}}, kStart + 1s);
  sweep.Handle(OwnerAnswered{{"h"}, {5}, {}}, kStart + 10s);
  CHECK(Cancels(sweep.Handle(ListOf(live), kStart + 40s)) == 0);
  CHECK(Cancels(sweep.Handle(OwnerAnswered{{"h"}, {4}, {live}},
                             kStart + 41s)) == 0);
  CHECK(Cancels(sweep.Handle(OwnerAnswered{{"h"}, {5}, {live}},
                             kStart + 42s)) == 1);
}

TEST_CASE("a sweep cancels expired attempts and those of unknown hosts") {
  Sweep sweep;
  CHECK(Cancels(sweep.Handle(ListOf(Listed("h", 1), 0s), kStart)) == 1);
  const AttemptId unknown_host_attempt = Listed("x", 1);
  CHECK(Cancels(sweep.Handle(ListOf(unknown_host_attempt), kStart)) == 0);
  CHECK(Cancels(sweep.Handle(SweepTick{}, kStart + 15s)) == 1);
}

TEST_CASE("a draining host accepts requests until its addresses have expired") {
  Drain drain;
  drain.AddressAnswerSent(kStart + 60s);
  CHECK(drain.Advance(3, kStart) == DrainPhase::kServing);
  drain.Stop(kStart + 50s, 2s, 30s, Time::max());
  CHECK_FALSE(drain.in_answers());
  CHECK(drain.Advance(3, kStart + 81s) == DrainPhase::kLeaving);
  CHECK(drain.accepts());
  CHECK(drain.Advance(1, kStart + 82s) == DrainPhase::kRefusing);
  CHECK_FALSE(drain.accepts());
  CHECK(drain.Advance(1, kStart + 1h) == DrainPhase::kRefusing);
  CHECK(drain.Advance(0, kStart + 2h) == DrainPhase::kDone);
}

TEST_CASE("a drain with open requests lasts beyond the time for it") {
  Drain drain;
  drain.Stop(kStart, 2s, 30s, kStart + 80s);
  CHECK(drain.Advance(1, kStart + 79s) == DrainPhase::kRefusing);
  CHECK(drain.Advance(1, kStart + 80s) == DrainPhase::kDone);
  Drain early;
  early.Stop(kStart, 2s, 30s, kStart + 10s);
  CHECK(early.Advance(1, kStart + 9s) == DrainPhase::kLeaving);
  CHECK(early.Advance(1, kStart + 10s) == DrainPhase::kDone);
}

TEST_CASE("a resume token is valid only for its account, body and lifetime") {
  const WallTime now{std::chrono::milliseconds(1'000'000)};
  const ResumeToken token{Listed("h~x", 3), {"acc.ount"}, {"t-1"}, 42, 17,
                          now + 15s};
  const std::string text = SignResumeToken(token, "key");
  ResumeToken read;
  CHECK_FALSE(VerifyResumeToken(text, "key", {"acc.ount"}, 42, now, read));
  CHECK(read.attempt == token.attempt);
  CHECK(read.offset == 17);
  CHECK(read.target == token.target);
  CHECK(VerifyResumeToken(text, "key", {"other"}, 42, now, read) ==
        Errc::kResumeTokenInvalid);
  CHECK(VerifyResumeToken(text, "key", {"acc.ount"}, 43, now, read) ==
        Errc::kResumeTokenInvalid);
  CHECK(VerifyResumeToken(text, "kez", {"acc.ount"}, 42, now, read) ==
        Errc::kResumeTokenInvalid);
  CHECK(VerifyResumeToken(text, "key", {"acc.ount"}, 42, now + 15s, read) ==
        Errc::kResumeTokenExpired);
  CHECK(SignResumeToken(token, "").empty());
  for (std::size_t i = 0; i < text.size(); ++i) {
    std::string bad = text;
    bad[i] = bad[i] == 'A' ? 'B' : 'A';
    // The last digit of each part encodes bits beyond the last byte, which are
    // ignored.
    const bool has_unused_bits = i + 1 == text.size() || text[i + 1] == '.';
    const auto error =
        VerifyResumeToken(bad, "key", {"acc.ount"}, 42, now, read);
    if (!has_unused_bits) CHECK(error == Errc::kResumeTokenInvalid);
    CHECK(VerifyResumeToken(text.substr(0, i), "key", {"acc.ount"}, 42, now,
                            read) == Errc::kResumeTokenInvalid);
  }
}
