// Calls over pooled connections.
#include "http/client.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <utility>

#include "http/address.h"
#include "http/connection-history.h"
#include "http/lazy-timer.h"

namespace comfreyflow::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bh = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kIdlePerAddress = 64;
constexpr std::chrono::milliseconds kIdleLife{20'000};
constexpr std::chrono::minutes kLongestCall{2};
/// A connection is not used in the last part of the time that the other end
/// said it keeps it.
constexpr std::chrono::milliseconds kIdleMargin{700};
/// Time without an acknowledgement after which the kernel ends a connection.
constexpr int kUnacknowledgedMs = 3000;

/// The other end may answer before it has read a body that is longer than this,
/// and read on much later; shorter ones fit the buffers on the way.
constexpr std::size_t kReadWhileSending = 16 * 1024;

/// Of an answer's head, of a chunk's own line, or of trailers.
constexpr std::size_t kHeadBytes = 16 * 1024;
/// Read at once; the parser keeps what it can't use yet.
constexpr std::size_t kReadBytes = 64 * 1024;
/// Provisional answers and answers to other calls before a call's own.
constexpr std::uint32_t kMostSkipped = 8;
/// Of a body of an answer to another call.
constexpr std::size_t kSkippedBytes = 1024 * 1024;
constexpr int kFirstStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kFirstErrorStatus = 400;
constexpr int kLastStatus = 599;

/// Probing of a silent connection: after this many seconds, and how often.
constexpr int kProbeSeconds = 1;
constexpr int kProbes = 2;

template <int Option>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, Option>;

using UserTimeout = TcpOption<TCP_USER_TIMEOUT>;

void ProbeSilence(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(TcpOption<TCP_KEEPIDLE>(kProbeSeconds), ignored);
  socket.set_option(TcpOption<TCP_KEEPINTVL>(kProbeSeconds), ignored);
  socket.set_option(TcpOption<TCP_KEEPCNT>(kProbes), ignored);
}

/// Time for which the other end keeps an idle connection, by its answer.
std::chrono::milliseconds IdleLife(std::string_view keep_alive) {
  constexpr std::string_view kName = "timeout=";
  const auto at = keep_alive.find(kName);
  if (at == std::string_view::npos) return kIdleLife;
  const auto text = keep_alive.substr(at + kName.size());
  int seconds = 0;
  const auto end =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (end.ec != std::errc() || seconds < 0) return kIdleLife;
  const std::chrono::milliseconds told = std::chrono::seconds(seconds);
  return std::min(kIdleLife, std::max(told - kIdleMargin, told / 4));
}

/// Whether the error is one of the bytes that came, and not of the connection.
bool IsParseError(const error_code& error) {
  return error.category() ==
             make_error_code(bh::error::bad_status).category() &&
         error != bh::error::end_of_stream &&
         error != bh::error::partial_message;
}

/// Whether HTTP has such a status; no call asks for another protocol.
bool IsKnownStatus(int status) {
  return status >= kFirstStatus && status <= kLastStatus &&
         status != kSwitchingProtocols;
}

/// Whether the other end has said that it sends no more, and the connection was
/// not broken off.
bool IsHalfClosed(tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  return ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                      &size) == 0 &&
         info.tcpi_state == TCP_CLOSE_WAIT;
}

/// Whether the other end has neither closed the connection nor sent anything.
bool IsQuiet(tcp::socket& socket) {
  error_code error;
  char byte = 0;
  socket.non_blocking(true, error);
  if (error) return false;
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

/// The part of an answer's body that was read last. Takes memory for what came,
/// not for the length that the answer says, as `bh::string_body` would.
struct PartBody {
  using value_type = std::string;

  // Beast looks for the name.
  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool IsRequest, class Fields>
    reader(bh::header<IsRequest, Fields>& /*head*/, value_type& body)
        : body_(body) {}
    void init(const boost::optional<std::uint64_t>& /*length*/,
              error_code& error) {
      error = {};
    }
    template <class Buffers>
    std::size_t put(const Buffers& buffers, error_code& error) {
      error = {};
      std::size_t bytes = 0;
      for (const auto buffer : beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
        bytes += buffer.size();
      }
      return bytes;
    }
    void finish(error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

}  // namespace

class Client::Pool {
 public:
  Pool(asio::io_context& io, PathHook path) : io_(io), path_(std::move(path)) {}

  asio::io_context& io() { return io_; }

  /// The address to connect to.
  std::string PathTo(const std::string& address) const {
    return path_ ? path_(address) : address;
  }

  void CallOpened() { ++open_calls_; }
  void CallEnded() { --open_calls_; }
  std::size_t open_calls() const { return open_calls_; }

  /// A connection that is kept for later calls.
  struct Kept {
    tcp::socket socket;
    ConnectionHistory history;
  };

  std::optional<Kept> Take(const std::string& address,
                           const CallOptions& options) {
    const auto now = Clock::now();
    const std::lock_guard lock(mutex_);
    auto& idle = idle_[address];
    for (std::size_t i = idle.size(); i-- > 0;) {
      const auto at = idle.begin() + static_cast<std::ptrdiff_t>(i);
      const ConnectionHistory& history = at->kept.history;
      // The call makes a connection in place of the one that it can't use, so
      // that a caller who repeats its id takes up no more of them.
      const bool is_closed =
          at->expires <= now || history.HasCarried(options.id);
      Idle last = std::move(*at);
      idle.erase(at);
      if (!is_closed && now - last.since <= options.idle_limit &&
          IsQuiet(last.kept.socket)) {
        return std::move(last.kept);
      }
    }
    return std::nullopt;
  }

  void Put(const std::string& address, Kept kept,
           std::chrono::milliseconds life) {
    const std::lock_guard lock(mutex_);
    const auto now = Clock::now();
    const auto gone = gone_.find(address);
    if (gone != gone_.end() && now < gone->second) return;
    auto& idle = idle_[address];
    if (idle.size() >= kIdlePerAddress) return;
    idle.push_back({std::move(kept), now, now + life});
  }

  void SetListed(const std::set<std::string>& listed) {
    const std::lock_guard lock(mutex_);
    const auto now = Clock::now();
    for (const auto& address : listed_) {
      if (listed.contains(address)) continue;
      idle_.erase(address);
      gone_[address] = now + kLongestCall;
    }
    std::erase_if(gone_, [&](const auto& entry) {
      return entry.second <= now || listed.contains(entry.first);
    });
    listed_ = listed;
  }

  void CloseExpired() {
    const std::lock_guard lock(mutex_);
    const auto now = Clock::now();
    for (auto& [address, idle] : idle_) {
      std::erase_if(idle,
                    [now](const Idle& kept) { return kept.expires <= now; });
    }
    std::erase_if(idle_,
                  [](const auto& entry) { return entry.second.empty(); });
  }

  /// A connection to the address fell silent: the others may have as well.
  void Forget(const std::string& address) {
    const std::lock_guard lock(mutex_);
    idle_.erase(address);
  }

  std::size_t size() const {
    const std::lock_guard lock(mutex_);
    std::size_t total = 0;
    for (const auto& [address, idle] : idle_) total += idle.size();
    return total;
  }

 private:
  struct Idle {
    Kept kept;
    Clock::time_point since;
    Clock::time_point expires;
  };

  asio::io_context& io_;
  const PathHook path_;
  std::atomic<std::size_t> open_calls_ = 0;
  mutable std::mutex mutex_;
  std::map<std::string, std::vector<Idle>> idle_;
  std::set<std::string> listed_;
  /// Addresses that are listed no more, until no call that began before can
  /// still be under way.
  std::map<std::string, Clock::time_point> gone_;
};

/// One call: connect or reuse, send, read until the end.
class Client::Operation : public Call,
                          public std::enable_shared_from_this<Operation> {
 public:
  Operation(std::shared_ptr<Pool> pool, std::string address,
            CallOptions options, CallHooks hooks)
      : pool_(std::move(pool)),
        address_(std::move(address)),
        options_(std::move(options)),
        hooks_(std::move(hooks)),
        strand_(asio::make_strand(pool_->io())),
        socket_(strand_),
        timer_(strand_) {
    pool_->CallOpened();
  }
  ~Operation() override { pool_->CallEnded(); }
  Operation(const Operation&) = delete;
  Operation& operator=(const Operation&) = delete;

  void Start(Request request) {
    started_ = Clock::now();
    if (!IsSendable(request)) {
      asio::post(strand_, [self = shared_from_this()] {
        self->Finish(Errc::kMalformedRequest);
      });
      return;
    }
    Fill(std::move(request));
    asio::dispatch(strand_, [self = shared_from_this()] {
      self->Guarded([&self] { self->Connect(); });
    });
  }

  void Cancel() override {
    asio::post(strand_, [self = shared_from_this()] {
      self->done_ = true;
      self->Drop();
    });
  }

  void Pause() override {
    asio::dispatch(strand_,
                   [self = shared_from_this()] { self->paused_ = true; });
  }

  void Resume() override {
    asio::dispatch(strand_, [self = shared_from_this()] {
      self->paused_ = false;
      if (!self->done_ && std::exchange(self->read_waits_, false))
        self->ReadSome();
    });
  }

 private:
  void Fill(Request request) {
    message_.method_string(request.method);
    if (!request.target.empty()) {
      message_.target(request.target);
    } else {
      message_.target(request.query.empty()
                          ? request.path
                          : request.path + "?" + request.query);
    }
    message_.version(11);
    for (const auto& field : request.fields) {
      if (!IsFraming(field.name)) message_.insert(field.name, field.value);
    }
    if (message_.find(bh::field::host) == message_.end()) {
      message_.set(bh::field::host, address_);
    }
    message_.body() = std::move(request.body);
    if (!message_.body().empty() || TellsEmptyLength(message_.method())) {
      message_.content_length(message_.body().size());
    }
    lease_ = std::move(request.lease);
  }

  /// The body that is sent says how it is framed.
  static bool IsFraming(std::string_view name) {
    return beast::iequals({name.data(), name.size()}, "content-length") ||
           beast::iequals({name.data(), name.size()}, "transfer-encoding");
  }

  /// Whether the length is told even if there is no body.
  static bool TellsEmptyLength(bh::verb method) {
    return method == bh::verb::post || method == bh::verb::put ||
           method == bh::verb::options;
  }

  void Connect() {
    if (!options_.fresh_connection) {
      if (auto kept = pool_->Take(address_, options_)) {
        // The socket comes from another strand's executor.
        const auto protocol = kept->socket.local_endpoint().protocol();
        socket_.assign(protocol, kept->socket.release());
        history_ = std::move(kept->history);
        return Send();
      }
    }
    tcp::endpoint endpoint;
    if (ParseEndpoint(pool_->PathTo(address_), endpoint)) {
      return Finish(Errc::kTargetUnreachable);
    }
    Arm(options_.connect_timeout);
    socket_.async_connect(
        endpoint, [self = shared_from_this()](const error_code& error) {
          if (self->done_) return;
          if (error) return self->Finish(Errc::kTargetUnreachable);
          error_code ignored;
          self->socket_.set_option(tcp::no_delay(true), ignored);
          self->socket_.set_option(UserTimeout(kUnacknowledgedMs), ignored);
          self->Guarded([&self] {
            if (self->hooks_.on_connected) self->hooks_.on_connected();
            if (!self->done_) self->Send();
          });
        });
  }

  void Send() {
    if (options_.probe_silence) ProbeSilence(socket_);
    sent_ = true;
    answer_.is_id_reused = history_.HasCarried(options_.id);
    answer_.earlier_calls = history_.calls();
    history_.Sent(options_.id);
    if (hooks_.on_sent) hooks_.on_sent();
    sending_ = true;
    serializer_.emplace(message_);
    SendSome();
    if (message_.body().size() > kReadWhileSending) BeginRead();
  }

  void SendSome() {
    Arm(options_.progress_timeout);
    bh::async_write_some(
        socket_, *serializer_,
        [self = shared_from_this()](const error_code& error, std::size_t) {
          if (self->done_) return;
          if (!error && !self->serializer_->is_done()) return self->SendSome();
          self->SendDone(error);
        });
  }

  /// After an error too: the other end may have answered and closed before it
  /// took all.
  void SendDone(const error_code& error) {
    sending_ = false;
    send_error_ = error;
    serializer_.reset();
    std::string().swap(message_.body());
    lease_ = {};
    if (std::exchange(end_waits_, false)) return EndWithConnection();
    if (!parser_) BeginRead();
  }

  void BeginRead() {
    parser_.emplace();
    parser_->header_limit(kHeadBytes);
    parser_->body_limit(options_.answer_bytes);
    parser_->skip(message_.method() == bh::verb::head);
    ReadSome();
  }

  void ReadSome() {
    Arm(options_.progress_timeout);
    bh::async_read_some(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](const error_code& error, std::size_t) {
          if (!self->done_) self->Guarded([&] { self->ReadDone(error); });
        });
  }

  void ReadDone(const error_code& error) {
    if (parser_->is_header_done()) {
      TellHead();
      if (!done_) TellBody();
    }
    if (done_) return;
    if (parser_->is_done()) {
      if (foreign_) return SkipAnswer();
      return parser_->need_eof() ? EndWithConnection() : Whole();
    }
    if (error) {
      is_garbled_ = IsParseError(error);
      return Finish(Errc::kTargetFailed);
    }
    if (paused_) return WaitPaused();
    ReadSome();
  }

  /// The answer has no length and its connection has ended. The kernel tells
  /// the error of a connection once. If the write got it, the read met the same
  /// end as after an orderly close; the write's error is a broken pipe only if
  /// the other end had closed in order before.
  void EndWithConnection() {
    if (sending_ && !IsHalfClosed(socket_)) {
      end_waits_ = true;
      return;
    }
    if (send_error_ && send_error_ != asio::error::broken_pipe) {
      return Finish(Errc::kTargetFailed);
    }
    Whole();
  }

  void WaitPaused() {
    read_waits_ = true;
    if (options_.total_timeout > std::chrono::milliseconds::zero()) {
      Arm(options_.total_timeout);
    } else {
      timer_.Disarm();
    }
  }

  /// Reads on behind an answer that is not the call's own final one.
  void SkipAnswer() {
    if (!parser_->get().keep_alive() || ++answer_.skipped > kMostSkipped) {
      return Finish(Errc::kTargetFailed);
    }
    foreign_ = false;
    head_told_ = false;
    BeginRead();
  }

  void TellHead() {
    if (head_told_) return;
    head_told_ = true;
    const Response head = Head();
    if (!IsKnownStatus(head.status) || HasOtherCoding()) {
      is_garbled_ = true;
      return Finish(Errc::kTargetFailed);
    }
    const bool provisional = head.status < kFirstFinalStatus;
    const AnswerOwner owner =
        hooks_.owner ? hooks_.owner(head) : AnswerOwner::kUnnamed;
    foreign_ = provisional || owner == AnswerOwner::kOtherCall;
    // It may have a body, which is not read here.
    if (foreign_ && !provisional && message_.method() == bh::verb::head) {
      return Finish(Errc::kTargetFailed);
    }
    if (foreign_) return;
    // An answer that names no call can't be told from a copy of it later.
    keeps_connection_ = !hooks_.owner || owner == AnswerOwner::kThisCall;
    answer_.is_own = true;
    if (hooks_.on_head) hooks_.on_head(head);
  }

  /// The parser undoes no coding but that in chunks.
  bool HasOtherCoding() const {
    const auto [first, last] =
        parser_->get().equal_range(bh::field::transfer_encoding);
    return std::any_of(first, last, [](const auto& field) {
      return !beast::iequals(field.value(), "chunked");
    });
  }

  Response Head() const {
    Response head;
    head.content_type.clear();
    head.status = static_cast<int>(parser_->get().result_int());
    for (const auto& field : parser_->get()) {
      std::string name(field.name_string());
      for (char& c : name) {
        if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
      }
      head.fields.push_back({std::move(name), std::string(field.value())});
    }
    return head;
  }

  void TellBody() {
    auto& body = parser_->get().body();
    if (body.empty()) return;
    if (foreign_) skipped_bytes_ += body.size();
    if (hooks_.on_body && !foreign_) hooks_.on_body(body);
    body.clear();
    if (skipped_bytes_ > kSkippedBytes) Finish(Errc::kTargetFailed);
  }

  void Whole() {
    const bool is_error = parser_->get().result_int() >= kFirstErrorStatus;
    const bool is_fit = keeps_connection_ && !history_.is_full() &&
                        (options_.keep_after_error || !is_error);
    const bool keep =
        is_fit && parser_->get().keep_alive() && !sending_ && !send_error_;
    if (keep && buffer_.size() == 0) {
      timer_.Cancel();
      const auto keep_alive = parser_->get()[bh::field::keep_alive];
      pool_->Put(address_, {std::move(socket_), std::move(history_)},
                 IdleLife({keep_alive.data(), keep_alive.size()}));
    }
    Finish(Errc::kOk);
  }

  void Finish(Errc code) {
    if (done_) return;
    done_ = true;
    Drop();
    const CallHooks hooks = std::exchange(hooks_, {});
    if (hooks.on_end) hooks.on_end({code, sent_, answer_, is_garbled_});
  }

  /// Ends the call if a hook throws.
  template <class Action>
  void Guarded(Action action) {
    try {
      action();
    } catch (...) {
      Finish(Errc::kTargetFailed);
      throw;
    }
  }

  void Drop() {
    timer_.Cancel();
    error_code ignored;
    socket_.close(ignored);
  }

  void Arm(std::chrono::milliseconds time) {
    if (options_.total_timeout > std::chrono::milliseconds::zero()) {
      const auto since = std::chrono::floor<std::chrono::milliseconds>(
          Clock::now() - started_);
      time = std::clamp(options_.total_timeout - since,
                        std::chrono::milliseconds::zero(), time);
    }
    timer_.Arm(time, weak_from_this(), &Operation::Expired);
  }

  void Expired() {
    pool_->Forget(address_);
    Finish(sent_ ? Errc::kTargetUnresponsive : Errc::kTargetUnreachable);
  }

  std::shared_ptr<Pool> pool_;
  const std::string address_;
  const CallOptions options_;
  CallHooks hooks_;
  asio::strand<asio::io_context::executor_type> strand_;
  tcp::socket socket_;
  detail::LazyTimer timer_;
  bh::request<bh::string_body> message_;
  BodyLease lease_;  ///< Memory counted for `message_`'s body.
  std::optional<bh::request_serializer<bh::string_body>> serializer_;
  std::optional<bh::response_parser<PartBody>> parser_;
  beast::flat_buffer buffer_{kReadBytes};
  bool sent_ = false;
  bool sending_ = false;  ///< Bytes of the request are still to go out.
  error_code send_error_;
  bool end_waits_ = false;  ///< For `SendDone`.
  bool head_told_ = false;
  bool foreign_ = false;  ///< The answer under way is not the call's own.
  ConnectionHistory history_;
  bool keeps_connection_ = true;  ///< Later calls may use it.
  AnswerProof answer_;
  bool is_garbled_ = false;
  std::size_t skipped_bytes_ = 0;  ///< Of answers to other calls.
  Clock::time_point started_;
  bool paused_ = false;
  bool read_waits_ = false;  ///< For `Resume`.
  bool done_ = false;        ///< No hook runs any more.
};

Client::Client(asio::io_context& io, PathHook path)
    : pool_(std::make_shared<Pool>(io, std::move(path))) {}
Client::~Client() = default;

std::shared_ptr<Call> Client::Open(const std::string& address, Request request,
                                   CallOptions options, CallHooks hooks) {
  auto operation = std::make_shared<Operation>(
      pool_, address, std::move(options), std::move(hooks));
  operation->Start(std::move(request));
  return operation;
}

std::shared_ptr<Call> Client::Fetch(const std::string& address, Request request,
                                    CallOptions options, ReplyHook hook) {
  auto answer = std::make_shared<Response>();
  CallHooks hooks;
  hooks.on_head = [answer](const Response& head) { *answer = head; };
  hooks.on_body = [answer](std::string_view bytes) { answer->body += bytes; };
  hooks.on_end = [answer, hook = std::move(hook)](CallEnd end) {
    hook(end, std::move(*answer));
  };
  return Open(address, std::move(request), std::move(options),
              std::move(hooks));
}

void Client::Connect(const std::string& address,
                     std::chrono::milliseconds timeout,
                     std::function<void(bool)> hook) {
  tcp::endpoint endpoint;
  if (ParseEndpoint(pool_->PathTo(address), endpoint)) return hook(false);
  struct Attempt {
    tcp::socket socket;
    asio::steady_timer timer;
  };
  const auto attempt = std::make_shared<Attempt>(Attempt{
      tcp::socket(pool_->io()), asio::steady_timer(pool_->io(), timeout)});
  attempt->timer.async_wait([attempt](const error_code& error) {
    error_code ignored;
    if (!error) attempt->socket.close(ignored);
  });
  attempt->socket.async_connect(
      endpoint, [pool = pool_, address, attempt,
                 hook = std::move(hook)](const error_code& error) {
        attempt->timer.cancel();
        if (!error) {
          error_code ignored;
          attempt->socket.set_option(tcp::no_delay(true), ignored);
          attempt->socket.set_option(UserTimeout(kUnacknowledgedMs), ignored);
          pool->Put(address, {std::move(attempt->socket), {}}, kIdleLife);
        }
        hook(!error);
      });
}

std::size_t Client::open_calls() const { return pool_->open_calls(); }

std::size_t Client::idle_connections() const { return pool_->size(); }

void Client::SetListed(const std::set<std::string>& addresses) {
  pool_->SetListed(addresses);
}

void Client::CloseExpired() { pool_->CloseExpired(); }

}  // namespace comfreyflow::http
