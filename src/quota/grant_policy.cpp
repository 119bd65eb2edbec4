#include "quota/grant_policy.hpp"

#include <algorithm>
#include <cmath>

namespace lilacmux {
namespace {

constexpr double kWireUnitsPerToken = 1000;  // resolution of token counts on the wire
constexpr double kEvenRateFraction = 0.4;    // of the quota's rate, divided evenly among the holders
// Fraction of the target rate. A rate this close to its target stays unchanged, so that the granted rates fit
// into the quota together.
constexpr double kRateTolerance = 0.2;
// Fraction of the capacity that may be in reserves. The remainder is for holders that run low.
constexpr double kMaxReservesFraction = 0.7;
constexpr double kMaxSingleTokensFraction = 0.6;  // of the capacity that may be in reserves of one token
constexpr double kToleratedExcessTokens = 0.5;    // above the target reserve that need not be returned
constexpr double kRoundingTolerance = 1e-9;
constexpr double kMinDivisor = 1e-9;  // replaces a sum of 0

// Returns the reserve that the holder should have, in tokens.
double targetReserve(const GrantTable& table, const Holding& holding, BucketRefill refill, bool wholeTokens) {
  const bool byQuota = refill == BucketRefill::byQuota;
  const double capacity = byQuota ? table.quota.burst : std::max(0.0, table.bucket + table.sums.tokens);
  const double target =
      std::min(holding.requestedTokens, kMaxReservesFraction * capacity * holding.requestedTokens /
                                            std::max(table.sums.requestedTokens, kMinDivisor));
  if (byQuota && target < 1) return 1;
  if (!wholeTokens || holding.requestedTokens < 1 || target >= 1) return target;
  // There are too few tokens for one per holder. The holders that requested a token last have one in reserve,
  // and a fraction of the capacity stays available to the others.
  const double otherTokens = table.sums.tokens - std::max(0.0, holding.reserve);
  return holding.reserve >= 1 || otherTokens + 1 <= kMaxSingleTokensFraction * capacity ? 1 : 0;
}

// Returns the fraction of the bucket that the holder may take.
double bucketFraction(const GrantTable& table, const Holding& holding, double bucket, double target) {
  const GrantTable::Sums& sums = table.sums;
  const bool isScarce = bucket < sums.requestedTokens + sums.waitingRequests - sums.tokens &&
                        sums.requestRate > table.quota.rate;
  if (!isScarce || target <= 0) return 1;
  return std::min(1.0, 2 * holding.requestRate / std::max(sums.requestRate, kMinDivisor));
}

}  // namespace

double roundedDownForWire(double value) {
  return std::floor(value * kWireUnitsPerToken) / kWireUnitsPerToken;
}

double rateToGrant(const GrantTable& table, const Holding& holding) {
  const double holderCount = static_cast<double>(std::max<std::size_t>(1, table.holdings.size()));
  const double demandFraction =
      table.sums.averageRequestRate > 0
          ? std::max(0.0, holding.averageRequestRate) / table.sums.averageRequestRate
          : 1 / holderCount;
  const double targetRate =
      table.quota.rate * (kEvenRateFraction / holderCount + (1 - kEvenRateFraction) * demandFraction);
  const double currentRate = holding.effectiveRate();
  const double availableRate = std::max(0.0, table.quota.rate - (table.sums.effectiveRate - currentRate));
  if (std::abs(targetRate - currentRate) <= kRateTolerance * targetRate && currentRate <= availableRate)
    return currentRate;
  return std::clamp(targetRate, 0.0, availableRate);
}

double tokensToGrant(const GrantTable& table, const Holding& holding, BucketRefill refill, bool wholeTokens) {
  const double target = targetReserve(table, holding, refill, wholeTokens);
  const double missing = target + holding.waitingRequests - holding.reserve;
  if (missing < 0) return missing < -kToleratedExcessTokens ? missing : 0;
  const double bucket = std::max(0.0, table.bucket);
  double tokens = std::max(std::min(missing, bucket * bucketFraction(table, holding, bucket, target)),
                           std::min(holding.unservedRequests(), bucket));
  if (wholeTokens) {  // a fraction of a token admits no request
    tokens = std::max(
        0.0, std::floor(holding.reserve + tokens + kRoundingTolerance) - std::max(0.0, holding.reserve));
  }
  return roundedDownForWire(std::max(0.0, tokens));
}

}  // namespace lilacmux
