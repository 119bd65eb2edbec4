// The number by which the decision engine knows a server.
#pragma once

#include <functional>
#include <string>

#include "lilacmux/decision_engine.hpp"

namespace lilacmux {

// The same number at every gatekeeper, whatever the address: they all run this program.
inline ServerId serverIdOf(const std::string& instanceId) { return std::hash<std::string>{}(instanceId); }

}  // namespace lilacmux
