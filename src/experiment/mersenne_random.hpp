// Draws of the simulations of the fleet, from the standard library's Mersenne Twister. Earlier recorded runs
// were drawn by it, so it stays beside SeededRandom (random.hpp), which draws other numbers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace lilacmux {

class MersenneRandom {
 public:
  explicit MersenneRandom(std::uint64_t seed) : engine_(seed) {}

  double chance() { return std::uniform_real_distribution<>(0, 1)(engine_); }  // in [0, 1)
  double between(double least, double most) { return least + chance() * (most - least); }
  std::size_t index(std::size_t count) {
    return static_cast<std::size_t>(chance() * static_cast<double>(count));
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace lilacmux
