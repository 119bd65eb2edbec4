// SplitMix64: a small, fast generator that draws the same with every standard library.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lilacmux {

class SeededRandom {
 public:
  explicit SeededRandom(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15u);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
  }
  double chance() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }  // in [0, 1)
  double below(double most) { return most * chance(); }
  double between(double least, double most) { return least + (most - least) * chance(); }
  std::size_t index(std::size_t count) { return static_cast<std::size_t>(next() % count); }
  template <class T>
  const T& oneOf(const std::vector<T>& all) {
    return all[index(all.size())];
  }

 private:
  std::uint64_t state_;
};

}  // namespace lilacmux
