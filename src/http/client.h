/// HTTP/1.1 client with pooled connections and a progress deadline on each
/// call. Used towards targets, the platform and other hosts. What the other end
/// sends takes bounded memory: a head, a chunk's extensions, trailers,
/// provisional answers and answers to other calls end the call if they don't
/// end themselves.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <system_error>

#include "comfreyflow/errors.h"
#include "http/message.h"

namespace comfreyflow::http {

struct CallOptions {
  /// What the answer names to say that it belongs to this call; empty: nothing.
  /// No connection is taken from the pool that has carried a call with this id.
  std::string id;
  std::chrono::milliseconds connect_timeout{1000};
  /// Longest time without a byte from the other end once all is sent, and
  /// without a byte taken by it before.
  std::chrono::milliseconds progress_timeout{3000};
  /// Longest time for the whole call; zero: none.
  std::chrono::milliseconds total_timeout{0};
  /// Longest body of an answer.
  std::uint64_t answer_bytes = 16 * 1024 * 1024;
  bool fresh_connection = false;  ///< Takes none from the pool.
  bool keep_after_error = true;   ///< Keeps it after a status of 400 or above.
  /// Has the kernel probe a connection on which nothing comes for seconds.
  bool probe_silence = false;
  /// Longest idle time of a pooled connection that may be taken.
  std::chrono::milliseconds idle_limit{20'000};
};

/// The call to which an answer belongs, by its head.
enum class AnswerOwner : std::uint8_t { kThisCall, kOtherCall, kUnnamed };

/// What tells an answer from a copy of an earlier one on its connection.
struct AnswerProof {
  /// It named this call, or named none on a connection on which all earlier
  /// answers had named theirs. Always true of a host's own connections.
  bool is_own = false;
  /// The connection may have carried a call with the same id before, so that
  /// the answer may be a copy of that to the earlier one.
  bool is_id_reused = false;
  std::uint32_t earlier_calls = 0;  ///< On the connection.
  std::uint32_t skipped = 0;        ///< Answers to other calls before it.
};

/// How a call ended. `code` is `kOk` when the answer came whole,
/// `kMalformedRequest` when the request can't be sent (`IsSendable`), else
/// `kTargetUnreachable`, `kTargetUnresponsive` or `kTargetFailed`.
struct CallEnd {
  Errc code = Errc::kOk;
  bool sent = false;  ///< A byte of the request was handed to a socket.
  AnswerProof answer;
  /// What came was no answer by HTTP, or longer than allowed. It says nothing
  /// about whether the process at the other end is alive.
  bool is_garbled = false;
};

/// What a call tells. Hooks run on the I/O threads, one at a time for a call;
/// none runs after `on_end`.
struct CallHooks {
  /// A new connection was made for the call.
  std::function<void()> on_connected;
  std::function<void()> on_sent;  ///< Just before the first byte goes out.
  /// Whose an answer is; absent: no answer names its call. One of another call
  /// is read to its end and dropped, and the next one is read. After one that
  /// names no call the connection is not kept: a copy of it could not be told
  /// from the next call's answer.
  std::function<AnswerOwner(const Response& head)> owner;
  std::function<void(const Response& head)> on_head;
  std::function<void(std::string_view bytes)> on_body;
  std::function<void(CallEnd)> on_end;
};

/// A call under way; destroying it does not stop it.
class Call {
 public:
  virtual ~Call() = default;
  /// Closes the connection; `on_end` is not called any more.
  virtual void Cancel() = 0;
  /// Reads no further after what was read already, until `Resume`. The time
  /// between them is no lack of progress.
  virtual void Pause() = 0;
  virtual void Resume() = 0;
};

/// Maps the address of a call to the one that is connected to, so that a path
/// between two processes can be disturbed; absent: the same address.
using PathHook = std::function<std::string(const std::string& address)>;

class Client {
 public:
  explicit Client(boost::asio::io_context& io, PathHook path = {});
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends `request` to `address` (`ip:port`) and tells what comes back.
  std::shared_ptr<Call> Open(const std::string& address, Request request,
                             CallOptions options, CallHooks hooks);

  /// Sends `request` and gives the whole answer at once.
  using ReplyHook = std::function<void(CallEnd, Response)>;
  std::shared_ptr<Call> Fetch(const std::string& address, Request request,
                              CallOptions options, ReplyHook hook);

  /// Makes a connection and keeps it for later calls; tells whether it was
  /// made in time.
  void Connect(const std::string& address, std::chrono::milliseconds timeout,
               std::function<void(bool)> hook);

  /// Number of calls that have not ended.
  std::size_t open_calls() const;
  /// Connections kept for later calls.
  std::size_t idle_connections() const;

  /// Tells which addresses calls may go to. Of those that were listed before
  /// and are no more, kept connections are closed, and those in use at the end
  /// of their call. Addresses that were never listed are not concerned.
  void SetListed(const std::set<std::string>& addresses);
  /// Closes kept connections that no call would take any more.
  void CloseExpired();

 private:
  class Pool;
  class Operation;
  std::shared_ptr<Pool> pool_;
};

}  // namespace comfreyflow::http
