// A deterministic sequence of random draws: a 64-bit linear congruential generator. Equal seeds give equal
// sequences on every machine.
#pragma once

#include <cstdint>

namespace lilacmux {

class RandomSequence {
 public:
  explicit RandomSequence(std::uint64_t seed) : state_(seed) {}

  // The next draw, from 0 to below 1.
  double next() {
    state_ = state_ * kMultiplier + 1;
    return static_cast<double>(state_ >> kDroppedBits) * 0x1.0p-53;
  }
  // The state after the last draw, to seed other generators with.
  std::uint64_t state() const { return state_; }

 private:
  static constexpr std::uint64_t kMultiplier = 6364136223846793005ULL;
  static constexpr unsigned kDroppedBits = 11;  // 53 bits remain, as a double holds

  std::uint64_t state_;
};

}  // namespace lilacmux
