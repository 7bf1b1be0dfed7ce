/// One connection of the server: reads requests one after the other and writes
/// their answers.
#pragma once

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "http/server.h"

namespace comfreyflow::http::detail {

/// What all sessions of a server share.
struct SessionContext {
  ServerLimits limits;
  ServerHooks hooks;
  std::shared_ptr<BodyBudget> budget;
  /// Requests whose answer is not yet written to the end.
  mutable std::atomic<std::size_t> unanswered = 0;
};

void StartSession(boost::asio::ip::tcp::socket socket,
                  std::shared_ptr<const SessionContext> context);
void StartTlsSession(boost::asio::ip::tcp::socket socket,
                     std::shared_ptr<boost::asio::ssl::context> tls,
                     std::shared_ptr<const SessionContext> context);

}  // namespace comfreyflow::http::detail
