/// Stand-in of a model engine: continuous batching in iterations, KV memory, a
/// prefix cache, priorities, cancel, resume, lagging load reports, orders, and
/// the faults of all these.
#pragma once

#include <optional>
#include <random>

#include "fakes/fake-answer.h"
#include "fakes/fake-cache.h"
#include "fakes/fake-server.h"

namespace comfreyflow::fakes {

struct FakeEngineSettings {
  std::uint16_t port = 0;
  std::uint64_t seed = 1;
  double speed = 1;  ///< Divides the times of iterations.
  std::chrono::duration<double, std::milli> iteration_base{8};
  std::chrono::duration<double, std::milli> prefill_token{0.01};
  std::chrono::duration<double, std::milli> decoding_request{0.02};
  std::uint64_t chunk_tokens = 2400;  ///< Prefill in one iteration, at most.
  std::uint64_t kv_capacity = 450000;
  std::uint32_t max_running = 64;
  std::uint32_t max_waiting = 256;
  std::map<std::string, std::string> models = {{"bento-llm", "1"}};
  bool checks_fence = true;
  std::chrono::milliseconds load_lag{100};
  std::chrono::milliseconds order_time{50};
  std::chrono::milliseconds restart_time{500};
  std::string crash_mark = "[[crash]]";  ///< A prompt with it kills the engine.
  FakeCache::Settings cache;
};

/// Faults (`POST /faults`): `seed`; `closing` bool; `crash` true; `silence`
/// true: open connections go silent for good; `freeze_ms`: the process stands
/// still; `refuse` N: the next N completions are told that they did not run;
/// `cut_streams` N: the next N streams break in the middle; `drop_chunk` and
/// `repeat_chunk`: probability a chunk; `event_gap`: probability a change.
///
/// Beside docs/TARGET-API.md: `GET /orders` lists the orders that were taken,
/// `GET /counts` the completions started, and tokens prefilled and decoded.
class FakeEngine {
 public:
  explicit FakeEngine(FakeEngineSettings settings = {});
  ~FakeEngine();

  std::string address() const { return server_.address(); }
  void SetFaults(const Json& faults);
  /// Identifiers of the attempts that wait, run or hold memory.
  std::vector<std::string> Attempts();
  /// The answer of `GET /counts`.
  Json Counts();
  /// The orders taken, as `GET /orders` lists them.
  Json Orders();

 private:
  using Clock = std::chrono::steady_clock;
  struct Attempt {
    CallPtr call;
    FakeAnswer answer;
    std::string salt;
    std::vector<std::string> blocks;
    std::vector<std::string> gang;  ///< Members' addresses; empty for none.
    std::uint32_t rank = 0;
    int priority = 0;
    std::uint64_t order = 0;  ///< Of arrival.
    std::uint64_t kv = 0;     ///< Tokens of memory, held while running.
    std::uint64_t cached = 0;
    std::uint64_t prefill_left = 0;
    std::uint32_t next_token = 0;
    std::uint64_t skip = 0;    ///< Bytes of `next_token` the caller has.
    std::uint64_t offset = 0;  ///< Bytes of the answer the caller has.
    Clock::time_point expires;
    Clock::time_point last_sent;
    bool running = false;
    bool cut = false;
  };
  using AttemptMap = std::map<std::string, Attempt>;
  struct Plan {
    std::map<std::string, std::uint64_t> prefill;
    std::vector<std::string> decode;
  };

  void Handle(const CallPtr& call);
  void HandleAttempt(const CallPtr& call, const std::string& rest);
  void Complete(const CallPtr& call);
  std::string Refusal(const Json& body) const;
  Attempt MakeAttempt(const CallPtr& call, const Json& body);
  void Order(const CallPtr& call);
  void Obey(const Json& order);
  void Export(const CallPtr& call);
  void Import(const CallPtr& call);
  void ChangeFaults(const CallPtr& call, const Json& faults);

  void Iterate();
  void Apply(const Plan& plan);
  std::vector<AttemptMap::iterator> ByPriority();
  void StartWaiting();
  void ProduceToken(const std::string& id);
  void Finish(AttemptMap::iterator at);
  void Drop(AttemptMap::iterator at, const char* code);
  void Release(AttemptMap::iterator at);
  void Crash();
  void Beat();
  Json Load() const;
  Json ListAttempts() const;
  bool Chance(double probability);

  FakeEngineSettings settings_;
  std::mt19937_64 random_;
  FakeCache cache_;
  AttemptMap attempts_;
  std::uint64_t epoch_;
  std::uint64_t orders_seen_ = 0;
  std::uint64_t kv_used_ = 0;
  std::uint32_t running_ = 0;
  std::uint64_t fence_ = 0;
  std::uint64_t load_sequence_ = 0;
  std::string role_ = "serve";
  std::set<std::string> adapters_;
  Json orders_ = Json::array();
  Json counts_;
  std::deque<std::pair<Clock::time_point, Json>> loads_;
  bool iterating_ = false;
  bool closing_ = false;
  std::uint32_t refuse_ = 0;
  std::uint32_t cut_streams_ = 0;
  double drop_chunk_ = 0;
  double repeat_chunk_ = 0;
  FakeServer server_;  ///< Behind the state: its thread ends before that does.
  boost::asio::steady_timer iteration_;
  boost::asio::steady_timer beat_;
};

}  // namespace comfreyflow::fakes
