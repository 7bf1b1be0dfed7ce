// Targets that write the refusal of a reservation, which names no request, a
// second time.
#include <doctest/doctest.h>

#include <string>
#include <utility>

#include "platform/kept-target.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)

namespace {

/// Whether the memory of all targets is full, and whether they write refusals a
/// second time.
struct Holding {
  bool is_full = true;
  bool copies = true;
};

/// Refuses reservations while the memory is full, and writes a refusal again
/// before the answer to the next reservation on its connection.
class Holder : public KeptTarget {
 public:
  Holder(Site& site, const std::string& name, const Holding& holding)
      : KeptTarget(site, "model", name), holding_(holding) {}

  int refusals() const { return refusals_; }
  int grants() const { return grants_; }

 protected:
  std::string Answer(const std::string& request, std::string& owed) override {
    if (!request.starts_with("POST /order ")) {
      return EventAnswer(SuccessHead(request, true), "x");
    }
    const std::string granted =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    if (request.find("\"reserve\"") == std::string::npos) return granted;
    const std::string refused =
        "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}";
    if (holding_.is_full) {
      ++refusals_;
      if (holding_.copies) owed = refused;
      return refused;
    }
    ++grants_;
    return std::exchange(owed, {}) + granted;
  }

 private:
  const Holding& holding_;
  int refusals_ = 0;
  int grants_ = 0;
};

}  // namespace

TEST_CASE("a second copy of a refused reservation refuses the next one") {
  Holding holding;
  SUBCASE("copies") { holding.copies = true; }
  SUBCASE("no copies") { holding.copies = false; }
  Site site;
  Holder first(site, "m1", holding);
  Holder second(site, "m2", holding);
  Holder third(site, "m3", holding);
  site.PutConfig(1, [](nlohmann::json& config) {
    config["Services"][1]["Engine"]["KvTokens"] = 60000;
  });
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  const auto call = [&site, host] {
    return site
        .Call(host, "POST", "/stream/1", {{"x-token-count", "90000,100"}})
        .response.status;
  };
  REQUIRE(call() == 503);
  REQUIRE(first.refusals() + second.refusals() + third.refusals() > 0);
  Pause(site, kAskedAgain);
  holding.is_full = false;
  CHECK(call() == 200);
  REQUIRE(first.grants() + second.grants() + third.grants() > 0);
}
