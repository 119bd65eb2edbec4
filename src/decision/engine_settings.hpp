// Parsers for an instance's startup settings: lines of the form `path=value`.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "lilacmux/decision_engine.hpp"

namespace lilacmux {

// The settings that concern the host and not the engine: the names used on sockets, and connection timeouts
// in ms.
struct HostSettings {
  std::vector<std::string> classes, plans, zones, kinds;  // names, by index
  Time connectTimeout = 250;
  Time idleTimeout = 30000;  // servers close connections that have been idle for this long
};

// Both functions throw std::runtime_error with a one-line message on a malformed line, number or keyword.
// Unknown keys are ignored.
EngineSettings parseEngineSettings(std::string_view text);
HostSettings parseHostSettings(std::string_view text);

}  // namespace lilacmux
