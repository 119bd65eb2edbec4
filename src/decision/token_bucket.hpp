// What every holder of a tenant's quota does alike: a bucket that holds up to `cap`, after s seconds more,
// and the admit fraction back on its way from 0 to 1 within `climb` ms.
#pragma once
#include <algorithm>
namespace lilacmux {
inline double refilled(double n, double rate, double cap, double s) { return std::min(cap, n + rate * s); }
inline double recovered(double f, double span, double climb) { return std::min(1.0, f + span / climb); }
}  // namespace lilacmux
