// Replays a trace against stated outcomes:
//   bench-replay TRACE OUTCOMES
// Prints a table for our policy and the baselines, and each outcome with its
// bound. Exits 0 only when every stated outcome holds.
#include <boost/json/src.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <optional>
#include <set>

#include "core/replay/fleet.h"
#include "trace-json.h"

namespace {

using comfreyflow::replay::BandName;
using comfreyflow::replay::Baselines;
using comfreyflow::replay::Fleet;
using comfreyflow::replay::kLengthBands;
using comfreyflow::replay::kShortBelow;
using comfreyflow::replay::Result;
using comfreyflow::replay::Selection;
using comfreyflow::replay::Summary;
using comfreyflow::replay::Trace;
using comfreyflow::replay::TraceRequest;
namespace json = boost::json;

/// Figures of a trace, each run made once and only when an outcome needs it.
class Runs {
 public:
  explicit Runs(Trace trace) : trace_(std::move(trace)) {}

  const Trace& trace() const { return trace_; }

  const Summary& Of(const std::string& policy) {
    return Run(policy, policy, trace_,
               [](const TraceRequest&) { return true; });
  }

  /// Short requests only, beside the same arrivals of long ones or without.
  const Summary& Short(const std::string& policy, bool with_long) {
    const Selection is_short = [](const TraceRequest& request) {
      return request.prompt_tokens < kShortBelow;
    };
    if (with_long) return Of(policy);
    return Run(policy + "/short-only", policy,
               Without([&](const auto& request) { return !is_short(request); }),
               is_short);
  }

  /// Requests of accounts that do not flood, beside the flood or without it.
  const Summary& Others(const std::string& policy, bool with_flood) {
    std::set<comfreyflow::AccountName> flooding;
    for (const TraceRequest& request : trace_.requests) {
      if (request.flood) flooding.insert(request.account);
    }
    const Selection others = [flooding](const TraceRequest& request) {
      return !flooding.contains(request.account);
    };
    if (with_flood) return Run(policy + "/others", policy, trace_, others);
    return Run(policy + "/no-flood", policy,
               Without([](const auto& request) { return request.flood; }),
               others);
  }

 private:
  Trace Without(const Selection& left_out) const {
    Trace out;
    out.fleet = trace_.fleet;
    for (const TraceRequest& request : trace_.requests) {
      if (!left_out(request)) out.requests.push_back(request);
    }
    return out;
  }

  const Summary& Run(const std::string& label, const std::string& policy,
                     const Trace& trace, const Selection& selection) {
    const auto found = summaries_.find(label);
    if (found != summaries_.end()) return found->second;
    const Result result = Fleet(trace, policy).Run();
    Summary summary = Summarize(trace, result, selection);
    Print(label, summary, result);
    return summaries_.emplace(label, summary).first->second;
  }

  static void Print(const std::string& label, const Summary& summary,
                    const Result& result) {
    std::printf(
        "%-22s within 0.75 s %.4f  gap p95 %.1f ms  goodput %.0f tok/s  "
        "busy %.2f  asks %llu\n",
        label.c_str(), summary.within_target, summary.gap_p95_ms,
        summary.goodput, result.busy_share,
        static_cast<unsigned long long>(result.probes));
    std::printf(
        "%-22s unfinished %zu  deadline misses %zu  retried %zu (%zu not on a "
        "lost engine)\n",
        "", summary.unfinished, summary.deadline_misses, summary.retried,
        summary.retried_elsewhere);
    for (std::size_t i = 0; i < kLengthBands; ++i) {
      PrintBand(BandName(i), summary.bands[i]);
    }
    PrintBand("short", summary.all_short);
    PrintBand("all", summary.all);
  }

  static void PrintBand(const char* name, const Summary::Band& band) {
    if (band.requests == 0) return;
    std::printf(
        "  %-9s n %6zu refused %5zu missed %4zu  ttft p50 %7.3f p95 %7.3f "
        "p99 %7.3f  floor p95 %7.3f  placed p95 %6.3f  cached %.2f\n",
        name, band.requests, band.refused, band.missed, band.p50, band.p95,
        band.p99, band.floor_p95, band.placed_p95, band.cached_share);
  }

  Trace trace_;
  std::map<std::string, Summary> summaries_;
};

/// Worst ratio, over length classes, of our p95 to the best baseline's.
double WorstBandRatio(Runs& runs, const std::string& policy) {
  double worst = 0;
  for (std::size_t i = 0; i < kLengthBands; ++i) {
    double best = 0;
    for (const std::string& name : Baselines()) {
      const Summary::Band& band = runs.Of(name).bands[i];
      if (band.p95 > 0 && (best == 0 || band.p95 < best)) best = band.p95;
    }
    if (best == 0) continue;
    worst = std::max(worst, runs.Of(policy).bands[i].p95 / best);
  }
  return worst;
}

std::optional<double> Measure(Runs& runs, const std::string& policy,
                              const std::string& measure) {
  const Summary& ours = runs.Of(policy);
  if (measure == "head_of_line_ratio") {
    return runs.Short(policy, true).all_short.p95 /
           runs.Short(policy, false).all_short.p95;
  }
  if (measure == "within_target_share") return ours.within_target;
  if (measure == "token_gap_p95_ms") return ours.gap_p95_ms;
  if (measure == "unfinished") return static_cast<double>(ours.unfinished);
  if (measure == "band_p95_to_best_baseline") {
    return WorstBandRatio(runs, policy);
  }
  if (measure == "least_loaded_short_p99_to_ours") {
    return runs.Of("least-loaded").all_short.p99 / ours.all_short.p99;
  }
  if (measure == "others_p95_ratio") {
    return runs.Others(policy, true).all.p95 /
           runs.Others(policy, false).all.p95;
  }
  if (measure == "others_short_p95_ratio") {
    return runs.Others(policy, true).all_short.p95 /
           runs.Others(policy, false).all_short.p95;
  }
  if (measure == "retried_elsewhere") {
    return static_cast<double>(ours.retried_elsewhere);
  }
  if (measure == "retried_share") {
    return static_cast<double>(ours.retried) /
           static_cast<double>(ours.all.requests);
  }
  return std::nullopt;
}

/// Whether the stated outcome holds.
bool Check(Runs& runs, const std::string& policy, const json::object& stated) {
  const std::string name = json::value_to<std::string>(stated.at("measure"));
  const std::optional<double> value = Measure(runs, policy, name);
  if (!value) {
    std::printf("outcome %s: not known\n", name.c_str());
    return false;
  }
  bool holds = true;
  double bound = 0;
  const char* sense = "at most";
  if (const auto* at_most = stated.if_contains("at_most")) {
    bound = at_most->to_number<double>();
    holds = *value <= bound;
  } else {
    bound = stated.at("at_least").to_number<double>();
    holds = *value >= bound;
    sense = "at least";
  }
  std::printf("outcome %-32s %9.4f  %s %g  %s\n", name.c_str(), *value, sense,
              bound, holds ? "holds" : "FELL SHORT");
  return holds;
}

int Replay(const char* trace_path, const char* outcomes_path) {
  std::ifstream trace_file(trace_path);
  std::ifstream outcomes_file(outcomes_path);
  if (!trace_file || !outcomes_file) {
    std::fprintf(stderr, "cannot open %s\n",
                 trace_file ? outcomes_path : trace_path);
    return 2;
  }
  Runs runs(comfreyflow::replay::Read(trace_file));
  const std::string text{std::istreambuf_iterator<char>(outcomes_file), {}};
  const json::object outcomes = json::parse(text).as_object();
  const std::string policy = json::value_to<std::string>(outcomes.at("policy"));
  bool all = true;
  for (const json::value& stated : outcomes.at("outcomes").as_array()) {
    all = Check(runs, policy, stated.as_object()) && all;
  }
  return all ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: bench-replay TRACE OUTCOMES\n");
    return 2;
  }
  try {
    return Replay(argv[1], argv[2]);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "unreadable input: %s\n", error.what());
    return 2;
  }
}
