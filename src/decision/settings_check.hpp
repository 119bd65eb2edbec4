// Validation of the engine's settings.
#pragma once

#include "lilacmux/decision_engine.hpp"

namespace lilacmux::decision {

// Returns its argument. Throws std::invalid_argument if a value is out of range.
const EngineSettings& checked(const EngineSettings& settings);

}  // namespace lilacmux::decision
