// Exponentially weighted moving averages.
#pragma once

#include <algorithm>
#include <cmath>

#include "lilacmux/decision_engine.hpp"

namespace lilacmux::decision {

// A point in time before any event.
constexpr Time kNever = -1e18;

// Returns the average `old` after a step of `dt` ms towards `sample`, with a time constant of `tau` ms.
inline double decayToward(double old, double sample, Time dt, Time tau) {
  return old + (sample - old) * (1 - std::exp(-std::max(dt, 0.0) / tau));
}

}  // namespace lilacmux::decision
