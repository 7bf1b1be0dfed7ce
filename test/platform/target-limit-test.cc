// Targets that name the requests a second that they take from all hosts.
#include <doctest/doctest.h>

#include <vector>

#include "platform/two-targets.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)

namespace {

using Clock = std::chrono::steady_clock;

/// Requests that reach the first target while `calls` go to the hosts in turn,
/// over what its limit allows in that time.
double OverLimit(TwoTargets& two, const std::vector<std::size_t>& hosts,
                 double limit, int calls) {
  const auto before = two.first.requests().size();
  const auto begin = Clock::now();
  for (int i = 0; i < calls; ++i) {
    const auto host = hosts[static_cast<std::size_t>(i) % hosts.size()];
    two.site.Call(host, "GET", "/safe/1");
  }
  const std::chrono::duration<double> passed = Clock::now() - begin;
  const auto got = static_cast<double>(two.first.requests().size() - before);
  return got - limit * passed.count();
}

}  // namespace

TEST_CASE("all hosts together send a target no more than the limit it named") {
  TwoTargets two;
  const auto other = two.site.AddHost();
  REQUIRE(two.site.UntilReady(other));
  two.first.OnRequest(Says(two.first, "server-limit", "0.5"));
  two.UntilFirstAsked();
  // One request that may go at once, and one on its way.
  CHECK(OverLimit(two, {two.host, other}, 0.5, 80) <= 2);
}
