/// The HTTP/1.1 server under every stand-in: one thread, one Asio context, and
/// connections that can be broken or made silent.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>

namespace comfreyflow::fakes {

using Json = nlohmann::json;
using Headers = std::map<std::string, std::string>;

/// A whole request; header names are in lower case.
struct FakeRequest {
  std::string method;
  std::string path;  ///< Without the query.
  std::map<std::string, std::string> query;
  Headers headers;
  std::string body;

  /// The query's value as a number; `fallback` when absent or malformed.
  std::uint64_t QueryNumber(const std::string& name,
                            std::uint64_t fallback) const;
  /// The header's value; empty when absent.
  std::string Header(const std::string& name) const;
};

class FakeServer;

/// One connection, which serves one request at a time.
class FakeConnection : public std::enable_shared_from_this<FakeConnection> {
 public:
  FakeConnection(boost::asio::ip::tcp::socket socket, FakeServer& server);

  const FakeRequest& request() const { return request_; }
  bool open() const { return open_; }

  /// Answers the request with a JSON body.
  void Reply(int status, const Json& body, const Headers& headers = {});
  /// Starts an answer of server-sent events.
  void StartStream();
  /// Adds bytes to the started stream.
  void Send(const std::string& data);
  /// Ends the started stream; the connection takes the next request.
  void EndStream();
  /// Closes the connection at once.
  void Break();
  /// Stays open for the peer, but neither sends nor takes anything more.
  void Mute() { muted_ = true; }

 private:
  friend class FakeServer;
  void Read();
  void TakeRequest();
  void Write(std::string data, bool last);
  void Flush();

  boost::beast::tcp_stream stream_;
  FakeServer* server_;
  boost::beast::flat_buffer buffer_;
  std::unique_ptr<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser_;
  FakeRequest request_;
  std::deque<std::string> out_;
  bool last_queued_ = false;  ///< The answer ends with the queue.
  bool open_ = true;
  bool muted_ = false;
};

using CallPtr = std::shared_ptr<FakeConnection>;

/// Owns the thread. Handlers and timers run on it alone, so a stand-in's state
/// needs no lock.
class FakeServer {
 public:
  using Handler = std::function<void(const CallPtr&)>;

  /// Listens on 127.0.0.1; port 0 takes a free one. Throws
  /// `boost::system::system_error` when the port is taken.
  explicit FakeServer(std::uint16_t port);
  ~FakeServer();
  FakeServer(const FakeServer&) = delete;
  FakeServer& operator=(const FakeServer&) = delete;

  /// Starts to serve.
  void Start(Handler handler);
  /// Stops the thread; no handler runs afterwards.
  void Stop();
  std::uint16_t port() const { return port_; }
  /// `127.0.0.1:PORT`
  std::string address() const;
  boost::asio::io_context& context() { return context_; }

  /// Runs `work` on the server's thread and waits for it.
  void RunAndWait(const std::function<void()>& work);
  /// Breaks all connections but `kept`.
  void BreakAll(const CallPtr& kept = nullptr);
  /// Makes all connections but `kept` silent for good.
  void MuteAll(const CallPtr& kept = nullptr);
  /// Refuses connections for a while, as a process that restarts.
  void GoDown(std::chrono::steady_clock::duration time);

 private:
  friend class FakeConnection;
  void Listen();
  void Accept();

  boost::asio::io_context context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_{context_.get_executor()};
  boost::asio::ip::tcp::acceptor acceptor_{context_};
  boost::asio::steady_timer down_{context_};
  std::uint16_t port_ = 0;
  Handler handler_;
  std::set<CallPtr> connections_;
  std::thread thread_;
};

/// Sends a request whose answer is not waited for.
void SendAndForget(boost::asio::io_context& context, const std::string& address,
                   const std::string& method, const std::string& path);

/// Answer of `Fetch`; status 0 when the connection failed.
struct FetchAnswer {
  int status = 0;
  std::string body;
};

/// One blocking call on a connection of its own, for tests.
FetchAnswer Fetch(const std::string& address, const std::string& method,
                  const std::string& path, const std::string& body = "",
                  const Headers& headers = {});

/// Prints the stand-in's address and waits for SIGTERM or SIGINT.
void ServeUntilSignal(const std::string& name, const std::string& address);

}  // namespace comfreyflow::fakes
