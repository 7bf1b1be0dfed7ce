// Confirms crashes and exchanges them with the other hosts.
#include "gateway/crash-watch.h"

#include <algorithm>
#include <cinttypes>
#include <utility>

#include "http/address.h"
#include "node/clock.h"
#include "node/log.h"
#include "node/run-loop.h"

namespace comfreyflow::gateway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using comfreyflow::detail::Now;
using node::Event;
using node::LogLine;
using node::Severity;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// A target that neither accepts nor refuses a connection for this long is cut
/// off or silent.
constexpr Duration kCheckTimeout = milliseconds(500);
constexpr Duration kTickPeriod = milliseconds(250);
/// Number of ticks after the start in which a host asks the others.
constexpr int kStartAsks = 8;
constexpr std::size_t kHostsAsked = 2;
constexpr std::size_t kHostsInformed = 1;
/// Crash reports in an answer to a host that asks.
constexpr std::size_t kMaxCrashesPerAnswer = 64;
constexpr std::size_t kMaxConcurrentChecks = 64;

std::string Hex(const std::vector<SubjectId>& subjects) {
  std::string out;
  char text[20];
  for (const SubjectId subject : subjects) {
    std::snprintf(text, sizeof(text), "%s%016" PRIx64, out.empty() ? "" : ",",
                  subject);
    out += text;
  }
  return out;
}

std::string Names(const std::vector<TargetName>& targets) {
  std::string out;
  for (const auto& target : targets) {
    if (!out.empty()) out += ',';
    out += target.value;
  }
  return out;
}

}  // namespace

CrashWatch::CrashWatch(asio::io_context& io, std::uint64_t seed,
                       CrashWatchHooks hooks)
    : io_(io),
      hooks_(std::move(hooks)),
      timer_(io),
      random_(seed),
      asks_left_(kStartAsks) {}

void CrashWatch::Start() {
  timer_.expires_after(kTickPeriod);
  timer_.async_wait([self = weak_from_this()](const error_code& error) {
    const auto watch = self.lock();
    if (error || !watch) return;
    const node::AtExit repeat([&watch] { watch->Start(); });
    watch->Tick();
  });
}

void CrashWatch::Stop() {
  timer_.cancel();
  for (const auto& [key, check] : checks_) {
    error_code ignored;
    check->socket.close(ignored);
    check->timer.cancel();
  }
}

void CrashWatch::OnConnectionBroken(const ServiceName& service,
                                    const PlacedTarget& target,
                                    const RequestSubjects& request,
                                    bool is_proven) {
  const std::size_t targets = ledger_.AddBreak(request, target.name, Now());
  if (targets > 0) {
    LogLine(Severity::kWarning, Event::kRequestSuspected)
        .With("fingerprint", request.request)
        .With("target", target.name)
        .With("crashes", std::uint64_t{targets});
  }
  if (!is_proven) CheckTarget(service, target, request);
}

void CrashWatch::CheckTarget(const ServiceName& service,
                             const PlacedTarget& target,
                             const RequestSubjects& request) {
  const CheckKey key{target.name, target.born};
  const auto known = checks_.find(key);
  if (known != checks_.end()) {
    known->second->report.requests.push_back(request);
    return;
  }
  asio::ip::tcp::endpoint endpoint;
  const std::string address =
      hooks_.path ? hooks_.path(target.address) : target.address;
  if (checks_.size() >= kMaxConcurrentChecks ||
      http::ParseEndpoint(address, endpoint)) {
    return;
  }
  const auto check = std::make_shared<Check>(
      Check{{service, target.name, target.born, Now(), {request}},
            target.address,
            asio::ip::tcp::socket(io_),
            asio::steady_timer(io_)});
  checks_[key] = check;
  check->socket.async_connect(
      endpoint, [self = weak_from_this(), key](const error_code& error) {
        const auto watch = self.lock();
        if (watch)
          watch->OnChecked(key, error == asio::error::connection_refused);
      });
  check->timer.expires_after(kCheckTimeout);
  check->timer.async_wait([check](const error_code& error) {
    error_code ignored;
    if (!error) check->socket.close(ignored);
  });
}

void CrashWatch::OnChecked(const CheckKey& key, bool is_refused) {
  const auto at = checks_.find(key);
  if (at == checks_.end()) return;
  const auto& check = at->second;
  error_code ignored;
  check->socket.close(ignored);
  check->timer.cancel();
  if (!is_refused) return Conclude(key, false);
  // The refusal may come from the way to the target.
  hooks_.ask_other(check->report.service, check->address,
                   [self = weak_from_this(), key](bool is_reached) {
                     const auto watch = self.lock();
                     if (watch) watch->Conclude(key, !is_reached);
                   });
}

void CrashWatch::Conclude(const CheckKey& key, bool has_crashed) {
  const auto at = checks_.find(key);
  if (at == checks_.end()) return;
  const auto check = at->second;
  checks_.erase(at);
  if (has_crashed) {
    ++confirmed_;
    return Record(check->report);
  }
  ++unconfirmed_;
  LogLine(Severity::kInfo, Event::kCrashSuspected)
      .With("service", check->report.service)
      .With("target", key.first)
      .With("born", key.second)
      .With("requests", std::uint64_t{check->report.requests.size()})
      .With("confirmed", false);
}

void CrashWatch::Record(const CrashReport& report) {
  const Time now = Now();
  const LedgerChange change = ledger_.AddCrash(report, now);
  for (const auto& request : report.requests) {
    LogLine(Severity::kWarning, Event::kCrashSuspected)
        .With("service", report.service)
        .With("target", report.target)
        .With("born", report.born)
        .With("fingerprint", request.request)
        .With("parts", Hex(request.parts))
        .With("confirmed", true)
        .With("crashes", std::uint64_t{ledger_.crashes()});
  }
  wire::CrashNewsMessage news;
  news.crashes.push_back(report);
  Broadcast(news);
  Apply(change, {});
}

void CrashWatch::OnAnswered(const RequestSubjects& request) {
  Apply(ledger_.Answered(request, Now()), {});
}

void CrashWatch::OnNews(const HostName& sender,
                        const wire::CrashNewsMessage& news) {
  const Time now = Now();
  for (const auto& acquittal : news.acquittals)
    Apply(ledger_.AddAcquittal(acquittal, now), sender);
  for (const auto& crash : news.crashes)
    Apply(ledger_.AddCrash(crash, now), sender);
  for (const auto& verdict : news.verdicts)
    Apply(ledger_.AddVerdict(verdict, now), sender);
  if (!news.wanted) asks_left_ = 0;
  if (!news.wanted || ledger_.crashes() + ledger_.verdicts().size() == 0)
    return;
  hooks_.send(AllNews(), {sender});
}

bool CrashWatch::IsCondemned(const ServiceName& service,
                             const RequestSubjects& request,
                             const std::string& request_id, bool& is_trial) {
  const Time now = Now();
  const CrashVerdict* verdict =
      ledger_.FindVerdict(request, hooks_.may_try(service), now);
  if (verdict == nullptr) {
    if (is_trial) return false;
    const Hold hold = ledger_.HoldOf(request, hooks_.may_try(service), now);
    is_trial = hold == Hold::kTrial;
    if (hold != Hold::kHeld) return false;
    ++refused_;
    LogLine(Severity::kInfo, Event::kCrashRefused)
        .With("request", request_id)
        .With("service", service)
        .With("subjects", Hex({request.request}));
    return true;
  }
  ++refused_;
  LogLine(Severity::kInfo, Event::kCrashRefused)
      .With("request", request_id)
      .With("service", service)
      .With("subjects", Hex(verdict->subjects))
      .With("targets", Names(verdict->targets))
      .With("age", duration_cast<milliseconds>(now - verdict->last_crash))
      .With("trials", std::uint64_t{verdict->trials});
  return true;
}

void CrashWatch::LogChange(const LedgerChange& change, const HostName& source) {
  const auto log = [&source](Event event, const CrashVerdict& verdict) {
    const Time now = Now();
    LogLine(Severity::kWarning, event)
        .With("subjects", Hex(verdict.subjects))
        .With("accounts", std::uint64_t{verdict.accounts.size()})
        .With("targets", Names(verdict.targets))
        .With("first", duration_cast<milliseconds>(now - verdict.first_crash))
        .With("age", duration_cast<milliseconds>(now - verdict.last_crash))
        .With("host", source);
  };
  for (const auto& verdict : change.condemned)
    log(Event::kCrashCondemned, verdict);
  for (const auto& verdict : change.lifted) log(Event::kCrashLifted, verdict);
}

void CrashWatch::Apply(const LedgerChange& change, const HostName& source) {
  LogChange(change, source);
  wire::CrashNewsMessage news;
  news.acquittals = change.acquittals;
  if (source.value.empty()) news.verdicts = change.condemned;
  if (!news.empty()) Broadcast(news);
}

void CrashWatch::Broadcast(const wire::CrashNewsMessage& news) {
  hooks_.send(news, hooks_.hosts());
}

void CrashWatch::Tick() {
  ledger_.Tick(Now());
  if (asks_left_ > 0) {
    --asks_left_;
    wire::CrashNewsMessage question;
    question.wanted = true;
    hooks_.send(question, RandomHosts(kHostsAsked));
  }
  // Datagrams may be lost, and a host may have been cut off.
  if (ledger_.crashes() + ledger_.verdicts().size() == 0) return;
  hooks_.send(AllNews(), RandomHosts(kHostsInformed));
}

std::vector<HostName> CrashWatch::RandomHosts(std::size_t count) {
  std::vector<HostName> hosts = hooks_.hosts();
  std::shuffle(hosts.begin(), hosts.end(), random_);
  if (hosts.size() > count) hosts.resize(count);
  return hosts;
}

wire::CrashNewsMessage CrashWatch::AllNews() const {
  wire::CrashNewsMessage news;
  news.crashes = ledger_.RecentCrashes(kMaxCrashesPerAnswer);
  news.verdicts = ledger_.verdicts();
  return news;
}

}  // namespace comfreyflow::gateway
