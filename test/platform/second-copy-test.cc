// Targets that write an earlier refusal a second time, on a connection that was
// kept, when the next request is there.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "platform/stand-ins.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

const std::string kRefusal =
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"
    "Content-Length: 0\r\n\r\n";

/// How often each request ran, at all targets.
using Runs = std::map<std::string, int>;

/// Serves all requests of a connection. Refuses those at the given places, by
/// number of the request at this target, and writes each refusal again before
/// the connection's next answer.
class RefusingTarget {
 public:
  RefusingTarget(Site& site, const std::string& name, Runs& runs,
                 std::vector<int> refused)
      : runs_(runs), refused_(std::move(refused)) {
    site.AddRawTarget(
        "app", name,
        [this](const RawTarget::Socket& socket, const std::string& head) {
          Answer(socket, head, "");
          return false;
        });
  }

  int requests() const { return requests_; }
  /// Requests that came on a connection with an earlier one.
  int requests_on_kept() const { return requests_on_kept_; }

 private:
  void Answer(const RawTarget::Socket& socket, const std::string& head,
              const std::string& owed) {
    const int number = ++requests_;
    std::string next_owed;
    std::string text = owed;
    if (std::find(refused_.begin(), refused_.end(), number) != refused_.end()) {
      text += kRefusal;
      next_owed = kRefusal;
    } else {
      ++runs_[HeaderIn(head, "x-request-id")];
      text += SuccessHead(head, true) + "Content-Length: 2\r\n\r\nok";
    }
    boost::asio::write(*socket, boost::asio::buffer(text));
    const auto buffer = std::make_shared<std::string>(4096, '\0');
    socket->async_read_some(
        boost::asio::buffer(*buffer),
        [this, socket, buffer, next_owed](
            const boost::system::error_code& error, std::size_t size) {
          if (error) return;
          buffer->resize(size);
          ++requests_on_kept_;
          Answer(socket, *buffer, next_owed);
        });
  }

  Runs& runs_;
  const std::vector<int> refused_;
  int requests_ = 0;
  int requests_on_kept_ = 0;
};

/// Two such targets; the second refuses nothing.
struct TwoRefusing {
  explicit TwoRefusing(const std::vector<int>& refused)
      : first(site, "i1", runs, refused), second(site, "i2", runs, {}) {
    site.PutConfig(1);
  }

  void Pause(milliseconds time) {
    const auto end = Clock::now() + time;
    site.Until([end] { return Clock::now() >= end; });
  }

  /// Sends unsafe requests one after the other, slowly enough for a target that
  /// refused one to get others, until the first target had `requests`.
  void CallUntil(std::size_t host, int requests) {
    for (int i = 0; i < 40 && first.requests() < requests; ++i) {
      const platform::Answer answer = site.Call(host, "POST", "/unsafe/1");
      statuses.push_back(answer.response.status);
      Pause(milliseconds(100));
    }
    REQUIRE(first.requests() >= requests);
  }

  bool AllRanOnce() const {
    return std::all_of(runs.begin(), runs.end(),
                       [](const auto& entry) { return entry.second == 1; });
  }

  Runs runs;
  Site site;
  RefusingTarget first;
  RefusingTarget second;
  std::vector<int> statuses;
};

}  // namespace

TEST_CASE("a second copy of a refusal without id runs the next order twice") {
  TwoRefusing targets({1});
  const auto host = targets.site.AddHost();
  REQUIRE(targets.site.UntilReady(host));
  targets.CallUntil(host, 4);
  CHECK(targets.AllRanOnce());
  for (const int status : targets.statuses) CHECK(status == 200);
}

TEST_CASE("a second copy of a refusal is told to the caller as its own") {
  // The order has run and its caller would send it again.
  TwoRefusing targets({1});
  targets.site.PutConfig(2, [](nlohmann::json& config) {
    for (auto& route : config["Routes"]) route["Attempts"] = 1;
  });
  targets.site.store().Remove("servers", "i2");
  const auto host = targets.site.AddHost();
  REQUIRE(targets.site.UntilReady(host));
  targets.CallUntil(host, 3);
  CHECK(targets.statuses.front() == 503);
  std::size_t succeeded = 0;
  for (const int status : targets.statuses) succeeded += status == 200;
  std::size_t ran = 0;
  for (const auto& [id, count] : targets.runs) ran += count;
  CHECK(ran == succeeded);
}

TEST_CASE("a refusal without id on a kept connection fails the order") {
  // All answers before it named their requests: it is no copy of one of them.
  TwoRefusing targets({2});
  const auto host = targets.site.AddHost();
  REQUIRE(targets.site.UntilReady(host));
  targets.CallUntil(host, 3);
  CHECK(targets.first.requests_on_kept() >= 1);
  CHECK(targets.AllRanOnce());
  for (const int status : targets.statuses) CHECK(status == 200);
}

TEST_CASE("a second copy over another host runs the next order twice") {
  TwoRefusing targets({1});
  const auto cut = targets.site.AddHost();
  const auto carrier = targets.site.AddHost();
  REQUIRE(targets.site.UntilReady(cut));
  REQUIRE(targets.site.UntilReady(carrier));
  targets.Pause(milliseconds(600));
  targets.site.SetPath(cut, "app", TargetPath::kRefused);
  targets.CallUntil(cut, 4);
  CHECK(targets.AllRanOnce());
  for (const int status : targets.statuses) CHECK(status == 200);
}

namespace {

/// An engine that refuses its first request by name and writes the refusal
/// again before its next answer, whatever that answers.
class CopyingEngine {
 public:
  CopyingEngine(Site& site, const std::string& name) {
    site.AddRawTarget(
        "model", name,
        [this](const RawTarget::Socket& socket, const std::string& head) {
          Answer(socket, head);
          return false;
        });
  }

  bool has_refused() const { return has_refused_; }

 private:
  void Answer(const RawTarget::Socket& socket, const std::string& head) {
    std::string text = std::exchange(owed_, {});
    if (head.starts_with("POST /order ")) {
      text += "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    } else if (!std::exchange(has_refused_, true)) {
      owed_ =
          "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"
          "X-Request-Id: " +
          HeaderIn(head, "x-request-id") + "\r\nContent-Length: 0\r\n\r\n";
      text += owed_;
    } else {
      const std::string event = "id: 1\ndata: x\n\n";
      text += SuccessHead(head, true) +
              "Content-Type: text/event-stream\r\nContent-Length: " +
              std::to_string(event.size()) + "\r\n\r\n" + event;
    }
    boost::asio::write(*socket, boost::asio::buffer(text));
    const auto buffer = std::make_shared<std::string>(4096, '\0');
    socket->async_read_some(
        boost::asio::buffer(*buffer),
        [this, socket, buffer](const boost::system::error_code& error,
                               std::size_t size) {
          if (error) return;
          buffer->resize(size);
          Answer(socket, *buffer);
        });
  }

  std::string owed_;
  bool has_refused_ = false;
};

}  // namespace

TEST_CASE("a second copy of a refusal refuses memory to another prompt") {
  Site site;
  CopyingEngine first(site, "m1");
  CopyingEngine second(site, "m2");
  CopyingEngine third(site, "m3");
  site.PutConfig(1, [](nlohmann::json& config) {
    config["Services"][1]["Engine"]["KvTokens"] = 60000;
  });
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  REQUIRE(site.Call(host, "POST", "/stream/1", {{"x-token-count", "900,100"}})
              .response.status == 503);
  REQUIRE(first.has_refused());
  REQUIRE(second.has_refused());
  REQUIRE(third.has_refused());
  // A target that refused is asked again after a while.
  const auto asked_again = Clock::now() + std::chrono::seconds(4);
  site.Until([asked_again] { return Clock::now() >= asked_again; });
  CHECK(site.Call(host, "POST", "/stream/1", {{"x-token-count", "90000,100"}})
            .response.status == 200);
}
