// A target that writes the refusal of a lookup without id a second time.
#include <doctest/doctest.h>

#include <string>
#include <utility>

#include "platform/kept-target.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)

namespace {

/// Refuses its first request, and writes the refusal again before the next
/// answer on that connection.
class CopyingTarget : public KeptTarget {
 public:
  using KeptTarget::KeptTarget;

  int runs() const { return runs_; }

 protected:
  std::string Answer(const std::string& request, std::string& owed) override {
    if (!was_asked_) {
      was_asked_ = true;
      return owed =
                 "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"
                 "Content-Length: 0\r\n\r\n";
    }
    ++runs_;
    return std::exchange(owed, {}) + SuccessHead(request, true) +
           "Content-Length: 2\r\n\r\nok";
  }

 private:
  bool was_asked_ = false;
  int runs_ = 0;
};

}  // namespace

TEST_CASE("a second copy of a refusal says of a lookup that it has not run") {
  Site site;
  CopyingTarget target(site, "app", "i1");
  site.PutConfig(1, [](nlohmann::json& config) {
    for (auto& route : config["Routes"]) route["Attempts"] = 1;
  });
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  REQUIRE(site.Call(host, "GET", "/safe/1").response.status == 503);
  Pause(site, kAskedAgain);
  const int status = site.Call(host, "GET", "/safe/2").response.status;
  REQUIRE(target.runs() == 1);
  CHECK(status != 503);
}
