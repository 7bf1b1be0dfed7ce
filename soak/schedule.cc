// Draws disturbances.
#include "soak/schedule.h"

#include <array>
#include <random>

namespace comfreyflow::soak {
namespace {

using std::chrono::milliseconds;

/// Mean pause between two disturbances.
constexpr double kMeanPauseSeconds = 0.6;
constexpr Duration kShortestLife = milliseconds(200);
constexpr Duration kLongestLife = milliseconds(4000);

}  // namespace

const char* ToString(Trouble trouble) {
  constexpr std::array<const char*, kTroubles> kNames = {
      "host_kill",    "host_stop",     "host_pause",    "host_reload",
      "hosts_kill",   "store_silent",  "store_reset",   "store_slow",
      "store_down",   "store_forgets", "store_path",    "store_answers_lost",
      "target_dark",  "target_reset",  "target_errors", "target_refuses",
      "target_loses", "target_hangs",  "target_leaves", "target_lapses",
      "key_change",   "key_storm",     "callers_reset", "callers_slow"};
  return kNames.at(static_cast<std::size_t>(trouble));
}

std::vector<Event> Draw(std::uint64_t seed, Duration begin, Duration end) {
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> pause(1 / kMeanPauseSeconds);
  std::uniform_int_distribution<int> trouble(0, kTroubles - 1);
  std::uniform_int_distribution<Duration::rep> life(kShortestLife.count(),
                                                    kLongestLife.count());
  std::vector<Event> out;
  Duration at = begin;
  while (at < end) {
    out.push_back({at, static_cast<Trouble>(trouble(random)),
                   Duration(life(random)), random()});
    at += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(pause(random)));
  }
  return out;
}

}  // namespace comfreyflow::soak
