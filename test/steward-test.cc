// Grants of a target's memory and slots, and how they come back.
#include "comfreyflow/steward.h"

#include <doctest/doctest.h>

namespace comfreyflow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TargetInfo Engine() {
  TargetInfo info;
  info.name = {"e1"};
  info.kv_capacity = 100'000;
  info.max_running = 8;
  return info;
}

AttemptId Id(std::uint64_t sequence) { return {{{"h1"}, {1}, sequence}, 1}; }

ReservationRequest Ask(std::uint64_t sequence, std::uint64_t kv,
                       Duration max_wait = {}, std::uint32_t prefill = 0) {
  ReservationRequest ask;
  ask.attempt = Id(sequence);
  ask.account = {"a" + std::to_string(sequence)};
  ask.kv_tokens = kv;
  ask.prefill_tokens = prefill;
  ask.max_wait = max_wait;
  ask.expires = Time{} + seconds(100);
  return ask;
}

GrantReply Reply(const StewardResult& turn) { return turn.answers.at(0).reply; }

TEST_CASE("memory is never granted twice") {
  Steward steward(Engine());
  CHECK(Reply(steward.Reserve(Ask(1, 60'000), Time{})) == GrantReply::kGranted);
  CHECK(Reply(steward.Reserve(Ask(1, 60'000), Time{})) == GrantReply::kGranted);
  CHECK(steward.kv_granted() == 60'000);
  CHECK(Reply(steward.Reserve(Ask(2, 60'000), Time{})) == GrantReply::kRefused);
  steward.Release(Id(1), Time{});
  steward.Release(Id(1), Time{});
  CHECK(steward.kv_granted() == 0);
  CHECK(Reply(steward.Reserve(Ask(2, 60'000), Time{})) == GrantReply::kGranted);
}

TEST_CASE("an ask is refused past the wait it names") {
  Steward steward(Engine());
  steward.Reserve(Ask(1, 10'000, {}, 50'000), Time{});
  const auto refused = steward.Reserve(Ask(2, 1'000, milliseconds(5), 500), {});
  CHECK(Reply(refused) == GrantReply::kRefused);
  CHECK(refused.answers[0].retry_after > milliseconds(500));
  steward.PrefillDone(Id(1), Time{} + milliseconds(300));
  CHECK(Reply(steward.Reserve(Ask(2, 1'000, milliseconds(5), 500),
                              Time{} + milliseconds(300))) ==
        GrantReply::kGranted);
}

TEST_CASE("what has waited long is not starved by what came later") {
  Steward steward(Engine());
  steward.Reserve(Ask(1, 50'000), Time{});
  steward.Reserve(Ask(2, 50'000), Time{});
  CHECK(Reply(steward.Reserve(Ask(3, 90'000, seconds(20)), Time{})) ==
        GrantReply::kQueued);
  const Time later = Time{} + seconds(1);
  CHECK(steward.Release(Id(1), later).answers.empty());
  // Room for it, but it is kept for the one that waits; small work passes.
  CHECK(Reply(steward.Reserve(Ask(4, 45'000), later)) == GrantReply::kRefused);
  CHECK(Reply(steward.Reserve(Ask(5, 1'000), later)) == GrantReply::kGranted);
  steward.Release(Id(5), later);
  const auto turn = steward.Release(Id(2), later);
  CHECK(turn.answers.at(0).attempt == Id(3));
  CHECK(Reply(turn) == GrantReply::kGranted);
}

TEST_CASE("memory is not held back for ever") {
  Steward steward(Engine());
  steward.Reserve(Ask(1, 50'000), Time{});
  steward.Reserve(Ask(2, 90'000, seconds(50)), Time{});
  CHECK(Reply(steward.Reserve(Ask(3, 45'000), Time{} + seconds(5))) ==
        GrantReply::kRefused);
  CHECK(Reply(steward.Reserve(Ask(3, 45'000), Time{} + seconds(11))) ==
        GrantReply::kGranted);
}

TEST_CASE("a new steward learns what runs from the target's list") {
  Steward steward(Engine());
  steward.Listed(1, {{Id(1), 80'000, seconds(9)}}, Time{});
  CHECK(steward.kv_granted() == 80'000);
  CHECK(Reply(steward.Reserve(Ask(2, 30'000), Time{})) == GrantReply::kRefused);
  steward.Listed(1, {}, Time{} + seconds(1));
  CHECK(steward.kv_granted() == 0);
}

TEST_CASE("a grant that is never used lapses; a used one stays") {
  Steward steward(Engine());
  steward.Reserve(Ask(1, 10'000), Time{});
  steward.Reserve(Ask(2, 10'000), Time{});
  steward.Listed(1, {{Id(2), 10'000, seconds(50)}}, Time{} + seconds(1));
  CHECK(steward.granted() == 2);
  steward.Listed(1, {{Id(2), 10'000, seconds(50)}}, Time{} + seconds(6));
  CHECK(steward.granted() == 1);
}

TEST_CASE("work past its expiry is cancelled until the target drops it") {
  Steward steward(Engine());
  steward.Reserve(Ask(1, 10'000), Time{});
  const Time past = Time{} + seconds(101);
  const std::vector<RunningAttempt> listed{{Id(1), 10'000, seconds(-1)}};
  CHECK(steward.Listed(1, listed, past).cancels.size() == 1);
  CHECK(steward.Listed(1, listed, past).cancels.size() == 1);
  CHECK(steward.granted() == 1);
  steward.Listed(1, {}, past);
  CHECK(steward.granted() == 0);
}

TEST_CASE("a closed or suspected target is granted to nobody") {
  Steward steward(Engine());
  steward.SuspendGrants(Time{});
  CHECK(Reply(steward.Reserve(Ask(1, 1'000), Time{})) == GrantReply::kRefused);
  steward.Listed(1, {}, Time{});
  CHECK(Reply(steward.Reserve(Ask(1, 1'000), Time{})) == GrantReply::kGranted);
  steward.Reserve(Ask(2, 100'000, seconds(20)), Time{});
  CHECK(Reply(steward.Close()) == GrantReply::kClosed);
  CHECK(Reply(steward.Reserve(Ask(3, 1'000), Time{})) == GrantReply::kClosed);
}

TEST_CASE("a target that restarted and is not closing is granted again") {
  Steward steward(Engine());
  TargetReport report{.target = {"e1"}, .epoch = 1, .sequence = 5};
  report.closing = true;
  steward.Reported(report, Time{});
  CHECK(Reply(steward.Reserve(Ask(1, 1'000), Time{})) == GrantReply::kClosed);
  report.closing = false;
  steward.Reported(report, Time{});
  CHECK(Reply(steward.Reserve(Ask(2, 1'000), Time{})) == GrantReply::kClosed);
  TargetReport restarted{.target = {"e1"}, .epoch = 2, .sequence = 1};
  steward.Reported(restarted, Time{});
  report.closing = true;
  steward.Reported(report, Time{});
  CHECK(Reply(steward.Reserve(Ask(3, 1'000), Time{})) == GrantReply::kGranted);
}

TEST_CASE("an account that floods leaves room for the others") {
  TargetInfo info = Engine();
  info.kv_capacity = 0;
  info.max_running = 0;
  Steward steward(info);
  int granted = 0;
  int small_refused = 0;
  for (std::uint64_t i = 1; i <= 2'000; ++i) {
    const Time now = Time{} + milliseconds(10) * static_cast<int>(i);
    // The small account asks as it always did; the flood begins after 5 s.
    ReservationRequest small = Ask(2 * i, 1'000, seconds(9), 800);
    small.account = {"small"};
    if (i % 10 == 0 &&
        Reply(steward.Reserve(small, now)) != GrantReply::kGranted) {
      ++small_refused;
    }
    if (i < 500) continue;
    ReservationRequest flood = Ask(2 * i + 1, 1'000, seconds(9), 1'000);
    flood.account = {"flood"};
    const auto turn = steward.Reserve(flood, now);
    if (Reply(turn) == GrantReply::kGranted) {
      ++granted;
    } else {
      CHECK(turn.answers[0].retry_after == Duration::zero());
    }
  }
  CHECK(small_refused == 0);
  CHECK(granted > 100);
  CHECK(granted < 1'200);
}

}  // namespace
}  // namespace comfreyflow
