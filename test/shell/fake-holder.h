/// The holder of all placers as bytes, for tests of what the host that asks it
/// makes of its answers.
#pragma once

#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gateway/placement.h"
#include "node/clock.h"

namespace comfreyflow::test {

inline const wire::FleetKey kKey{"fleet-key-of-the-test"};

/// A free address; the socket that found it is closed again.
inline std::string FreeAddress() {
  boost::asio::io_context io;
  boost::asio::ip::udp::socket socket(
      io, {boost::asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(socket.local_endpoint().port());
}

/// A host that asks, by its starts, and one that holds all placers because it
/// started first.
struct Hosts {
  gateway::PlacementPeer Asker(std::uint64_t incarnation) const {
    return {{"asker"}, asker_address, {incarnation}, 100, false};
  }

  const std::string asker_address = FreeAddress();
  const gateway::PlacementPeer holder{{"holder"}, FreeAddress(), {1}};
};

/// The holder as bytes: notes what is asked of it and answers as a test says.
class FakeHolder {
 public:
  explicit FakeHolder(const Hosts& hosts)
      : FakeHolder(hosts.holder, hosts.asker_address) {}
  FakeHolder(const gateway::PlacementPeer& self,
             const std::string& asker_address)
      : name_(self.name),
        socket_(io_, At(self.address)),
        asker_(At(asker_address)) {
    socket_.non_blocking(true);
  }

  std::vector<wire::PlaceRequestMessage> Asked() {
    std::vector<wire::PlaceRequestMessage> asked;
    std::vector<char> bytes(64 * 1024);
    boost::system::error_code error;
    for (;;) {
      const auto size = socket_.receive(boost::asio::buffer(bytes), 0, error);
      if (error) return asked;
      wire::PlaceMessages messages;
      REQUIRE(!wire::DecodePlacement({bytes.data(), size}, kKey,
                                     comfreyflow::detail::Now(), messages));
      asked.insert(asked.end(), messages.requests.begin(),
                   messages.requests.end());
    }
  }

  /// Grants the request a target of the service.
  void Grant(std::uint64_t sequence, std::uint32_t number,
             const ServiceName& service,
             std::optional<Incarnation> asker = std::nullopt) {
    GrantTarget(sequence, number, {{service.value + "-target"}, "127.0.0.1:1"},
                asker);
  }

  void GrantTarget(std::uint64_t sequence, std::uint32_t number,
                   PlacedTarget target,
                   std::optional<Incarnation> asker = std::nullopt) {
    PlaceGrant grant;
    grant.number = number;
    grant.targets.push_back(std::move(target));
    wire::PlaceAnswerMessage answer;
    answer.sequence = sequence;
    answer.number = number;
    answer.asker = asker;
    answer.decision = grant;
    wire::PlaceMessages messages;
    messages.sender = name_;
    messages.incarnation = {1};
    messages.answers.push_back(answer);
    const auto bytes =
        wire::EncodePlacement(messages, kKey, comfreyflow::detail::Now());
    socket_.send_to(boost::asio::buffer(bytes), asker_);
  }

 private:
  static boost::asio::ip::udp::endpoint At(const std::string& address) {
    const auto port = std::stoi(address.substr(address.find(':') + 1));
    return {boost::asio::ip::address_v4::loopback(),
            static_cast<std::uint16_t>(port)};
  }

  const HostName name_;
  boost::asio::io_context io_;
  boost::asio::ip::udp::socket socket_;
  const boost::asio::ip::udp::endpoint asker_;
};

}  // namespace comfreyflow::test
