// Token bucket arithmetic shared by all holders of a tenant's quota.
#pragma once
#include <algorithm>
namespace lilacmux {
// Returns the tokens of a bucket of size `capacity` after `seconds` more at `rate` tokens per second.
inline double refilled(double tokens, double rate, double capacity, double seconds) {
  return std::min(capacity, tokens + rate * seconds);
}
// Returns an admit fraction that recovers from 0 to 1 within `recoveryTime` ms, after `elapsed` ms more.
inline double recovered(double fraction, double elapsed, double recoveryTime) {
  return std::min(1.0, fraction + elapsed / recoveryTime);
}
}  // namespace lilacmux
