// One loop a caller.
#include "soak/callers.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "node/clock.h"
#include "soak/site.h"

namespace comfreyflow::soak {
namespace {

namespace asio = boost::asio;
using comfreyflow::detail::Now;
using std::chrono::milliseconds;

constexpr milliseconds kDeadline{3000};
constexpr milliseconds kSlowDeadline{9000};
/// Beyond the deadline.
constexpr milliseconds kPatience{1500};
constexpr milliseconds kResolvePeriod{700};
constexpr milliseconds kResolveTimeout{1000};
constexpr milliseconds kLongestRest{40};
constexpr milliseconds kLongestStay{200};
constexpr milliseconds kLongestRepeatPause{200};
constexpr double kLeaverShare = 0.08;
constexpr double kLargePromptShare = 0.03;
constexpr const char* kShortPrompt = "2000,400";
/// More than one engine of the stand-in holds.
constexpr const char* kLargePrompt = "180000,200";

}  // namespace

struct Callers::State : std::enable_shared_from_this<State> {
  State(asio::io_context& io, Records& records, CallerPaths given,
        std::uint64_t seed)
      : io(io),
        records(records),
        paths(std::move(given)),
        random(seed),
        client(io),
        resolve_timer(io) {}

  double Share() { return std::uniform_real_distribution<>(0, 1)(random); }
  std::size_t Pick(std::size_t size) {
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(random);
  }

  // ---- Addresses ----

  void Resolve() {
    http::Request request;
    request.method = "GET";
    request.path = "/resolve";
    request.query = std::string("Name=") + kHostHeader + "&Zone=z0";
    http::CallOptions options;
    options.connect_timeout = kResolveTimeout;
    options.progress_timeout = kResolveTimeout;
    options.fresh_connection = true;
    client.Fetch(paths.directories[Pick(paths.directories.size())],
                 std::move(request), options,
                 [self = shared_from_this()](http::CallEnd end,
                                             const http::Response& answer) {
                   if (end.code == Errc::kOk && answer.status == 200) {
                     self->Resolved(answer.body);
                   }
                   self->ResolveLater();
                 });
  }

  void Resolved(const std::string& body) {
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("Addrs")) return;
    std::vector<std::size_t> next;
    for (const std::string address : json["Addrs"]) {
      const auto at =
          std::find(paths.addresses.begin(), paths.addresses.end(), address);
      if (at != paths.addresses.end()) {
        next.push_back(static_cast<std::size_t>(at - paths.addresses.begin()));
      }
    }
    for (const std::size_t host : next) {
      const bool is_new =
          std::find(known.begin(), known.end(), host) == known.end();
      if (is_new) known.push_back(host);
    }
    if (!next.empty()) hosts = std::move(next);
  }

  void ResolveLater() {
    resolve_timer.expires_after(kResolvePeriod);
    resolve_timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error && !self->stopped) self->Resolve();
        });
  }

  // ---- Requests ----

  void Rest() {
    if (stopped) return;
    const auto timer = std::make_shared<asio::steady_timer>(
        io, milliseconds(1 + Pick(kLongestRest.count())));
    timer->async_wait(
        [self = shared_from_this(), timer](const boost::system::error_code&) {
          self->hosts.empty() ? self->Rest() : self->Send();
        });
  }

  void Send() {
    if (stopped) return;
    const std::size_t number = records.sent.size();
    Sent& sent = records.sent.emplace_back();
    sent.id = "soak-" + std::to_string(number);
    const bool slow = Draw(paths.slow_share);
    sent.host = PickHost();
    sent.key = paths.pick_key();
    sent.deadline = slow ? kSlowDeadline : kDeadline;
    Fill(sent, slow ? kSlowPrefix : "/");
    Open(number);
  }

  void Open(std::size_t number) {
    Sent& sent = records.sent[number];
    sent.at = Now();
    http::CallOptions options;
    options.connect_timeout = kResolveTimeout;
    options.progress_timeout =
        std::chrono::duration_cast<milliseconds>(sent.deadline) + kPatience;
    auto call = client.Open(paths.paths[sent.host], RequestOf(sent), options,
                            Hooks(number));
    ++open;
    if (Share() < kLeaverShare) LeaveLater(number, std::move(call));
  }

  /// Sends what was refused again, under its id.
  void RepeatLater(std::size_t number) {
    const auto timer = std::make_shared<asio::steady_timer>(
        io, milliseconds(1 + Pick(kLongestRepeatPause.count())));
    timer->async_wait([self = shared_from_this(), timer,
                       number](const boost::system::error_code&) {
      if (self->stopped) return;
      const Sent& before = self->records.sent[number];
      const std::size_t next = self->records.sent.size();
      Sent& sent = self->records.sent.emplace_back();
      sent.id = before.id;
      sent.kind = before.kind;
      sent.key = before.key;
      sent.path = before.path;
      sent.body = before.body;
      sent.deadline = before.deadline;
      sent.host = self->Share() < 0.5 ? before.host : self->PickHost();
      self->Open(next);
    });
  }

  bool MayRepeat(const Sent& sent) {
    constexpr int kUnavailable = 503;
    constexpr int kLimited = 429;
    return sent.kind == Kind::kUnsafe && sent.whole &&
           (sent.status == kUnavailable || sent.status == kLimited) &&
           Draw(paths.repeat_share);
  }

  bool Draw(double share) { return share > 0 && Share() < share; }

  std::size_t PickHost() {
    if (Draw(paths.stale_share)) return known[Pick(known.size())];
    return hosts[Pick(hosts.size())];
  }

  void Fill(Sent& sent, const std::string& prefix) {
    const double kind = Share();
    if (kind < paths.stream_share) {
      sent.kind = Kind::kStream;
      sent.path = prefix + "stream/" + sent.id;
      sent.body = "prompt of " + sent.id;
      sent.large = Share() < kLargePromptShare;
    } else if (kind < (1 + paths.stream_share) / 2) {
      sent.kind = Kind::kUnsafe;
      sent.path = prefix + "unsafe/" + sent.id + "?q=%2f";
      sent.body = "order of " + sent.id;
    } else {
      sent.path = prefix + "safe/" + sent.id;
    }
  }

  static http::Request RequestOf(const Sent& sent) {
    http::Request request;
    request.fields = {
        {"host", kHostHeader},
        {"x-request-id", sent.id},
        {"x-deadline-ms",
         std::to_string(
             std::chrono::duration_cast<milliseconds>(sent.deadline).count())},
        {"authorization", "Token " + sent.key}};
    if (sent.kind == Kind::kStream) {
      request.fields.push_back(
          {"x-token-count", sent.large ? kLargePrompt : kShortPrompt});
    }
    request.method = sent.kind == Kind::kSafe ? "GET" : "POST";
    request.target = sent.path;
    request.body = sent.body;
    return request;
  }

  http::CallHooks Hooks(std::size_t number) {
    http::CallHooks hooks;
    hooks.on_head = [self = shared_from_this(),
                     number](const http::Response& head) {
      Sent& sent = self->records.sent[number];
      sent.status = head.status;
      sent.marked = http::HasField(head.fields, "x-seal");
    };
    hooks.on_body = [self = shared_from_this(), number](std::string_view text) {
      self->records.sent[number].answer += text;
    };
    hooks.on_end = [self = shared_from_this(), number](http::CallEnd end) {
      Sent& sent = self->records.sent[number];
      sent.ended = Now();
      sent.whole = end.code == Errc::kOk;
      --self->open;
      self->MayRepeat(sent) ? self->RepeatLater(number) : self->Rest();
    };
    return hooks;
  }

  void LeaveLater(std::size_t number, std::shared_ptr<http::Call> call) {
    const auto timer = std::make_shared<asio::steady_timer>(
        io, milliseconds(Pick(kLongestStay.count())));
    timer->async_wait(
        [self = shared_from_this(), timer, number,
         call = std::move(call)](const boost::system::error_code&) {
          Sent& sent = self->records.sent[number];
          if (sent.ended) return;
          call->Cancel();
          sent.left = Now();
          sent.ended = sent.left;
          --self->open;
          self->Rest();
        });
  }

  asio::io_context& io;
  Records& records;
  const CallerPaths paths;
  std::mt19937_64 random;
  http::Client client;
  asio::steady_timer resolve_timer;
  std::vector<std::size_t> hosts;  ///< Of the last address answer.
  std::vector<std::size_t> known;  ///< Of all address answers.
  int open = 0;
  bool stopped = false;
};

Callers::Callers(asio::io_context& io, Records& records, CallerPaths paths,
                 std::uint64_t seed)
    : state_(std::make_shared<State>(io, records, std::move(paths), seed)) {}

Callers::~Callers() { Stop(); }

void Callers::Start(int count) {
  state_->Resolve();
  for (int i = 0; i < count; ++i) state_->Rest();
}

void Callers::Stop() {
  state_->stopped = true;
  state_->resolve_timer.cancel();
}

int Callers::open() const { return state_->open; }

}  // namespace comfreyflow::soak
