// Targets that write a refusal a second time, with the id of the request that
// they refused, when that request comes again on the same connection.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform/stand-ins.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

using Json = nlohmann::json;

/// How often each request ran, at all targets.
using Runs = std::map<std::string, int>;

/// What a target does with a request.
struct Verdict {
  /// Status, and further fields, of the refusal; empty: the request is run.
  std::string refusal;
  milliseconds after{0};
};

/// Serves all requests of a connection. A refusal names its request, and the
/// copy of it is written when that request comes again on the connection.
class CopyingTarget {
 public:
  /// Decides on a request by its head and how often the target had it, from 1.
  using Decision = std::function<Verdict(const std::string& head, int time)>;

  CopyingTarget(Site& site, const std::string& service, const std::string& name,
                Runs& runs, Decision decision)
      : runs_(runs),
        decision_(std::move(decision)),
        target_(site.AddRawTarget(
            service, name,
            [this](const RawTarget::Socket& socket, const std::string& head) {
              Serve(socket, head, std::make_shared<Copies>());
              return false;
            })) {}

  const std::string& name() const { return target_.name(); }
  std::string address() const { return target_.address(); }
  int requests() const { return requests_; }
  std::size_t connections() const { return target_.connections(); }
  /// Requests that the target had had before.
  int repeated() const { return repeated_; }

 private:
  /// Refusals written on a connection, by the request's id.
  using Copies = std::map<std::string, std::string>;

  void Serve(const RawTarget::Socket& socket, const std::string& head,
             const std::shared_ptr<Copies>& copies) {
    if (head.starts_with("POST /order ")) {
      return Write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
                   copies);
    }
    ++requests_;
    const std::string id = HeaderIn(head, "x-request-id");
    const int time = ++times_[id];
    if (time > 1) ++repeated_;
    const Verdict verdict = decision_(head, time);
    std::string text;
    if (const auto copy = copies->find(id); copy != copies->end()) {
      text = copy->second;
    }
    if (verdict.refusal.empty()) {
      ++runs_[id];
      const std::string event = "id: 1\ndata: x\n\n";
      text += SuccessHead(head, true) +
              "Content-Type: text/event-stream\r\nContent-Length: " +
              std::to_string(event.size()) + "\r\n\r\n" + event;
    } else {
      std::string answer = "HTTP/1.1 " + verdict.refusal +
                           "\r\nX-Not-Run: 1\r\nX-Request-Id: " + id +
                           "\r\nContent-Length: 0\r\n\r\n";
      text += answer;
      (*copies)[id] = std::move(answer);
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(
        socket->get_executor(), verdict.after);
    timer->async_wait(
        [this, timer, socket, text, copies](const boost::system::error_code&) {
          Write(socket, text, copies);
        });
  }

  void Write(const RawTarget::Socket& socket, const std::string& text,
             const std::shared_ptr<Copies>& copies) {
    boost::asio::write(*socket, boost::asio::buffer(text));
    const auto buffer = std::make_shared<std::string>(4096, '\0');
    socket->async_read_some(
        boost::asio::buffer(*buffer),
        [this, socket, buffer, copies](const boost::system::error_code& error,
                                       std::size_t size) {
          if (error) return;
          buffer->resize(size);
          Serve(socket, *buffer, copies);
        });
  }

  Runs& runs_;
  const Decision decision_;
  RawTarget& target_;
  std::map<std::string, int> times_;
  int requests_ = 0;
  int repeated_ = 0;
};

CopyingTarget::Decision RefusesFirst(const std::string& status) {
  return [status](const std::string&, int time) {
    return Verdict{time == 1 ? status : ""};
  };
}

void Pause(Site& site, milliseconds time) {
  const auto end = Clock::now() + time;
  site.Until([end] { return Clock::now() >= end; });
}

const http::Fields kSameId = {{"x-request-id", "order1"}};

/// Two targets that refuse each request once.
struct TwoCopying {
  explicit TwoCopying(const std::string& status = "503 Service Unavailable")
      : first(site, "app", "i1", runs, RefusesFirst(status)),
        second(site, "app", "i2", runs, RefusesFirst(status)) {
    site.PutConfig(1);
  }

  std::size_t AddHost() {
    const auto host = site.AddHost();
    REQUIRE(site.UntilReady(host));
    return host;
  }

  /// Sends the order until it is no longer refused; its last status.
  int CallUntilTaken(std::size_t host) {
    int status = 503;
    for (int i = 0; i < 20 && status == 503; ++i) {
      status = site.Call(host, "POST", "/unsafe/1", kSameId).response.status;
      Pause(site, milliseconds(100));
    }
    return status;
  }

  Runs runs;
  Site site;
  CopyingTarget first;
  CopyingTarget second;
};

}  // namespace

TEST_CASE("the copy of a refusal runs an order again that its caller repeats") {
  std::string status;
  SUBCASE("full") { status = "503 Service Unavailable"; }
  SUBCASE("limited") { status = "429 Too Many Requests"; }
  SUBCASE("invalid") { status = "400 Bad Request"; }
  TwoCopying targets(status);
  const auto host = targets.AddHost();
  CHECK(targets.CallUntilTaken(host) == 200);
  CHECK(targets.runs["order1"] == 1);
  REQUIRE(targets.first.repeated() + targets.second.repeated() > 0);
}

TEST_CASE("the copy of a refusal runs an order again that another host sends") {
  // The host that reaches no target sends over the other one.
  TwoCopying targets;
  const auto cut = targets.AddHost();
  const auto carrier = targets.AddHost();
  Pause(targets.site, milliseconds(600));
  targets.site.SetPath(cut, "app", TargetPath::kRefused);
  SUBCASE("carried twice") { CHECK(targets.CallUntilTaken(cut) == 200); }
  SUBCASE("sent, then carried") {
    CHECK(targets.site.Call(carrier, "POST", "/unsafe/1", kSameId)
              .response.status == 503);
    CHECK(targets.CallUntilTaken(cut) == 200);
  }
  SUBCASE("carried, then sent") {
    CHECK(
        targets.site.Call(cut, "POST", "/unsafe/1", kSameId).response.status ==
        503);
    CHECK(targets.CallUntilTaken(carrier) == 200);
  }
  CHECK(targets.runs["order1"] == 1);
}

TEST_CASE("the copy of a refusal runs an order again at a renamed target") {
  // A target refuses what is meant for the former one at its address, and is
  // listed under its new name before the order comes back to that address.
  Runs runs;
  Site site;
  std::unique_ptr<CopyingTarget> other;
  CopyingTarget renamed(
      site, "app", "i1", runs, [&](const std::string&, int time) {
        if (time > 1) return Verdict{};
        other = std::make_unique<CopyingTarget>(
            site, "app", "i2", runs, [&](const std::string&, int other_time) {
              if (other_time > 1) return Verdict{};
              site.store().Remove("servers", "i1");
              site.store().Put(
                  "servers", "i1b",
                  SampleEntry("app", renamed.address(), "z1", "ready"));
              return Verdict{"503 Service Unavailable", milliseconds(600)};
            });
        return Verdict{"421 Misdirected Request", milliseconds(400)};
      });
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  const auto answer = site.Call(host, "POST", "/unsafe/1", kSameId);
  REQUIRE(renamed.repeated() == 1);
  CHECK(answer.response.status == 200);
  CHECK(runs["order1"] == 1);
}

TEST_CASE("the copy of a refusal that blames a helper runs a prompt twice") {
  // The target that was asked is not at fault and may be asked again.
  Runs runs;
  Site site;
  std::map<std::string, std::string> names;
  std::map<std::string, int> arrivals;
  const auto blame_helper = [&](const std::string& head, int) {
    if (++arrivals[HeaderIn(head, "x-request-id")] > 1) return Verdict{};
    const std::string helpers = HeaderIn(head, "x-helpers");
    const std::string helper = names[helpers.substr(0, helpers.find('/'))];
    return Verdict{"503 Service Unavailable\r\nAt-Server: " + helper};
  };
  std::vector<std::unique_ptr<CopyingTarget>> engines;
  for (const char* name : {"m1", "m2", "m3"}) {
    const auto& engine = engines.emplace_back(std::make_unique<CopyingTarget>(
        site, "model", name, runs, blame_helper));
    names[engine->address()] = name;
  }
  site.PutConfig(1, [](Json& config) {
    config["Services"][1]["Engine"]["KvTokens"] = 60000;
    for (auto& route : config["Routes"]) route["Resumable"] = false;
  });
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  int repeated = 0;
  for (int i = 0; i < 20 && repeated < 3; ++i) {
    const auto answer =
        site.Call(host, "POST", "/stream/1", {{"x-token-count", "90000,100"}});
    CHECK(answer.response.status == 200);
    repeated = 0;
    for (const auto& engine : engines) repeated += engine->repeated();
  }
  REQUIRE(repeated > 0);
  for (const auto& [id, count] : runs) CHECK(count == 1);
}
