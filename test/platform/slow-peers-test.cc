// Peers that ask for the configuration and read none of it.
#include <doctest/doctest.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "platform/kept-target.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr std::size_t kDocumentBytes = 4 * 1024 * 1024;
constexpr int kPeers = 24;
/// A quarter of the memory of a stand-in's host.
constexpr double kBudget = 16.0 * 1024 * 1024;

}  // namespace

TEST_CASE("documents for peers that read slowly take memory without bound") {
  Site site;
  site.AddTarget("app", "a1");
  site.PutConfig(1, [](nlohmann::json& config) {
    config["Padding"] = std::string(kDocumentBytes, 'p');
  });
  const auto host = site.AddHost();
  REQUIRE(site.UntilReady(host));
  const auto& settings = site.settings(host);
  boost::asio::io_context io;
  std::vector<Tcp::socket> peers;
  for (int i = 0; i < kPeers; ++i) {
    Tcp::socket socket(io, Tcp::v4());
    constexpr int kReceiveBytes = 4 * 1024;
    socket.set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBytes));
    socket.connect(
        {boost::asio::ip::make_address(settings.ip), settings.placement_port});
    boost::asio::write(
        socket, boost::asio::buffer(std::string(
                    "GET /peer/document HTTP/1.1\r\nHost: peer\r\n\r\n")));
    peers.push_back(std::move(socket));
  }
  Pause(site, milliseconds(500));
  const double used =
      std::atof(site.Metric(host, "comfreyflow_answer_memory_bytes").c_str());
  CHECK(used > kDocumentBytes);
  CHECK(used <= kBudget);
  int served = 0;
  int refused = 0;
  for (auto& peer : peers) {
    std::string head(12, '\0');
    boost::asio::read(peer, boost::asio::buffer(head));
    if (head == "HTTP/1.1 200") ++served;
    if (head == "HTTP/1.1 503") ++refused;
  }
  CHECK(served >= 3);
  CHECK(served * static_cast<double>(kDocumentBytes) <= kBudget);
  CHECK(served + refused == kPeers);
  peers.clear();
  CHECK(site.Until([&] {
    return site.Metric(host, "comfreyflow_answer_memory_bytes") == "0";
  }));
}
