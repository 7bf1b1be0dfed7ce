// Collects histograms with Boost.Histogram and renders all metrics.
#include "node/metrics.h"

#include <unistd.h>

#include <array>
#include <boost/histogram.hpp>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <sstream>
#include <vector>

namespace comfreyflow::node {
namespace {

namespace bh = boost::histogram;

/// Logarithmic bins from 0.1 ms to 1000 s, about four per power of ten.
using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = decltype(bh::make_histogram(std::declval<Axis>()));
constexpr unsigned kBins = 30;
constexpr double kMinSeconds = 0.0001;
constexpr double kMaxSeconds = 1000.0;

struct Series {
  Histogram bins = bh::make_histogram(Axis(kBins, kMinSeconds, kMaxSeconds));
  double sum = 0;
  std::uint64_t count = 0;

  void Add(Duration value) {
    const double seconds = std::chrono::duration<double>(value).count();
    bins(seconds);
    sum += seconds;
    ++count;
  }
};

void RenderSeries(std::ostringstream& out, const std::string& name,
                  const std::string& label, const Series& series) {
  const std::string label_prefix = label.empty() ? "" : label + ",";
  double cumulative_count = series.bins.at(-1);  // The underflow bin.
  for (int i = 0; i < static_cast<int>(kBins); ++i) {
    cumulative_count += series.bins.at(i);
    out << name << "_bucket{" << label_prefix << "le=\""
        << series.bins.axis().bin(i).upper() << "\"} " << cumulative_count
        << '\n';
  }
  out << name << "_bucket{" << label_prefix << "le=\"+Inf\"} " << series.count
      << '\n';
  const std::string label_block = label.empty() ? "" : "{" + label + "}";
  out << name << "_sum" << label_block << ' ' << series.sum << '\n';
  out << name << "_count" << label_block << ' ' << series.count << '\n';
}

void RenderHead(std::ostringstream& out, const std::string& name,
                const char* kind, const char* help) {
  out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << kind
      << '\n';
}

void RenderByLength(std::ostringstream& out, const char* name,
                    const std::array<Series, kLengthClasses>& all) {
  for (int i = 0; i < kLengthClasses; ++i) {
    const std::string label =
        std::string("length=\"") + ToString(static_cast<LengthClass>(i)) + "\"";
    RenderSeries(out, name, label, all.at(static_cast<std::size_t>(i)));
  }
}

void RenderFamily(std::ostringstream& out, const MetricFamily& family) {
  RenderHead(out, family.name, family.kind, family.help.c_str());
  for (const auto& [label, value] : family.values) {
    out << family.name << (label.empty() ? "" : "{" + label + "}") << ' '
        << value << '\n';
  }
}

constexpr std::array kVerdictNames = {"claimed",      "seen_done",
                                      "seen_running", "seen_unknown",
                                      "other_body",   "unavailable"};
constexpr std::array kLengthNames = {"to_4k", "to_32k", "to_256k", "over_256k"};
constexpr std::uint32_t kTokensPerK = 1024;
constexpr const char* kFirstToken = "comfreyflow_first_token_seconds";
constexpr const char* kBetweenTokens = "comfreyflow_between_tokens_seconds";
constexpr const char* kAnswer = "comfreyflow_answer_seconds";
constexpr const char* kQueueWait = "comfreyflow_queue_wait_seconds";

}  // namespace

LengthClass ClassOf(std::uint32_t prompt_tokens) {
  if (prompt_tokens <= 4 * kTokensPerK) return LengthClass::kTo4k;
  if (prompt_tokens <= 32 * kTokensPerK) return LengthClass::kTo32k;
  if (prompt_tokens <= 256 * kTokensPerK) return LengthClass::kTo256k;
  return LengthClass::kOver256k;
}

const char* ToString(LengthClass length) {
  return kLengthNames.at(static_cast<std::size_t>(length));
}

struct Metrics::State {
  mutable std::mutex mutex;
  std::array<Series, kLengthClasses> first_token;
  std::array<Series, kLengthClasses> between_tokens;
  Series queue_wait;
  std::array<Series, 2> answered;               ///< Not repeatable, repeatable.
  std::array<std::uint64_t, 2> reservations{};  ///< Refused, granted.
  std::vector<std::uint64_t> finished =
      std::vector<std::uint64_t>(static_cast<std::size_t>(ErrorCount()));
  std::array<std::uint64_t, kVerdictNames.size()> claims{};
  std::uint64_t retries = 0;
};

Metrics::Metrics() : state_(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::FirstToken(LengthClass length, Duration since_arrival) {
  const std::lock_guard lock(state_->mutex);
  state_->first_token.at(static_cast<std::size_t>(length)).Add(since_arrival);
}

void Metrics::BetweenTokens(LengthClass length, Duration gap) {
  const std::lock_guard lock(state_->mutex);
  state_->between_tokens.at(static_cast<std::size_t>(length)).Add(gap);
}

void Metrics::QueueWait(Duration wait) {
  const std::lock_guard lock(state_->mutex);
  state_->queue_wait.Add(wait);
}

void Metrics::Answered(bool repeatable, Duration since_arrival) {
  const std::lock_guard lock(state_->mutex);
  state_->answered.at(repeatable ? 1 : 0).Add(since_arrival);
}

void Metrics::Reserved(bool granted) {
  const std::lock_guard lock(state_->mutex);
  ++state_->reservations.at(granted ? 1 : 0);
}

void Metrics::Finished(Errc code) {
  const std::lock_guard lock(state_->mutex);
  ++state_->finished.at(static_cast<std::size_t>(code));
}

void Metrics::Retried() {
  const std::lock_guard lock(state_->mutex);
  ++state_->retries;
}

void Metrics::Claim(ClaimVerdict verdict) {
  const std::lock_guard lock(state_->mutex);
  ++state_->claims.at(static_cast<std::size_t>(verdict));
}

std::string Metrics::Render(const Gauges& gauges,
                            const std::vector<MetricFamily>& families) const {
  const std::lock_guard lock(state_->mutex);
  std::ostringstream out;
  RenderHead(out, kFirstToken, "histogram",
             "Time to first token by prompt length.");
  RenderByLength(out, kFirstToken, state_->first_token);
  RenderHead(out, kBetweenTokens, "histogram",
             "Time between chunks by prompt length.");
  RenderByLength(out, kBetweenTokens, state_->between_tokens);
  RenderHead(out, kQueueWait, "histogram", "Time from arrival to dispatch.");
  RenderSeries(out, kQueueWait, "", state_->queue_wait);
  RenderHead(out, kAnswer, "histogram",
             "Time to the answer of plain requests.");
  RenderSeries(out, kAnswer, "repeatable=\"no\"", state_->answered[0]);
  RenderSeries(out, kAnswer, "repeatable=\"yes\"", state_->answered[1]);
  RenderHead(out, "comfreyflow_reservations_total", "counter",
             "Prompts for which memory was set aside at targets.");
  out << "comfreyflow_reservations_total{outcome=\"refused\"} "
      << state_->reservations[0] << '\n'
      << "comfreyflow_reservations_total{outcome=\"granted\"} "
      << state_->reservations[1] << '\n';
  RenderHead(out, "comfreyflow_requests_total", "counter",
             "Final answers by code; all but ok are refusals or failures.");
  for (int i = 0; i < ErrorCount(); ++i) {
    const auto count = state_->finished.at(static_cast<std::size_t>(i));
    if (count == 0 && i != 0) continue;
    out << "comfreyflow_requests_total{code=\""
        << Info(static_cast<Errc>(i)).name << "\"} " << count << '\n';
  }
  RenderHead(out, "comfreyflow_claims_total", "counter", "Claims by verdict.");
  for (std::size_t i = 0; i < kVerdictNames.size(); ++i) {
    out << "comfreyflow_claims_total{verdict=\"" << kVerdictNames.at(i)
        << "\"} " << state_->claims.at(i) << '\n';
  }
  RenderHead(out, "comfreyflow_retries_total", "counter",
             "Attempts after a first.");
  out << "comfreyflow_retries_total " << state_->retries << '\n';
  RenderHead(out, "comfreyflow_open_requests", "gauge",
             "Requests not answered.");
  out << "comfreyflow_open_requests " << gauges.open_requests << '\n';
  RenderHead(out, "comfreyflow_open_attempts", "gauge", "Streams on targets.");
  out << "comfreyflow_open_attempts " << gauges.open_attempts << '\n';
  RenderHead(out, "comfreyflow_body_memory_bytes", "gauge",
             "Memory for bodies.");
  out << "comfreyflow_body_memory_bytes " << gauges.body_memory_bytes << '\n';
  for (const auto& family : families) RenderFamily(out, family);
  return out.str();
}

std::vector<MetricFamily> ProcessMetrics() {
  std::uint64_t pages = 0;
  // The second field is the resident set size.
  std::ifstream("/proc/self/statm") >> pages >> pages;
  std::error_code ignored;
  const auto files = std::distance(
      std::filesystem::directory_iterator("/proc/self/fd", ignored),
      std::filesystem::directory_iterator());
  return {{"comfreyflow_resident_bytes",
           "gauge",
           "Memory of the process.",
           {{"", static_cast<double>(pages) *
                     static_cast<double>(::sysconf(_SC_PAGESIZE))}}},
          {"comfreyflow_open_descriptors",
           "gauge",
           "Open files and sockets.",
           {{"", static_cast<double>(files)}}}};
}

}  // namespace comfreyflow::node
