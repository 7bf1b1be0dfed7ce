// Orders that set memory aside.
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

/// Two renewals may get lost within a lease's life.
constexpr Duration kRenewal = milliseconds(1100);
constexpr milliseconds kOrderTimeout{400};
/// Of an answer to an order.
constexpr std::size_t kOrderAnswerBytes = 64 * 1024;
/// A release without answer is sent again; then the lease's end does it.
constexpr int kReleaseTries = 3;
constexpr Duration kReleaseRetry = milliseconds(300);

http::CallOptions OrderOptions() {
  http::CallOptions options;
  options.connect_timeout = kOrderTimeout;
  options.progress_timeout = kOrderTimeout;
  options.total_timeout = 2 * kOrderTimeout;
  options.answer_bytes = kOrderAnswerBytes;
  return options;
}

/// Sends a release until it is answered.
class ReleaseLoop : public std::enable_shared_from_this<ReleaseLoop> {
 public:
  ReleaseLoop(asio::io_context& io, http::Client& client, std::string address,
              std::function<http::Request()> request)
      : client_(client),
        address_(std::move(address)),
        request_(std::move(request)),
        timer_(io) {}

  void Send() {
    ++tries_;
    client_.Fetch(
        address_, request_(), OrderOptions(),
        [self = shared_from_this()](http::CallEnd end, const http::Response&) {
          if (end.code != Errc::kOk) self->Again();
        });
  }

 private:
  void Again() {
    if (tries_ >= kReleaseTries) return;
    timer_.expires_after(kReleaseRetry);
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error) self->Send();
    });
  }

  http::Client& client_;
  const std::string address_;
  const std::function<http::Request()> request_;
  asio::steady_timer timer_;
  int tries_ = 0;
};

}  // namespace

struct Reservations::State : std::enable_shared_from_this<State> {
  State(asio::io_context& io, http::Client& client, const EdgeHooks& edge,
        std::vector<Reservation> wanted, Told told)
      : io(io),
        client(client),
        edge(edge),
        wanted(std::move(wanted)),
        told(std::move(told)),
        timer(io) {}

  void Hold(Done given) {
    done = std::move(given);
    open = wanted.size();
    for (const auto& reservation : wanted) Order(reservation);
  }

  void Order(const Reservation& reservation) {
    const PlacedTarget& target = reservation.target;
    client.Fetch(target.address,
                 edge.write_reserve(target.name.value, reservation.id,
                                    target.reserve_tokens, kReservationLife),
                 OrderOptions(),
                 [self = shared_from_this(), target](
                     http::CallEnd end, const http::Response& answer) {
                   if (answer.status != 0) {
                     self->told(target, self->edge.read_head(answer));
                   }
                   const bool granted = end.code == Errc::kOk &&
                                        self->edge.read_reserved(answer);
                   self->Answered(target.name, granted, answer.status);
                 });
  }

  void Answered(const TargetName& target, bool granted, int status) {
    if (ended) return;
    if (!granted) {
      LogLine(Severity::kWarning, Event::kReservationRefused)
          .With("target", target)
          .With("status", static_cast<std::uint64_t>(std::max(status, 0)))
          .With("held", !done);
    }
    if (!done) return;  // A renewal; the target cuts the request off itself.
    if (!granted) return std::exchange(done, nullptr)(target);
    if (--open > 0) return;
    Renew();
    std::exchange(done, nullptr)({});
  }

  void Renew() {
    timer.expires_after(kRenewal);
    timer.async_wait([self = shared_from_this()](const error_code& error) {
      if (error || self->ended) return;
      for (const auto& reservation : self->wanted) self->Order(reservation);
      self->Renew();
    });
  }

  void Release() {
    ended = true;
    timer.cancel();
    for (const auto& reservation : wanted) {
      std::make_shared<ReleaseLoop>(io, client, reservation.target.address,
                                    [&edge = edge, reservation] {
                                      return edge.write_release(
                                          reservation.target.name.value,
                                          reservation.id);
                                    })
          ->Send();
    }
  }

  asio::io_context& io;
  http::Client& client;
  const EdgeHooks& edge;
  const std::vector<Reservation> wanted;
  const Told told;
  asio::steady_timer timer;
  Done done;
  std::size_t open = 0;
  bool ended = false;
};

Reservations::Reservations(asio::io_context& io, http::Client& client,
                           const EdgeHooks& edge,
                           std::vector<Reservation> wanted, Told told)
    : state_(std::make_shared<State>(io, client, edge, std::move(wanted),
                                     std::move(told))) {}

Reservations::~Reservations() { state_->Release(); }

void Reservations::Hold(Done done) { state_->Hold(std::move(done)); }

}  // namespace comfreyflow::gateway
