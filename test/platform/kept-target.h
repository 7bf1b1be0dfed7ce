/// A target that serves all requests of a connection and writes bytes as a test
/// gives them.
#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "platform/stand-ins.h"

namespace comfreyflow::platform {

/// Requests are small: each is read at once.
class KeptTarget {
 public:
  KeptTarget(Site& site, const std::string& service, const std::string& name) {
    site.AddRawTarget(
        service, name,
        [this](const RawTarget::Socket& socket, const std::string& request) {
          Serve(socket, request, std::make_shared<std::string>());
          return false;
        });
  }
  virtual ~KeptTarget() = default;
  KeptTarget(const KeptTarget&) = delete;
  KeptTarget& operator=(const KeptTarget&) = delete;

 protected:
  /// What is written once the request has come. `owed` is the connection's own,
  /// empty at first.
  virtual std::string Answer(const std::string& request, std::string& owed) = 0;

 private:
  void Serve(const RawTarget::Socket& socket, const std::string& request,
             const std::shared_ptr<std::string>& owed) {
    boost::asio::write(*socket, boost::asio::buffer(Answer(request, *owed)));
    const auto buffer = std::make_shared<std::string>(4096, '\0');
    socket->async_read_some(
        boost::asio::buffer(*buffer),
        [this, socket, buffer, owed](const boost::system::error_code& error,
                                     std::size_t size) {
          if (error) return;
          buffer->resize(size);
          Serve(socket, *buffer, owed);
        });
  }
};

/// Completes the head of an answer that is a stream of one event.
inline std::string EventAnswer(const std::string& head,
                               const std::string& data) {
  const std::string event = "id: 1\ndata: " + data + "\n\n";
  return head + "Content-Type: text/event-stream\r\nContent-Length: " +
         std::to_string(event.size()) + "\r\n\r\n" + event;
}

inline void Pause(Site& site, std::chrono::milliseconds time) {
  const auto end = std::chrono::steady_clock::now() + time;
  site.Until([end] { return std::chrono::steady_clock::now() >= end; });
}

/// A target that refused is asked again after a while.
inline constexpr std::chrono::seconds kAskedAgain{4};

}  // namespace comfreyflow::platform
