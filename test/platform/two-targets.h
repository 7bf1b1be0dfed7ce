/// A service of two targets and a host, for tests of what targets say of
/// themselves in their answers.
#pragma once

#include <doctest/doctest.h>

#include <string>

#include "platform/stand-ins.h"

namespace comfreyflow::platform {

inline constexpr std::uint64_t kBorn = 1'000;

inline void List(Site& site, const std::string& service,
                 const FakeTarget& target, std::uint64_t born,
                 std::uint64_t report, const std::string& state = "ready") {
  auto entry = SampleEntry(service, target.address(), "z1", state);
  entry["born"] = born;
  entry["Seq"] = report;
  site.store().Put("servers", target.name(), entry);
}

/// Answers as asked, with a header of its own.
inline FakeTarget::Handler Says(const FakeTarget& target,
                                const std::string& name,
                                const std::string& value, int status = 200) {
  return [&target, name, value, status](const http::ExchangePtr& exchange) {
    http::Response answer = target.Head(exchange->request(), status);
    answer.fields.push_back({name, value});
    if (status == 503) answer.fields.push_back({"x-not-run", "1"});
    answer.body = "answer of " + target.name();
    exchange->Respond(std::move(answer));
  };
}

inline FakeTarget::Handler Sound(const FakeTarget& target) {
  return Says(target, "x-nothing", "1");
}

/// A service of two targets with starts, and a host.
struct TwoTargets {
  explicit TwoTargets(const std::string& service = "app")
      : service(service),
        first(site.AddTarget(service, "i1")),
        second(site.AddTarget(service, "i2")) {
    List(site, service, first, kBorn, 1);
    List(site, service, second, kBorn, 1);
    site.PutConfig(1);
    host = site.AddHost();
    REQUIRE(site.UntilReady(host));
  }

  /// Calls until the first target has had a request.
  void UntilFirstAsked() {
    const auto before = first.requests().size();
    REQUIRE(site.Until([&] {
      site.Call(host, "GET", "/safe/1");
      return first.requests().size() > before;
    }));
  }

  std::string Metric(const std::string& name) { return Metric(host, name); }
  std::string Metric(std::size_t number, const std::string& name) {
    return site.Metric(number, name);
  }

  Site site;
  const std::string service;
  FakeTarget& first;
  FakeTarget& second;
  std::size_t host = 0;
};

}  // namespace comfreyflow::platform
