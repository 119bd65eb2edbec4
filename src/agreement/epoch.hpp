// Epochs of the core's primaries: a round by vote, and a place in it.
#pragma once

#include <cstdint>
#include <string>

namespace lilacmux {

constexpr unsigned kPlaceBits = 20;  // of an epoch, the lowest; above them the round
constexpr std::uint64_t roundOf(std::uint64_t epoch) { return epoch >> kPlaceBits; }
// round.place
inline std::string epochText(std::uint64_t epoch) {
  std::string out = std::to_string(roundOf(epoch));
  out += '.';
  out += std::to_string(epoch - (roundOf(epoch) << kPlaceBits));
  return out;
}

}  // namespace lilacmux
