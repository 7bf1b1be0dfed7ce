/// HTTP/1.1 server: reads whole requests within limits of size, memory and
/// time, and gives each to a handler that answers with one body or a stream.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ssl/context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "comfreyflow/errors.h"
#include "http/message.h"

namespace comfreyflow::http {

/// One request and the way to answer it. Safe to use from any thread; calls
/// after the end or after the caller has gone do nothing.
class Exchange {
 public:
  virtual ~Exchange() = default;

  /// The request; the handler may move the body out.
  virtual Request& request() = 0;
  /// Answers with one whole body. Once, and not after `StartStream`.
  virtual void Respond(Response response) = 0;
  /// Answers with the head of a chunked body; `Write` and `End` follow.
  virtual void StartStream(Response head) = 0;
  /// `written`, if set, is called once all of `bytes` was handed to the
  /// connection, and not if the caller goes away before.
  virtual void Write(std::string bytes,
                     std::function<void()> written = nullptr) = 0;
  virtual void End() = 0;
  /// Cuts the connection, so that a stream does not look whole.
  virtual void Abort() = 0;
  /// Calls `hook` once if the caller goes away before the end.
  virtual void OnGone(std::function<void()> hook) = 0;
};

using ExchangePtr = std::shared_ptr<Exchange>;

struct ServerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 16 * 1024 * 1024;
  std::chrono::milliseconds receive_timeout{30'000};
  std::chrono::milliseconds idle_timeout{60'000};
  /// Longest time without progress while an answer is written.
  std::chrono::milliseconds write_timeout{30'000};
  /// Bytes of an answer that wait for a caller that reads slowly.
  std::uint64_t write_backlog_bytes = 4 * 1024 * 1024;
};

struct ServerHooks {
  /// Looks at the head before the body is read; `kOk` lets it in.
  std::function<Errc(const Request&)> admit_head;
  /// Takes a whole request.
  std::function<void(ExchangePtr)> handle;
  /// Whether connections stay open after their answers; absent: always.
  std::function<bool()> keep_connections;
  /// The body of a failure that the server itself meets or `admit_head` told.
  std::function<Response(Errc)> error_response;
};

/// A listening socket and the sessions that came through it.
class Server {
 public:
  /// `tls` may change between connections; null means plain TCP.
  using TlsSource = std::function<std::shared_ptr<boost::asio::ssl::context>()>;

  Server(boost::asio::io_context& io, ServerLimits limits, ServerHooks hooks,
         std::shared_ptr<BodyBudget> budget, TlsSource tls = nullptr);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Listens on `ip:port`; port 0 takes a free one.
  std::error_code Listen(const std::string& address);
  /// Port in use after `Listen`.
  std::uint16_t port() const;
  /// Limits of requests that come from now on; on the I/O thread only.
  void SetLimits(const ServerLimits& limits);
  /// Requests handed to the handler whose answer is not yet written.
  std::size_t unanswered() const;
  /// Takes no new connections; open ones go on.
  void Close();
  /// Closes the connections on which no request is being read or answered.
  void CloseIdle();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace comfreyflow::http
