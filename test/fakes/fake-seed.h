/// Seeds of the stand-ins' faults.
#pragma once

#include <cstdint>
#include <random>

namespace comfreyflow::fakes {

/// The generator every stand-in draws its faults from.
std::mt19937_64 SeededGenerator(std::uint64_t seed);

}  // namespace comfreyflow::fakes
