// A caller that takes a long answer slowly, which comes over another host.
#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "platform/kept-target.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

constexpr int kEvents = 600;
constexpr std::size_t kEventBytes = 32 * 1024;

/// Writes one event after the other, each once the last one is out.
void WriteFrom(const http::ExchangePtr& exchange, int number) {
  if (number > kEvents) return exchange->End();
  exchange->Write("id: " + std::to_string(number) +
                      "\ndata: " + std::string(kEventBytes, 'x') + "\n\n",
                  [exchange, number] { WriteFrom(exchange, number + 1); });
}

}  // namespace

TEST_CASE("a long answer over another host breaks off at a slow caller") {
  Site site;
  FakeTarget& model = site.AddTarget("model", "m1");
  model.CloseAfterAnswers();
  model.OnRequest([&model](const http::ExchangePtr& exchange) {
    http::Response head = model.Head(exchange->request());
    head.content_type = "text/event-stream";
    exchange->StartStream(std::move(head));
    WriteFrom(exchange, 1);
  });
  site.PutConfig(1);
  const auto cut = site.AddHost();
  const auto carrier = site.AddHost();
  REQUIRE(site.UntilReady(cut));
  REQUIRE(site.UntilReady(carrier));
  Pause(site, milliseconds(600));
  bool is_carried = false;
  SUBCASE("carried") { is_carried = true; }
  SUBCASE("direct") { is_carried = false; }
  if (is_carried) site.SetPath(cut, "model", TargetPath::kRefused);
  const auto answer =
      site.Send(cut, "POST", "/stream/1", {{"x-token-count", "900,100"}});
  site.Until([&model] { return !model.requests().empty(); });
  answer->call->Pause();
  Pause(site, milliseconds(1000));
  answer->call->Resume();
  site.Until([&answer] { return answer->ended; });
  CHECK(answer->whole);
  CHECK(answer->response.body.size() > kEvents * kEventBytes);
  CHECK(model.requests().size() == 1);
}
