// Hosts that reach callers, the store and other hosts, and no target.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <vector>

#include "platform/stand-ins.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t kHosts = 3;
constexpr milliseconds kCallPeriod{40};
/// By then a host must serve as before.
constexpr seconds kTimeToNotice{1};
/// Part of the requests that is to be served at a host that is cut off, of the
/// part that is served at the others.
constexpr double kAim = 0.95;

/// Requests to one host, in the order in which they were sent.
struct Caller {
  std::size_t host = 0;
  std::vector<std::shared_ptr<Answer>> answers;

  /// Part of the requests from `first` on that were answered with success.
  double Served(std::size_t first) const {
    const auto begin = answers.begin() + static_cast<std::ptrdiff_t>(first);
    const auto served =
        std::count_if(begin, answers.end(), [](const auto& answer) {
          return answer->whole && answer->response.status == 200;
        });
    return static_cast<double>(served) /
           static_cast<double>(answers.end() - begin);
  }
};

struct CutSite {
  CutSite() {
    for (int i = 1; i <= 4; ++i) {
      const std::string number = std::to_string(i);
      site.AddTarget("app", "a" + number).CloseAfterAnswers();
      FakeTarget& model = site.AddTarget("model", "m" + number);
      model.CloseAfterAnswers();
      model.OnRequest([&model](const http::ExchangePtr& exchange) {
        http::Response head = model.Head(exchange->request());
        head.content_type = "text/event-stream";
        exchange->StartStream(std::move(head));
        FakeTarget::WriteEvents(exchange, 1, 3);
        exchange->End();
      });
    }
    site.PutConfig(1);
    for (std::size_t i = 0; i < kHosts; ++i) {
      callers.push_back({site.AddHost(), {}});
    }
    for (const auto& caller : callers) REQUIRE(site.UntilReady(caller.host));
    Run(milliseconds(600));
  }

  void SendOne(Caller& caller) {
    const std::string id = std::to_string(caller.answers.size());
    switch (caller.answers.size() % 3) {
      case 0:
        return caller.answers.push_back(
            site.Send(caller.host, "GET", "/safe/" + id));
      case 1:
        return caller.answers.push_back(
            site.Send(caller.host, "POST", "/unsafe/" + id));
      default:
        return caller.answers.push_back(
            site.Send(caller.host, "POST", "/stream/" + id,
                      {{"x-token-count", "2000,100"}}));
    }
  }

  /// Sends requests to all hosts for `time`.
  void Run(Duration time) {
    const auto end = Clock::now() + time;
    auto next = Clock::now();
    site.Until([&] {
      if (Clock::now() >= next) {
        next += kCallPeriod;
        for (auto& caller : callers) SendOne(caller);
      }
      return Clock::now() >= end;
    });
  }

  void Cut(std::size_t host, TargetPath path) {
    site.SetPath(host, "app", path);
    site.SetPath(host, "model", path);
  }

  /// Cuts hosts off and compares what their callers got from `kTimeToNotice`
  /// on with what those of the other hosts got.
  void Check(const std::vector<std::size_t>& cut, TargetPath path) {
    for (const auto host : cut) Cut(host, path);
    Run(kTimeToNotice);
    const std::size_t first = callers.front().answers.size();
    Run(seconds(2));
    REQUIRE(site.Until([&] {
      return std::all_of(callers.begin(), callers.end(), [](const auto& c) {
        return std::all_of(c.answers.begin(), c.answers.end(),
                           [](const auto& answer) { return answer->ended; });
      });
    }));
    for (const auto& caller : callers) {
      INFO("host " << caller.host);
      const bool is_cut =
          std::find(cut.begin(), cut.end(), caller.host) != cut.end();
      CHECK(caller.Served(first) >= (is_cut ? kAim : 1.0));
    }
  }

  Site site;
  std::vector<Caller> callers;
};

}  // namespace

TEST_CASE("a host refuses its callers while its connections to targets hang") {
  CutSite().Check({0}, TargetPath::kHangs);
}

TEST_CASE("a host refuses its callers while targets refuse its connections") {
  CutSite().Check({0}, TargetPath::kRefused);
}

TEST_CASE("callers of most hosts are refused while one host reaches targets") {
  CutSite().Check({0, 1}, TargetPath::kHangs);
}
