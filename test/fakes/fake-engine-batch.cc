// Stand-in of a model engine: its iterations, memory and streams.
#include <algorithm>
#include <cmath>

#include "fakes/fake-engine.h"

namespace comfreyflow::fakes {

namespace {

constexpr std::chrono::milliseconds kBeatPeriod(20);
constexpr std::chrono::milliseconds kHeartbeatAfter(500);
constexpr std::uint32_t kCutAtToken = 2;

std::string Event(const Json& data) { return "data: " + data.dump() + "\n\n"; }

}  // namespace

bool FakeEngine::Chance(double probability) {
  return probability > 0 &&
         std::uniform_real_distribution<>()(random_) < probability;
}

std::vector<FakeEngine::AttemptMap::iterator> FakeEngine::ByPriority() {
  std::vector<AttemptMap::iterator> out;
  for (auto at = attempts_.begin(); at != attempts_.end(); ++at) {
    out.push_back(at);
  }
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) {
    return std::pair(-a->second.priority, a->second.order) <
           std::pair(-b->second.priority, b->second.order);
  });
  return out;
}

void FakeEngine::StartWaiting() {
  for (const auto& at : ByPriority()) {
    Attempt& attempt = at->second;
    if (attempt.running) continue;
    if (running_ >= settings_.max_running) return;
    if (kv_used_ + attempt.kv > settings_.kv_capacity) return;
    const FakeAnswer& answer = attempt.answer;
    attempt.cached = std::min(cache_.Match(attempt.salt, attempt.blocks),
                              answer.prompt_tokens() - 1);
    attempt.prefill_left =
        answer.prompt_tokens() - attempt.cached + attempt.next_token;
    attempt.running = true;
    kv_used_ += attempt.kv;
    ++running_;
    cache_.Shrink(settings_.kv_capacity - kv_used_, random_);
    const bool marked =
        answer.prompt().find(settings_.crash_mark) != std::string::npos;
    if (marked && attempt.rank == 0) return Crash();
  }
}

void FakeEngine::Iterate() {
  iterating_ = false;
  StartWaiting();
  Plan plan;
  std::uint64_t left = settings_.chunk_tokens;
  for (const auto& at : ByPriority()) {
    const Attempt& attempt = at->second;
    if (!attempt.running || attempt.rank != 0) continue;
    if (attempt.prefill_left == 0) {
      plan.decode.push_back(at->first);
    } else if (left > 0) {
      const std::uint64_t part = std::min(left, attempt.prefill_left);
      plan.prefill[at->first] = part;
      left -= part;
    }
  }
  if (plan.decode.empty() && plan.prefill.empty()) return;
  iterating_ = true;
  const double prefilled = static_cast<double>(settings_.chunk_tokens - left);
  const auto time =
      (settings_.iteration_base + settings_.prefill_token * prefilled +
       settings_.decoding_request * static_cast<double>(plan.decode.size())) /
      settings_.speed;
  iteration_.expires_after(std::chrono::duration_cast<Clock::duration>(time));
  iteration_.async_wait([this, plan](boost::system::error_code error) {
    if (!error) Apply(plan);
  });
}

void FakeEngine::Apply(const Plan& plan) {
  for (const auto& [id, part] : plan.prefill) {
    const auto at = attempts_.find(id);
    if (at == attempts_.end()) continue;
    at->second.prefill_left -= std::min(part, at->second.prefill_left);
    counts_["prefilled"] = counts_["prefilled"].get<std::uint64_t>() + part;
    if (at->second.prefill_left == 0) ProduceToken(id);
  }
  for (const std::string& id : plan.decode) ProduceToken(id);
  Iterate();
}

void FakeEngine::ProduceToken(const std::string& id) {
  const auto at = attempts_.find(id);
  if (at == attempts_.end()) return;
  Attempt& attempt = at->second;
  if (attempt.next_token >= attempt.answer.tokens()) return Finish(at);
  if (attempt.cut && attempt.next_token >= kCutAtToken) {
    attempt.call->Break();
    return Release(at);
  }
  const std::string text =
      attempt.answer.Token(attempt.next_token).substr(attempt.skip);
  const std::string event =
      Event({{"offset", attempt.offset}, {"text", text}, {"tokens", 1}});
  if (!Chance(drop_chunk_)) attempt.call->Send(event);
  if (Chance(repeat_chunk_)) attempt.call->Send(event);
  attempt.offset += text.size();
  attempt.skip = 0;
  ++attempt.next_token;
  attempt.last_sent = Clock::now();
  counts_["decoded"] = counts_["decoded"].get<std::uint64_t>() + 1;
  if (attempt.next_token == attempt.answer.tokens()) Finish(at);
}

void FakeEngine::Finish(AttemptMap::iterator at) {
  Attempt& attempt = at->second;
  attempt.call->Send(Event({{"done", true},
                            {"offset", attempt.offset},
                            {"prompt_tokens", attempt.answer.prompt_tokens()},
                            {"cached_tokens", attempt.cached},
                            {"output_tokens", attempt.answer.tokens()},
                            {"finish_reason", "stop"}}));
  attempt.call->EndStream();
  Release(at);
}

void FakeEngine::Drop(AttemptMap::iterator at, const char* code) {
  at->second.call->Send(Event({{"error", {{"code", code}}}}));
  at->second.call->EndStream();
  Release(at);
  if (!iterating_) Iterate();
}

void FakeEngine::Release(AttemptMap::iterator at) {
  const Attempt attempt = std::move(at->second);
  const std::string id = at->first;
  attempts_.erase(at);
  if (attempt.running) {
    kv_used_ -= attempt.kv;
    --running_;
    const bool prefilled = attempt.rank == 0 && attempt.prefill_left == 0;
    const std::uint64_t room = settings_.kv_capacity - kv_used_;
    if (prefilled) cache_.Store(attempt.salt, attempt.blocks, room, random_);
  }
  if (attempt.rank != 0) return;
  for (std::size_t i = 1; i < attempt.gang.size(); ++i) {
    SendAndForget(server_.context(), attempt.gang[i], "POST",
                  "/v1/attempts/" + id + "/cancel");
  }
}

void FakeEngine::Crash() {
  attempts_.clear();
  loads_.clear();
  cache_ = FakeCache(settings_.cache);
  kv_used_ = 0;
  running_ = 0;
  ++epoch_;
  load_sequence_ = 0;
  server_.GoDown(settings_.restart_time);
}

void FakeEngine::Beat() {
  const auto now = Clock::now();
  std::vector<std::string> expired;
  std::uint64_t backlog = 0;
  for (auto& [id, attempt] : attempts_) {
    backlog +=
        attempt.running ? attempt.prefill_left : attempt.answer.prompt_tokens();
    if (attempt.rank != 0 && attempt.expires <= now) expired.push_back(id);
    if (now - attempt.last_sent < kHeartbeatAfter) continue;
    attempt.last_sent = now;
    attempt.call->Send(": hb\n\n");
  }
  for (const std::string& id : expired) Drop(attempts_.find(id), "expired");
  Json models = Json::array();
  for (const auto& [model, version] : settings_.models) {
    models.push_back({{"model", model}, {"version", version}});
  }
  loads_.push_back({now,
                    {{"epoch", epoch_},
                     {"seq", ++load_sequence_},
                     {"running", running_},
                     {"waiting", attempts_.size() - running_},
                     {"kv_used", kv_used_},
                     {"kv_capacity", settings_.kv_capacity},
                     {"max_running", settings_.max_running},
                     {"prefill_backlog_tokens", backlog},
                     {"closing", closing_},
                     {"models", models},
                     {"adapters", adapters_},
                     {"role", role_},
                     {"checks_fence", settings_.checks_fence}}});
  while (loads_.size() > 1 && loads_[1].first <= now - settings_.load_lag) {
    loads_.pop_front();
  }
  beat_.expires_after(kBeatPeriod);
  beat_.async_wait([this](boost::system::error_code error) {
    if (!error) Beat();
  });
}

}  // namespace comfreyflow::fakes
