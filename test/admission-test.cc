// Which requests admission refuses, and for which reason.
#include "comfreyflow/admission.h"

#include <doctest/doctest.h>

namespace comfreyflow {
namespace {

using std::chrono::seconds;

RequestInfo Make(std::uint64_t sequence, Urgency urgency = Urgency::kNormal) {
  RequestInfo info;
  info.id = {{"h1"}, {1}, sequence};
  info.account = {"a"};
  info.urgency = urgency;
  info.prompt_tokens = 900;
  info.max_output_tokens = 100;
  info.deadline = Time{} + seconds(60);
  return info;
}

TEST_CASE("the token rate of an account is limited over time") {
  Admission admission;
  AccountLimit limit;
  limit.tokens_per_second = 1'000;
  limit.burst_tokens = 2'000;
  admission.SetLimit({"a"}, limit, Time{});
  CHECK(admission.Arrived(Make(1), {}, Time{}).admitted());
  CHECK(admission.Arrived(Make(2), {}, Time{}).admitted());
  const auto refused = admission.Arrived(Make(3), {}, Time{});
  CHECK(refused.code == Errc::kRateLimited);
  CHECK(refused.retry_after == seconds(1));
  CHECK(admission.Arrived(Make(3), {}, Time{} + seconds(1)).admitted());
}

TEST_CASE("tokens in use are returned once when a request ends") {
  Admission admission;
  AccountLimit limit;
  limit.concurrent_tokens = 1'500;
  admission.SetLimit({"a"}, limit, Time{});
  CHECK(admission.Arrived(Make(1), {}, Time{}).admitted());
  CHECK(admission.Arrived(Make(2), {}, Time{}).code ==
        Errc::kConcurrencyLimited);
  admission.Ended(Make(1).id);
  admission.Ended(Make(1).id);
  CHECK(admission.Arrived(Make(2), {}, Time{}).admitted());
  CHECK(admission.open() == 1);
}

TEST_CASE("under overload the least urgent requests are refused first") {
  Admission admission;
  LoadView load;
  load.queue_wait = seconds(7);
  const Time now{};
  CHECK(admission.Arrived(Make(1, Urgency::kLow), load, now).code ==
        Errc::kOverloaded);
  CHECK(admission.Arrived(Make(2, Urgency::kNormal), load, now).admitted());
  load.queue_wait = seconds(15);
  CHECK(admission.Arrived(Make(3, Urgency::kNormal), load, now).code ==
        Errc::kOverloaded);
  CHECK(admission.Arrived(Make(4, Urgency::kHigh), load, now).admitted());
}

TEST_CASE("a deadline that is infeasible at the learned rates is refused") {
  Admission admission;
  LoadView load;
  load.uncached_tokens = 1'000'000;
  RequestInfo info = Make(1);
  info.deadline = Time{} + seconds(5);
  CHECK(admission.Arrived(info, load, Time{}).code ==
        Errc::kDeadlineInfeasible);
  // The deadline is feasible if engines are ten times as fast as assumed at
  // first.
  for (int i = 0; i < 400; ++i) {
    admission.rates().ObservePrefill(1'000'000,
                                     std::chrono::milliseconds(1'350));
  }
  CHECK(admission.Arrived(info, load, Time{}).admitted());
}

}  // namespace
}  // namespace comfreyflow
