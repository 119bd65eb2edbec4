// Generates configuration bodies for the tests of packing.
#pragma once

#include <memory>
#include <random>
#include <string>

namespace lilacmux::test {

// Returns a text of about the length and redundancy of a configuration with `routes` routes.
inline std::string configurationOf(std::size_t routes, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::string out;
  for (std::size_t i = 0; i < routes; ++i)
    out += "route " + std::to_string(random()) + " /path/" + std::to_string(random()) + "/ to service " +
           std::to_string(random() % 3) + " within 4000 ms, 2 attempts, priority 1, not public\n";
  return out;
}

inline std::shared_ptr<const std::string> bodyOf(std::string text) {
  return std::make_shared<const std::string>(std::move(text));
}

}  // namespace lilacmux::test
