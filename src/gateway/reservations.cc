// Requests that reserve, renew and release memory at targets.
#include "gateway/reservations.h"

#include <utility>

#include "node/log.h"

namespace comfreyflow::gateway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using node::Event;
using node::LogLine;
using node::Severity;
using std::chrono::milliseconds;

/// Two renewals in a row may be lost before the lease expires.
constexpr Duration kRenewalPeriod = milliseconds(1100);
constexpr milliseconds kRequestTimeout{400};
/// Maximum size of an answer to a reservation or release request.
constexpr std::size_t kMaxAnswerBytes = 64 * 1024;
/// Attempts to send a release that stays unanswered. After the last one the
/// reservation ends when its lease expires.
constexpr int kMaxReleaseAttempts = 3;
constexpr Duration kReleaseRetryDelay = milliseconds(300);

/// `order_id` is what the answer names.
http::CallOptions RequestOptions(std::string order_id) {
  http::CallOptions options;
  options.id = std::move(order_id);
  options.connect_timeout = kRequestTimeout;
  options.progress_timeout = kRequestTimeout;
  options.total_timeout = 2 * kRequestTimeout;
  options.answer_bytes = kMaxAnswerBytes;
  return options;
}

/// Sends a release until it is answered or the attempts are used up.
class ReleaseLoop : public std::enable_shared_from_this<ReleaseLoop> {
 public:
  /// Makes the call that releases the memory under an id of its own.
  using MakeCall = std::function<TargetCall(const std::string& order_id)>;

  ReleaseLoop(asio::io_context& io, TargetPaths& paths, std::string id,
              MakeCall make_call)
      : paths_(paths),
        id_(std::move(id)),
        make_call_(std::move(make_call)),
        timer_(io) {}

  void Send() {
    const std::string order_id = id_ + "-release" + std::to_string(++attempts_);
    paths_.Fetch(
        make_call_(order_id), RequestOptions(order_id),
        [self = shared_from_this()](http::CallEnd end, const http::Response&) {
          const bool is_answered = end.code == Errc::kOk && end.answer.is_own;
          if (!is_answered) self->RetryLater();
        });
  }

 private:
  void RetryLater() {
    if (attempts_ >= kMaxReleaseAttempts) return;
    timer_.expires_after(kReleaseRetryDelay);
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error) self->Send();
    });
  }

  TargetPaths& paths_;
  const std::string id_;  ///< Of the reservation.
  const MakeCall make_call_;
  asio::steady_timer timer_;
  int attempts_ = 0;
};

}  // namespace

struct Reservations::State : std::enable_shared_from_this<State> {
  State(asio::io_context& io, TargetPaths& paths, const EdgeHooks& edge,
        std::vector<Reservation> requested, ServiceName service,
        std::string request_id, ReportHandler on_report)
      : io(io),
        paths(paths),
        edge(edge),
        requested(std::move(requested)),
        service(std::move(service)),
        request_id(std::move(request_id)),
        on_report(std::move(on_report)),
        timer(io) {}

  void Acquire(ResultHandler handler) {
    on_result = std::move(handler);
    pending = requested.size();
    for (const auto& reservation : requested) SendReserve(reservation);
  }

  void SendReserve(const Reservation& reservation) {
    const PlacedTarget& target = reservation.target;
    const std::string order_id =
        reservation.id + "-reserve" + std::to_string(++reserves_sent);
    paths.Fetch(CallOf(reservation,
                       [&edge = edge, reservation, order_id] {
                         http::Request request = edge.write_reserve(
                             reservation.target.name.value, reservation.id,
                             reservation.target.reserve_tokens, kLeaseDuration);
                         edge.set_id(request, order_id);
                         return request;
                       }),
                RequestOptions(order_id),
                [self = shared_from_this(), target](
                    http::CallEnd end, const http::Response& answer) {
                  if (answer.status != 0) {
                    self->on_report(target, self->edge.read_head(answer));
                  }
                  const bool granted = end.code == Errc::kOk &&
                                       end.answer.is_own &&
                                       self->edge.read_reserved(answer);
                  self->OnAnswer(target.name, granted, answer.status);
                });
  }

  TargetCall CallOf(const Reservation& reservation,
                    std::function<http::Request()> request) const {
    return {service, reservation.target.name, reservation.target.address,
            request_id, std::move(request)};
  }

  void OnAnswer(const TargetName& target, bool granted, int status) {
    if (is_released) return;
    if (!granted) {
      LogLine(Severity::kWarning, Event::kReservationRefused)
          .With("target", target)
          .With("status", static_cast<std::uint64_t>(std::max(status, 0)))
          .With("held", !on_result);
    }
    // No result is due after a renewal; a target that refuses one aborts the
    // request itself.
    if (!on_result) return;
    if (!granted) return std::exchange(on_result, nullptr)(target);
    if (--pending > 0) return;
    Renew();
    std::exchange(on_result, nullptr)({});
  }

  void Renew() {
    timer.expires_after(kRenewalPeriod);
    timer.async_wait([self = shared_from_this()](const error_code& error) {
      if (error || self->is_released) return;
      for (const auto& reservation : self->requested)
        self->SendReserve(reservation);
      self->Renew();
    });
  }

  void Release() {
    is_released = true;
    timer.cancel();
    for (const auto& reservation : requested) {
      // The loop may outlive this.
      auto make_call = [&edge = edge, reservation, service = service,
                        request_id = request_id](const std::string& order_id) {
        return TargetCall{service, reservation.target.name,
                          reservation.target.address, request_id,
                          [&edge, reservation, order_id] {
                            http::Request request = edge.write_release(
                                reservation.target.name.value, reservation.id);
                            edge.set_id(request, order_id);
                            return request;
                          }};
      };
      std::make_shared<ReleaseLoop>(io, paths, reservation.id,
                                    std::move(make_call))
          ->Send();
    }
  }

  asio::io_context& io;
  TargetPaths& paths;
  const EdgeHooks& edge;
  const std::vector<Reservation> requested;
  const ServiceName service;
  const std::string request_id;  ///< For the log.
  const ReportHandler on_report;
  asio::steady_timer timer;
  ResultHandler on_result;
  std::size_t pending = 0;
  std::uint64_t reserves_sent = 0;
  bool is_released = false;
};

Reservations::Reservations(asio::io_context& io, TargetPaths& paths,
                           const EdgeHooks& edge,
                           std::vector<Reservation> requested,
                           ServiceName service, std::string request_id,
                           ReportHandler on_report)
    : state_(std::make_shared<State>(io, paths, edge, std::move(requested),
                                     std::move(service), std::move(request_id),
                                     std::move(on_report))) {}

Reservations::~Reservations() { state_->Release(); }

void Reservations::Acquire(ResultHandler on_result) {
  state_->Acquire(std::move(on_result));
}

}  // namespace comfreyflow::gateway
