// One id that is under way more than once, or at two names of one target, while
// refusals of it are copied.
#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "platform/copying-target.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

const http::Fields kSameId = {{"x-request-id", "order"}};

CopyingTarget::Behaviour Slowly(CopyTime time) {
  CopyingTarget::Behaviour out;
  out.time = time;
  out.run_time = milliseconds(400);
  return out;
}

/// Two targets that take one request at once and refuse the order when it comes
/// to them for the first time. The arrivals of the order have paths of their
/// own.
struct Arrivals {
  explicit Arrivals(CopyTime time)
      : first(site, "app", "i1", runs, Slowly(time), RefusesFirst()),
        second(site, "app", "i2", runs, Slowly(time), RefusesFirst()) {
    for (const auto* target : {&first, &second}) {
      auto entry = SampleEntry("app", target->address(), "z1", "ready");
      entry["Slots"] = 1;
      site.store().Put("servers", target->name(), entry);
    }
    site.PutConfig(1);
  }

  std::size_t AddHost() {
    const auto host = site.AddHost();
    REQUIRE(site.UntilReady(host));
    return host;
  }

  std::shared_ptr<Answer> Send(std::size_t host, const std::string& path) {
    return site.Send(host, "POST", path, kSameId);
  }

  int refusals() const { return first.refusals() + second.refusals(); }
  int requests() const { return first.requests() + second.requests(); }

  /// Each arrival ran once if its caller was told so, and did not if its caller
  /// was told that.
  void CheckArrival(const std::string& path,
                    const std::shared_ptr<Answer>& answer) {
    REQUIRE(site.Until([&] { return answer->ended; }));
    CAPTURE(path);
    CHECK(runs["order " + path] == (answer->response.status == 503 ? 0 : 1));
    succeeded += answer->response.status == 200;
  }

  RunsOf runs;
  Site site;
  CopyingTarget first;
  CopyingTarget second;
  int succeeded = 0;
};

}  // namespace

TEST_CASE("the copy of one arrival's refusal runs the other one twice") {
  CopyTime time = CopyTime::kAtNextHead;
  SUBCASE("at the head") { time = CopyTime::kAtNextHead; }
  SUBCASE("with the answer") { time = CopyTime::kWithAnswer; }
  Arrivals arrivals(time);
  const auto host = arrivals.AddHost();
  // Each is refused at one target and goes to that which refused the other.
  const auto one = arrivals.Send(host, "/unsafe/a");
  const auto two = arrivals.Send(host, "/unsafe/b");
  arrivals.CheckArrival("/unsafe/a", one);
  arrivals.CheckArrival("/unsafe/b", two);
  REQUIRE(arrivals.refusals() == 2);
  CHECK(arrivals.succeeded == 2);
  CHECK(arrivals.requests() == 4);
}

TEST_CASE("the copy of a refusal runs what comes while its order runs twice") {
  Arrivals arrivals(CopyTime::kAtNextHead);
  const auto host = arrivals.AddHost();
  int asked = 0;
  const auto refuses_one = [&asked](const std::string&, int) {
    return std::string(++asked == 1 ? "503 Service Unavailable" : "");
  };
  arrivals.first.SetDecision(refuses_one);
  arrivals.second.SetDecision(refuses_one);
  const auto one = arrivals.Send(host, "/unsafe/a");
  REQUIRE(arrivals.site.Until([&] { return arrivals.requests() == 2; }));
  const auto two = arrivals.Send(host, "/unsafe/b");
  arrivals.CheckArrival("/unsafe/a", one);
  arrivals.CheckArrival("/unsafe/b", two);
  CHECK(arrivals.succeeded == 2);
  CHECK(arrivals.requests() == 3);
}

TEST_CASE("the copy of a refusal runs what two hosts send at once twice") {
  Arrivals arrivals(CopyTime::kAtNextHead);
  const auto cut = arrivals.AddHost();
  const auto carrier = arrivals.AddHost();
  Pause(arrivals.site, milliseconds(600));
  arrivals.site.SetPath(cut, "app", TargetPath::kRefused);
  std::shared_ptr<Answer> one;
  std::shared_ptr<Answer> two;
  SUBCASE("carried first") {
    one = arrivals.Send(cut, "/unsafe/a");
    two = arrivals.Send(carrier, "/unsafe/b");
  }
  SUBCASE("sent first") {
    two = arrivals.Send(carrier, "/unsafe/b");
    one = arrivals.Send(cut, "/unsafe/a");
  }
  SUBCASE("carried after the other's first refusal") {
    two = arrivals.Send(carrier, "/unsafe/b");
    REQUIRE(arrivals.site.Until([&] { return arrivals.refusals() > 0; }));
    one = arrivals.Send(cut, "/unsafe/a");
  }
  arrivals.CheckArrival("/unsafe/a", one);
  arrivals.CheckArrival("/unsafe/b", two);
  REQUIRE(arrivals.refusals() == 2);
}

TEST_CASE(
    "the copy of a refusal runs an order twice at two names of a target") {
  RunsOf runs;
  Site site;
  std::unique_ptr<CopyingTarget> other;
  bool lists_other = false;
  SUBCASE("alone") {}
  SUBCASE("beside another target") { lists_other = true; }
  CopyingTarget target(
      site, "app", "i1", runs, {}, [&](const std::string&, int time) {
        if (time > 1) return std::string();
        if (lists_other) {
          other = std::make_unique<CopyingTarget>(site, "app", "i2", runs,
                                                  CopyingTarget::Behaviour{},
                                                  RefusesNothing());
        }
        return std::string("503 Service Unavailable");
      });
  site.store().Put("servers", "i1b",
                   SampleEntry("app", target.address(), "z1", "ready"));
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  const auto answer = site.Call(host, "POST", "/unsafe/1", kSameId);
  CHECK(answer.response.status == 200);
  CHECK(runs["order /unsafe/1"] == 1);
  REQUIRE(target.requests() == 2);
}
