// Store cost of the claim log: hosts' claim machines before a store stand-in in
// virtual time, with requests that may not be repeated arriving at a steady
// rate over many keys. Prints calls, bytes and the added wait.
#include "comfreyflow/claims.h"

#include <tclap/CmdLine.h>

#include <boost/histogram.hpp>
#include <cstdint>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "claim-store.h"

namespace {

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kRunTime = milliseconds(120);
constexpr Duration kTick = milliseconds(10);
constexpr Duration kHop = milliseconds(1);
constexpr Duration kDeadline = seconds(30);
constexpr std::size_t kVerdictBytes = 30;  ///< Of one verdict to a peer.

struct Options {
  std::uint32_t hosts = 8;
  double rate = 280;  ///< Requests a second over all hosts.
  Duration length = seconds(60);
  Duration store_time = milliseconds(4);
  Duration retention = std::chrono::hours(1);
};

struct HostCost {
  std::uint64_t store_bytes = 0;
  std::uint64_t peer_bytes = 0;
};

class Bench {
 public:
  explicit Bench(const Options& options) : options_(options), random_(1) {
    std::vector<HostName> names;
    for (std::uint32_t i = 0; i < options.hosts; ++i) {
      ClaimSettings settings;
      settings.host = {"host-" + std::to_string(i)};
      settings.incarnation = {1'700'000'000'000ULL + i};
      settings.retention = options.retention;
      names.push_back(settings.host);
      hosts_.emplace(settings.host, Claims(settings));
    }
    const std::uint32_t shards = ClaimSettings().shards;
    const ClaimStewards stewards{AssignClaimStewards(names, shards)};
    for (auto& [name, claims] : hosts_) Give(name, stewards);
    names_ = names;
  }

  void Run() {
    PlanTick();
    PlanArrival();
    while (!due_.empty() &&
           due_.begin()->first.first <= kStart + options_.length) {
      auto node = due_.extract(due_.begin());
      now_ = node.key().first;
      node.mapped()();
    }
  }

  void Print() {
    const double length = duration<double>(options_.length).count();
    std::uint64_t peak = 0;
    std::uint64_t peak_peer = 0;
    std::uint64_t total = 0;
    for (const auto& [name, cost] : costs_) {
      peak = std::max(peak, cost.store_bytes);
      peak_peer = std::max(peak_peer, cost.peer_bytes);
      total += cost.store_bytes;
    }
    std::cout << "hosts " << options_.hosts << ", requests " << wanted_ / length
              << "/s, claimed " << claimed_ << ", refused " << refused_ << "\n"
              << "store writes " << static_cast<double>(store_.writes) / length
              << "/s, reads " << static_cast<double>(store_.reads) / length
              << "/s\n"
              << "store bytes a host: mean "
              << static_cast<double>(total) / length / options_.hosts
              << " B/s, highest " << static_cast<double>(peak) / length
              << " B/s\n"
              << "peer bytes sent, highest host: "
              << static_cast<double>(peak_peer) / length << " B/s\n"
              << "added wait: median " << Quantile(0.5) << " ms, p95 "
              << Quantile(0.95) << " ms, p99 " << Quantile(0.99) << " ms\n";
  }

 private:
  static constexpr Time kStart{std::chrono::hours(1)};

  void After(Duration delay, std::function<void()> action) {
    due_.emplace(std::pair{now_ + delay, sequence_++}, std::move(action));
  }

  void PlanTick() {
    After(kTick, [this] {
      for (const HostName& name : names_) Give(name, Tick{});
      PlanTick();
    });
  }

  void PlanArrival() {
    std::exponential_distribution<double> gap(options_.rate);
    After(std::chrono::duration_cast<Duration>(duration<double>(gap(random_))),
          [this] {
            Arrive();
            PlanArrival();
          });
  }

  void Arrive() {
    const HostName& host = names_[random_() % names_.size()];
    const RequestId id{host, {1}, ++wanted_};
    begun_[id] = now_;
    Give(host, WantClaim{id,
                         {"account"},
                         "key-" + std::to_string(wanted_),
                         random_(),
                         now_ + kDeadline});
  }

  void Give(const HostName& host, const ClaimEvent& event) {
    for (const ClaimCommand& command : hosts_.at(host).Handle(event, now_)) {
      Carry(host, command);
    }
  }

  void Carry(const HostName& host, const ClaimCommand& command) {
    if (const auto* told = std::get_if<ClaimAnswered>(&command)) {
      return Answered(host, *told);
    }
    if (const auto* ask = std::get_if<AskClaimSteward>(&command)) {
      costs_[host].peer_bytes += EncodeBatch({0, 0, ask->records}).size();
      After(kHop,
            [this, to = ask->steward, event = PeerClaims{host, ask->records}] {
              Give(to, event);
            });
      return;
    }
    if (const auto* answer = std::get_if<AnswerPeer>(&command)) {
      costs_[host].peer_bytes += kVerdictBytes * answer->verdicts.size();
      After(kHop, [this, to = answer->to,
                   event = PeerVerdicts{host, answer->verdicts}] {
        Give(to, event);
      });
      return;
    }
    CallStore(host, command);
  }

  void CallStore(const HostName& host, const ClaimCommand& command) {
    After(options_.store_time / 2, [this, host, command] {
      StoreAnswered answer;
      const std::uint64_t before = store_.bytes;
      store_.Apply(command, answer);
      costs_[host].store_bytes += store_.bytes - before;
      After(options_.store_time / 2,
            [this, host, answer] { Give(host, answer); });
    });
  }

  void Answered(const HostName& host, const ClaimAnswered& told) {
    const Duration wait = now_ - begun_.at(told.request);
    begun_.erase(told.request);
    waits_(duration<double, std::milli>(wait).count());
    if (told.verdict != ClaimVerdict::kClaimed) {
      ++refused_;
      return;
    }
    ++claimed_;
    After(kRunTime, [this, host, id = told.request] {
      Give(host, RecordOutcome{id, Outcome::kDone});
    });
  }

  double Quantile(double part) const {
    double total = 0;
    for (const double count : waits_) total += count;
    double sum = 0;
    for (int i = 0; i < waits_.axis().size(); ++i) {
      sum += waits_.at(i);
      if (sum >= part * total) return waits_.axis().bin(i).upper();
    }
    return waits_.axis().bin(waits_.axis().size() - 1).upper();
  }

  Options options_;
  std::mt19937_64 random_;
  Time now_ = kStart;
  std::uint64_t sequence_ = 0;
  std::map<std::pair<Time, std::uint64_t>, std::function<void()>> due_;
  std::map<HostName, Claims> hosts_;
  std::vector<HostName> names_;
  testing::ClaimStore store_;
  std::map<HostName, HostCost> costs_;
  std::map<RequestId, Time> begun_;
  std::uint64_t wanted_ = 0;
  std::uint64_t claimed_ = 0;
  std::uint64_t refused_ = 0;
  decltype(boost::histogram::make_histogram(
      boost::histogram::axis::regular<>(1000, 0, 1000))) waits_ =
      boost::histogram::make_histogram(
          boost::histogram::axis::regular<>(1000, 0, 1000));
};

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine line("Store cost of the claim log");
    TCLAP::ValueArg<std::uint32_t> hosts("n", "hosts", "entry hosts", false, 8,
                                         "number", line);
    TCLAP::ValueArg<double> rate("r", "rate", "requests a second", false, 280,
                                 "number", line);
    TCLAP::ValueArg<std::uint32_t> length("t", "seconds", "virtual time", false,
                                          60, "seconds", line);
    TCLAP::ValueArg<std::uint32_t> retention(
        "k", "retention", "how long keys are kept; shorter ones are trimmed",
        false, 3600, "seconds", line);
    line.parse(argc, argv);
    Options options;
    options.hosts = hosts.getValue();
    options.rate = rate.getValue();
    options.length = seconds(length.getValue());
    options.retention = seconds(retention.getValue());
    Bench bench(options);
    bench.Run();
    bench.Print();
    return 0;
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.argId() << ": " << error.error() << "\n";
    return 2;
  }
}
