// Iterations, memory and cache of the reference engine.
#include "core/replay/engine.h"

#include <algorithm>
#include <utility>

namespace comfreyflow::replay {

Engine::Engine(EngineSettings settings) : settings_(settings) {}

void Engine::Submit(EngineWork work) {
  const std::uint8_t priority = settings_.honours_priority ? work.priority : 0;
  const Order order{priority, arrivals_++, work.key};
  queue_.emplace(order, std::move(work));
}

bool Engine::Cancel(std::uint64_t key) {
  const auto at = running_.find(key);
  if (at != running_.end()) {
    if (at->second.decoding) --decoding_now_;
    prefilling_.erase(at->second.order);
    Leave(at);
    return true;
  }
  for (auto waiting = queue_.begin(); waiting != queue_.end(); ++waiting) {
    if (waiting->first.key != key) continue;
    queue_.erase(waiting);
    return true;
  }
  return false;
}

void Engine::GangReady(std::uint64_t key) {
  const auto at = running_.find(key);
  if (at == running_.end() || !at->second.work.waits_for_gang) return;
  at->second.work.waits_for_gang = false;
  prefilling_.emplace(at->second.order, key);
}

std::size_t Engine::CachedPrefix(const PrefixChain& chain) const {
  std::size_t count = 0;
  while (count < chain.size() && blocks_.contains(chain[count])) ++count;
  return count;
}

void Engine::Pin(std::uint64_t block) {
  auto [at, added] = blocks_.try_emplace(block);
  if (added) {
    Note(PrefixEvent::Kind::kStored, block);
    kv_shared_ += kPrefixBlockTokens;
  } else if (at->second.users == 0) {
    idle_.erase(at->second.idle);
    kv_idle_ -= kPrefixBlockTokens;
    kv_shared_ += kPrefixBlockTokens;
  }
  ++at->second.users;
}

void Engine::Unpin(std::uint64_t block) {
  Block& entry = blocks_.at(block);
  if (--entry.users > 0) return;
  entry.idle = idle_.insert(idle_.end(), block);
  kv_shared_ -= kPrefixBlockTokens;
  kv_idle_ += kPrefixBlockTokens;
}

bool Engine::MakeRoom(std::uint64_t tokens) {
  if (kv_private_ + kv_shared_ + tokens > settings_.kv_tokens) return false;
  while (kv_private_ + kv_shared_ + kv_idle_ + tokens > settings_.kv_tokens) {
    const std::uint64_t block = idle_.front();
    idle_.pop_front();
    blocks_.erase(block);
    kv_idle_ -= kPrefixBlockTokens;
    Note(PrefixEvent::Kind::kRemoved, block);
  }
  return true;
}

void Engine::TakeIn(EngineStep& step) {
  while (!queue_.empty() && running_.size() < settings_.max_running) {
    const auto head = queue_.begin();
    const EngineWork& work = head->second;
    const std::size_t hit = CachedPrefix(work.chain);
    // The last token of a prompt is computed even if its block is cached.
    const auto cached = static_cast<std::uint32_t>(std::min<std::uint64_t>(
        hit * kPrefixBlockTokens,
        work.prompt_tokens > 0 ? work.prompt_tokens - 1 : 0));
    for (std::size_t i = 0; i < hit; ++i) Pin(work.chain[i]);
    const std::uint64_t need =
        work.kv_tokens - std::min<std::uint64_t>(work.kv_tokens, cached);
    if (!MakeRoom(need)) {
      for (std::size_t i = 0; i < hit; ++i) Unpin(work.chain[i]);
      return;
    }
    Running running;
    running.order = head->first;
    running.cached = cached;
    running.prefill = work.prompt_tokens - cached;
    running.pinned = hit;
    running.kv_private = need;
    running.work = std::move(head->second);
    kv_private_ += need;
    const std::uint64_t key = running.work.key;
    if (running.prefill > 0 && !running.work.waits_for_gang) {
      prefilling_.emplace(running.order, key);
    }
    queue_.erase(head);
    running_.emplace(key, std::move(running));
    step.admitted.push_back({key, cached});
  }
}

bool Engine::Begin(EngineStep& step) {
  TakeIn(step);
  chunk_.clear();
  std::uint32_t left = settings_.chunk_tokens;
  for (const auto& [order, key] : prefilling_) {
    if (left == 0) break;
    const std::uint32_t part = std::min(left, running_.at(key).prefill);
    chunk_.emplace_back(key, part);
    left -= part;
  }
  iteration_decoding_ = decoding_now_;
  in_iteration_ = !chunk_.empty() || decoding_now_ > 0;
  length_ = settings_.iteration +
            settings_.prefill_token * (settings_.chunk_tokens - left) +
            settings_.decode_request * decoding_now_;
  return in_iteration_;
}

void Engine::End(EngineStep& step) {
  in_iteration_ = false;
  ++decode_count_;
  while (!finishes_.empty() && finishes_.top().count <= decode_count_) {
    const std::uint64_t key = finishes_.top().key;
    finishes_.pop();
    const auto at = running_.find(key);
    if (at == running_.end() || !at->second.decoding) continue;
    --decoding_now_;
    Leave(at);
    step.finished.push_back(key);
  }
  for (const auto& [key, part] : chunk_) {
    const auto at = running_.find(key);
    if (at == running_.end()) continue;
    Running& running = at->second;
    running.prefill -= std::min(running.prefill, part);
    if (running.prefill > 0) continue;
    prefilling_.erase(running.order);
    StorePrompt(running);
    step.first_tokens.push_back(key);
    if (running.work.output_tokens <= 1) {
      Leave(at);
      step.finished.push_back(key);
      continue;
    }
    running.decoding = true;
    ++decoding_now_;
    finishes_.push({decode_count_ + running.work.output_tokens - 1, key});
  }
}

/// The prompt's whole blocks that fit the request's memory become shared.
void Engine::StorePrompt(Running& running) {
  const PrefixChain& chain = running.work.chain;
  while (running.pinned < chain.size() &&
         running.kv_private >= kPrefixBlockTokens) {
    running.kv_private -= kPrefixBlockTokens;
    kv_private_ -= kPrefixBlockTokens;
    Pin(chain[running.pinned++]);
  }
}

void Engine::Leave(std::map<std::uint64_t, Running>::iterator at) {
  Running& running = at->second;
  kv_private_ -= running.kv_private;
  // The end of a prefix is evicted before its beginning.
  for (std::size_t i = running.pinned; i > 0; --i) {
    Unpin(running.work.chain[i - 1]);
  }
  running_.erase(at);
}

std::uint64_t Engine::backlog() const {
  std::uint64_t tokens = 0;
  for (const auto& [order, key] : prefilling_)
    tokens += running_.at(key).prefill;
  for (const auto& [order, work] : queue_) tokens += work.prompt_tokens;
  return tokens;
}

const std::vector<std::uint64_t> Engine::keys() const {
  std::vector<std::uint64_t> keys;
  for (const auto& [key, running] : running_) keys.push_back(key);
  for (const auto& [order, work] : queue_) keys.push_back(work.key);
  return keys;
}

void Engine::Note(PrefixEvent::Kind kind, std::uint64_t block) {
  PrefixEvent event;
  event.sequence = next_event_++;
  event.kind = kind;
  event.block = block;
  events_.push_back(event);
}

std::vector<PrefixEvent> Engine::TakeEvents() {
  return std::exchange(events_, {});
}

std::vector<PrefixEvent> Engine::CachedBlocks() const {
  std::vector<PrefixEvent> all;
  for (const auto& [block, entry] : blocks_) {
    PrefixEvent event;
    event.block = block;
    all.push_back(event);
  }
  std::sort(all.begin(), all.end(),
            [](const PrefixEvent& a, const PrefixEvent& b) {
              return a.block < b.block;
            });
  return all;
}

}  // namespace comfreyflow::replay
