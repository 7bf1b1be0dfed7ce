// Opens, closes and cancels attempts on targets.
#include "node/target-links.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <limits>
#include <utility>

#include "node/clock.h"
#include "node/engine-stream.h"

namespace comfreyflow::node {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// Longest answer of a plain service. It is kept until it is whole.
constexpr std::uint64_t kMaxPlainAnswerBytes = 64 * 1024 * 1024;

constexpr milliseconds kInitialCancelRetryDelay{200};
constexpr milliseconds kMaxCancelRetryDelay{5000};
constexpr milliseconds kPlainHeartbeatPeriod{1000};

milliseconds Milliseconds(Duration time) {
  return std::chrono::duration_cast<milliseconds>(time);
}

/// Retries one cancellation, with exponential back-off, until the target
/// confirms it or `give_up_at` passes.
class CancelLoop : public std::enable_shared_from_this<CancelLoop> {
 public:
  CancelLoop(asio::io_context& io, http::Client& client,
             const AttemptId& attempt, std::string address, Time give_up_at)
      : client_(client),
        timer_(io),
        address_(std::move(address)),
        path_("/v1/attempts/" + ToString(attempt) + "/cancel"),
        give_up_at_(give_up_at) {}

  void Send() {
    http::Request request;
    request.method = "POST";
    request.path = path_;
    client_.Fetch(address_, std::move(request), {},
                  [self = shared_from_this()](http::CallEnd end,
                                              const http::Response& answer) {
                    if (end.code == Errc::kOk && answer.status == 200) return;
                    self->ScheduleRetry();
                  });
  }

 private:
  void ScheduleRetry() {
    if (comfreyflow::detail::Now() >= give_up_at_) return;
    timer_.expires_after(delay_);
    delay_ = std::min(2 * delay_, kMaxCancelRetryDelay);
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error) self->Send();
        });
  }

  http::Client& client_;
  asio::steady_timer timer_;
  const std::string address_;
  const std::string path_;
  const Time give_up_at_;
  milliseconds delay_ = kInitialCancelRetryDelay;
};

/// A plain service sends nothing before its response, so this posts heartbeats
/// in its place while the connection is open: only the deadline bounds the
/// wait.
class PlainHeartbeat : public std::enable_shared_from_this<PlainHeartbeat> {
 public:
  PlainHeartbeat(asio::io_context& io, AttemptId attempt, LinkSink sink)
      : timer_(asio::make_strand(io)),
        attempt_(std::move(attempt)),
        sink_(std::move(sink)) {}

  void ScheduleNext() {
    timer_.expires_after(kPlainHeartbeatPeriod);
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (error || self->stopped_) return;
          self->sink_(EntryPosted{StreamHeartbeat{self->attempt_}});
          self->ScheduleNext();
        });
  }
  void Stop() { stopped_ = true; }

 private:
  asio::steady_timer timer_;
  const AttemptId attempt_;
  const LinkSink sink_;
  std::atomic<bool> stopped_ = false;
};

constexpr std::array kHopFields = {"authorization",
                                   "connection",
                                   "content-length",
                                   "content-type",
                                   "expect",
                                   "host",
                                   "idempotency-key",
                                   "keep-alive",
                                   "proxy-authenticate",
                                   "proxy-authorization",
                                   "transfer-encoding",
                                   "x-attempt-id",
                                   "x-deadline-ms",
                                   "x-repeatable"};

/// Whether a header field belongs to one connection or is set by this host, and
/// is therefore not forwarded between the caller and the service.
bool IsHopField(const std::string& name) {
  return std::find(kHopFields.begin(), kHopFields.end(), name) !=
         kHopFields.end();
}

void PostPlainResult(const LinkSink& sink, const AttemptId& attempt,
                     http::CallEnd end, http::Response answer) {
  if (end.code != Errc::kOk) {
    const bool crashed = end.code == Errc::kTargetFailed && !end.is_garbled;
    return sink(
        EntryPosted{StreamFailed{attempt, end.code, !end.sent, crashed}});
  }
  if (http::FieldValue(answer.fields, "x-not-run") == "1") {
    return sink(
        EntryPosted{StreamFailed{attempt, Errc::kTargetRefused, true, false}});
  }
  const auto size = static_cast<std::uint32_t>(answer.body.size());
  const auto type = http::FieldValue(answer.fields, "content-type");
  answer.content_type = type.empty() ? "application/octet-stream" : type;
  std::erase_if(answer.fields, [](const http::Field& field) {
    return IsHopField(field.name);
  });
  sink(PlainAnswered{attempt, std::move(answer)});
  sink(EntryPosted{ChunkArrived{attempt, 0, size, 0}});
  sink(EntryPosted{StreamEnded{.attempt = attempt, .total_bytes = size}});
}

http::Request PlainRequest(const OpenStream& open, const Call& call) {
  http::Request request;
  request.method = call.plain.method;
  request.path = call.plain.path;
  request.query = call.plain.query;
  request.body = call.plain.body;
  for (const auto& field : call.plain.fields) {
    if (!IsHopField(field.name)) request.fields.push_back(field);
  }
  const auto type = http::FieldValue(call.plain.fields, "content-type");
  if (!type.empty()) {
    request.fields.push_back({"content-type", std::string(type)});
  }
  request.fields.push_back({"x-attempt-id", ToString(open.attempt)});
  if (!call.info.repeatable) {
    request.fields.push_back({"idempotency-key", call.idempotency_key});
  }
  return request;
}

}  // namespace

TargetLinks::TargetLinks(asio::io_context& io, http::Client& client,
                         Duration progress_timeout, LinkSink sink)
    : io_(io),
      client_(client),
      progress_timeout_(progress_timeout),
      sink_(std::move(sink)) {}

TargetLinks::~TargetLinks() {
  for (auto& [attempt, calls] : links_) {
    for (auto& call : calls) call->Cancel();
  }
}

void TargetLinks::Open(const OpenStream& open,
                       const std::vector<std::string>& addresses,
                       const CallPtr& call) {
  if (call->kind == TargetKind::kPlain) {
    OpenPlain(open, addresses.front(), call);
  } else {
    OpenEngine(open, addresses, call);
  }
}

void TargetLinks::OpenEngine(const OpenStream& open,
                             const std::vector<std::string>& addresses,
                             const CallPtr& call) {
  auto& links = links_[open.attempt];
  http::CallOptions options;
  options.progress_timeout = Milliseconds(progress_timeout_);
  options.answer_bytes = std::numeric_limits<std::uint64_t>::max();
  options.fresh_connection = !call->info.repeatable || open.attempt.number > 1;
  // Answers name no attempt: a copy of a refusal would pass for the next one's.
  options.keep_after_error = false;
  for (std::size_t rank = addresses.size(); rank-- > 0;) {
    // The entry role decides what the silence of the first engine means.
    if (rank == 0) {
      options.progress_timeout =
          Milliseconds(open.expires - comfreyflow::detail::Now());
    }
    auto stream =
        std::make_shared<EngineStream>(open.attempt, rank == 0, sink_);
    links.push_back(client_.Open(addresses[rank],
                                 EngineRequest(open, *call, addresses, rank),
                                 options, stream->Hooks()));
  }
}

void TargetLinks::OpenPlain(const OpenStream& open, const std::string& address,
                            const CallPtr& call) {
  http::CallOptions options;
  options.progress_timeout =
      Milliseconds(open.expires - comfreyflow::detail::Now());
  options.fresh_connection = true;
  options.answer_bytes = kMaxPlainAnswerBytes;
  auto heartbeat = std::make_shared<PlainHeartbeat>(io_, open.attempt, sink_);
  heartbeat->ScheduleNext();
  auto answer = std::make_shared<http::Response>();
  http::CallHooks hooks;
  hooks.on_sent = [sink = sink_, attempt = open.attempt] {
    sink(EntryPosted{StreamOpened{attempt}});
  };
  hooks.on_head = [answer](const http::Response& head) { *answer = head; };
  hooks.on_body = [answer](std::string_view bytes) { answer->body += bytes; };
  hooks.on_end = [sink = sink_, attempt = open.attempt, answer,
                  heartbeat](http::CallEnd end) {
    heartbeat->Stop();
    PostPlainResult(sink, attempt, end, std::move(*answer));
  };
  links_[open.attempt].push_back(client_.Open(
      address, PlainRequest(open, *call), options, std::move(hooks)));
}

void TargetLinks::Close(const AttemptId& attempt) {
  const auto at = links_.find(attempt);
  if (at == links_.end()) return;
  for (auto& call : at->second) call->Cancel();
  links_.erase(at);
}

void TargetLinks::Cancel(const AttemptId& attempt, const std::string& address,
                         Time give_up_at) {
  std::make_shared<CancelLoop>(io_, client_, attempt, address, give_up_at)
      ->Send();
}

}  // namespace comfreyflow::node
