// Steward: grants of a target's memory and slots, and how they end.
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

ReservationRequest Request(std::uint64_t sequence, std::uint64_t kv,
                           Duration max_wait = {}, std::uint32_t prefill = 0) {
  ReservationRequest request;
  request.attempt = Id(sequence);
  request.account = {"a" + std::to_string(sequence)};
  request.kv_tokens = kv;
  request.prefill_tokens = prefill;
  request.max_wait = max_wait;
  request.expires = Time{} + seconds(100);
  return request;
}

GrantReply Reply(const StewardResult& result) {
  return result.answers.at(0).reply;
}

TEST_CASE("memory is never granted twice") {
  Steward steward(Engine());
  CHECK(Reply(steward.Reserve(Request(1, 60'000), Time{})) ==
        GrantReply::kGranted);
  CHECK(Reply(steward.Reserve(Request(1, 60'000), Time{})) ==
        GrantReply::kGranted);
  CHECK(steward.kv_granted() == 60'000);
  CHECK(Reply(steward.Reserve(Request(2, 60'000), Time{})) ==
        GrantReply::kRefused);
  steward.Release(Id(1), Time{});
  steward.Release(Id(1), Time{});
  CHECK(steward.kv_granted() == 0);
  CHECK(Reply(steward.Reserve(Request(2, 60'000), Time{})) ==
        GrantReply::kGranted);
}

TEST_CASE("a request is refused if the wait exceeds its maximum") {
  Steward steward(Engine());
  steward.Reserve(Request(1, 10'000, {}, 50'000), Time{});
  const auto refused =
      steward.Reserve(Request(2, 1'000, milliseconds(5), 500), {});
  CHECK(Reply(refused) == GrantReply::kRefused);
  CHECK(refused.answers[0].retry_after > milliseconds(500));
  steward.PrefillDone(Id(1), Time{} + milliseconds(300));
  CHECK(Reply(steward.Reserve(Request(2, 1'000, milliseconds(5), 500),
                              Time{} + milliseconds(300))) ==
        GrantReply::kGranted);
}

TEST_CASE("a queued request is not starved by later requests") {
  Steward steward(Engine());
  steward.Reserve(Request(1, 50'000), Time{});
  steward.Reserve(Request(2, 50'000), Time{});
  CHECK(Reply(steward.Reserve(Request(3, 90'000, seconds(20)), Time{})) ==
        GrantReply::kQueued);
  const Time later = Time{} + seconds(1);
  CHECK(steward.Release(Id(1), later).answers.empty());
  // The memory would suffice, but is held back for the queued request. Small
  // requests are still granted.
  CHECK(Reply(steward.Reserve(Request(4, 45'000), later)) ==
        GrantReply::kRefused);
  CHECK(Reply(steward.Reserve(Request(5, 1'000), later)) ==
        GrantReply::kGranted);
  steward.Release(Id(5), later);
  const auto result = steward.Release(Id(2), later);
  CHECK(result.answers.at(0).attempt == Id(3));
  CHECK(Reply(result) == GrantReply::kGranted);
}

TEST_CASE("memory is held back for a queued request only for a limited time") {
  Steward steward(Engine());
  steward.Reserve(Request(1, 50'000), Time{});
  steward.Reserve(Request(2, 90'000, seconds(50)), Time{});
  CHECK(Reply(steward.Reserve(Request(3, 45'000), Time{} + seconds(5))) ==
        GrantReply::kRefused);
  CHECK(Reply(steward.Reserve(Request(3, 45'000), Time{} + seconds(11))) ==
        GrantReply::kGranted);
}

TEST_CASE("a new steward rebuilds its grants from the target's list") {
  Steward steward(Engine());
  steward.Listed(1, {{Id(1), 80'000, seconds(9)}}, Time{});
  CHECK(steward.kv_granted() == 80'000);
  CHECK(Reply(steward.Reserve(Request(2, 30'000), Time{})) ==
        GrantReply::kRefused);
  steward.Listed(1, {}, Time{} + seconds(1));
  CHECK(steward.kv_granted() == 0);
}

TEST_CASE("a grant that the target never lists lapses, a listed one does not") {
  Steward steward(Engine());
  steward.Reserve(Request(1, 10'000), Time{});
  steward.Reserve(Request(2, 10'000), Time{});
  steward.Listed(1, {{Id(2), 10'000, seconds(50)}}, Time{} + seconds(1));
  CHECK(steward.granted() == 2);
  steward.Listed(1, {{Id(2), 10'000, seconds(50)}}, Time{} + seconds(6));
  CHECK(steward.granted() == 1);
}

TEST_CASE(
    "an expired attempt is cancelled until the target no longer lists it") {
  Steward steward(Engine());
  steward.Reserve(Request(1, 10'000), Time{});
  const Time after_expiry = Time{} + seconds(101);
  const std::vector<RunningAttempt> listed{{Id(1), 10'000, seconds(-1)}};
  CHECK(steward.Listed(1, listed, after_expiry).cancels.size() == 1);
  CHECK(steward.Listed(1, listed, after_expiry).cancels.size() == 1);
  CHECK(steward.granted() == 1);
  steward.Listed(1, {}, after_expiry);
  CHECK(steward.granted() == 0);
}

TEST_CASE(
    "nothing is granted on a closed target or while grants are suspended") {
  Steward steward(Engine());
  steward.SuspendGrants(Time{});
  CHECK(Reply(steward.Reserve(Request(1, 1'000), Time{})) ==
        GrantReply::kRefused);
  steward.Listed(1, {}, Time{});
  CHECK(Reply(steward.Reserve(Request(1, 1'000), Time{})) ==
        GrantReply::kGranted);
  steward.Reserve(Request(2, 100'000, seconds(20)), Time{});
  CHECK(Reply(steward.Close()) == GrantReply::kClosed);
  CHECK(Reply(steward.Reserve(Request(3, 1'000), Time{})) ==
        GrantReply::kClosed);
}

TEST_CASE("grants resume after a closing target has restarted") {
  Steward steward(Engine());
  TargetReport report{.target = {"e1"}, .epoch = 1, .sequence = 5};
  report.closing = true;
  steward.Reported(report, Time{});
  CHECK(Reply(steward.Reserve(Request(1, 1'000), Time{})) ==
        GrantReply::kClosed);
  report.closing = false;
  steward.Reported(report, Time{});
  CHECK(Reply(steward.Reserve(Request(2, 1'000), Time{})) ==
        GrantReply::kClosed);
  TargetReport restarted{.target = {"e1"}, .epoch = 2, .sequence = 1};
  steward.Reported(restarted, Time{});
  report.closing = true;
  steward.Reported(report, Time{});
  CHECK(Reply(steward.Reserve(Request(3, 1'000), Time{})) ==
        GrantReply::kGranted);
}

TEST_CASE("an account that floods a target does not displace other accounts") {
  TargetInfo info = Engine();
  info.kv_capacity = 0;
  info.max_running = 0;
  Steward steward(info);
  int granted = 0;
  int small_refused = 0;
  for (std::uint64_t i = 1; i <= 2'000; ++i) {
    const Time now = Time{} + milliseconds(10) * static_cast<int>(i);
    // The small account keeps its request rate; the flood starts after 5 s.
    ReservationRequest small = Request(2 * i, 1'000, seconds(9), 800);
    small.account = {"small"};
    if (i % 10 == 0 &&
        Reply(steward.Reserve(small, now)) != GrantReply::kGranted) {
      ++small_refused;
    }
    if (i < 500) continue;
    ReservationRequest flood = Request(2 * i + 1, 1'000, seconds(9), 1'000);
    flood.account = {"flood"};
    const auto result = steward.Reserve(flood, now);
    if (Reply(result) == GrantReply::kGranted) {
      ++granted;
    } else {
      CHECK(result.answers[0].retry_after == Duration::zero());
    }
  }
  CHECK(small_refused == 0);
  CHECK(granted > 100);
  CHECK(granted < 1'200);
}

}  // namespace
}  // namespace comfreyflow
