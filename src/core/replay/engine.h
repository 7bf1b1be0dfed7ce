/// Cost model of one reference engine: continuous batching in iterations, a
/// block-wise prefix cache inside its memory, priorities. A small fake that
/// replays drive; it decides nothing for the product.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <queue>
#include <set>
#include <unordered_map>
#include <vector>

#include "comfreyflow/target.h"
#include "comfreyflow/types.h"

namespace comfreyflow::replay {

struct EngineSettings {
  std::uint64_t kv_tokens = 450'000;
  std::uint32_t max_running = 64;
  std::uint32_t chunk_tokens = 2'400;
  Duration iteration = std::chrono::milliseconds(8);
  Duration prefill_token = std::chrono::microseconds(10);
  Duration decode_request = std::chrono::microseconds(20);
  bool honours_priority = true;
};

/// Work given to an engine. `key` names it among all work of the replay.
struct EngineWork {
  std::uint64_t key = 0;
  std::uint8_t priority = 0;
  std::uint32_t prompt_tokens = 0;  ///< 0 for a gang's later members.
  std::uint32_t output_tokens = 0;
  std::uint64_t kv_tokens = 0;
  PrefixChain chain;
  bool waits_for_gang = false;
};

/// What an iteration brought.
struct EngineStep {
  struct Admitted {
    std::uint64_t key = 0;
    std::uint32_t cached_tokens = 0;
  };
  std::vector<Admitted> admitted;
  std::vector<std::uint64_t> first_tokens;
  std::vector<std::uint64_t> finished;
};

class Engine {
 public:
  explicit Engine(EngineSettings settings);

  void Submit(EngineWork work);
  /// Drops work, wherever it stands; false when it is not here.
  bool Cancel(std::uint64_t key);
  /// All members of the gang hold their memory.
  void GangReady(std::uint64_t key);

  /// Takes waiting work in and begins an iteration if there is work for one;
  /// false when the engine idles. `step` gets what was taken in.
  bool Begin(EngineStep& step);
  /// Length of the iteration begun.
  Duration length() const { return length_; }
  /// Requests that get a token in the iteration begun.
  std::size_t decoding() const { return iteration_decoding_; }
  void End(EngineStep& step);

  std::size_t running() const { return running_.size(); }
  std::size_t waiting() const { return queue_.size(); }
  std::uint64_t kv_used() const { return kv_private_ + kv_shared_; }
  std::uint64_t backlog() const;
  const std::vector<std::uint64_t> keys() const;
  bool in_iteration() const { return in_iteration_; }

  /// Cache events since the last call, numbered without gaps.
  std::vector<PrefixEvent> TakeEvents();
  std::vector<PrefixEvent> CachedBlocks() const;
  std::uint64_t next_event() const { return next_event_; }

 private:
  struct Order {
    std::uint8_t priority;
    std::uint64_t arrival;
    std::uint64_t key;
    bool operator<(const Order& other) const {
      if (priority != other.priority) return priority > other.priority;
      return arrival < other.arrival;
    }
  };
  struct Running {
    EngineWork work;
    Order order;
    std::uint32_t cached = 0;   ///< Prompt tokens found in the cache.
    std::uint32_t prefill = 0;  ///< Prompt tokens left to prefill.
    std::size_t pinned = 0;     ///< Blocks of the chain held in the cache.
    std::uint64_t kv_private = 0;
    bool decoding = false;
  };
  struct Block {
    std::uint32_t users = 0;
    std::list<std::uint64_t>::iterator idle;  ///< Valid without users.
  };
  struct Finish {
    std::uint64_t count;
    std::uint64_t key;
    bool operator>(const Finish& other) const {
      return count != other.count ? count > other.count : key > other.key;
    }
  };

  void TakeIn(EngineStep& step);
  bool MakeRoom(std::uint64_t tokens);
  std::size_t CachedPrefix(const PrefixChain& chain) const;
  void Pin(std::uint64_t block);
  void Unpin(std::uint64_t block);
  void StorePrompt(Running& running);
  void Leave(std::map<std::uint64_t, Running>::iterator at);
  void Note(PrefixEvent::Kind kind, std::uint64_t block);

  EngineSettings settings_;
  std::uint64_t arrivals_ = 0;
  std::map<Order, EngineWork> queue_;
  std::map<std::uint64_t, Running> running_;
  std::map<Order, std::uint64_t> prefilling_;
  std::priority_queue<Finish, std::vector<Finish>, std::greater<>> finishes_;
  std::uint64_t decode_count_ = 0;
  std::size_t decoding_now_ = 0;

  bool in_iteration_ = false;
  Duration length_{};
  std::size_t iteration_decoding_ = 0;
  std::vector<std::pair<std::uint64_t, std::uint32_t>> chunk_;

  std::uint64_t kv_private_ = 0;
  std::uint64_t kv_shared_ = 0;  ///< Blocks with users.
  std::uint64_t kv_idle_ = 0;    ///< Blocks without.
  std::unordered_map<std::uint64_t, Block> blocks_;
  std::list<std::uint64_t> idle_;  ///< Least recently used first.
  std::vector<PrefixEvent> events_;
  std::uint64_t next_event_ = 1;
};

}  // namespace comfreyflow::replay
