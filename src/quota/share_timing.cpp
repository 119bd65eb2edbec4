#include "quota/share_timing.hpp"

#include <algorithm>
#include <cmath>

namespace lilacmux {

ShareTiming gatekeeperTiming() {
  ShareTiming out;
  out.minReserve = 0;
  out.wholeTokens = true;
  out.reserveThreshold = 0.3;
  out.reserveSeconds = 0.35;
  return out;
}

double reserveFor(const ShareTiming& timing, double requestRate) {
  const double reserve = timing.minReserve + timing.reserveSeconds * requestRate +
                         timing.reserveDeviations * std::sqrt(requestRate);
  if (reserve < timing.reserveThreshold) return 0;
  return timing.wholeTokens ? std::max(1.0, reserve) : reserve;
}

}  // namespace lilacmux
