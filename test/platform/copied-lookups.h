/// Lookups, which may run twice, while a target copies a refusal, and what is
/// believed of the target afterwards.
#pragma once

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <utility>

#include "platform/copying-target.h"

namespace comfreyflow::platform {

inline CopyingTarget::Behaviour Copying(CopyTime time, bool names_request) {
  CopyingTarget::Behaviour out;
  out.time = time;
  out.names_request = names_request;
  return out;
}

/// Refuses its first request.
inline CopyingTarget::Decision RefusesOne(const std::string& refusal) {
  return [refusal, asked = 0](const std::string&, int) mutable {
    return ++asked == 1 ? refusal : std::string();
  };
}

/// A target that refuses its first lookup, and a sound one.
struct Lookups {
  Lookups(const std::string& refusal, CopyTime time, bool names_request,
          std::string same_id = "")
      : id(std::move(same_id)),
        first(site, "app", "i1", runs, Copying(time, names_request),
              RefusesOne(refusal)),
        second(site, "app", "i2", runs, {}, RefusesNothing()) {
    site.PutConfig(1);
    host = site.AddHost();
    REQUIRE(site.UntilReady(host));
  }

  /// Sends lookups until the first target has had so many requests in all or
  /// the time has passed.
  bool CallUntil(int requests, std::chrono::milliseconds limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (first.requests() < requests &&
           std::chrono::steady_clock::now() < end) {
      http::Fields fields;
      if (!id.empty()) fields.push_back({"x-request-id", id});
      CHECK(site.Call(host, "GET", "/safe/1", fields).response.status == 200);
      Pause(site, std::chrono::milliseconds(10));
    }
    return first.requests() >= requests;
  }

  std::string Metric(const std::string& name) {
    return site.Metric(host, "comfreyflow_targets_" + name);
  }

  const std::string id;  ///< Of all lookups; empty: one each.
  RunsOf runs;
  Site site;
  CopyingTarget first;
  CopyingTarget second;
  std::size_t host = 0;
};

inline constexpr std::chrono::milliseconds kLong{4000};
inline constexpr std::chrono::milliseconds kShort{700};

/// The target is asked again once its refusal is over; the copy that comes then
/// is to change nothing.
inline void CheckBeliefs(bool names_request, const std::string& id = "") {
  for (const CopyTime time : {CopyTime::kAtNextHead, CopyTime::kWithAnswer}) {
    CAPTURE(static_cast<int>(time));
    {
      INFO("refused");
      Lookups lookups("503 Service Unavailable", time, names_request, id);
      REQUIRE(lookups.CallUntil(2, kLong));
      if (id.empty()) REQUIRE(lookups.first.copies() == 1);
      CHECK(lookups.CallUntil(4, kShort));
    }
    {
      INFO("rests");
      Lookups lookups("503 Service Unavailable\r\nRetry-After: 1", time,
                      names_request, id);
      REQUIRE(lookups.CallUntil(2, kLong));
      if (id.empty()) REQUIRE(lookups.first.copies() == 1);
      CHECK(lookups.Metric("resting") == "0");
      CHECK(lookups.CallUntil(4, kShort));
    }
    {
      INFO("limited");
      Lookups lookups("503 Service Unavailable\r\nServer-Limit: 1", time,
                      names_request, id);
      REQUIRE(lookups.CallUntil(2, kLong));
      if (id.empty()) REQUIRE(lookups.first.copies() == 1);
      CHECK(lookups.Metric("limited") == "0");
      CHECK(lookups.CallUntil(4, kShort));
    }
  }
}

/// A target that refuses a lookup that is meant for the former one at its
/// address, and is then listed under its own name.
inline void CheckReplaced(bool names_request) {
  Lookups lookups("421 Misdirected Request", CopyTime::kAtNextHead,
                  names_request);
  REQUIRE(lookups.CallUntil(1, kLong));
  lookups.site.store().Remove("servers", "i1");
  lookups.site.store().Put(
      "servers", "i1b",
      SampleEntry("app", lookups.first.address(), "z1", "ready"));
  REQUIRE(lookups.CallUntil(2, kLong));
  REQUIRE(lookups.first.copies() == 1);
  CHECK(lookups.CallUntil(4, kShort));
}

}  // namespace comfreyflow::platform
