// Reads addresses.
#include "http/address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace comfreyflow::http {

std::error_code ParseEndpoint(const std::string& address,
                              boost::asio::ip::tcp::endpoint& out) {
  const auto invalid = std::make_error_code(std::errc::invalid_argument);
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) return invalid;
  auto host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  } else if (host.find(':') != std::string::npos) {
    return invalid;
  }
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto read = std::from_chars(address.data() + colon + 1, end, port);
  if (read.ec != std::errc() || read.ptr != end) return invalid;
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(host, error);
  if (error) return invalid;
  out = {ip, port};
  return {};
}

}  // namespace comfreyflow::http
