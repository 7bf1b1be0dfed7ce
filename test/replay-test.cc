// The replay's engine model, and that a replay repeats itself.
#include <doctest/doctest.h>

#include "core/replay/engine.h"
#include "core/replay/fleet.h"

namespace comfreyflow::replay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

EngineWork Work(std::uint64_t key, std::uint32_t prompt, std::uint32_t output) {
  EngineWork work;
  work.key = key;
  work.prompt_tokens = prompt;
  work.output_tokens = output;
  work.kv_tokens = prompt + output;
  for (std::uint32_t i = 0; i < prompt / kPrefixBlockTokens; ++i) {
    work.chain.push_back(i + 1);
  }
  return work;
}

/// Runs iterations until `key` has its first token; the time that took.
Duration FirstToken(Engine& engine, std::uint64_t key) {
  Duration total{};
  for (int i = 0; i < 10'000; ++i) {
    EngineStep step;
    if (!engine.Begin(step)) break;
    total += engine.length();
    engine.End(step);
    for (const std::uint64_t first : step.first_tokens) {
      if (first == key) return total;
    }
  }
  return Duration::max();
}

TEST_CASE("prefill costs what the reference engine says") {
  Engine engine{EngineSettings{}};
  engine.Submit(Work(1, 4'800, 1));
  // Two chunks of 2,400 tokens.
  CHECK(FirstToken(engine, 1) == milliseconds(64));
}

TEST_CASE("a cached prefix is not computed again, and may be evicted") {
  Engine engine{EngineSettings{}};
  engine.Submit(Work(1, 4'800, 1));
  FirstToken(engine, 1);
  engine.Submit(Work(2, 4'800, 1));
  // 18 blocks are cached: 192 tokens are left.
  CHECK(FirstToken(engine, 2) == std::chrono::microseconds(9'920));
  EngineWork other = Work(3, 449'900, 1);
  for (std::uint64_t& block : other.chain) block += 1'000'000;
  engine.Submit(other);
  FirstToken(engine, 3);
  engine.Submit(Work(4, 4'800, 1));
  CHECK(FirstToken(engine, 4) == milliseconds(64));
}

TEST_CASE("memory admits no more than there is, and comes back") {
  Engine engine{EngineSettings{}};
  engine.Submit(Work(1, 300'000, 10));
  EngineWork second = Work(2, 300'000, 10);
  for (std::uint64_t& block : second.chain) block += 1'000'000;
  engine.Submit(second);
  EngineStep step;
  engine.Begin(step);
  CHECK(engine.running() == 1);
  CHECK(engine.waiting() == 1);
  CHECK(engine.kv_used() <= 450'000);
  engine.Cancel(1);
  engine.End(step);
  engine.Begin(step);
  CHECK(engine.running() == 1);
  CHECK(engine.waiting() == 0);
}

Trace SmallTrace() {
  Trace trace;
  trace.fleet.hosts = 4;
  trace.fleet.services = {{{"s"}, 8}};
  trace.fleet.losses = {{seconds(4), 1}};
  for (int i = 0; i < 300; ++i) {
    TraceRequest request;
    request.at = milliseconds(25) * i;
    request.account = {"a" + std::to_string(i % 5)};
    request.service = {"s"};
    request.prompt_tokens = i % 50 == 0 ? 700'000 : 1'000 + i * 37 % 7'000;
    request.output_tokens = 50 + i % 100;
    request.max_output_tokens = 256;
    request.shared_tokens = request.prompt_tokens / 2;
    request.prefix_group = i % 7;
    request.deadline = seconds(40);
    request.repeatable = i % 3 != 0;
    trace.requests.push_back(request);
  }
  return trace;
}

TEST_CASE("a replay repeats itself, and each request ends in time") {
  const Trace trace = SmallTrace();
  const Result first = Fleet(trace, "ours").Run();
  const Result again = Fleet(trace, "ours").Run();
  REQUIRE(first.records.size() == trace.requests.size());
  CHECK(first.events == again.events);
  std::size_t done = 0;
  for (std::size_t i = 0; i < first.records.size(); ++i) {
    CHECK(first.records[i].ttft == again.records[i].ttft);
    CHECK(first.records[i].ended);
    CHECK_FALSE(first.records[i].late);
    // What may not be repeated is not tried again after it ran.
    if (!trace.requests[i].repeatable && first.records[i].attempts > 1) {
      CHECK(first.records[i].code == Errc::kOk);
    }
    done += first.records[i].code == Errc::kOk ? 1 : 0;
  }
  CHECK(done >= 270);
}

TEST_CASE("baselines run the same trace to its end") {
  const Trace trace = SmallTrace();
  for (const std::string& name : Baselines()) {
    const Result result = Fleet(trace, name).Run();
    for (const Record& record : result.records) {
      CHECK(record.ended);
      CHECK_FALSE(record.late);
    }
  }
}

}  // namespace
}  // namespace comfreyflow::replay
