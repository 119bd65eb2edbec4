// The time that the decision engine is given.
#pragma once

#include <chrono>

#include "lilacmux/decision_engine.hpp"

namespace lilacmux {

// The decision engine's one clock: it counts with the steady clock from the Unix time of its making, so that
// it never steps and a server's start, told in Unix time, is on it as it is.
class EngineClock {
 public:
  Time now() const {
    const std::chrono::duration<double, std::milli> passed = std::chrono::steady_clock::now() - steady_;
    return unix_ + passed.count();
  }

 private:
  const std::chrono::steady_clock::time_point steady_ = std::chrono::steady_clock::now();
  const double unix_ =
      std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch()).count();
};

}  // namespace lilacmux
