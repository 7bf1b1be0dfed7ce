// Makes calls to the platform's object store.
#include "platform/client.h"

#include <boost/asio.hpp>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "http/address.h"
#include "node/clock.h"

namespace comfreyflow {

namespace asio = boost::asio;
using Json = nlohmann::json;
using detail::Now;

namespace {

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kFirstServerError = 500;

/// The result of a call. `status` is 0 if no complete answer arrived.
struct Result {
  int status = 0;
  bool sent = false;  ///< Part of the request may have reached the platform.
  bool timed_out = false;  ///< No answer came in time.
  std::uint64_t era = 0;   ///< Of the store when the answer came.
  std::string body;
};

/// The error for an HTTP status; none for a success.
std::error_code StatusError(int status) {
  switch (status) {
    case kOk:
    case kCreated:
      return {};
    case kNotFound:
      return Errc::kObjectNotFound;
    case kConflict:
      return Errc::kVersionConflict;
    case kTooManyRequests:
      return Errc::kPlatformRateLimited;
    default:
      return status == 0 || status >= kFirstServerError
                 ? Errc::kPlatformUnavailable
                 : Errc::kCodec;
  }
}

PlatformEnd EndOf(int status) {
  if (status == kTooManyRequests) return PlatformEnd::kThrottled;
  const bool failed = status == 0 || status >= kFirstServerError;
  return failed ? PlatformEnd::kFailed : PlatformEnd::kAnswered;
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

/// Parses the result of a call; a malformed body gives `kCodec`.
template <class Answer>
Answer Decode(const Result& result,
              const std::function<void(const std::string&, Answer&)>& fill) {
  Answer answer;
  answer.error = StatusError(result.status);
  if (answer.error) return answer;
  try {
    fill(result.body, answer);
  } catch (const std::exception&) {
    answer = {};
    answer.error = Errc::kCodec;
  }
  return answer;
}

void SetEra(ReadAnswer& answer, std::uint64_t era) {
  answer.object.version.era = era;
}

void SetEra(ListAnswer& answer, std::uint64_t era) {
  answer.version.era = era;
  for (auto& item : answer.items) item.version.era = era;
}

void SetEra(WatchAnswer& answer, std::uint64_t era) {
  answer.version.era = era;
  for (auto& change : answer.changes) change.version.era = era;
}

void SetEra(HostsAnswer&, std::uint64_t) {}

WriteAnswer DecodeWrite(const Result& result, std::uint64_t revision) {
  WriteAnswer answer;
  answer.error = StatusError(result.status);
  answer.version = {result.era, revision};
  const bool no_answer = result.status == 0 && result.sent;
  const bool outcome_unknown = result.status >= kFirstServerError &&
                               result.status != kServiceUnavailable;
  if (no_answer || outcome_unknown) {
    answer.state = WriteState::kAnswerLost;
  } else if (!answer.error) {
    answer.state = WriteState::kApplied;
  }
  return answer;
}

}  // namespace

struct PlatformClient::Core : std::enable_shared_from_this<Core> {
  using Handler = std::function<void(const Result&)>;
  using RefusalHandler = std::function<void(std::error_code)>;

  /// A call from its request for a permit to its end.
  struct Job {
    PlatformCall call = PlatformCall::kRead;
    http::Request request;
    /// Sent instead of `request` if the call is an outage probe, which should
    /// end quickly.
    std::optional<http::Request> probe;
    Duration timeout{};
    PlatformPermit permit;
    Handler done;
    RefusalHandler refused;
  };
  using JobPtr = std::shared_ptr<Job>;

  Core(asio::io_context& io, http::Client& client,
       PlatformSettings platform_settings, ObjectApi object_api)
      : settings(std::move(platform_settings)),
        api(std::move(object_api)),
        http(client),
        strand(asio::make_strand(io)),
        gate(settings.limits) {}

  void Run(const JobPtr& job) {
    asio::post(strand, [self = shared_from_this(), job] { self->Start(job); });
  }

  void Start(const JobPtr& job) {
    job->permit = gate.Start(job->call, Now());
    if (job->permit.code != Errc::kOk) {
      Count(&PlatformCounts::refused_locally);
      return job->refused(job->permit.code);
    }
    Count(job->call == PlatformCall::kWrite ? &PlatformCounts::writes
                                            : &PlatformCounts::reads);
    if (job->permit.probe && job->probe) {
      job->request = std::move(*job->probe);
      job->timeout = settings.call_timeout;
    }
    Send(job, false);
  }

  void Count(std::uint64_t PlatformCounts::*field) {
    const std::lock_guard lock(mutex);
    ++(counts.*field);
  }

  void Send(const JobPtr& job, bool is_retry) {
    http::Request request{job->request.method, job->request.path,
                          job->request.query,  job->request.fields,
                          job->request.body,   {}};
    http::CallOptions options;
    const auto timeout =
        std::chrono::ceil<std::chrono::milliseconds>(job->timeout);
    options.connect_timeout = std::min(options.connect_timeout, timeout);
    options.progress_timeout = timeout;
    options.fresh_connection = is_retry;
    options.probe_silence = job->call == PlatformCall::kWatch;
    http.Fetch(settings.address, std::move(request), options,
               [self = shared_from_this(), job, is_retry](
                   http::CallEnd end, const http::Response& response) {
                 Result result{end.code == Errc::kOk ? response.status : 0,
                               end.sent,
                               end.code == Errc::kTargetUnresponsive,
                               {},
                               response.body};
                 AnswerEra era;
                 if (result.status != 0 && self->api.read_era)
                   era = self->api.read_era(response.fields);
                 asio::post(self->strand, [self, job, is_retry, result, era] {
                   self->End(job, is_retry, self->WithEra(result, era));
                 });
               });
  }

  /// Takes the era of an answer. An answer of an earlier era counts as lost:
  /// what it says may not hold any more.
  Result WithEra(Result result, const AnswerEra& answer) {
    if (result.status == 0) return result;
    const std::uint64_t before = era.current();
    const StoreEra::Change change = era.Observe(answer.era, Now());
    if (answer.is_unreadable) Count(&PlatformCounts::unreadable_eras);
    if (answer.is_unreadable && !std::exchange(has_unreadable_era, true))
      Notify({EraNotice::Kind::kUnreadable, before, 0});
    if (answer.era) has_unreadable_era = false;
    if (change == StoreEra::Change::kOutdated) {
      Count(&PlatformCounts::outdated);
      Notify({EraNotice::Kind::kOutdated, before, *answer.era});
      result.status = 0;
      result.sent = true;
      result.body.clear();
    } else if (change != StoreEra::Change::kNone) {
      Notify({EraNotice::Kind::kChanged, before, era.current()});
    } else if (era.current() != before) {
      Notify({EraNotice::Kind::kFirst, before, era.current()});
    }
    result.era = era.current();
    return result;
  }

  void Notify(const EraNotice& notice) const {
    if (settings.on_era) settings.on_era(notice);
  }

  /// Whether the version can be the condition of a write.
  bool IsOfThisEra(const StoreVersion& version) const {
    return version.revision == 0 || version.era == era.current();
  }

  void End(const JobPtr& job, bool is_retry, const Result& result) {
    const bool answer_lost = result.status == 0 && result.sent;
    if (answer_lost && !is_retry && settings.resend_reads &&
        RetryOnNewConnection(job->call, gate.outage())) {
      return Send(job, true);
    }
    gate.Ended(job->call, job->permit, EndOf(result.status), Now());
    if (result.status == 0) Count(&PlatformCounts::failed);
    if (answer_lost && job->call == PlatformCall::kWrite) {
      Count(&PlatformCounts::answers_lost);
    }
    job->done(result);
  }

  void Write(http::Request request, const WriteHandler& handler) {
    auto job = std::make_shared<Job>();
    job->call = PlatformCall::kWrite;
    job->request = std::move(request);
    job->timeout = settings.call_timeout;
    job->refused = [handler](std::error_code error) {
      handler({WriteState::kRefused, error, {}});
    };
    job->done = [handler, read = api.read_version](const Result& result) {
      handler(DecodeWrite(result, read(result.body)));
    };
    Run(job);
  }

  /// Makes a write on the condition of a version, unless the version is of
  /// another era than the store's. The same revision may then be that of
  /// another value.
  void Conditional(const StoreVersion& version, const WriteHandler& handler,
                   std::function<void()> write) {
    asio::post(strand, [self = shared_from_this(), version, handler,
                        write = std::move(write)] {
      if (self->IsOfThisEra(version)) return write();
      handler({WriteState::kRefused, Errc::kVersionConflict, {}});
    });
  }

  /// Sends a write with a value, or refuses it if the value couldn't be
  /// encoded.
  void Put(http::Request request, const WriteHandler& handler) {
    if (!request.body.empty()) return Write(std::move(request), handler);
    asio::post(strand, [handler] {
      handler({WriteState::kRefused, Errc::kCodec, {}});
    });
  }

  template <class Answer>
  JobPtr ReadJob(http::Request request,
                 const std::function<void(Answer)>& handler,
                 const std::function<void(const std::string&, Answer&)>& fill) {
    auto job = std::make_shared<Job>();
    job->request = std::move(request);
    job->timeout = settings.call_timeout;
    job->refused = [handler](std::error_code error) {
      Answer answer;
      answer.error = error;
      handler(std::move(answer));
    };
    job->done = [self = shared_from_this(), handler,
                 fill](const Result& result) {
      const auto read = [fill](const Result& from) {
        Answer answer = Decode<Answer>(from, fill);
        SetEra(answer, from.era);
        if constexpr (requires { answer.timed_out; })
          answer.timed_out = from.timed_out;
        return answer;
      };
      const auto& offload = self->settings.offload;
      if (!offload || result.body.size() < kLargeAnswerBytes) {
        return handler(read(result));
      }
      offload([self, handler, read, result] {
        auto answer = std::make_shared<Answer>(read(result));
        asio::post(self->strand,
                   [handler, answer] { handler(std::move(*answer)); });
      });
    };
    return job;
  }

  PlatformSettings settings;
  const ObjectApi api;
  http::Client& http;
  asio::strand<asio::io_context::executor_type> strand;
  PlatformGate gate;
  StoreEra era;                     ///< Used on the strand, as the next one.
  bool has_unreadable_era = false;  ///< Of the last answer with an era.
  std::mutex mutex;  ///< Guards `counts`, which any thread may read.
  PlatformCounts counts;
};

PlatformClient::PlatformClient(asio::io_context& io, http::Client& http,
                               PlatformSettings settings, ObjectApi api) {
  asio::ip::tcp::endpoint endpoint;
  const std::error_code error = http::ParseEndpoint(settings.address, endpoint);
  if (error || endpoint.port() == 0) {
    throw std::system_error(Errc::kSettingsInvalid, settings.address);
  }
  core_ = std::make_shared<Core>(io, http, std::move(settings), std::move(api));
}

void PlatformClient::Create(const std::string& kind, const std::string& name,
                            const std::string& value,
                            const WriteHandler& handler) {
  core_->Put(core_->api.create(kind, name, value), handler);
}

void PlatformClient::Update(const std::string& kind, const std::string& name,
                            const StoreVersion& version,
                            const std::string& value,
                            const WriteHandler& handler) {
  core_->Conditional(version, handler, [=, core = core_] {
    core->Put(core->api.update(kind, name, version.revision, value), handler);
  });
}

void PlatformClient::Remove(const std::string& kind, const std::string& name,
                            const StoreVersion& version,
                            const WriteHandler& handler) {
  core_->Conditional(version, handler, [=, core = core_] {
    core->Write(core->api.remove(kind, name, version.revision), handler);
  });
}

void PlatformClient::Read(const std::string& kind, const std::string& name,
                          const ReadHandler& handler) {
  core_->Run(core_->ReadJob<ReadAnswer>(
      core_->api.read(kind, name), handler,
      [name, read = core_->api.read_object](const std::string& body,
                                            ReadAnswer& answer) {
        answer.object.name = name;
        read(body, answer);
      }));
}

void PlatformClient::List(const ListQuery& query, const ListHandler& handler) {
  core_->Run(core_->ReadJob<ListAnswer>(core_->api.list(query), handler,
                                        core_->api.read_list));
}

void PlatformClient::Watch(const std::string& kind, const StoreVersion& since,
                           Duration timeout, const WatchHandler& handler) {
  const auto job = core_->ReadJob<WatchAnswer>(
      core_->api.watch(kind, since.revision, timeout), handler,
      core_->api.read_watch);
  job->call = PlatformCall::kWatch;
  const bool waits = timeout > Duration::zero();
  job->timeout = waits ? timeout + core_->settings.watch_grace
                       : core_->settings.call_timeout;
  job->probe = core_->api.watch(kind, since.revision, Duration::zero());
  job->done = [handler, done = job->done,
               version = core_->api.read_version](const Result& result) {
    if (result.status != kGone) return done(result);
    WatchAnswer answer;
    answer.history_expired = true;
    answer.version = {result.era, version(result.body)};
    handler(std::move(answer));
  };
  core_->Run(job);
}

void PlatformClient::Hosts(const HostsHandler& handler) {
  http::Request request;
  request.method = "GET";
  request.path = "/hosts";
  core_->Run(core_->ReadJob<HostsAnswer>(
      std::move(request), handler,
      [](const std::string& text, HostsAnswer& answer) {
        const Json body = Json::parse(text);
        answer.version = body.at("version");
        answer.hosts = ParseMembers(body.at("hosts"), "gossip");
        answer.targets = ParseMembers(body.at("targets"), "address");
      }));
}

PlatformCounts PlatformClient::Counts() const {
  const std::lock_guard lock(core_->mutex);
  return core_->counts;
}

void PlatformClient::State(PlatformCall call, const StateHandler& handler) {
  asio::post(core_->strand, [core = core_, call, handler] {
    handler(core->gate.RetryAfter(call, Now()), core->gate.outage(),
            PlatformCounts(core->counts));
  });
}

}  // namespace comfreyflow
