/// Counters and histograms of one host, in Prometheus text.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "comfreyflow/entry.h"
#include "comfreyflow/errors.h"
#include "comfreyflow/types.h"

namespace comfreyflow::node {

/// Prompts by length, as reports group them.
enum class LengthClass : std::uint8_t { kTo4k, kTo32k, kTo256k, kOver256k };
inline constexpr int kLengthClasses = 4;
LengthClass ClassOf(std::uint32_t prompt_tokens);
const char* ToString(LengthClass length);

/// Values that are read when the text is made.
struct Gauges {
  std::uint64_t open_requests = 0;
  std::uint64_t open_attempts = 0;
  std::uint64_t body_memory_bytes = 0;
};

/// Values of one name that are read when the text is made.
struct MetricFamily {
  std::string name;
  const char* kind = "gauge";  ///< Or `counter`.
  std::string help;
  struct Value {
    std::string label;  ///< As `name="value"`; empty: none.
    double value = 0;
  };
  std::vector<Value> values;
};

/// Memory and descriptors of this process.
std::vector<MetricFamily> ProcessMetrics();

/// Safe to use from any thread.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void FirstToken(LengthClass length, Duration since_arrival);
  void BetweenTokens(LengthClass length, Duration gap);
  void QueueWait(Duration wait);
  /// A request that is no stream was answered by its target.
  void Answered(bool repeatable, Duration since_arrival);
  /// Memory was set aside at targets for a prompt, or a target refused.
  void Reserved(bool granted);
  void Finished(Errc code);
  void Retried();
  void Claim(ClaimVerdict verdict);

  std::string Render(const Gauges& gauges,
                     const std::vector<MetricFamily>& readings = {}) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace comfreyflow::node
