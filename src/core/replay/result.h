/// What a replay saw of each request, and figures made of it.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "comfreyflow/errors.h"
#include "core/replay/trace.h"

namespace comfreyflow::replay {

/// Prompt lengths reported apart, in tokens.
inline constexpr std::uint32_t kLengthBounds[] = {4'000, 8'000, 30'000,
                                                  100'000};
inline constexpr std::size_t kLengthBands = 5;
inline constexpr std::uint32_t kShortBelow = 8'000;

std::size_t BandOf(std::uint32_t prompt_tokens);
const char* BandName(std::size_t band);

struct Record {
  bool ended = false;
  bool refused = false;  ///< At the door.
  bool late = false;     ///< Ended after its deadline.
  Errc code = Errc::kOk;
  Duration ttft{-1};    ///< Negative without a first token.
  Duration placed{-1};  ///< From the caller's call to the stream's start.
  std::uint32_t cached_tokens = 0;
  std::uint32_t attempts = 0;
  bool on_lost_engine = false;  ///< Was in flight on an engine that was lost.
};

/// Weighted histogram of times between tokens, in tenths of a millisecond.
class TokenGaps {
 public:
  void Add(Duration gap, std::uint64_t tokens);
  double PercentileMs(double share) const;

 private:
  std::vector<std::uint64_t> buckets_ = std::vector<std::uint64_t>(2'000);
  std::uint64_t total_ = 0;
};

struct Result {
  std::vector<Record> records;
  TokenGaps gaps;
  double busy_share = 0;  ///< Of the engines' time, in iterations.
  std::uint64_t events = 0;
  std::uint64_t probes = 0;
  std::uint64_t prefilled_tokens = 0;
};

/// Figures of one run over the requests that are measured.
struct Summary {
  struct Band {
    std::size_t requests = 0;
    std::size_t refused = 0;
    std::size_t missed = 0;  ///< Admitted, ended without a whole answer.
    double p50 = 0, p95 = 0, p99 = 0;  ///< Time to first token, seconds.
    double floor_p95 = 0;              ///< Prefill time alone.
    double placed_p95 = 0;             ///< The part before the stream.
    double cached_share = 0;           ///< Of the prompts' tokens.
  };
  Band bands[kLengthBands];
  Band all;
  Band all_short;
  double within_target = 0;  ///< Of all requests, refused ones too.
  std::size_t unfinished = 0;
  std::size_t deadline_misses = 0;
  std::size_t retried = 0;
  std::size_t retried_elsewhere = 0;  ///< Retried, not on a lost engine.
  double goodput = 0;                 ///< Tokens of whole answers a second.
  double gap_p95_ms = 0;
};

/// Which requests of a trace a summary is of.
using Selection = std::function<bool(const TraceRequest&)>;
Summary Summarize(const Trace& trace, const Result& result,
                  const Selection& selection);

}  // namespace comfreyflow::replay
