// A target that writes a stream without id a second time.
#include <doctest/doctest.h>

#include <string>

#include "platform/kept-target.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)

namespace {

/// Answers its first request without id, and writes that answer again before
/// the second one's own, which names its request.
class CopyingTarget : public KeptTarget {
 public:
  using KeptTarget::KeptTarget;

  int requests() const { return requests_; }

 protected:
  std::string Answer(const std::string& request,
                     std::string& /*owed*/) override {
    const std::string first =
        EventAnswer("HTTP/1.1 200 OK\r\nX-Seal: s\r\n", "first");
    if (++requests_ == 1) return first;
    const std::string own = EventAnswer(SuccessHead(request, true), "own");
    return requests_ == 2 ? first + own : own;
  }

 private:
  int requests_ = 0;
};

}  // namespace

TEST_CASE("a second copy of a stream without id is passed to another caller") {
  Site site;
  CopyingTarget target(site, "model", "m1");
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  const http::Fields short_prompt = {{"x-token-count", "900,100"}};
  site.Call(host, "POST", "/stream/1", short_prompt);
  REQUIRE(target.requests() == 1);
  const auto answer = site.Call(host, "POST", "/stream/2", short_prompt);
  REQUIRE(target.requests() >= 2);
  CHECK(answer.response.body.find("first") == std::string::npos);
}
