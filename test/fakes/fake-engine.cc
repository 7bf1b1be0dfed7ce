// Stand-in of a model engine: what it is asked, and its faults.
#include "fakes/fake-engine.h"

#include <algorithm>

namespace comfreyflow::fakes {

namespace asio = boost::asio;

namespace {

constexpr std::uint64_t kDefaultExpiryMs = 600000;

Json Failure(const std::string& code) {
  return {{"error", {{"code", code}, {"ran", false}}}};
}

std::uint64_t WallMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::uint64_t ExpiryMs(const FakeRequest& request) {
  const std::string text = request.Header("x-attempt-expires-ms");
  return text.empty() ? kDefaultExpiryMs : std::stoull(text);
}

}  // namespace

FakeEngine::FakeEngine(FakeEngineSettings settings)
    : settings_(std::move(settings)),
      random_(settings_.seed),
      cache_(settings_.cache),
      epoch_(WallMilliseconds()),
      counts_({{"started", 0}, {"prefilled", 0}, {"decoded", 0}}),
      server_(settings_.port),
      iteration_(server_.context()),
      beat_(server_.context()) {
  asio::post(server_.context(), [this] { Beat(); });
  server_.Start([this](const CallPtr& call) { Handle(call); });
}

FakeEngine::~FakeEngine() {
  server_.Stop();
  attempts_.clear();  // Their calls refer to the server's context.
}

void FakeEngine::SetFaults(const Json& faults) {
  server_.RunAndWait([&] { ChangeFaults(nullptr, faults); });
}

std::vector<std::string> FakeEngine::Attempts() {
  std::vector<std::string> ids;
  server_.RunAndWait([&] {
    for (const auto& [id, attempt] : attempts_) ids.push_back(id);
  });
  return ids;
}

Json FakeEngine::Counts() {
  Json out;
  server_.RunAndWait([&] { out = counts_; });
  return out;
}

Json FakeEngine::Orders() {
  Json out;
  server_.RunAndWait([&] { out = orders_; });
  return out;
}

void FakeEngine::Handle(const CallPtr& call) {
  const FakeRequest& request = call->request();
  const std::string& path = request.path;
  const std::string attempts = "/v1/attempts/";
  if (path == "/v1/completions" || path == "/v1/chat/completions") {
    return Complete(call);
  }
  if (path.rfind(attempts, 0) == 0) {
    return HandleAttempt(call, path.substr(attempts.size()));
  }
  if (path == "/v1/attempts") return call->Reply(200, ListAttempts());
  if (path == "/v1/load") return call->Reply(200, Load());
  if (path == "/v1/cache") return call->Reply(200, cache_.Blocks());
  if (path == "/v1/cache/events") {
    return call->Reply(200, cache_.Events(request.QueryNumber("since", 0)));
  }
  if (path == "/v1/orders") return Order(call);
  if (path == "/v1/kv/export") return Export(call);
  if (path == "/v1/kv/import") return Import(call);
  if (path == "/orders") return call->Reply(200, orders_);
  if (path == "/counts") return call->Reply(200, counts_);
  if (path != "/faults") return call->Reply(404, Failure("not_found"));
  const Json faults = Json::parse(request.body);
  call->Reply(200, Json::object());
  ChangeFaults(call, faults);
}

void FakeEngine::HandleAttempt(const CallPtr& call, const std::string& rest) {
  const std::string cancel = "/cancel";
  if (!rest.ends_with(cancel)) return call->Reply(404, Failure("not_found"));
  const auto at = attempts_.find(rest.substr(0, rest.size() - cancel.size()));
  const bool found = at != attempts_.end();
  if (found) Drop(at, "cancelled");
  call->Reply(200, {{"cancelled", found}});
}

std::string FakeEngine::Refusal(const Json& body) const {
  if (closing_) return "closing";
  if (refuse_ > 0) return "busy";
  if (!settings_.models.contains(body.at("model").get<std::string>())) {
    return "unknown_model";
  }
  if (attempts_.size() >= settings_.max_waiting + settings_.max_running) {
    return "queue_full";
  }
  return "";
}

void FakeEngine::Complete(const CallPtr& call) {
  const Json body = Json::parse(call->request().body);
  const std::string id = call->request().Header("x-attempt-id");
  const std::string refusal = Refusal(body);
  if (refusal == "busy") --refuse_;
  if (!refusal.empty()) return call->Reply(503, Failure(refusal));
  if (id.empty() || attempts_.contains(id)) {
    return call->Reply(409, Failure("attempt_id"));
  }
  Attempt attempt = MakeAttempt(call, body);
  if (attempt.kv > settings_.kv_capacity) {
    return call->Reply(422, Failure("too_long"));
  }
  if (attempt.offset < body.value("offset", std::uint64_t{0})) {
    return call->Reply(416, Failure("offset_past_end"));
  }
  attempts_.emplace(id, std::move(attempt));
  call->StartStream();
  counts_["started"] = counts_["started"].get<int>() + 1;
  if (!iterating_) Iterate();
}

FakeEngine::Attempt FakeEngine::MakeAttempt(const CallPtr& call,
                                            const Json& body) {
  Attempt out{.call = call, .answer = FakeAnswer(body)};
  const FakeAnswer& answer = out.answer;
  const std::uint64_t offset = body.value("offset", std::uint64_t{0});
  std::uint64_t start = 0;  // Byte offset of `next_token`.
  while (out.next_token < answer.tokens()) {
    const std::size_t size = answer.Token(out.next_token).size();
    if (start + size > offset) break;
    start += size;
    ++out.next_token;
  }
  out.skip = out.next_token < answer.tokens() ? offset - start : 0;
  out.offset = start + out.skip;
  out.salt = body.value("cache_salt", "");
  out.blocks = body.value("prefix", std::vector<std::string>());
  out.priority = body.value("priority", 0);
  out.order = ++orders_seen_;
  out.kv = answer.prompt_tokens() + answer.tokens();
  if (body.contains("gang")) {
    out.gang = body["gang"].at("members").get<std::vector<std::string>>();
    out.rank = body["gang"].at("rank");
    out.kv = (out.kv + out.gang.size() - 1) / out.gang.size();
  }
  out.last_sent = Clock::now();
  out.expires =
      Clock::now() + std::chrono::milliseconds(ExpiryMs(call->request()));
  if (cut_streams_ > 0) {
    --cut_streams_;
    out.cut = true;
  }
  return out;
}

Json FakeEngine::ListAttempts() const {
  Json list = Json::array();
  for (const auto& [id, attempt] : attempts_) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        attempt.expires - Clock::now());
    list.push_back({{"id", id},
                    {"kv_tokens", attempt.running ? attempt.kv : 0},
                    {"expires_ms", left.count()}});
  }
  return {{"epoch", epoch_}, {"attempts", list}};
}

Json FakeEngine::Load() const {
  const auto now = Clock::now();
  const auto* chosen = &loads_.front();
  for (const auto& report : loads_) {
    if (report.first <= now - settings_.load_lag) chosen = &report;
  }
  Json out = chosen->second;
  out["age_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - chosen->first)
          .count();
  return out;
}

void FakeEngine::Order(const CallPtr& call) {
  const Json order = Json::parse(call->request().body);
  const std::uint64_t fence = order.at("fence");
  if (settings_.checks_fence && fence < fence_) {
    return call->Reply(409, Failure("stale_fence"));
  }
  fence_ = std::max(fence, fence_);
  orders_.push_back(order);
  call->Reply(202, Json::object());
  auto timer = std::make_shared<asio::steady_timer>(server_.context(),
                                                    settings_.order_time);
  timer->async_wait(
      [this, order, timer](boost::system::error_code) { Obey(order); });
}

void FakeEngine::Obey(const Json& order) {
  const std::string kind = order.at("kind");
  const std::string model = order.value("model", "");
  const std::string adapter = order.value("adapter", "");
  if (kind == "load") settings_.models[model] = order.value("version", "");
  if (kind == "unload") settings_.models.erase(model);
  if (kind == "role") role_ = order.value("role", role_);
  if (kind == "load_adapter") adapters_.insert(adapter);
  if (kind == "unload_adapter") adapters_.erase(adapter);
}

// A handle is the list of blocks itself: the importer asks no other engine.
void FakeEngine::Export(const CallPtr& call) {
  const Json body = Json::parse(call->request().body);
  const auto blocks = body.at("blocks").get<std::vector<std::string>>();
  const std::uint64_t tokens = cache_.Match(body.at("salt"), blocks);
  call->Reply(200, {{"handle", body.dump()}, {"tokens", tokens}});
}

void FakeEngine::Import(const CallPtr& call) {
  const Json body = Json::parse(call->request().body);
  const Json handle = Json::parse(body.at("handle").get<std::string>());
  const auto blocks = handle.at("blocks").get<std::vector<std::string>>();
  cache_.Store(handle.at("salt"), blocks, settings_.kv_capacity - kv_used_,
               random_);
  const std::uint64_t tokens = cache_.Match(handle.at("salt"), blocks);
  call->Reply(200, {{"tokens", tokens}});
}

void FakeEngine::ChangeFaults(const CallPtr& call, const Json& faults) {
  for (const auto& [key, value] : faults.items()) {
    if (key == "seed") {
      random_.seed(value.get<std::uint64_t>());
    } else if (key == "closing") {
      closing_ = value;
    } else if (key == "silence") {
      if (value.get<bool>()) server_.MuteAll(call);
    } else if (key == "freeze_ms") {
      std::this_thread::sleep_for(std::chrono::milliseconds(value.get<int>()));
    } else if (key == "refuse") {
      refuse_ = value;
    } else if (key == "cut_streams") {
      cut_streams_ = value;
    } else if (key == "drop_chunk") {
      drop_chunk_ = value;
    } else if (key == "repeat_chunk") {
      repeat_chunk_ = value;
    } else if (key == "event_gap") {
      cache_.set_event_gap(value);
    } else if (key != "crash") {
      throw std::invalid_argument("unknown fault " + key);
    }
  }
  if (faults.value("crash", false)) Crash();
}

}  // namespace comfreyflow::fakes
