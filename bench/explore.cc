// Long runs of the exploration: `bench-explore --seeds A..B`. Exit status 0
// only when each seed is clean; a failing seed prints its shortest fault list.
#include <tclap/CmdLine.h>

#include <cstdint>
#include <iostream>
#include <string>

#include "explore/plan.h"
#include "explore/world.h"

namespace {

using comfreyflow::explore::Plan;
using comfreyflow::explore::Run;
using comfreyflow::explore::RunReport;

struct Range {
  std::uint64_t first = 0;
  std::uint64_t last = 0;
};

Range ParseRange(const std::string& text) {
  const auto dots = text.find("..");
  if (dots == std::string::npos) {
    throw TCLAP::ArgException("not of the form A..B", "seeds");
  }
  return {std::stoull(text.substr(0, dots)),
          std::stoull(text.substr(dots + 2))};
}

void PrintShortest(const Plan& plan) {
  const auto fails = [](const Plan& shorter) {
    return !Run(shorter).violations.empty();
  };
  const Plan shortest = comfreyflow::explore::Shrink(plan, fails);
  std::cout << comfreyflow::explore::Describe(shortest, Run(shortest));
}

int Explore(const Range& range) {
  std::size_t faults = 0;
  std::size_t requests = 0;
  std::size_t done = 0;
  std::size_t violations = 0;
  for (std::uint64_t seed = range.first; seed <= range.last; ++seed) {
    const Plan plan = comfreyflow::explore::MakePlan(seed);
    const RunReport report = Run(plan);
    faults += report.faults;
    requests += report.requests;
    done += report.done;
    violations += report.violations.size();
    if (!report.violations.empty()) PrintShortest(plan);
  }
  std::cout << "requests " << requests << ", whole answers " << done << "\n"
            << "seeds " << range.last - range.first + 1 << ", faults " << faults
            << ", violations " << violations << "\n";
  return violations == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine line("Explores the promises under seeded faults");
    TCLAP::ValueArg<std::string> seeds("s", "seeds", "first..last", false,
                                       "1..1000", "range", line);
    line.parse(argc, argv);
    return Explore(ParseRange(seeds.getValue()));
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.argId() << ": " << error.error() << "\n";
  } catch (const std::logic_error& error) {
    std::cerr << "seeds: " << error.what() << "\n";
  }
  return 2;
}
