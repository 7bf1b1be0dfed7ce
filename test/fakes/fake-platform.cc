// Stand-in of the platform's object API.
#include "fakes/fake-platform.h"

namespace comfreyflow::fakes {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::uint64_t kWatchTimeoutMs = 30000;
constexpr std::uint64_t kListLimit = 1000;
constexpr std::size_t kValueLimit = 1 << 20;  // Bytes.

Json ErrorBody(const char* code) { return {{"error", {{"code", code}}}}; }

/// Splits `/PREFIX/KIND[/NAME]` behind its prefix; names may hold slashes.
bool SplitPath(const std::string& path, const std::string& prefix,
               std::string& kind, std::string& name) {
  if (path.rfind(prefix, 0) != 0) return false;
  const std::string rest = path.substr(prefix.size());
  const auto slash = rest.find('/');
  kind = rest.substr(0, slash);
  name = slash == std::string::npos ? "" : rest.substr(slash + 1);
  return !kind.empty();
}

bool IsWrite(const FakeRequest& request) { return request.method != "GET"; }

Json ChangesSince(const std::deque<Json>& changes, std::uint64_t since) {
  Json out = Json::array();
  for (const Json& change : changes) {
    if (change["version"].get<std::uint64_t>() > since) out.push_back(change);
  }
  return out;
}

}  // namespace

FakePlatform::FakePlatform(FakePlatformSettings settings)
    : settings_(settings), server_(settings.port) {
  for (const char* kind :
       {"reads", "writes", "lists", "watches", "hosts", "refused"}) {
    counts_[kind] = 0;
  }
  const Json empty = {
      {"version", 0}, {"hosts", Json::array()}, {"targets", Json::array()}};
  hosts_.push_back({Clock::now() - std::chrono::hours(1), empty});
  server_.Start([this](const CallPtr& call) { Handle(call); });
}

FakePlatform::~FakePlatform() {
  server_.Stop();
  kinds_.clear();  // Open watches refer to the server's context.
}

void FakePlatform::SetFaults(const Json& faults) {
  server_.RunAndWait([&] { ChangeFaults(nullptr, faults); });
}

Json FakePlatform::Counts() {
  Json out;
  server_.RunAndWait([&] { out = counts_; });
  return out;
}

void FakePlatform::Handle(const CallPtr& call) {
  const FakeRequest& request = call->request();
  if (request.path == "/faults") {
    ChangeFaults(call, Json::parse(request.body));
    return call->Reply(200, Json::object());
  }
  if (request.path == "/counts") return call->Reply(200, counts_);
  if (request.path == "/hosts" && request.method == "PUT") {
    hosts_.push_back({Clock::now(), Json::parse(request.body)});
    return call->Reply(200, Json::object());
  }
  if (silent_) return call->Mute();
  if (slow_.count() == 0) return Serve(call);
  auto timer = std::make_shared<asio::steady_timer>(server_.context(), slow_);
  timer->async_wait([this, call, timer](boost::system::error_code) {
    if (call->open()) Serve(call);
  });
}

void FakePlatform::Serve(const CallPtr& call) {
  const FakeRequest& request = call->request();
  if (outage_ || OverLimit(call)) {
    counts_["refused"] = counts_["refused"].get<int>() + 1;
    return call->Reply(outage_ ? 503 : 429,
                       ErrorBody(outage_ ? "outage" : "rate_limited"));
  }
  std::string kind;
  std::string name;
  if (request.path == "/hosts") return ServeHosts(call);
  if (SplitPath(request.path, "/watch/", kind, name) && name.empty()) {
    return ServeWatch(call, kind);
  }
  if (SplitPath(request.path, "/objects/", kind, name)) {
    return name.empty() ? ServeList(call, kind) : ServeObject(call, kind, name);
  }
  call->Reply(404, ErrorBody("not_found"));
}

bool FakePlatform::OverLimit(const CallPtr& call) {
  if (Clock::now() - second_ >= std::chrono::seconds(1)) {
    second_ = Clock::now();
    writes_in_second_ = reads_in_second_ = 0;
  }
  const bool write = IsWrite(call->request());
  const std::uint32_t used = write ? ++writes_in_second_ : ++reads_in_second_;
  const std::uint32_t limit =
      write ? settings_.writes_per_second : settings_.reads_per_second;
  return limit != 0 && used > limit;
}

void FakePlatform::ServeObject(const CallPtr& call, const std::string& kind,
                               const std::string& name) {
  if (IsWrite(call->request())) return ServeWrite(call, kind, name);
  counts_["reads"] = counts_["reads"].get<int>() + 1;
  const auto& objects = kinds_[kind].objects;
  const auto found = objects.find(name);
  if (found == objects.end()) return call->Reply(404, ErrorBody("not_found"));
  call->Reply(200, {{"version", found->second.version},
                    {"value", found->second.value}});
}

void FakePlatform::ServeWrite(const CallPtr& call, const std::string& kind,
                              const std::string& name) {
  counts_["writes"] = counts_["writes"].get<int>() + 1;
  if (lose_requests_ > 0) {
    --lose_requests_;
    return call->Break();
  }
  Kind& state = kinds_[kind];
  int status = 200;
  const auto conflict = Conflict(call->request(), state, name, status);
  if (!conflict) Apply(state, name, call->request());
  if (lose_answers_ > 0) {
    --lose_answers_;
    return call->Break();
  }
  call->Reply(status, conflict ? *conflict : Json{{"version", state.version}});
}

std::optional<Json> FakePlatform::Conflict(const FakeRequest& request,
                                           const Kind& kind,
                                           const std::string& name,
                                           int& status) const {
  const auto refuse = [&](int code, Json body) {
    status = code;
    return std::optional<Json>(std::move(body));
  };
  const auto found = kind.objects.find(name);
  const bool exists = found != kind.objects.end();
  const std::string match = request.Header("if-match");
  const bool create = request.Header("if-none-match") == "*";
  if (match.empty() != create || (create && request.method == "DELETE")) {
    return refuse(400, ErrorBody("condition_missing"));
  }
  if (request.method == "PUT" &&
      Json::parse(request.body).at("value").get<std::string>().size() >
          kValueLimit) {
    return refuse(413, ErrorBody("value_too_large"));
  }
  if (create && exists) {
    return refuse(409, {{"version", found->second.version}});
  }
  if (!create && !exists) return refuse(404, ErrorBody("not_found"));
  if (!create && match != std::to_string(found->second.version)) {
    return refuse(409, {{"version", found->second.version}});
  }
  return std::nullopt;
}

void FakePlatform::Apply(Kind& kind, const std::string& name,
                         const FakeRequest& request) {
  ++kind.version;
  const bool deleted = request.method == "DELETE";
  const std::string value =
      deleted ? "" : Json::parse(request.body)["value"].get<std::string>();
  if (deleted) {
    kind.objects.erase(name);
  } else {
    kind.objects[name] = {kind.version, value};
  }
  kind.changes.push_back({{"name", name},
                          {"version", kind.version},
                          {"value", value},
                          {"deleted", deleted}});
  while (kind.changes.size() > settings_.changes_kept) {
    kind.forgotten = kind.changes.front()["version"];
    kind.changes.pop_front();
  }
  AnswerWatches(kind);
}

void FakePlatform::ServeList(const CallPtr& call, const std::string& kind) {
  counts_["lists"] = counts_["lists"].get<int>() + 1;
  const FakeRequest& request = call->request();
  const Kind& state = kinds_[kind];
  const auto text = [&](const char* key) {
    const auto found = request.query.find(key);
    return found == request.query.end() ? std::string() : found->second;
  };
  const std::string prefix = text("prefix");
  const std::uint64_t limit = request.QueryNumber("limit", kListLimit);
  Json items = Json::array();
  auto at = state.objects.lower_bound(std::max(prefix, text("from")));
  for (; at != state.objects.end() && items.size() < limit; ++at) {
    if (at->first.rfind(prefix, 0) != 0) break;
    items.push_back({{"name", at->first},
                     {"version", at->second.version},
                     {"value", at->second.value}});
  }
  call->Reply(200, {{"version", state.version}, {"items", items}});
}

void FakePlatform::ServeWatch(const CallPtr& call, const std::string& kind) {
  counts_["watches"] = counts_["watches"].get<int>() + 1;
  Kind& state = kinds_[kind];
  const std::uint64_t since = call->request().QueryNumber("since", 0);
  if (since < state.forgotten || since > state.version) {
    return call->Reply(410, {{"version", state.version}});
  }
  const auto timeout = std::chrono::milliseconds(
      call->request().QueryNumber("timeout_ms", kWatchTimeoutMs));
  auto timer = std::make_shared<asio::steady_timer>(server_.context(), timeout);
  timer->async_wait([this, call, kind](boost::system::error_code error) {
    if (error) return;
    Kind& now = kinds_[kind];
    std::erase_if(now.watches, [&](const Watch& w) { return w.call == call; });
    call->Reply(200, {{"version", now.version}, {"changes", Json::array()}});
  });
  state.watches.push_back({call, since, timer});
  AnswerWatches(state);
}

void FakePlatform::AnswerWatches(Kind& kind) {
  std::vector<Watch> waiting;
  for (Watch& watch : kind.watches) {
    if (watch.since >= kind.version) {
      waiting.push_back(watch);
      continue;
    }
    watch.timer->cancel();
    watch.call->Reply(200,
                      {{"version", kind.version},
                       {"changes", ChangesSince(kind.changes, watch.since)}});
  }
  kind.watches = std::move(waiting);
}

void FakePlatform::ServeHosts(const CallPtr& call) {
  counts_["hosts"] = counts_["hosts"].get<int>() + 1;
  const auto visible = Clock::now() - hosts_lag_;
  while (hosts_.size() > 1 && hosts_[1].set <= visible) hosts_.pop_front();
  call->Reply(200, hosts_.front().list);
}

void FakePlatform::KeepCopy() {
  copy_ = kinds_;
  for (auto& [name, kind] : copy_) kind.watches.clear();
}

void FakePlatform::RestoreCopy() {
  for (auto& [name, kind] : kinds_) {
    for (Watch& watch : kind.watches) {
      watch.timer->cancel();
      watch.call->Break();
    }
  }
  kinds_ = copy_;
}

void FakePlatform::ChangeFaults(const CallPtr& call, const Json& faults) {
  for (const auto& [key, value] : faults.items()) {
    if (key == "outage") {
      outage_ = value.get<bool>();
    } else if (key == "silent") {
      silent_ = value.get<bool>();
    } else if (key == "slow_ms") {
      slow_ = std::chrono::milliseconds(value.get<int>());
    } else if (key == "hosts_lag_ms") {
      hosts_lag_ = std::chrono::milliseconds(value.get<int>());
    } else if (key == "lose_answers") {
      lose_answers_ = value;
    } else if (key == "lose_requests") {
      lose_requests_ = value;
    } else if (key == "keep_copy") {
      KeepCopy();
    } else if (key == "restore_copy") {
      RestoreCopy();
    } else if (key == "break_watches") {
      for (auto& [name, kind] : kinds_) {
        for (Watch& watch : kind.watches) {
          if (watch.call != call) watch.call->Mute();
          watch.timer->cancel();
        }
        kind.watches.clear();
      }
    } else {
      throw std::invalid_argument("unknown fault " + key);
    }
  }
}

}  // namespace comfreyflow::fakes
