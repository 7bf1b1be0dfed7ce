// Learns the rates of prefill and decode.
#include <algorithm>

#include "comfreyflow/cost.h"

namespace comfreyflow {
namespace {

/// Weight of one observation in the running averages.
constexpr double kObservationWeight = 0.02;
/// The prefill time of a prompt shorter than this is mostly start delay, so it
/// does not update the rate per token.
constexpr std::uint64_t kMinObservedTokens = 8'000;
/// An observation that differs from the average by more than this factor is
/// clamped, so that an outlier has a limited effect.
constexpr double kMaxStepFactor = 4;

double Clamp(double value, double reference) {
  if (value > reference * kMaxStepFactor) return reference * kMaxStepFactor;
  if (value < reference / kMaxStepFactor) return reference / kMaxStepFactor;
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
  const double ns_per_token =
      Nanoseconds(elapsed) / static_cast<double>(tokens);
  average += kObservationWeight * (Clamp(ns_per_token, average) - average);
}

}  // namespace

void RateModel::ObservePrefill(std::uint64_t tokens, Duration elapsed) {
  if (elapsed <= Duration::zero()) return;
  if (tokens >= kMinObservedTokens) {
    Observe(prefill_ns_per_token_, tokens, elapsed);
    return;
  }
  const double start_delay =
      std::max(0.0, Nanoseconds(elapsed) -
                        prefill_ns_per_token_ * static_cast<double>(tokens));
  prefill_start_delay_ns_ +=
      kObservationWeight *
      (Clamp(start_delay, prefill_start_delay_ns_) - prefill_start_delay_ns_);
}

void RateModel::ObserveDecode(std::uint64_t tokens, Duration elapsed) {
  if (tokens == 0 || elapsed <= Duration::zero()) return;
  Observe(decode_ns_per_token_, tokens, elapsed);
}

Duration RateModel::Prefill(std::uint64_t tokens) const {
  if (tokens == 0) return Duration::zero();
  return FromNanoseconds(prefill_start_delay_ns_ +
                         prefill_ns_per_token_ * static_cast<double>(tokens));
}

Duration RateModel::Decode(std::uint64_t tokens) const {
  return FromNanoseconds(decode_ns_per_token_ * static_cast<double>(tokens));
}

}  // namespace comfreyflow
