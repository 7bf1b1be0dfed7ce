// Percentiles and counts of a replay.
#include "core/replay/result.h"

#include <algorithm>

namespace comfreyflow::replay {
namespace {

/// The users' target for the first token.
constexpr Duration kFirstTokenTarget = std::chrono::milliseconds(750);
constexpr Duration kGapBucket = std::chrono::microseconds(100);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// The value that `share` of the sorted values do not exceed.
double Percentile(std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  const auto rank = static_cast<std::size_t>(
      share * static_cast<double>(values.size() - 1) + 0.5);
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(rank),
                   values.end());
  return values[rank];
}

/// Time to first token on an idle engine that holds the shared prefix.
Duration Floor(const FleetSetup& fleet, const TraceRequest& request) {
  const EngineSettings& engine = fleet.engine;
  const std::uint32_t shared =
      request.shared_tokens / kPrefixBlockTokens * kPrefixBlockTokens;
  const std::uint32_t uncached = request.prompt_tokens - shared;
  const std::uint32_t chunks =
      (uncached + engine.chunk_tokens - 1) / engine.chunk_tokens;
  return engine.iteration * chunks + engine.prefill_token * uncached +
         2 * fleet.hop_client + 2 * fleet.hop_same;
}

struct Samples {
  std::vector<double> ttft;
  std::vector<double> floor;
  std::vector<double> placed;
  double prompt_tokens = 0;
  double cached_tokens = 0;
};

void Fill(Summary::Band& band, Samples& samples) {
  band.p50 = Percentile(samples.ttft, 0.50);
  band.p95 = Percentile(samples.ttft, 0.95);
  band.p99 = Percentile(samples.ttft, 0.99);
  band.floor_p95 = Percentile(samples.floor, 0.95);
  band.placed_p95 = Percentile(samples.placed, 0.95);
  if (samples.prompt_tokens > 0) {
    band.cached_share = samples.cached_tokens / samples.prompt_tokens;
  }
}

void Count(Summary::Band& band, Samples& samples, const Record& record,
           Duration floor, std::uint32_t prompt_tokens) {
  ++band.requests;
  if (record.refused) {
    ++band.refused;
    return;
  }
  if (record.code != Errc::kOk) ++band.missed;
  if (record.ttft < Duration::zero()) return;
  samples.ttft.push_back(Seconds(record.ttft));
  samples.floor.push_back(Seconds(floor));
  samples.placed.push_back(Seconds(record.placed));
  samples.prompt_tokens += prompt_tokens;
  samples.cached_tokens += record.cached_tokens;
}

}  // namespace

std::size_t BandOf(std::uint32_t prompt_tokens) {
  std::size_t band = 0;
  while (band + 1 < kLengthBands && prompt_tokens >= kLengthBounds[band])
    ++band;
  return band;
}

const char* BandName(std::size_t band) {
  static const char* const names[] = {"1k-4k", "4k-8k", "8k-30k", "30k-100k",
                                      "100k-1M"};
  return names[band];
}

void TokenGaps::Add(Duration gap, std::uint64_t tokens) {
  const auto bucket = static_cast<std::size_t>(gap / kGapBucket);
  buckets_[std::min(bucket, buckets_.size() - 1)] += tokens;
  total_ += tokens;
}

double TokenGaps::PercentileMs(double share) const {
  const auto wanted =
      static_cast<std::uint64_t>(share * static_cast<double>(total_));
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < buckets_.size(); ++i) {
    seen += buckets_[i];
    if (seen > wanted) return static_cast<double>(i + 1) / 10;
  }
  return 0;
}

Summary Summarize(const Trace& trace, const Result& result,
                  const Selection& selection) {
  Summary out;
  Samples bands[kLengthBands];
  Samples all;
  Samples all_short;
  std::size_t within = 0;
  double tokens = 0;
  Duration last{};
  for (std::size_t i = 0; i < trace.requests.size(); ++i) {
    const TraceRequest& request = trace.requests[i];
    if (request.at < trace.fleet.measure_from || !selection(request)) continue;
    const Record& record = result.records[i];
    last = request.at;
    const Duration floor = Floor(trace.fleet, request);
    const std::size_t band = BandOf(request.prompt_tokens);
    Count(out.bands[band], bands[band], record, floor, request.prompt_tokens);
    Count(out.all, all, record, floor, request.prompt_tokens);
    if (request.prompt_tokens < kShortBelow) {
      Count(out.all_short, all_short, record, floor, request.prompt_tokens);
    }
    const bool has_first = record.ttft >= Duration::zero();
    if (has_first && record.ttft <= kFirstTokenTarget) ++within;
    if (!record.ended || record.late) ++out.unfinished;
    if (record.code == Errc::kDeadlineExceeded) ++out.deadline_misses;
    if (record.attempts > 1) {
      ++out.retried;
      if (!record.on_lost_engine) ++out.retried_elsewhere;
    }
    if (record.ended && record.code == Errc::kOk) {
      tokens += request.prompt_tokens + request.output_tokens;
    }
  }
  for (std::size_t i = 0; i < kLengthBands; ++i) Fill(out.bands[i], bands[i]);
  Fill(out.all, all);
  Fill(out.all_short, all_short);
  if (out.all.requests > 0) {
    out.within_target =
        static_cast<double>(within) / static_cast<double>(out.all.requests);
    const Duration window = last - trace.fleet.measure_from;
    if (window > Duration::zero()) out.goodput = tokens / Seconds(window);
  }
  out.gap_p95_ms = result.gaps.PercentileMs(0.95);
  return out;
}

}  // namespace comfreyflow::replay
