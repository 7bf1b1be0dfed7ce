// Client of the platform's object API.
#include "platform/client.h"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include "http/address.h"
#include "node/clock.h"

namespace comfreyflow {

namespace asio = boost::asio;
using Json = nlohmann::json;
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

/// What came back. `status` 0: no whole answer.
struct Result {
  int status = 0;
  bool sent = false;  ///< A byte of the request may have reached the platform.
  std::string body;
};

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
Answer Decode(const Result& result,
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

WriteAnswer DecodeWrite(const Result& result) {
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
  using Handler = std::function<void(const Result&)>;
  using Refused = std::function<void(std::error_code)>;

  /// A call that waits for its permit, or was permitted.
  struct Job {
    PlatformCall call = PlatformCall::kRead;
    http::Request request;
    std::string probe_query;  ///< Replaces the query of a probe; empty: keep.
    Duration timeout{};
    PlatformPermit permit;
    Handler done;
    Refused refused;
  };
  using JobPtr = std::shared_ptr<Job>;

  Core(asio::io_context& io, http::Client& client, PlatformSettings given)
      : settings(std::move(given)),
        http(client),
        strand(asio::make_strand(io)),
        gate(settings.limits) {}

  void Run(const JobPtr& job) {
    asio::post(strand, [self = shared_from_this(), job] { self->Start(job); });
  }

  void Start(const JobPtr& job) {
    job->permit = gate.Start(job->call, Now());
    if (job->permit.code != Errc::kOk) {
      ++counts.refused_here;
      return job->refused(job->permit.code);
    }
    ++(job->call == PlatformCall::kWrite ? counts.writes : counts.reads);
    if (job->permit.probe && !job->probe_query.empty()) {
      job->request.query = job->probe_query;
      job->timeout = settings.call_timeout;
    }
    Send(job, false);
  }

  void Send(const JobPtr& job, bool again) {
    http::Request request{job->request.method, job->request.path,
                          job->request.query,  job->request.fields,
                          job->request.body,   {}};
    http::CallOptions options;
    const auto timeout =
        std::chrono::ceil<std::chrono::milliseconds>(job->timeout);
    options.connect_timeout = std::min(options.connect_timeout, timeout);
    options.progress_timeout = timeout;
    options.fresh_connection = again;
    http.Fetch(settings.address, std::move(request), options,
               [self = shared_from_this(), job, again](
                   http::CallEnd end, const http::Response& response) {
                 Result result{end.code == Errc::kOk ? response.status : 0,
                               end.sent, response.body};
                 asio::post(self->strand, [self, job, again, result] {
                   self->End(job, again, result);
                 });
               });
  }

  void End(const JobPtr& job, bool again, const Result& result) {
    const bool lost = result.status == 0 && result.sent;
    if (lost && !again && RetryOnNewConnection(job->call, gate.outage())) {
      return Send(job, true);
    }
    gate.Ended(job->call, job->permit, EndOf(result.status), Now());
    if (result.status == 0) ++counts.failed;
    if (lost && job->call == PlatformCall::kWrite) ++counts.answers_lost;
    job->done(result);
  }

  void Write(const char* method, const std::string& path,
             const http::Field& condition, const std::string& body,
             const WriteHandler& handler) {
    auto job = std::make_shared<Job>();
    job->call = PlatformCall::kWrite;
    job->request.method = method;
    job->request.path = path;
    job->request.fields = {condition};
    job->request.body = body;
    job->timeout = settings.call_timeout;
    job->refused = [handler](std::error_code error) {
      handler({WriteState::kRefused, error, 0});
    };
    job->done = [handler](const Result& result) {
      handler(DecodeWrite(result));
    };
    Run(job);
  }

  void Put(const std::string& path, const http::Field& condition,
           const std::string& value, const WriteHandler& handler) {
    const std::string body = ValueBody(value);
    if (!body.empty()) {
      return Write("PUT", path, condition, body, handler);
    }
    asio::post(strand, [handler] {
      handler({WriteState::kRefused, Errc::kCodec, 0});
    });
  }

  template <class Answer>
  JobPtr ReadJob(const std::string& path, const std::string& query,
                 const std::function<void(Answer)>& handler,
                 const std::function<void(const Json&, Answer&)>& fill) {
    auto job = std::make_shared<Job>();
    job->request.method = "GET";
    job->request.path = path;
    job->request.query = query;
    job->timeout = settings.call_timeout;
    job->refused = [handler](std::error_code error) {
      Answer answer;
      answer.error = error;
      handler(std::move(answer));
    };
    job->done = [handler, fill](const Result& result) {
      handler(Decode<Answer>(result, fill));
    };
    return job;
  }

  PlatformSettings settings;
  http::Client& http;
  asio::strand<asio::io_context::executor_type> strand;
  PlatformGate gate;
  PlatformCounts counts;
};

PlatformClient::PlatformClient(asio::io_context& io, http::Client& http,
                               PlatformSettings settings) {
  asio::ip::tcp::endpoint endpoint;
  const std::error_code error = http::ParseEndpoint(settings.address, endpoint);
  if (error || endpoint.port() == 0) {
    throw std::system_error(Errc::kSettingsInvalid, settings.address);
  }
  core_ = std::make_shared<Core>(io, http, std::move(settings));
}

void PlatformClient::Create(const std::string& kind, const std::string& name,
                            const std::string& value,
                            const WriteHandler& handler) {
  core_->Put(ObjectPath(kind, name), {"if-none-match", "*"}, value, handler);
}

void PlatformClient::Update(const std::string& kind, const std::string& name,
                            std::uint64_t version, const std::string& value,
                            const WriteHandler& handler) {
  core_->Put(ObjectPath(kind, name), {"if-match", std::to_string(version)},
             value, handler);
}

void PlatformClient::Remove(const std::string& kind, const std::string& name,
                            std::uint64_t version,
                            const WriteHandler& handler) {
  core_->Write("DELETE", ObjectPath(kind, name),
               {"if-match", std::to_string(version)}, "", handler);
}

void PlatformClient::Read(const std::string& kind, const std::string& name,
                          const ReadHandler& handler) {
  core_->Run(core_->ReadJob<ReadAnswer>(
      ObjectPath(kind, name), "", handler,
      [name](const Json& body, ReadAnswer& answer) {
        answer.object = {name, body.at("version"), body.at("value")};
      }));
}

void PlatformClient::List(const ListQuery& query, const ListHandler& handler) {
  const std::string text = "prefix=" + Escape(query.prefix) +
                           "&from=" + Escape(query.from) +
                           "&limit=" + std::to_string(query.limit);
  core_->Run(core_->ReadJob<ListAnswer>(
      "/objects/" + Escape(query.kind), text, handler,
      [](const Json& body, ListAnswer& answer) {
        answer.version = body.at("version");
        answer.items = ParseObjects(body.at("items"));
      }));
}

void PlatformClient::Watch(const std::string& kind, std::uint64_t since,
                           Duration timeout, const WatchHandler& handler) {
  const auto query = [since](Duration wait) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait);
    return "since=" + std::to_string(since) +
           "&timeout_ms=" + std::to_string(ms.count());
  };
  const auto job = core_->ReadJob<WatchAnswer>(
      "/watch/" + Escape(kind), query(timeout), handler,
      [](const Json& body, WatchAnswer& answer) {
        answer.version = body.at("version");
        answer.changes = ParseObjects(body.at("changes"));
      });
  job->call = PlatformCall::kWatch;
  job->timeout = timeout + core_->settings.watch_grace;
  job->probe_query = query(Duration::zero());
  job->done = [handler, done = job->done](const Result& result) {
    if (result.status != kGone) return done(result);
    WatchAnswer answer;
    answer.forgotten = true;
    answer.version = VersionIn(result.body);
    handler(std::move(answer));
  };
  core_->Run(job);
}

void PlatformClient::Hosts(const HostsHandler& handler) {
  core_->Run(core_->ReadJob<HostsAnswer>(
      "/hosts", "", handler, [](const Json& body, HostsAnswer& answer) {
        answer.version = body.at("version");
        answer.hosts = ParseMembers(body.at("hosts"), "gossip");
        answer.targets = ParseMembers(body.at("targets"), "address");
      }));
}

void PlatformClient::State(PlatformCall call, const StateHandler& handler) {
  asio::post(core_->strand, [core = core_, call, handler] {
    handler(core->gate.RetryAfter(call, Now()), core->gate.outage(),
            core->counts);
  });
}

}  // namespace comfreyflow
