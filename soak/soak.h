/// One soak: hosts as processes, disturbed from outside while callers use
/// them, then judged by what callers and targets saw.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "soak/promises.h"
#include "soak/schedule.h"

namespace comfreyflow::soak {

struct SoakSettings {
  std::string program;    ///< Of a host.
  std::string before;     ///< Run by every other host; empty: by none.
  std::string fault;      ///< Planted in it; empty: none.
  std::string directory;  ///< For settings and logs.
  std::uint64_t seed = 1;
  int hosts = 4;
  int callers = 16;
  int targets = 6;  ///< Engines; a third as many plain ones, at least two.
  Duration length = std::chrono::seconds(20);
  /// Without disturbance at the end; judging recovery takes `Bounds::recover`
  /// and some seconds more.
  Duration quiet = std::chrono::seconds(15);
  bool timed = false;  ///< Also judges promises that name a time.
  Mix mix = Mix::kMixed;
  std::vector<Trouble> only;  ///< In place of the mix's own; empty: those.
};

struct SoakResult {
  std::size_t requests = 0;
  std::size_t served = 0;
  std::size_t left = 0;                 ///< By their callers.
  std::map<int, std::size_t> statuses;  ///< Of the others; 0: none came.
  std::size_t disturbances = 0;
  std::vector<Breach> breaches;
  /// Longest time for which the soak itself did not run.
  Duration standstill{};
  /// Of the breaches, by hosts of the build before; they are not among them.
  std::vector<Breach> breaches_before;
  std::vector<Judged> judged;  ///< Of the promises that name a time.
  /// What was done, a line each.
  std::vector<std::string> story;
};

SoakResult RunSoak(const SoakSettings& settings);

}  // namespace comfreyflow::soak
