/// One connection of the server: reads requests one after the other and writes
/// their answers.
#pragma once

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <mutex>
#include <set>

#include "http/server.h"

namespace comfreyflow::http::detail {

/// One open connection, as the server sees it.
class OpenConnection {
 public:
  virtual ~OpenConnection() = default;
  /// Closes the connection unless a request is being read or answered. From any
  /// thread.
  virtual void CloseIfIdle() = 0;
};

/// The open connections of a server. Safe to use from any thread.
class OpenConnections {
 public:
  void Add(OpenConnection* connection);
  void Remove(OpenConnection* connection);
  void CloseIdle();

 private:
  std::mutex mutex_;
  std::set<OpenConnection*> open_;
};

/// What all sessions of a server share.
struct SessionContext {
  ServerLimits limits;
  ServerHooks hooks;
  std::shared_ptr<BodyBudget> budget;
  /// Requests whose answer is not yet written to the end.
  mutable std::atomic<std::size_t> unanswered = 0;
  mutable OpenConnections connections;
};

void StartSession(boost::asio::ip::tcp::socket socket,
                  std::shared_ptr<const SessionContext> context);
void StartTlsSession(boost::asio::ip::tcp::socket socket,
                     std::shared_ptr<boost::asio::ssl::context> tls,
                     std::shared_ptr<const SessionContext> context);

}  // namespace comfreyflow::http::detail
