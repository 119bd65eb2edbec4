#include "quota/quota.hpp"

namespace lilacmux {
namespace {

// Fraction of the tolerance beyond the limit that raises the rate. The remainder raises the burst.
constexpr double kRateFraction = 0.2;

}  // namespace

Quota QuotaRule::quotaFor(double rate, double burst) const {
  const double limit = rate * windowSeconds + burst;
  const double tolerance = (limit * overage + slack) * (1 - safetyMargin);
  const double raisedRate = rate + kRateFraction * tolerance / windowSeconds;
  return {raisedRate, limit + tolerance - raisedRate * windowSeconds};
}

}  // namespace lilacmux
