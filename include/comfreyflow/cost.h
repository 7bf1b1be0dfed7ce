/// What work costs on an engine: prompt classes, and the rates at which an
/// engine prefills and decodes, learned from what requests took.
#pragma once

#include <chrono>
#include <cstdint>

#include "comfreyflow/types.h"

namespace comfreyflow {

/// Classes of prompts as routing tells them apart: short and long by the tokens
/// left to prefill, huge by the memory they take.
enum class PromptClass : std::uint8_t { kShort, kLong, kHuge };

inline constexpr int kPromptClasses = 3;
inline constexpr int kUrgencies = 3;

/// Rates of the engines of a service, as a running average of what was seen.
class RateModel {
 public:
  /// A request spent `elapsed` from its dispatch to its first token, alone on
  /// an otherwise idle engine or not, for `tokens` uncached prompt tokens.
  void ObservePrefill(std::uint64_t tokens, Duration elapsed);
  /// A request got `tokens` output tokens in `elapsed`.
  void ObserveDecode(std::uint64_t tokens, Duration elapsed);

  /// Time an engine without other work takes to prefill `tokens`.
  Duration Prefill(std::uint64_t tokens) const;
  /// Time a request takes to decode `tokens`.
  Duration Decode(std::uint64_t tokens) const;

 private:
  double prefill_ns_per_token_ = 13'500;
  double prefill_start_ns_ = 8'000'000;  ///< Until the first chunk begins.
  double decode_ns_per_token_ = 20'000'000;
};

}  // namespace comfreyflow
