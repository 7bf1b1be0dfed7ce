// Seeds of the stand-ins' faults.
#include "fakes/fake-seed.h"

namespace comfreyflow::fakes {

std::mt19937_64 SeededGenerator(std::uint64_t seed) {
  return std::mt19937_64(seed);
}

}  // namespace comfreyflow::fakes
