/// Counters, gauges and histograms of one host, rendered in the Prometheus text
/// format.
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

/// Prompt length classes of reports, in tokens.
enum class LengthClass : std::uint8_t { kTo4k, kTo32k, kTo256k, kOver256k };
inline constexpr int kLengthClasses = 4;
LengthClass ClassOf(std::uint32_t prompt_tokens);
const char* ToString(LengthClass length);

/// Gauges that are sampled when the metrics are rendered.
struct Gauges {
  std::uint64_t open_requests = 0;
  std::uint64_t open_attempts = 0;
  std::uint64_t body_memory_bytes = 0;
};

/// All samples of one metric name, collected when the metrics are rendered.
struct MetricFamily {
  std::string name;
  const char* kind = "gauge";  ///< Or `counter`.
  std::string help;
  struct Value {
    std::string label;  ///< In the form `name="value"`, or empty.
    double value = 0;
  };
  std::vector<Value> values;
};

/// Memory and open descriptors of this process.
std::vector<MetricFamily> ProcessMetrics();

/// Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void FirstToken(LengthClass length, Duration since_arrival);
  void BetweenTokens(LengthClass length, Duration gap);
  void QueueWait(Duration wait);
  /// A plain request was answered by its target.
  void Answered(bool repeatable, Duration since_arrival);
  /// Targets reserved memory for a prompt, or a target rejected the
  /// reservation.
  void Reserved(bool granted);
  void Finished(Errc code);
  void Retried();
  void Claim(ClaimVerdict verdict);

  std::string Render(const Gauges& gauges,
                     const std::vector<MetricFamily>& families = {}) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace comfreyflow::node
