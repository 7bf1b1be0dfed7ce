// Cost and speed of the membership over 8, 32, 128 and 350 hosts, in virtual
// time: bytes and messages a second, processor time and memory of a host, time
// to agree after a start, a death, a split, and to spread a generation.
#include <malloc.h>

#include <chrono>
#include <cstdio>

#include "../test/gossip-net-impl.h"
#include "comfreyflow/config-state.h"

namespace {

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using comfreyflow::testing::GossipNet;
using std::chrono::seconds;

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

double MemoryBytes() { return static_cast<double>(mallinfo2().uordblks); }

void Row(int hosts) {
  const double before = MemoryBytes();
  GossipNet net({.hosts = hosts, .domains = hosts > 100 ? 7 : 3, .seed = 7});
  for (int i = 0; i < hosts; ++i) net.Start(i);
  const auto agreed = [&] { return net.Agreed(); };
  const Duration join = net.RunUntil(agreed, seconds(120));
  const std::uint64_t join_peak = net.peak_bytes();
  net.Run(seconds(20));

  net.ResetCounters();
  const auto cpu = std::clock();
  constexpr int kSteadySeconds = 60;
  net.Run(seconds(kSteadySeconds));
  const double cpu_s = static_cast<double>(std::clock() - cpu) / CLOCKS_PER_SEC;
  const double steady = static_cast<double>(hosts) * kSteadySeconds;
  const double bytes = 2.0 * static_cast<double>(net.bytes_sent()) / steady;
  const double messages =
      2.0 * static_cast<double>(net.datagrams_sent()) / steady;
  const double memory = (MemoryBytes() - before) / hosts;

  net.node(1).SetConfig({9, 1});
  const Duration spread = net.RunUntil(
      [&] {
        for (int i = 0; i < hosts; ++i) {
          for (const auto& event : net.events()[i]) {
            const auto* heard = std::get_if<ConfigAnnounced>(&event);
            if (heard == nullptr || heard->config.generation != 9) continue;
            net.node(i).SetConfig({9, 1});
          }
          net.events()[i].clear();
        }
        for (int i = 0; i < hosts; ++i) {
          const auto& self = net.node(i).members().at(net.name(i));
          if (self.facts.generation != 9) return false;
        }
        return true;
      },
      seconds(60));

  net.Kill(hosts / 2);
  const Duration death =
      net.RunUntil([&] { return net.AllDropped(hosts / 2); }, seconds(60));
  net.Start(hosts / 2);
  net.RunUntil(agreed, seconds(60));
  net.Partition([&](int host) { return host < hosts / 2 ? 0 : 1; });
  net.Run(seconds(60));
  net.Heal();
  net.ResetCounters();
  const Duration heal = net.RunUntil(agreed, seconds(60));
  const std::uint64_t heal_peak = net.peak_bytes();

  std::printf(
      "%5d %9.0f %8.1f %9.4f %9.1f %7.1f %8.1f %7.1f %7.1f %9llu %9llu\n",
      hosts, bytes, messages, 100.0 * cpu_s / steady, memory / 1024,
      Seconds(join), Seconds(spread), Seconds(death), Seconds(heal),
      static_cast<unsigned long long>(join_peak),
      static_cast<unsigned long long>(heal_peak));
  std::fflush(stdout);
}

/// Store calls a second of the whole fleet for the configuration.
void StoreRow(int hosts, bool store_up) {
  constexpr int kSpan = 120;
  const std::size_t domains = hosts > 100 ? 7 : 3;
  std::vector<ConfigState> states;
  std::vector<Time> watch_ends(static_cast<std::size_t>(hosts));
  Time now{std::chrono::hours(1)};
  const std::string text =
      "[environment trial]\n[service s]\nkind = plain\ntarget_class = c\n";
  double reads = 0;
  double watches = 0;
  for (int i = 0; i < hosts; ++i) {
    states.emplace_back(static_cast<std::uint64_t>(i), now);
  }
  const Time measured = now + seconds(30);
  for (const Time end = measured + seconds(kSpan); now < end;
       now += kConfigTick) {
    for (std::size_t i = 0; i < states.size(); ++i) {
      states[i].Handle(MembershipViewReceived{true, i / domains}, now);
      const bool ended = watch_ends[i] != Time{} && now >= watch_ends[i];
      if (ended) {
        watch_ends[i] = {};
        states[i].Handle(StoreUnchanged{}, now);
        states[i].Handle(WatchEnded{}, now);
      }
      for (const auto& command : states[i].Handle(ConfigTick{}, now)) {
        const bool counted = now >= measured;
        if (std::holds_alternative<ReadStoredConfig>(command)) {
          reads += counted ? 1 : 0;
          if (store_up || !counted) {
            states[i].Handle(StoreDocumentReceived{{10, text}}, now);
          } else {
            states[i].Handle(StoreFailed{}, now);
          }
        }
        if (std::holds_alternative<WatchStoredConfig>(command)) {
          watches += counted ? 1 : 0;
          if (store_up || !counted) {
            watch_ends[i] = now + kWatchTime;
          } else {
            states[i].Handle(StoreFailed{}, now);
            states[i].Handle(WatchEnded{}, now);
          }
        }
      }
    }
  }
  std::printf("%5d %8zu %6s %8.2f %9.2f\n", hosts, domains,
              store_up ? "up" : "down", reads / kSpan, watches / kSpan);
}

}  // namespace

int main() {
  std::printf(
      "hosts   bytes/s   msgs/s     cpu_%%    mem_KB  join_s spread_s death_s"
      "  heal_s join_peak heal_peak\n");
  for (const int hosts : {8, 32, 128, 350}) Row(hosts);
  std::printf("\nhosts  domains  store  reads/s watches/s  (whole fleet)\n");
  for (const bool up : {true, false}) {
    for (const int hosts : {8, 32, 128, 350}) StoreRow(hosts, up);
  }
  return 0;
}
