// Copies of refusals at each moment at which they may come: to the order that
// was refused, which its caller repeats, and to others.
#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform/copying-target.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kLongBody = 1024 * 1024;
constexpr int kAtOnce = 4;
constexpr int kOthers = 2 * kAtOnce;
/// Enough for a copy that comes seconds later.
constexpr int kMostOthers = 80 * kAtOnce;

struct Moment {
  std::string name;
  CopyTime time;
  int copies = 1;
  milliseconds delay{20};
};

const std::vector<Moment> kMoments = {
    {"in one packet with the refusal", CopyTime::kAtOnce},
    {"while idle", CopyTime::kAfterDelay},
    {"at the next head", CopyTime::kAtNextHead},
    {"in the next body", CopyTime::kInNextBody},
    {"with the next answer", CopyTime::kWithAnswer},
    {"behind the next answer", CopyTime::kBehind},
    {"shortly after the next answer", CopyTime::kShortlyAfter},
    {"seconds later", CopyTime::kAfterDelay, 1, milliseconds(2500)},
    {"three at the next head", CopyTime::kAtNextHead, 3},
    {"three with the next answer", CopyTime::kWithAnswer, 3},
};

/// What the orders are and how they go to the targets.
enum class Way {
  kUnsafe,
  kCarried,  ///< Unsafe, over a second host.
  kStream    ///< A stream that may not be resumed.
};

/// Two targets that refuse the order when it comes for the first time.
struct Orders {
  Orders(Way way, const Moment& moment, bool names_request)
      : is_unnamed(!names_request),
        path(way == Way::kStream ? "/stream/1" : "/unsafe/1"),
        body(moment.time == CopyTime::kInNextBody ? kLongBody : 0, 'x'),
        first(site, ServiceOf(way), "i1", runs, Copying(moment, names_request),
              RefusesOrder()),
        second(site, ServiceOf(way), "i2", runs, Copying(moment, names_request),
               RefusesOrder()) {
    site.PutConfig(1, [](nlohmann::json& config) {
      for (auto& route : config["Routes"]) route["Resumable"] = false;
    });
    host = site.AddHost();
    REQUIRE(site.UntilReady(host));
    if (way == Way::kCarried) AddCarrier();
  }

  static const char* ServiceOf(Way way) {
    return way == Way::kStream ? "model" : "app";
  }

  /// From now on the first host reaches no target.
  void AddCarrier() {
    REQUIRE(site.UntilReady(site.AddHost()));
    Pause(site, milliseconds(600));
    site.SetPath(host, "app", TargetPath::kRefused);
  }

  static CopyingTarget::Behaviour Copying(const Moment& moment,
                                          bool names_request) {
    CopyingTarget::Behaviour out;
    out.time = moment.time;
    out.copies = moment.copies;
    out.delay = moment.delay;
    out.names_request = names_request;
    return out;
  }

  static CopyingTarget::Decision RefusesOrder() {
    return [](const std::string& head, int time) {
      const bool is_refused =
          time == 1 && HeaderIn(head, "x-request-id") == "order";
      return std::string(is_refused ? "503 Service Unavailable" : "");
    };
  }

  /// Status of one order; what was refused has not run.
  int Call(const std::string& id) {
    const int before = RunsOfId(id);
    const auto answer = Send(id);
    site.Until([&answer] { return answer->ended; });
    const int status = answer->response.status;
    Pause(site, milliseconds(40));
    if (status == 503) CHECK(RunsOfId(id) == before);
    return status;
  }

  std::shared_ptr<Answer> Send(const std::string& id) {
    return site.Send(host, "POST", path,
                     {{"x-request-id", id}, {"x-token-count", "900,100"}},
                     body);
  }

  int RunsOfId(const std::string& id) { return runs[id + " " + path]; }

  /// Sends other orders, some at once so that all connections are used, until
  /// the targets have written copies, or the host has closed the connections on
  /// which they would.
  void CallOthers() {
    int sent = 0;
    while (sent < kOthers || (sent < kMostOthers && copies_met() < 2)) {
      if (is_unnamed && sent >= kOthers) break;
      std::map<std::string, std::shared_ptr<Answer>> answers;
      for (int i = 0; i < kAtOnce; ++i) {
        const std::string id = "other" + std::to_string(sent++);
        answers[id] = Send(id);
      }
      for (const auto& [id, answer] : answers) {
        site.Until([&answer = answer] { return answer->ended; });
        CHECK(answer->response.status == 200);
        CHECK(RunsOfId(id) == 1);
      }
      Pause(site, milliseconds(40));
    }
    // An order takes no connection with a refusal that named none.
    if (is_unnamed) {
      CHECK(first.behind_refusal() + second.behind_refusal() == 0);
    } else {
      CHECK(copies_met() >= 2);
    }
  }

  /// Copies that were written, or whose connection was closed before.
  int copies_met() const {
    return first.copies() + first.copies_cut() + second.copies() +
           second.copies_cut();
  }

  const bool is_unnamed;
  const std::string path;
  const std::string body;
  RunsOf runs;
  Site site;
  CopyingTarget first;
  CopyingTarget second;
  std::size_t host = 0;
};

/// A connection with a refusal that named none is left aside at once.
bool IsTriedUnnamed(Way way, const Moment& moment) {
  return way == Way::kUnsafe || moment.time == CopyTime::kAtNextHead;
}

void CheckRepeated(Way way) {
  for (const Moment& moment : kMoments) {
    for (const bool names_request : {true, false}) {
      if (!names_request && !IsTriedUnnamed(way, moment)) continue;
      CAPTURE(moment.name);
      CAPTURE(names_request);
      Orders orders(way, moment, names_request);
      int status = 503;
      for (int i = 0; i < 20 && status == 503; ++i) {
        status = orders.Call("order");
      }
      CHECK(status == 200);
      CHECK(orders.RunsOfId("order") == 1);
      orders.CallOthers();
    }
  }
}

void CheckOthers(Way way) {
  for (const Moment& moment : kMoments) {
    for (const bool names_request : {true, false}) {
      CAPTURE(moment.name);
      CAPTURE(names_request);
      Orders orders(way, moment, names_request);
      REQUIRE(orders.Call("order") == 503);
      orders.CallOthers();
    }
  }
}

}  // namespace

TEST_CASE("a copy of a refusal runs the order that is repeated again") {
  CheckRepeated(Way::kUnsafe);
}

TEST_CASE("a copy of a refusal runs another order twice") {
  CheckOthers(Way::kUnsafe);
}

TEST_CASE("a copy of a refusal runs a carried order that is repeated again") {
  CheckRepeated(Way::kCarried);
}

TEST_CASE("a copy of a refusal runs a stream that is repeated again") {
  CheckRepeated(Way::kStream);
}
