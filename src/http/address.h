/// Addresses as `ip:port`; no names are looked up.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <system_error>

namespace comfreyflow::http {

/// Reads `ip:port` or `[ip6]:port`.
std::error_code ParseEndpoint(const std::string& address,
                              boost::asio::ip::tcp::endpoint& out);

}  // namespace comfreyflow::http
