// Copies of refusals while a lookup is at a silent target and at another one.
#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "platform/copying-target.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

constexpr milliseconds kSilence{2500};
/// The silent target answers later.
constexpr milliseconds kInTime{2200};

CopyingTarget::Behaviour Copying(CopyTime time, milliseconds delay,
                                 milliseconds run_time) {
  CopyingTarget::Behaviour out;
  out.time = time;
  out.delay = delay;
  out.run_time = run_time;
  return out;
}

/// Sends the lookup of that id.
std::shared_ptr<Answer> Look(Site& site, std::size_t host,
                             const std::string& id) {
  return site.Send(host, "GET", "/safe/1", {{"x-request-id", id}});
}

int Status(Site& site, const std::shared_ptr<Answer>& answer) {
  REQUIRE(site.Until([&] { return answer->ended; }));
  return answer->response.status;
}

/// The target refused a lookup, is silent for the next one, and writes the copy
/// when that is at another target as well.
void CheckCopyOfParked(const std::string& next_id) {
  RunsOf runs;
  Site site;
  CopyingTarget silent(
      site, "app", "i1", runs,
      Copying(CopyTime::kAfterDelay, milliseconds(1000), kSilence),
      RefusesFirst());
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  REQUIRE(Status(site, Look(site, host, "lookup")) == 503);
  silent.SetDecision(RefusesNothing());
  const auto begin = Clock::now();
  const auto answer = Look(site, host, next_id);
  REQUIRE(site.Until([&] { return silent.requests() == 2; }));
  const CopyingTarget other(site, "app", "i2", runs,
                            Copying(CopyTime::kAtOnce, {}, milliseconds(800)),
                            RefusesNothing());
  REQUIRE(site.Until([&] { return other.requests() == 1; }));
  REQUIRE(silent.copies() == 0);
  CHECK(Status(site, answer) == 200);
  CHECK(Clock::now() - begin < kInTime);
  CHECK(other.requests() == 1);
  REQUIRE(silent.copies() == 1);
}

/// The target that gets the lookup beside the silent one refused one before.
void CheckCopyBeside(const std::string& next_id) {
  RunsOf runs;
  Site site;
  CopyingTarget other(site, "app", "i2", runs,
                      Copying(CopyTime::kWithAnswer, {}, {}), RefusesFirst());
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  REQUIRE(Status(site, Look(site, host, "lookup")) == 503);
  other.SetDecision(RefusesNothing());
  site.store().Remove("servers", "i2");
  const CopyingTarget silent(site, "app", "i1", runs,
                             Copying(CopyTime::kAtOnce, {}, kSilence),
                             RefusesNothing());
  Pause(site, milliseconds(300));
  const auto begin = Clock::now();
  const auto answer = Look(site, host, next_id);
  REQUIRE(site.Until([&] { return silent.requests() == 1; }));
  site.store().Put("servers", "i2",
                   SampleEntry("app", other.address(), "z1", "ready"));
  CHECK(Status(site, answer) == 200);
  CHECK(Clock::now() - begin < kInTime);
  REQUIRE(other.requests() == 2);
}

}  // namespace

TEST_CASE("the copy of its own refusal ends a lookup at a silent target") {
  CheckCopyOfParked("lookup");
}

TEST_CASE("the copy of another refusal ends a lookup at a silent target") {
  CheckCopyOfParked("next");
}

TEST_CASE(
    "the copy of its own refusal sends a lookup back to a silent target") {
  CheckCopyBeside("lookup");
}

TEST_CASE(
    "the copy of another refusal sends a lookup back to a silent target") {
  CheckCopyBeside("next");
}
