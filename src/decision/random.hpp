// The engine's only source of randomness.
#pragma once

#include <cstdint>

namespace lilacmux::decision {

// Pseudorandom number generator (splitmix64), with the same sequence in every standard library. All
// components of an engine draw from one generator, so the order of the draws affects the engine's actions.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  // Returns the next number, at least 0 and below 1.
  double next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1.0p-53;
  }

 private:
  std::uint64_t state_;
};

}  // namespace lilacmux::decision
