// comfreyflow-soak: plays seeds of faults against real host processes.
#include <tclap/CmdLine.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>

#include "soak/planted.h"
#include "soak/soak.h"

namespace comfreyflow::soak {
namespace {

namespace fs = std::filesystem;

void PrintJudged(const std::vector<Judged>& judged) {
  if (judged.empty()) return;
  std::cout << "  judged:" << std::fixed << std::setprecision(1);
  for (const auto& count : judged) {
    std::cout << ' ' << count.promise << ' ' << count.judged << " of "
              << count.of << ' ' << count.unit << ';';
  }
  std::cout << std::endl;
  for (const auto& count : judged) {
    if (count.judged > 0) continue;
    std::cout << "  NOT JUDGED: " << count.promise << ", " << count.unit
              << std::endl;
  }
}

/// What hosts of the build before broke.
void PrintBefore(const std::vector<Breach>& breaches) {
  std::map<std::string, std::size_t> counts;
  for (const auto& breach : breaches) ++counts[breach.promise];
  for (const auto& [promise, count] : counts) {
    std::cout << "  by hosts of the build before: " << promise << " x" << count
              << std::endl;
  }
}

int Report(const SoakSettings& settings, const SoakResult& result, bool story) {
  std::cout << "seed " << settings.seed << ": " << result.requests
            << " requests, " << result.served << " served, "
            << result.disturbances << " disturbances, "
            << result.breaches.size() << " broken promises; " << result.left
            << " left, status:";
  for (const auto& [status, count] : result.statuses) {
    std::cout << ' ' << status << " x" << count;
  }
  std::cout << std::endl;
  constexpr auto kNotable = std::chrono::milliseconds(500);
  if (result.standstill > kNotable) {
    std::cout << "  the soak itself stood still for "
              << std::chrono::duration_cast<std::chrono::milliseconds>(
                     result.standstill)
                     .count()
              << " ms" << std::endl;
  }
  PrintJudged(result.judged);
  PrintBefore(result.breaches_before);
  if (result.breaches.empty()) return 0;
  constexpr std::size_t kMostShown = 12;
  std::ofstream all(settings.directory + "/broken.txt");
  for (const auto& breach : result.breaches) {
    all << breach.promise << ' ' << breach.request << ' ' << breach.detail
        << '\n';
  }
  for (std::size_t i = 0; i < result.breaches.size() && i < kMostShown; ++i) {
    const Breach& breach = result.breaches[i];
    std::cout << "  " << breach.promise << ' ' << breach.request << ' '
              << breach.detail << '\n';
  }
  if (story) {
    for (const auto& line : result.story) std::cout << "  " << line << '\n';
  }
  std::cout << "  all in broken.txt beside the logs: " << settings.directory
            << std::endl;
  return 1;
}

int Play(SoakSettings settings, std::uint64_t count, bool story) {
  const std::string base = settings.directory;
  int broken = 0;
  for (std::uint64_t i = 0; i < count; ++i) {
    settings.directory = base + "/seed-" + std::to_string(settings.seed);
    fs::remove_all(settings.directory);
    fs::create_directories(settings.directory);
    const SoakResult result = RunSoak(settings);
    broken += Report(settings, result, story);
    if (result.breaches.empty()) fs::remove_all(settings.directory);
    ++settings.seed;
  }
  std::cout << count << " seeds, " << broken << " with broken promises\n";
  return broken == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

/// Whether the planted fault breaks its promise in some seed from
/// `settings.seed` on.
int FindPlanted(SoakSettings settings, const Planted& planted) {
  constexpr int kMostSeeds = 4;
  settings.program = "build/soak-planted-host";
  settings.fault = planted.name;
  settings.mix = planted.mix;
  settings.directory += std::string("/") + planted.name;
  std::size_t found = 0;
  const std::uint64_t end = settings.seed + kMostSeeds;
  for (; settings.seed < end && found == 0; ++settings.seed) {
    fs::create_directories(settings.directory);
    const SoakResult result = RunSoak(settings);
    found = static_cast<std::size_t>(std::count_if(
        result.breaches.begin(), result.breaches.end(),
        [&](const Breach& b) { return b.promise == planted.promise; }));
  }
  fs::remove_all(settings.directory);
  std::cout << (found > 0 ? "found  " : "MISSED ") << planted.name << ": "
            << planted.promise << " x" << found << ", seed "
            << settings.seed - 1 << std::endl;
  return found > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int FindPlanted(const SoakSettings& settings, const std::string& name) {
  for (const Planted& planted : kPlanted) {
    if (planted.name == name) return FindPlanted(settings, planted);
  }
  std::cerr << "no planted fault " << name << '\n';
  return EXIT_FAILURE;
}

std::vector<Trouble> TroublesOf(const std::vector<std::string>& names) {
  std::vector<Trouble> out;
  for (const auto& name : names) {
    const auto trouble = TroubleOf(name);
    if (!trouble) throw std::invalid_argument("no disturbance " + name);
    out.push_back(*trouble);
  }
  return out;
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine line(
      "Plays seeds of faults against host processes and checks from outside "
      "what callers and targets see. Ends with 0 only if no promise broke.");
  TCLAP::ValueArg<std::string> program("", "program", "host program", false,
                                       "build/comfreyflow-host", "PATH", line);
  TCLAP::ValueArg<std::string> fault("", "fault",
                                     "planted fault (for "
                                     "build/soak-planted-host)",
                                     false, "", "NAME", line);
  TCLAP::ValueArg<std::string> before(
      "", "before", "host program of the build before, for every other host",
      false, "", "PATH", line);
  TCLAP::ValueArg<std::string> directory("", "directory", "for logs", false,
                                         "build/soak-logs", "PATH", line);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "first seed", false, 1, "N",
                                      line);
  TCLAP::ValueArg<std::uint64_t> count("", "count", "seeds", false, 1, "N",
                                       line);
  TCLAP::ValueArg<int> hosts("", "hosts", "host processes", false, 4, "N",
                             line);
  TCLAP::ValueArg<int> callers("", "callers", "callers at once", false, 16, "N",
                               line);
  TCLAP::ValueArg<int> targets("", "targets", "engines", false, 6, "N", line);
  TCLAP::ValueArg<int> length("", "length", "seconds of disturbances", false,
                              20, "S", line);
  TCLAP::ValueArg<int> quiet("", "quiet", "seconds without at the end", false,
                             15, "S", line);
  TCLAP::ValueArg<std::string> planted(
      "", "planted", "check that this fault, planted in the host, is found",
      false, "", "NAME", line);
  std::vector<std::string> mixes = {
      ToString(Mix::kMixed),     ToString(Mix::kLeaving),
      ToString(Mix::kTold),      ToString(Mix::kLimited),
      ToString(Mix::kRewound),   ToString(Mix::kStops),
      ToString(Mix::kOdd),       ToString(Mix::kCopies),
      ToString(Mix::kEvacuated), ToString(Mix::kTurnedAway)};
  TCLAP::ValuesConstraint<std::string> known_mixes(mixes);
  TCLAP::ValueArg<std::string> mix("", "mix", "what is done to the hosts",
                                   false, mixes.front(), &known_mixes, line);
  TCLAP::MultiArg<std::string> only(
      "", "only", "draw this disturbance only (as --story names it)", false,
      "NAME", line);
  TCLAP::SwitchArg timed("", "timed", "also judge promises that name a time",
                         line);
  TCLAP::SwitchArg story("", "story", "print what was done", line);
  line.parse(argc, argv);
  SoakSettings settings;
  settings.program = program.getValue();
  settings.before = before.getValue();
  settings.fault = fault.getValue();
  settings.directory = directory.getValue();
  settings.seed = seed.getValue();
  settings.hosts = hosts.getValue();
  settings.callers = callers.getValue();
  settings.targets = targets.getValue();
  settings.length = std::chrono::seconds(length.getValue());
  settings.quiet = std::chrono::seconds(quiet.getValue());
  settings.timed = timed.getValue();
  settings.mix = MixOf(mix.getValue()).value_or(Mix::kMixed);
  settings.only = TroublesOf(only.getValue());
  if (planted.isSet()) return FindPlanted(settings, planted.getValue());
  return Play(settings, count.getValue(), story.getValue());
}

}  // namespace
}  // namespace comfreyflow::soak

int main(int argc, char** argv) {
  try {
    return comfreyflow::soak::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "comfreyflow-soak: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
}
