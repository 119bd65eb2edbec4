// A digest over the events of a simulated run, by which two versions of the program are compared: the same
// seed must give the same digest as long as behaviour is the same.
#pragma once

#include <bit>
#include <cstdint>

namespace lilacmux {

class EventDigest {
 public:
  void add(std::uint64_t value) {
    // FNV-1a, a byte at a time, so that the order of events counts.
    constexpr std::uint64_t kPrime = 0x100000001b3;
    constexpr unsigned kBitsPerByte = 8;
    for (unsigned shift = 0; shift < 64; shift += kBitsPerByte) {
      value_ ^= (value >> shift) & 0xff;
      value_ *= kPrime;
    }
  }
  void add(double value) { add(std::bit_cast<std::uint64_t>(value)); }
  void add(bool value) { add(std::uint64_t{value}); }

  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0xcbf29ce484222325;
};

}  // namespace lilacmux
