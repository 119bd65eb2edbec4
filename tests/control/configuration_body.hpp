// Configuration bodies for tests.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace lilacmux::test {

// Returns the smallest valid configuration with this revision, as MessagePack. Different names give different
// bodies for the same revision.
inline std::string configurationBody(std::uint64_t revision, const std::string& name = "") {
  const auto bytes = nlohmann::json::to_msgpack({{"revision", revision},
                                                 {"routeRules", nlohmann::json::array()},
                                                 {"backendServices", nlohmann::json::array()},
                                                 {"name", name}});
  return {bytes.begin(), bytes.end()};
}

}  // namespace lilacmux::test
