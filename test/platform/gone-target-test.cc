// Connections to targets that are listed no more.
#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "platform/stand-ins.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

/// A target of `app` on plain sockets, which counts the connections that hosts
/// keep to it and leaves them open.
struct Kept {
  explicit Kept(Site& site, const std::string& name)
      : target(site.AddRawTarget(
            "app", name,
            [this](const RawTarget::Socket& socket, const std::string& bytes) {
              sockets.push_back(socket);
              const std::string answer =
                  SuccessHead(bytes, true) + "content-length: 0\r\n\r\n";
              boost::asio::write(*socket, boost::asio::buffer(answer));
              return false;
            })) {}

  /// Connections whose other end is open.
  std::size_t open() const {
    std::size_t count = 0;
    for (const auto& socket : sockets) {
      boost::system::error_code error;
      char byte = 0;
      socket->non_blocking(true);
      socket->read_some(boost::asio::buffer(&byte, 1), error);
      count += error == boost::asio::error::would_block ? 1 : 0;
    }
    return count;
  }

  std::vector<RawTarget::Socket> sockets;
  RawTarget& target;
};

bool HoldsWithin(Site& site, milliseconds time,
                 const std::function<bool()>& check) {
  const auto end = std::chrono::steady_clock::now() + time;
  bool holds = false;
  site.Until([&] {
    return (holds = check()) || std::chrono::steady_clock::now() >= end;
  });
  return holds;
}

}  // namespace

TEST_CASE("idle connections to a target that has gone are kept") {
  Site site;
  Kept gone(site, "i1");
  site.PutConfig(1);
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  CHECK(site.Call(host, "GET", "/safe/1").response.status == 200);
  REQUIRE(gone.open() == 1);
  site.store().Remove("servers", "i1");
  CHECK(
      HoldsWithin(site, milliseconds(1000), [&] { return gone.open() == 0; }));
}
