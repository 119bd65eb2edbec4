// The one clock of the adapters: ms of the steady clock, which the cores are given as their time.
#pragma once

#include <chrono>

namespace lilacmux {

inline double steadyMs() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace lilacmux
