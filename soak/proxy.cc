// Pumps bytes between two sockets.
#include "soak/proxy.h"

#include <array>
#include <list>
#include <utility>
#include <vector>

#include "http/address.h"

namespace comfreyflow::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::milliseconds kSlowness{60};
constexpr std::size_t kBufferBytes = 16 * 1024;

}  // namespace

const char* ToString(PathFault fault) {
  constexpr std::array kNames = {"none", "silent", "silent_back", "slow",
                                 "reset"};
  return kNames.at(static_cast<std::size_t>(fault));
}

struct Proxy::State : std::enable_shared_from_this<State> {
  /// One accepted connection and the one to the target.
  struct Link {
    explicit Link(tcp::socket socket)
        : near(std::move(socket)), far(near.get_executor()) {}

    void Reset() {
      for (tcp::socket* socket : {&near, &far}) {
        error_code ignored;
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
      }
    }

    tcp::socket near;
    tcp::socket far;
    bool forgotten = false;                    ///< What comes is thrown away.
    std::unique_ptr<CopyWriter::Link> copies;  ///< Null: none are written.
    bool writes_near = false;
    std::string waiting;  ///< For the end of the write to `near`.
  };
  using LinkPtr = std::shared_ptr<Link>;

  /// One direction of a link.
  struct Pump {
    LinkPtr link;
    tcp::socket* from = nullptr;
    tcp::socket* to = nullptr;
    bool back = false;  ///< From the target.
    std::array<char, kBufferBytes> buffer{};
  };
  using PumpPtr = std::shared_ptr<Pump>;

  State(asio::io_context& io, const std::string& address)
      : io(io), acceptor(io) {
    http::ParseEndpoint(address, target);
  }

  void Accept() {
    acceptor.async_accept([self = shared_from_this()](const error_code& error,
                                                      tcp::socket socket) {
      if (error) return;
      self->Open(std::make_shared<Link>(std::move(socket)));
      self->Accept();
    });
  }

  void Open(const LinkPtr& link) {
    links.remove_if([](const auto& weak) { return weak.expired(); });
    links.push_back(link);
    if (writer != nullptr) link->copies = writer->Open();
    if (fault == PathFault::kReset) return link->Reset();
    link->far.async_connect(
        target, [self = shared_from_this(), link](const error_code& error) {
          if (error) return link->Reset();
          error_code ignored;
          link->near.set_option(tcp::no_delay(true), ignored);
          link->far.set_option(tcp::no_delay(true), ignored);
          self->Start(link, link->near, link->far, false);
          self->Start(link, link->far, link->near, true);
        });
  }

  void Start(const LinkPtr& link, tcp::socket& from, tcp::socket& to,
             bool back) {
    auto pump = std::make_shared<Pump>();
    pump->link = link;
    pump->from = &from;
    pump->to = &to;
    pump->back = back;
    Read(pump);
  }

  void Read(const PumpPtr& pump) {
    pump->from->async_read_some(asio::buffer(pump->buffer),
                                [self = shared_from_this(), pump](
                                    const error_code& error, std::size_t size) {
                                  self->Pass(
                                      [self, pump, error, size] {
                                        if (error) return End(pump, error);
                                        if (pump->link->forgotten) {
                                          return self->Read(pump);
                                        }
                                        self->Write(pump, size);
                                      },
                                      pump->back);
                                });
  }

  /// Goes on now, late, or when the silence is over.
  void Pass(std::function<void()> next, bool back) {
    const bool silent = fault == PathFault::kSilent ||
                        (back && fault == PathFault::kSilentBack);
    if (silent) return held.push_back(std::move(next));
    if (fault != PathFault::kSlow) return next();
    const auto timer = std::make_shared<asio::steady_timer>(io, kSlowness);
    timer->async_wait(
        [timer, next = std::move(next)](const error_code&) { next(); });
  }

  static void End(const PumpPtr& pump, const error_code& error) {
    if (error != asio::error::eof || pump->link->forgotten) {
      return pump->link->Reset();
    }
    error_code ignored;
    pump->to->shutdown(tcp::socket::shutdown_send, ignored);
  }

  void Write(const PumpPtr& pump, std::size_t size) {
    const auto out = std::make_shared<std::string>(
        Change(pump, {pump->buffer.data(), size}));
    pump->link->writes_near = pump->link->writes_near || pump->back;
    asio::async_write(*pump->to, asio::buffer(*out),
                      [self = shared_from_this(), pump, out](
                          const error_code& error, std::size_t) {
                        if (error) return pump->link->Reset();
                        if (pump->back) {
                          pump->link->writes_near = false;
                          Inject(pump->link, {});
                        }
                        self->Read(pump);
                      });
  }

  /// What is passed on in place of the bytes.
  std::string Change(const PumpPtr& pump, std::string bytes) {
    const LinkPtr& link = pump->link;
    if (!link->copies) return bytes;
    if (!pump->back) {
      Inject(link, link->copies->OnRequest(bytes));
      return bytes;
    }
    bytes = link->copies->OnAnswer(std::move(bytes));
    for (auto& timed : link->copies->TakeTimed()) {
      const auto timer = std::make_shared<asio::steady_timer>(io, timed.after);
      timer->async_wait(
          [link, timer, copy = std::move(timed.bytes)](const error_code&) {
            Inject(link, link->copies->OnTime(copy));
          });
    }
    return bytes;
  }

  /// Writes to the near end between two answers.
  static void Inject(const LinkPtr& link, const std::string& bytes) {
    link->waiting += bytes;
    if (link->writes_near || link->waiting.empty()) return;
    error_code ignored;
    asio::write(link->near, asio::buffer(std::exchange(link->waiting, {})),
                ignored);
  }

  void Set(PathFault next) {
    fault = next;
    for (auto& step : std::exchange(held, {})) step();
    if (fault != PathFault::kReset) return;
    for (const auto& weak : links) {
      if (const auto link = weak.lock()) link->Reset();
    }
  }

  void ForgetLinks() {
    for (const auto& weak : links) {
      if (const auto link = weak.lock()) link->forgotten = true;
    }
  }

  asio::io_context& io;
  tcp::acceptor acceptor;
  tcp::endpoint target;
  PathFault fault = PathFault::kNone;
  CopyWriter* writer = nullptr;
  std::list<std::weak_ptr<Link>> links;
  std::vector<std::function<void()>> held;  ///< Steps that silence stopped.
};

Proxy::Proxy(asio::io_context& io, const std::string& target)
    : state_(std::make_shared<State>(io, target)) {
  const tcp::endpoint local(asio::ip::make_address("127.0.0.1"), 0);
  state_->acceptor.open(local.protocol());
  state_->acceptor.bind(local);
  state_->acceptor.listen();
  state_->Accept();
}

Proxy::~Proxy() {
  error_code ignored;
  state_->acceptor.close(ignored);
}

std::string Proxy::address() const {
  return "127.0.0.1:" +
         std::to_string(state_->acceptor.local_endpoint().port());
}

void Proxy::Set(PathFault fault) { state_->Set(fault); }

void Proxy::WriteCopies(CopyWriter& writer) { state_->writer = &writer; }

void Proxy::ForgetLinks() { state_->ForgetLinks(); }

}  // namespace comfreyflow::soak
