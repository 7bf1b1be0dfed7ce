/// Estimates the cost of work on an engine: prompt classes, and the rates of
/// prefill and decode, learned from the measured times of requests.
#pragma once

#include <chrono>
#include <cstdint>

#include "comfreyflow/types.h"

namespace comfreyflow {

/// Classes of prompts that are routed differently. Short and long differ by the
/// number of uncached tokens to prefill; huge prompts by the memory they need.
enum class PromptClass : std::uint8_t { kShort, kLong, kHuge };

inline constexpr int kPromptClasses = 3;
inline constexpr int kUrgencies = 3;

/// Running averages of the prefill and decode rates of a service's engines.
class RateModel {
 public:
  /// Records that a request with `tokens` uncached prompt tokens took `elapsed`
  /// from its dispatch to its first token. The engine may have run other
  /// requests at the same time.
  void ObservePrefill(std::uint64_t tokens, Duration elapsed);
  /// Records that a request received `tokens` output tokens in `elapsed`.
  void ObserveDecode(std::uint64_t tokens, Duration elapsed);

  /// Estimated time in which an otherwise idle engine prefills `tokens`.
  Duration Prefill(std::uint64_t tokens) const;
  /// Estimated time in which a request decodes `tokens`.
  Duration Decode(std::uint64_t tokens) const;

 private:
  double prefill_ns_per_token_ = 13'500;
  /// Delay before an engine starts to prefill the first chunk of a prompt.
  double prefill_start_delay_ns_ = 8'000'000;
  double decode_ns_per_token_ = 20'000'000;
};

}  // namespace comfreyflow
