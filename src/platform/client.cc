// Client of the platform's object API.
#include "platform/client.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "node/clock.h"
#include "platform/exchange.h"

namespace comfreyflow {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Json = nlohmann::json;
using detail::ExchangeRequest;
using detail::ExchangeResult;
using detail::Now;

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kTooMany = 429;
constexpr int kOutage = 503;
constexpr int kServerErrors = 500;
constexpr std::string_view kHexDigits = "0123456789ABCDEF";

asio::ip::tcp::endpoint ParseEndpoint(const std::string& address) {
  const auto colon = address.rfind(':');
  std::string host = address.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(host, error);
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const char* start = colon == std::string::npos ? end : &address[colon] + 1;
  const auto read = std::from_chars(start, end, port);
  if (error || read.ec != std::errc() || read.ptr != end || port == 0) {
    throw std::system_error(Errc::kSettingsInvalid, address);
  }
  return {ip, port};
}

std::string Escape(const std::string& text) {
  const std::string plain = "-_.~";
  std::string out;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) || plain.find(c) != std::string::npos) {
      out += c;
    } else {
      out += {'%', kHexDigits[byte / 16], kHexDigits[byte % 16]};
    }
  }
  return out;
}

/// The body of a write; empty when the value is not UTF-8.
std::string ValueBody(const std::string& value) {
  try {
    return Json{{"value", value}}.dump();
  } catch (const Json::exception&) {
    return "";
  }
}

std::string ObjectPath(const std::string& kind, const std::string& name) {
  return "/objects/" + Escape(kind) + '/' + Escape(name);
}

/// The error that a status other than 200 stands for.
std::error_code StatusError(int status) {
  switch (status) {
    case kOk:
      return {};
    case kNotFound:
      return Errc::kObjectNotFound;
    case kConflict:
      return Errc::kVersionConflict;
    case kTooMany:
      return Errc::kPlatformRateLimited;
    default:
      return status == 0 || status >= kServerErrors ? Errc::kPlatformUnavailable
                                                    : Errc::kCodec;
  }
}

PlatformEnd EndOf(int status) {
  if (status == kTooMany) return PlatformEnd::kThrottled;
  const bool failed = status == 0 || status >= kServerErrors;
  return failed ? PlatformEnd::kFailed : PlatformEnd::kAnswered;
}

PlatformObject ParseObject(const Json& item) {
  return {item.at("name"), item.at("version"), item.at("value"),
          item.value("deleted", false)};
}

std::vector<PlatformObject> ParseObjects(const Json& items) {
  std::vector<PlatformObject> out;
  for (const Json& item : items) out.push_back(ParseObject(item));
  return out;
}

std::vector<PlatformMember> ParseMembers(const Json& items,
                                         const char* address) {
  std::vector<PlatformMember> out;
  for (const Json& item : items) {
    out.push_back({item.at("name"), item.at(address),
                   item.value("state", "live") == "leaving",
                   item.value("failure_domain", ""), item.value("service", ""),
                   item.value("class", "")});
  }
  return out;
}

/// Fills an answer from a result; a body of a wrong shape is `kCodec`.
template <class Answer>
Answer Decode(const ExchangeResult& result,
              const std::function<void(const Json&, Answer&)>& fill) {
  Answer answer;
  answer.error = StatusError(result.status);
  if (answer.error) return answer;
  try {
    fill(Json::parse(result.body), answer);
  } catch (const Json::exception&) {
    answer = {};
    answer.error = Errc::kCodec;
  }
  return answer;
}

std::uint64_t VersionIn(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return 0;
  const auto version = json.find("version");
  const bool known = version != json.end() && version->is_number_unsigned();
  return known ? version->get<std::uint64_t>() : 0;
}

WriteAnswer DecodeWrite(const ExchangeResult& result) {
  WriteAnswer answer;
  answer.error = StatusError(result.status);
  answer.version = VersionIn(result.body);
  const bool no_word = result.status == 0 && result.sent;
  const bool unclear =
      result.status >= kServerErrors && result.status != kOutage;
  if (no_word || unclear) {
    answer.state = WriteState::kAnswerLost;
  } else if (!answer.error) {
    answer.state = WriteState::kApplied;
  }
  return answer;
}

}  // namespace

struct PlatformClient::Core : std::enable_shared_from_this<Core> {
  using Handler = detail::ExchangeHandler;
  using Refused = std::function<void(std::error_code)>;
  using Probe = std::function<void(ExchangeRequest&)>;

  Core(const asio::any_io_executor& executor, PlatformSettings given)
      : settings(std::move(given)),
        strand(asio::make_strand(executor)),
        gate(settings.limits),
        pool(strand, ParseEndpoint(settings.address)) {}

  /// Makes the call if the gate permits it; `probe` may change it first.
  void Run(PlatformCall call, ExchangeRequest request, Handler done,
           const Refused& refused,
           const Probe& probe = nullptr) {
    asio::post(strand, [=, this, self = shared_from_this()]() mutable {
      const PlatformPermit permit = gate.Start(call, Now());
      if (permit.code != Errc::kOk) {
        ++counts.refused_here;
        return refused(permit.code);
      }
      ++(call == PlatformCall::kRead ? counts.reads : counts.writes);
      if (permit.probe && probe) probe(request);
      Send(call, permit, std::move(request), false, std::move(done));
    });
  }

  void Send(PlatformCall call, PlatformPermit permit, ExchangeRequest request,
            bool fresh, Handler done) {
    pool.Call(request, fresh,
              [=, this, self = shared_from_this()](ExchangeResult result) {
                const bool again = result.status == 0 && !fresh &&
                                   RetryOnNewConnection(call, result.pooled);
                if (again) return Send(call, permit, request, true, done);
                End(call, permit, result);
                done(std::move(result));
              });
  }

  void End(PlatformCall call, const PlatformPermit& permit,
           const ExchangeResult& result) {
    gate.Ended(call, permit, EndOf(result.status), Now());
    if (result.status != 0) return;
    ++counts.failed;
    if (call == PlatformCall::kWrite && result.sent) ++counts.answers_lost;
  }

  void Write(ExchangeRequest request, WriteHandler handler) {
    request.timeout = settings.call_timeout;
    if (request.method == http::verb::put && request.body.empty()) {
      return asio::post(strand, [handler = std::move(handler)] {
        handler({WriteState::kRefused, Errc::kCodec, 0});
      });
    }
    Run(
        PlatformCall::kWrite, std::move(request),
        [handler](const ExchangeResult& result) {
          handler(DecodeWrite(result));
        },
        [handler](std::error_code error) {
          handler({WriteState::kRefused, error, 0});
        });
  }

  template <class Answer>
  void Get(std::string target, std::function<void(Answer)> handler,
           std::function<void(const Json&, Answer&)> fill) {
    ExchangeRequest request;
    request.target = std::move(target);
    request.timeout = settings.call_timeout;
    Run(
        PlatformCall::kRead, std::move(request),
        [handler, fill](const ExchangeResult& result) {
          handler(Decode<Answer>(result, fill));
        },
        [handler](std::error_code error) {
          Answer answer;
          answer.error = error;
          handler(std::move(answer));
        });
  }

  PlatformSettings settings;
  asio::strand<asio::any_io_executor> strand;
  PlatformGate gate;
  PlatformCounts counts;
  detail::ConnectionPool pool;
};

PlatformClient::PlatformClient(const asio::any_io_executor& executor,
                               PlatformSettings settings)
    : core_(std::make_shared<Core>(executor, std::move(settings))) {}

void PlatformClient::Create(const std::string& kind, const std::string& name,
                            const std::string& value, WriteHandler handler) {
  ExchangeRequest request;
  request.method = http::verb::put;
  request.target = ObjectPath(kind, name);
  request.body = ValueBody(value);
  request.if_none_match = true;
  core_->Write(std::move(request), std::move(handler));
}

void PlatformClient::Update(const std::string& kind, const std::string& name,
                            std::uint64_t version, const std::string& value,
                            WriteHandler handler) {
  ExchangeRequest request;
  request.method = http::verb::put;
  request.target = ObjectPath(kind, name);
  request.body = ValueBody(value);
  request.if_match = std::to_string(version);
  core_->Write(std::move(request), std::move(handler));
}

void PlatformClient::Remove(const std::string& kind, const std::string& name,
                            std::uint64_t version, WriteHandler handler) {
  ExchangeRequest request;
  request.method = http::verb::delete_;
  request.target = ObjectPath(kind, name);
  request.if_match = std::to_string(version);
  core_->Write(std::move(request), std::move(handler));
}

void PlatformClient::Read(const std::string& kind, const std::string& name,
                          ReadHandler handler) {
  core_->Get<ReadAnswer>(
      ObjectPath(kind, name), std::move(handler),
      [name](const Json& body, ReadAnswer& answer) {
        answer.object = {name, body.at("version"), body.at("value")};
      });
}

void PlatformClient::List(const ListQuery& query, ListHandler handler) {
  const std::string target =
      "/objects/" + Escape(query.kind) + "?prefix=" + Escape(query.prefix) +
      "&from=" + Escape(query.from) + "&limit=" + std::to_string(query.limit);
  core_->Get<ListAnswer>(target, std::move(handler),
                         [](const Json& body, ListAnswer& answer) {
                           answer.version = body.at("version");
                           answer.items = ParseObjects(body.at("items"));
                         });
}

void PlatformClient::Watch(const std::string& kind, std::uint64_t since,
                           Duration timeout, WatchHandler handler) {
  const auto target = [kind, since](Duration wait) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait);
    return "/watch/" + Escape(kind) + "?since=" + std::to_string(since) +
           "&timeout_ms=" + std::to_string(ms.count());
  };
  ExchangeRequest request;
  request.target = target(timeout);
  request.timeout = timeout + core_->settings.watch_grace;
  core_->Run(
      PlatformCall::kRead, std::move(request),
      [handler](const ExchangeResult& result) {
        WatchAnswer answer =
            Decode<WatchAnswer>(result, [](const Json& body, WatchAnswer& out) {
              out.version = body.at("version");
              out.changes = ParseObjects(body.at("changes"));
            });
        answer.forgotten = result.status == kGone;
        if (answer.forgotten) answer.error = {};
        if (answer.forgotten) answer.version = VersionIn(result.body);
        handler(std::move(answer));
      },
      [handler](std::error_code error) {
        WatchAnswer answer;
        answer.error = error;
        handler(std::move(answer));
      },
      [target, core = core_](ExchangeRequest& probe) {
        probe.target = target(Duration::zero());
        probe.timeout = core->settings.call_timeout;
      });
}

void PlatformClient::Hosts(HostsHandler handler) {
  core_->Get<HostsAnswer>(
      "/hosts", std::move(handler), [](const Json& body, HostsAnswer& answer) {
        answer.version = body.at("version");
        answer.hosts = ParseMembers(body.at("hosts"), "gossip");
        answer.targets = ParseMembers(body.at("targets"), "address");
      });
}

void PlatformClient::State(PlatformCall call, StateHandler handler) {
  asio::post(core_->strand, [core = core_, call, handler] {
    handler(core->gate.RetryAfter(call, Now()), core->gate.outage(),
            core->counts);
  });
}

}  // namespace comfreyflow
