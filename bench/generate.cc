// Seeded generator of traces:
//   bench-generate DEPLOYMENT SCENARIO LOAD SECONDS SEED
// DEPLOYMENT: kitakyushu, saskatoon, two-years.
// SCENARIO: steady, peak, flood, burst, loss.
// LOAD: busy share of the engines' prefill and decode time, in per cent.
#include <algorithm>
#include <boost/json/src.hpp>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <random>

#include "trace-json.h"

namespace {

using namespace std::chrono_literals;
using comfreyflow::Duration;
using comfreyflow::Urgency;
using comfreyflow::replay::AccountSetup;
using comfreyflow::replay::EngineSettings;
using comfreyflow::replay::FleetSetup;
using comfreyflow::replay::Trace;
using comfreyflow::replay::TraceRequest;

/// Prompt lengths: share of the requests, log-uniform inside the bounds.
struct Band {
  double share;
  double from;
  double to;
  std::uint32_t groups;  ///< Shared prefixes of each account.
  Duration deadline;
};

constexpr Band kBands[] = {{0.60, 1e3, 4e3, 4, 60s},
                           {0.25, 4e3, 8e3, 4, 60s},
                           {0.10, 8e3, 30e3, 4, 60s},
                           {0.03, 30e3, 100e3, 2, 120s},
                           {0.02, 100e3, 1e6, 2, 180s}};
constexpr std::uint32_t kLongFrom = 30'000;
constexpr double kShortShared = 1.0 / 2;
constexpr double kLongShared = 1.0 / 3;
/// An exponential of this mean cut at `kMaxOutput` has mean 260.
constexpr double kOutputMean = 266;
constexpr std::uint32_t kMaxOutput = 1'024;
constexpr int kWorkSamples = 200'000;
/// Requests a second of the second service, a short one, for each engine.
constexpr double kSecondServiceRate = 1.5;
/// What one account may use, as a share of the fleet's rate of tokens.
constexpr double kAccountLimitShare = 0.35;
/// The flood's rate as a share of what the engines can take.
constexpr double kFloodLoad = 1.0;
constexpr std::uint32_t kFloodAccount = 3;
/// One that runs many short requests.
constexpr std::uint32_t kLostEngine = 4;
constexpr int kBurstPrompts = 24;
constexpr Duration kBurstLength = 10s;

class Generator {
 public:
  explicit Generator(std::uint64_t seed) : random_(seed) {}

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  double Exponential(double mean) { return -mean * std::log1p(-Uniform()); }

  /// Index by weights, heaviest first: weight 1 / (index + 1).
  std::uint32_t Zipf(std::uint32_t count) {
    double total = 0;
    for (std::uint32_t i = 0; i < count; ++i) total += 1.0 / (i + 1);
    double left = Uniform() * total;
    for (std::uint32_t i = 0; i < count; ++i) {
      left -= 1.0 / (i + 1);
      if (left <= 0) return i;
    }
    return count - 1;
  }

  std::size_t PickBand() {
    double left = Uniform();
    for (std::size_t i = 0; i + 1 < std::size(kBands); ++i) {
      left -= kBands[i].share;
      if (left < 0) return i;
    }
    return std::size(kBands) - 1;
  }

  TraceRequest Request(std::size_t band_index, std::uint32_t account) {
    const Band& band = kBands[band_index];
    TraceRequest out;
    const double length = band.from * std::pow(band.to / band.from, Uniform());
    out.prompt_tokens = static_cast<std::uint32_t>(length);
    const bool is_long = out.prompt_tokens >= kLongFrom;
    const double shared = is_long ? kLongShared : kShortShared;
    out.shared_tokens = static_cast<std::uint32_t>(out.prompt_tokens * shared);
    const auto output = static_cast<std::uint32_t>(Exponential(kOutputMean));
    out.output_tokens = std::clamp(output, 1U, kMaxOutput);
    out.max_output_tokens = 256;
    while (out.max_output_tokens < out.output_tokens) {
      out.max_output_tokens *= 2;
    }
    const auto group = static_cast<std::uint32_t>(Uniform() * band.groups);
    out.prefix_group =
        (account * static_cast<std::uint32_t>(std::size(kBands)) +
         static_cast<std::uint32_t>(band_index)) *
            10 +
        group;
    out.account = {"account-" + std::to_string(account)};
    out.urgency = UrgencyOf(is_long);
    out.deadline = band.deadline;
    return out;
  }

  TraceRequest Any(std::uint32_t account) {
    return Request(PickBand(), account);
  }

 private:
  Urgency UrgencyOf(bool is_long) {
    const double draw = Uniform();
    if (is_long) return draw < 0.6 ? Urgency::kLow : Urgency::kNormal;
    return draw < 0.6 ? Urgency::kHigh : Urgency::kNormal;
  }

  std::mt19937_64 random_;
};

/// Engine time that a request takes, in seconds.
double Work(const EngineSettings& engine, const TraceRequest& request) {
  const std::uint32_t uncached = request.prompt_tokens - request.shared_tokens;
  const double chunks = static_cast<double>(uncached) / engine.chunk_tokens;
  const std::chrono::duration<double> prefill =
      engine.prefill_token * uncached +
      engine.decode_request * request.output_tokens;
  const std::chrono::duration<double> iteration = engine.iteration;
  return prefill.count() + iteration.count() * chunks;
}

struct Deployment {
  FleetSetup fleet;
  std::uint32_t accounts = 10;
};

Deployment DeploymentOf(const std::string& name) {
  Deployment out;
  FleetSetup& fleet = out.fleet;
  fleet.name = name;
  if (name == "kitakyushu") {
    fleet.services = {{{"bento-llm"}, 20}, {{"rounds-app"}, 3}};
  } else if (name == "saskatoon") {
    fleet.hop_other = 500us;
    fleet.services = {{{"counsel-models"}, 25}, {{"paybook"}, 3}};
  } else if (name == "two-years") {
    fleet.hosts = 350;
    fleet.report_period = 1s;
    fleet.cache_events = false;
    fleet.services = {{{"main"}, 600}};
    out.accounts = 300;
  }
  return out;
}

class Scenario {
 public:
  Scenario(Deployment deployment, std::string name, double load, double seconds,
           std::uint64_t seed)
      : name_(std::move(name)),
        load_(load),
        seconds_(seconds),
        accounts_(deployment.accounts),
        random_(seed) {
    trace_.fleet = std::move(deployment.fleet);
    trace_.fleet.seed = seed;
    trace_.fleet.measure_from = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::min(20.0, seconds / 4)));
  }

  Trace Make() {
    double work = 0;
    double tokens = 0;
    for (int i = 0; i < kWorkSamples; ++i) {
      const TraceRequest sample = random_.Any(0);
      work += Work(trace_.fleet.engine, sample);
      tokens += sample.prompt_tokens + sample.max_output_tokens;
    }
    work /= kWorkSamples;
    tokens /= kWorkSamples;
    const double engines = trace_.fleet.services[0].engines;
    capacity_ = engines / work;
    AddAccounts(capacity_ * tokens * kAccountLimitShare);
    AddMain();
    if (trace_.fleet.services.size() > 1) AddSecondService();
    if (name_ == "flood") AddFlood();
    if (name_ == "burst") AddBurst();
    if (name_ == "loss") {
      trace_.fleet.losses.push_back({At(seconds_ / 2), kLostEngine});
    }
    std::stable_sort(trace_.requests.begin(), trace_.requests.end(),
                     [](const TraceRequest& a, const TraceRequest& b) {
                       return a.at < b.at;
                     });
    return std::move(trace_);
  }

 private:
  static Duration At(double seconds) {
    return std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6));
  }

  void AddAccounts(double tokens_per_second) {
    for (std::uint32_t i = 0; i < accounts_; ++i) {
      AccountSetup account{{"account-" + std::to_string(i)}};
      account.limit.tokens_per_second = std::floor(tokens_per_second);
      trace_.fleet.accounts.push_back(account);
    }
  }

  double RateAt(double second) const {
    if (name_ != "peak") return capacity_ * load_;
    const double half = 0.5 + 0.5 * std::sin(second / seconds_ * M_PI);
    return capacity_ * load_ * half;
  }

  template <class Make>
  void AddArrivals(double from, double to, double rate, Make make) {
    for (double t = from + random_.Exponential(1 / rate); t < to;
         t += random_.Exponential(1 / rate)) {
      TraceRequest request = make();
      request.at = At(t);
      trace_.requests.push_back(std::move(request));
    }
  }

  void AddMain() {
    const auto make = [&] {
      TraceRequest request = random_.Any(random_.Zipf(accounts_));
      request.service = trace_.fleet.services[0].service;
      return request;
    };
    if (name_ != "peak") return AddArrivals(0, seconds_, RateAt(0), make);
    for (double second = 0; second < seconds_; ++second) {
      AddArrivals(second, second + 1, RateAt(second), make);
    }
  }

  void AddSecondService() {
    const auto& service = trace_.fleet.services[1];
    AddArrivals(0, seconds_, kSecondServiceRate * service.engines, [&] {
      TraceRequest request = random_.Request(0, random_.Zipf(accounts_));
      request.service = service.service;
      request.urgency = Urgency::kHigh;
      request.repeatable = false;
      return request;
    });
  }

  void AddFlood() {
    AddArrivals(seconds_ / 3, seconds_, capacity_ * kFloodLoad, [&] {
      TraceRequest request = random_.Any(kFloodAccount);
      request.service = trace_.fleet.services[0].service;
      request.flood = true;
      return request;
    });
    trace_.fleet.measure_from = At(seconds_ / 3);
  }

  void AddBurst() {
    for (int i = 0; i < kBurstPrompts; ++i) {
      TraceRequest request =
          random_.Request(std::size(kBands) - 1, random_.Zipf(accounts_));
      request.prompt_tokens =
          900'000 + static_cast<std::uint32_t>(random_.Uniform() * 100'000);
      request.shared_tokens = request.prompt_tokens / 3;
      request.service = trace_.fleet.services[0].service;
      const double length = std::chrono::duration<double>(kBurstLength).count();
      request.at = At(seconds_ / 3 + random_.Uniform() * length);
      trace_.requests.push_back(std::move(request));
    }
  }

  std::string name_;
  double load_;
  double seconds_;
  std::uint32_t accounts_;
  double capacity_ = 0;  ///< Requests a second at full load.
  Generator random_;
  Trace trace_;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 6) {
    std::fprintf(stderr,
                 "usage: bench-generate kitakyushu|saskatoon|two-years "
                 "steady|peak|flood|burst|loss LOAD_PERCENT SECONDS SEED\n");
    return 2;
  }
  const Deployment deployment = DeploymentOf(argv[1]);
  if (deployment.fleet.services.empty()) {
    std::fprintf(stderr, "unknown deployment %s\n", argv[1]);
    return 2;
  }
  Scenario scenario(deployment, argv[2], std::stod(argv[3]) / 100,
                    std::stod(argv[4]), std::stoull(argv[5]));
  Write(std::cout, scenario.Make());
  return 0;
}
