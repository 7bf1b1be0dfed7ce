/// Lookups that are at a silent target and at another one while one of these
/// copies a refusal.
#pragma once

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>

#include "platform/copying-target.h"

namespace comfreyflow::platform {

inline constexpr std::chrono::milliseconds kSilence{2500};
/// The silent target answers later.
inline constexpr std::chrono::milliseconds kInTime{2200};

inline CopyingTarget::Behaviour CopyingLate(CopyTime time,
                                            std::chrono::milliseconds delay,
                                            std::chrono::milliseconds run_time,
                                            bool names_request = true) {
  CopyingTarget::Behaviour out;
  out.time = time;
  out.delay = delay;
  out.run_time = run_time;
  out.names_request = names_request;
  return out;
}

/// Sends the lookup of that id.
inline std::shared_ptr<Answer> Look(Site& site, std::size_t host,
                                    const std::string& id) {
  return site.Send(host, "GET", "/safe/1", {{"x-request-id", id}});
}

inline int Status(Site& site, const std::shared_ptr<Answer>& answer) {
  REQUIRE(site.Until([&] { return answer->ended; }));
  return answer->response.status;
}

/// The target refused a lookup, is silent for the next one, and writes the copy
/// when that is at another target as well.
inline void CheckCopyOfParked(const std::string& next_id,
                              bool names_request = true) {
  RunsOf runs;
  Site site;
  CopyingTarget silent(
      site, "app", "i1", runs,
      CopyingLate(CopyTime::kAfterDelay, std::chrono::milliseconds(1000),
                  kSilence, names_request),
      RefusesFirst());
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  REQUIRE(Status(site, Look(site, host, "lookup")) == 503);
  silent.SetDecision(RefusesNothing());
  const auto begin = std::chrono::steady_clock::now();
  const auto answer = Look(site, host, next_id);
  REQUIRE(site.Until([&] { return silent.requests() == 2; }));
  const CopyingTarget other(
      site, "app", "i2", runs,
      CopyingLate(CopyTime::kAtOnce, {}, std::chrono::milliseconds(800)),
      RefusesNothing());
  REQUIRE(site.Until([&] { return other.requests() == 1; }));
  REQUIRE(silent.copies() == 0);
  CHECK(Status(site, answer) == 200);
  CHECK(std::chrono::steady_clock::now() - begin < kInTime);
  CHECK(other.requests() == 1);
  REQUIRE(silent.copies() == 1);
}

/// The target that gets the lookup beside the silent one refused one before.
inline void CheckCopyBeside(const std::string& next_id,
                            bool names_request = true) {
  RunsOf runs;
  Site site;
  CopyingTarget other(site, "app", "i2", runs,
                      CopyingLate(CopyTime::kWithAnswer, {}, {}, names_request),
                      RefusesFirst());
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  REQUIRE(Status(site, Look(site, host, "lookup")) == 503);
  other.SetDecision(RefusesNothing());
  site.store().Remove("servers", "i2");
  const CopyingTarget silent(site, "app", "i1", runs,
                             CopyingLate(CopyTime::kAtOnce, {}, kSilence),
                             RefusesNothing());
  Pause(site, std::chrono::milliseconds(300));
  const auto begin = std::chrono::steady_clock::now();
  const auto answer = Look(site, host, next_id);
  REQUIRE(site.Until([&] { return silent.requests() == 1; }));
  site.store().Put("servers", "i2",
                   SampleEntry("app", other.address(), "z1", "ready"));
  CHECK(Status(site, answer) == 200);
  CHECK(std::chrono::steady_clock::now() - begin < kInTime);
  REQUIRE(other.requests() == 2);
}

}  // namespace comfreyflow::platform
