// Learned rates of prefill and decode.
#include <algorithm>

#include "comfreyflow/cost.h"

namespace comfreyflow {
namespace {

/// Weight of one observation in the running averages.
constexpr double kGain = 0.02;
/// Prompts shorter than this say little of the rate of prefill.
constexpr std::uint64_t kMinObservedTokens = 8'000;
/// One observation moves a rate by no more than this factor.
constexpr double kMaxStep = 4;

double Clamp(double value, double around) {
  if (value > around * kMaxStep) return around * kMaxStep;
  if (value < around / kMaxStep) return around / kMaxStep;
  return value;
}

double Nanoseconds(Duration duration) {
  return std::chrono::duration<double, std::nano>(duration).count();
}

Duration FromNanoseconds(double ns) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::nano>(ns));
}

void Observe(double& average, std::uint64_t tokens, Duration elapsed) {
  const double seen = Nanoseconds(elapsed) / static_cast<double>(tokens);
  average += kGain * (Clamp(seen, average) - average);
}

}  // namespace

void RateModel::ObservePrefill(std::uint64_t tokens, Duration elapsed) {
  if (elapsed <= Duration::zero()) return;
  if (tokens >= kMinObservedTokens) {
    Observe(prefill_ns_per_token_, tokens, elapsed);
    return;
  }
  const double start =
      std::max(0.0, Nanoseconds(elapsed) -
                        prefill_ns_per_token_ * static_cast<double>(tokens));
  prefill_start_ns_ +=
      kGain * (Clamp(start, prefill_start_ns_) - prefill_start_ns_);
}

void RateModel::ObserveDecode(std::uint64_t tokens, Duration elapsed) {
  if (tokens == 0 || elapsed <= Duration::zero()) return;
  Observe(decode_ns_per_token_, tokens, elapsed);
}

Duration RateModel::Prefill(std::uint64_t tokens) const {
  if (tokens == 0) return Duration::zero();
  return FromNanoseconds(prefill_start_ns_ +
                         prefill_ns_per_token_ * static_cast<double>(tokens));
}

Duration RateModel::Decode(std::uint64_t tokens) const {
  return FromNanoseconds(decode_ns_per_token_ * static_cast<double>(tokens));
}

}  // namespace comfreyflow
