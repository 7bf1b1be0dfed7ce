// The state of one connection: read head, admit, read body, answer, again.
#include "http/session.h"

#include <array>
#include <boost/asio.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "http/head.h"
#include "http/lazy-timer.h"

namespace comfreyflow::http::detail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bh = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using TlsStream = asio::ssl::stream<tcp::socket>;

/// Bytes that a caller may send ahead while its request is being answered.
constexpr std::size_t kAheadBytes = 1024;
/// Copies of a body that exist at once while it is parsed or sent on.
constexpr std::uint64_t kBodyCopies = 2;
constexpr std::string_view kHead = "HEAD";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

tcp::socket& Lowest(tcp::socket& socket) { return socket; }
tcp::socket& Lowest(TlsStream& stream) { return stream.next_layer(); }

template <class Stream>
class Session : public OpenConnection,
                public std::enable_shared_from_this<Session<Stream>> {
 public:
  using Self = std::shared_ptr<Session>;
  using Clock = std::chrono::steady_clock;

  Session(Stream stream, std::shared_ptr<asio::ssl::context> tls,
          std::shared_ptr<const SessionContext> context)
      : tls_(std::move(tls)),
        stream_(std::move(stream)),
        timer_(stream_.get_executor()),
        context_(std::move(context)) {
    context_->connections.Add(this);
  }
  ~Session() override { context_->connections.Remove(this); }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void CloseIfIdle() override {
    auto self = this->weak_from_this().lock();
    if (!self) return;
    const auto executor = stream_.get_executor();
    // Not destroyed in here, as the set of connections is locked.
    asio::post(executor, [self = std::move(self)] { self->EndWaiting(); });
  }

  void Start() {
    asio::dispatch(stream_.get_executor(),
                   [self = Shared()] { self->Begin(); });
  }

  /// The side of an exchange that handlers hold. Holds the session weakly
  /// once the answer is complete.
  class Handle : public Exchange {
   public:
    Handle(Self session, Request request)
        : session_(std::move(session)), request_(std::move(request)) {}
    /// A handler that lets go early leaves no caller waiting.
    ~Handle() override { Fail(); }

    /// Ends the exchange unless its answer is complete.
    void Fail() {
      if (!answered_) {
        Respond(session_->context_->hooks.error_response(Errc::kInternal));
      } else if (streaming_) {
        Abort();
      }
    }

    Request& request() override { return request_; }

    void Respond(Response response) override {
      answered_ = true;
      Post([response = std::move(response)](Session& session) mutable {
        session.WriteWhole(std::move(response));
      });
    }
    void StartStream(Response head) override {
      answered_ = true;
      streaming_ = true;
      Post([head = std::move(head)](Session& session) mutable {
        session.WriteHead(std::move(head));
      });
    }
    void Write(std::string bytes, std::function<void()> written) override {
      Post([bytes = std::move(bytes),
            written = std::move(written)](Session& session) mutable {
        session.Queue(std::move(bytes), std::move(written));
      });
    }
    void End() override {
      streaming_ = false;
      Post([](Session& session) { session.EndStream(); });
    }
    void Abort() override {
      answered_ = true;
      streaming_ = false;
      Post([](Session& session) { session.Close(); });
    }
    void OnGone(std::function<void()> hook) override {
      Post([hook = std::move(hook)](Session& session) mutable {
        session.SetGoneHook(std::move(hook));
      });
    }

   private:
    template <class Action>
    void Post(Action action) {
      asio::post(session_->stream_.get_executor(),
                 [session = session_, number = number_,
                  action = std::move(action)]() mutable {
                   if (session->exchange_number_ == number) action(*session);
                 });
    }

    Self session_;
    Request request_;
    const std::uint64_t number_ = session_->exchange_number_;
    bool answered_ = false;
    bool streaming_ = false;  ///< Started and not ended.
  };

 private:
  enum class Phase { kIdle, kReceiving, kAnswering, kStreaming, kClosed };
  using Parser = bh::request_parser<bh::string_body>;

  Self Shared() { return this->shared_from_this(); }

  // ---- Receiving ----

  void Begin() {
    if constexpr (std::is_same_v<Stream, TlsStream>) {
      Arm(context_->limits.receive_timeout);
      stream_.async_handshake(asio::ssl::stream_base::server,
                              [self = Shared()](const error_code& error) {
                                if (error) return self->Close();
                                self->ReadRequest();
                              });
    } else {
      ReadRequest();
    }
  }

  void ReadRequest() {
    phase_ = Phase::kIdle;
    ++exchange_number_;
    method_.clear();
    parser_.emplace();
    lease_ = context_->budget->Lease();
    if (buffer_.size() > 0) return ReadHead();
    idle_since_ = Clock::now();
    Arm(context_->limits.idle_timeout);
    AwaitRequest();
  }

  void AwaitRequest() {
    stream_.async_read_some(
        buffer_.prepare(kAheadBytes),
        [self = Shared()](const error_code& error, std::size_t size) {
          self->OnFirstBytes(error, size);
        });
  }

  void OnFirstBytes(const error_code& error, std::size_t size) {
    const bool was_waiting = std::exchange(closes_if_idle_, false) &&
                             error == asio::error::operation_aborted;
    if (was_waiting && phase_ == Phase::kIdle && !timed_out_) {
      error_code ignored;
      if (Lowest(stream_).available(ignored) > 0) return AwaitRequest();
      return Close();
    }
    if (Stopped(error)) return;
    buffer_.commit(size);
    ReadHead();
  }

  /// Cancels the read of the next request. Bytes that were read already are
  /// still handled.
  void EndWaiting() {
    if (phase_ != Phase::kIdle || !parser_) return;
    closes_if_idle_ = true;
    Lowest(stream_).cancel();
  }

  /// The request is read by the limits that are in force now, however long the
  /// connection was idle.
  void ReadHead() {
    phase_ = Phase::kReceiving;
    parser_->header_limit(context_->limits.header_bytes);
    parser_->body_limit(context_->limits.body_bytes);
    Arm(context_->limits.receive_timeout);
    ReadHeadSome();
  }

  void ReadHeadSome() {
    bh::async_read_some(
        stream_, buffer_, *parser_,
        [self = Shared()](const error_code& error, std::size_t) {
          self->HeadSome(error);
        });
  }

  void HeadSome(const error_code& error) {
    if (Stopped(error)) return;
    if (!parser_->is_header_done()) return ReadHeadSome();
    HeadDone();
  }

  void HeadDone() {
    request_ = HeadOf(parser_->get());
    method_ = request_.method;
    keep_alive_ = parser_->get().keep_alive();
    // Any other coding leaves it open where the body ends.
    if (HasField(request_.fields, "transfer-encoding") && !parser_->chunked()) {
      return Refuse(Errc::kMalformedHttp);
    }
    const auto length = parser_->content_length();
    const bool has_content = parser_->chunked() || (length && *length > 0);
    const auto fault = CheckHead(request_, has_content);
    if (fault != Errc::kOk) return Refuse(fault);
    if (length && *length > context_->limits.body_bytes) {
      return Refuse(Errc::kBodyTooLarge);
    }
    const auto verdict = context_->hooks.admit_head(request_);
    if (verdict != Errc::kOk) return Refuse(verdict);
    if (length && !lease_.GrowTo(kBodyCopies * *length)) {
      return Refuse(Errc::kBodyMemoryFull);
    }
    if (length) parser_->get().body().reserve(*length);
    if (FieldValue(request_.fields, "expect") == "100-continue") {
      return WriteContinue();
    }
    ReadBodySome();
  }

  void WriteContinue() {
    asio::async_write(stream_, asio::buffer(kContinue),
                      [self = Shared()](const error_code& error, std::size_t) {
                        if (!self->Stopped(error)) self->ReadBodySome();
                      });
  }

  void ReadBodySome() {
    if (parser_->is_done()) return Deliver();
    bh::async_read_some(
        stream_, buffer_, *parser_,
        [self = Shared()](const error_code& error, std::size_t) {
          if (self->Stopped(error)) return;
          const auto size = self->parser_->get().body().size();
          if (!self->lease_.GrowTo(kBodyCopies * size)) {
            return self->Refuse(Errc::kBodyMemoryFull);
          }
          self->ReadBodySome();
        });
  }

  void Deliver() {
    phase_ = Phase::kAnswering;
    counted_ = true;
    ++context_->unanswered;
    timer_.Disarm();
    request_.body = std::move(parser_->get().body());
    request_.lease = std::move(lease_);
    parser_.reset();
    auto handle = std::make_shared<Handle>(Shared(), std::move(request_));
    WatchCaller();
    try {
      context_->hooks.handle(handle);
    } catch (...) {
      handle->Fail();
      throw;
    }
  }

  /// Whether reading is over; answers what can be answered.
  bool Stopped(const error_code& error) {
    if (phase_ == Phase::kClosed) return true;
    if (timed_out_) {
      timed_out_ = false;
      if (phase_ == Phase::kIdle) {
        Close();
      } else {
        Refuse(Errc::kRequestTimeout);
      }
      return true;
    }
    if (!error) return false;
    const bool from_parser =
        error.category() ==
        make_error_code(bh::error::end_of_stream).category();
    if (from_parser && error != bh::error::end_of_stream &&
        error != bh::error::partial_message) {
      Refuse(CodeOf(error));
    } else {
      Close();
    }
    return true;
  }

  /// Answers a failure met before the handler had the request, and closes, as
  /// the rest of the request is not read.
  void Refuse(Errc code) {
    phase_ = Phase::kAnswering;
    keep_alive_ = false;
    parser_.reset();
    lease_ = {};
    WriteWhole(context_->hooks.error_response(code));
  }

  // ---- Answering ----

  /// Reads ahead while the answer is made, to see the caller go.
  void WatchCaller() {
    if (watching_ || buffer_.size() >= kAheadBytes) return;
    watching_ = true;
    stream_.async_read_some(
        buffer_.prepare(kAheadBytes),
        [self = Shared()](const error_code& error, std::size_t size) {
          self->Watched(error, size);
        });
  }

  void Watched(const error_code& error, std::size_t size) {
    watching_ = false;
    if (phase_ == Phase::kClosed) return;
    if (error &&
        !(next_request_waits_ && error == asio::error::operation_aborted)) {
      return Close();
    }
    buffer_.commit(size);
    if (next_request_waits_) {
      next_request_waits_ = false;
      return ReadRequest();
    }
    WatchCaller();
  }

  void SetGoneHook(std::function<void()> hook) {
    if (phase_ == Phase::kClosed) return hook();
    gone_ = std::move(hook);
  }

  void WriteWhole(Response response) {
    if (phase_ != Phase::kAnswering || writing_) return;
    auto message = std::make_shared<bh::response<bh::string_body>>();
    FillHead(*message, response);
    if (MayHaveBody(method_, response.status)) {
      message->body() = std::move(response.body);
      message->prepare_payload();
    } else if (method_ == kHead && !response.body.empty()) {
      message->content_length(response.body.size());
    }
    ArmWrite();
    writing_ = true;
    bh::async_write(
        stream_, *message,
        [self = Shared(), message, lease = std::move(response.lease)](
            const error_code& error, std::size_t) {
          self->writing_ = false;
          self->AnswerWritten(error);
        });
  }

  void WriteHead(Response head) {
    if (phase_ != Phase::kAnswering || writing_) return;
    phase_ = Phase::kStreaming;
    auto message = std::make_shared<bh::response<bh::empty_body>>();
    FillHead(*message, head);
    has_body_ = MayHaveBody(method_, head.status);
    if (has_body_) message->chunked(true);
    auto serializer =
        std::make_shared<bh::response_serializer<bh::empty_body>>(*message);
    ArmWrite();
    writing_ = true;
    bh::async_write_header(stream_, *serializer,
                           [self = Shared(), message, serializer](
                               const error_code& error, std::size_t) {
                             self->writing_ = false;
                             self->Flushed(error);
                           });
  }

  template <class Message>
  void FillHead(Message& message, const Response& response) {
    message.version(11);
    message.result(static_cast<unsigned>(response.status));
    if (!response.content_type.empty()) {
      message.set(bh::field::content_type, response.content_type);
    }
    for (const auto& field : response.fields) {
      message.insert(field.name, field.value);
    }
    const auto& keep = context_->hooks.keep_connections;
    // What was read behind the request gets its answer first.
    const bool is_last = buffer_.size() == 0;
    if (keep && !keep() && is_last) keep_alive_ = false;
    message.keep_alive(keep_alive_);
  }

  void Queue(std::string bytes, std::function<void()> written) {
    if (phase_ != Phase::kStreaming || bytes.empty()) return;
    if (!has_body_) {
      if (written) written();
      return;
    }
    if (pending_.empty()) {
      pending_ = std::move(bytes);
    } else {
      pending_ += bytes;
    }
    if (written) pending_written_.push_back(std::move(written));
    if (pending_.size() > context_->limits.write_backlog_bytes) return Close();
    Flush();
  }

  void EndStream() {
    if (phase_ != Phase::kStreaming) return;
    ending_ = true;
    Flush();
  }

  /// Writes all that waits as one chunk; the last chunk follows the rest.
  void Flush() {
    if (writing_ || phase_ != Phase::kStreaming) return;
    if (pending_.empty() && !ending_) return;
    if (!has_body_) return AnswerWritten({});
    writing_ = true;
    ArmWrite();
    if (pending_.empty()) {
      asio::async_write(
          stream_, bh::make_chunk_last(),
          [self = Shared()](const error_code& error, std::size_t) {
            self->writing_ = false;
            self->AnswerWritten(error);
          });
      return;
    }
    in_flight_ = std::exchange(pending_, {});
    in_flight_written_ = std::exchange(pending_written_, {});
    asio::async_write(stream_, bh::make_chunk(asio::buffer(in_flight_)),
                      [self = Shared()](const error_code& error, std::size_t) {
                        self->writing_ = false;
                        self->Flushed(error);
                      });
  }

  void Flushed(const error_code& error) {
    if (phase_ == Phase::kClosed) return;
    if (error) return Close();
    timer_.Disarm();
    std::string().swap(in_flight_);  // A kept connection holds no memory.
    for (const auto& written : std::exchange(in_flight_written_, {})) written();
    Flush();
  }

  void AnswerWritten(const error_code& error) {
    if (phase_ == Phase::kClosed) return;
    timer_.Disarm();
    gone_ = nullptr;
    ending_ = false;
    Uncount();
    if (error) return Close();
    if (!keep_alive_) return ShutDown();
    if (!watching_) return ReadRequest();
    next_request_waits_ = true;
    Lowest(stream_).cancel();
  }

  /// Ends the sending side and lets the caller read the answer to its end.
  void ShutDown() {
    error_code ignored;
    Lowest(stream_).shutdown(tcp::socket::shutdown_send, ignored);
    Arm(kLingerTime);
    phase_ = Phase::kIdle;
    if (!watching_) Linger();
  }

  void Linger() {
    buffer_.consume(buffer_.size());
    Lowest(stream_).async_read_some(
        buffer_.prepare(kAheadBytes),
        [self = Shared()](const error_code& error, std::size_t) {
          if (error || self->phase_ == Phase::kClosed) return self->Close();
          self->Linger();
        });
  }

  // ---- Time and end ----

  void Uncount() {
    if (std::exchange(counted_, false)) --context_->unanswered;
  }

  static constexpr std::chrono::seconds kLingerTime{2};

  void Arm(std::chrono::milliseconds time) {
    timed_out_ = false;
    timer_.Arm(time, this->weak_from_this(), &Session::Expired);
  }

  /// What a longer limit, set since the connection became idle, leaves to it.
  std::chrono::milliseconds IdleTimeLeft() const {
    if (phase_ != Phase::kIdle || !parser_) return {};
    return std::chrono::ceil<std::chrono::milliseconds>(
        idle_since_ + context_->limits.idle_timeout - Clock::now());
  }

  void ArmWrite() { Arm(context_->limits.write_timeout); }

  void Expired() {
    if (phase_ != Phase::kIdle && phase_ != Phase::kReceiving) return Close();
    const auto idle_left = IdleTimeLeft();
    if (idle_left > std::chrono::milliseconds::zero()) return Arm(idle_left);
    timed_out_ = true;
    Lowest(stream_).cancel();
  }

  void Close() {
    if (phase_ == Phase::kClosed) return;
    phase_ = Phase::kClosed;
    Uncount();
    timer_.Cancel();
    pending_written_.clear();
    in_flight_written_.clear();
    error_code ignored;
    Lowest(stream_).close(ignored);
    if (auto gone = std::exchange(gone_, nullptr)) gone();
  }

  std::shared_ptr<asio::ssl::context> tls_;  ///< Outlives `stream_`.
  Stream stream_;
  LazyTimer timer_;
  std::shared_ptr<const SessionContext> context_;
  beast::flat_buffer buffer_;
  std::optional<Parser> parser_;  ///< Set while a request is read.
  BodyLease lease_;
  Request request_;
  std::function<void()> gone_;
  std::string pending_;    ///< Not yet handed to the socket.
  std::string in_flight_;  ///< Must not change while `writing_`.
  /// Called once `pending_` and `in_flight_` were written.
  std::vector<std::function<void()>> pending_written_;
  std::vector<std::function<void()>> in_flight_written_;
  std::uint64_t exchange_number_ = 0;  ///< Late calls of older handles drop.
  Phase phase_ = Phase::kIdle;
  std::string method_;  ///< Of the request that is answered, once it is known.
  bool has_body_ = true;  ///< The answer under way, if it is a stream.
  bool keep_alive_ = true;
  bool counted_ = false;  ///< Among the context's `unanswered`.
  bool writing_ = false;
  bool watching_ = false;
  bool ending_ = false;
  bool next_request_waits_ = false;
  bool timed_out_ = false;
  Clock::time_point idle_since_;
  bool closes_if_idle_ = false;  ///< If no byte of a request has come.
};

}  // namespace

void OpenConnections::Add(OpenConnection* connection) {
  const std::lock_guard lock(mutex_);
  open_.insert(connection);
}

void OpenConnections::Remove(OpenConnection* connection) {
  const std::lock_guard lock(mutex_);
  open_.erase(connection);
}

void OpenConnections::CloseIdle() {
  const std::lock_guard lock(mutex_);
  for (auto* connection : open_) connection->CloseIfIdle();
}

void StartSession(tcp::socket socket,
                  std::shared_ptr<const SessionContext> context) {
  std::make_shared<Session<tcp::socket>>(std::move(socket), nullptr,
                                         std::move(context))
      ->Start();
}

void StartTlsSession(tcp::socket socket,
                     std::shared_ptr<asio::ssl::context> tls,
                     std::shared_ptr<const SessionContext> context) {
  TlsStream stream(std::move(socket), *tls);
  std::make_shared<Session<TlsStream>>(std::move(stream), std::move(tls),
                                       std::move(context))
      ->Start();
}

}  // namespace comfreyflow::http::detail
