#include "quota/grant_policy.hpp"

#include <algorithm>
#include <cmath>

namespace lilacmux {
namespace {

constexpr double kWireUnits = 1000;       // of a token, on the wire
constexpr double kEvenPart = 0.4;         // of the rate, granted evenly whatever the demand
constexpr double kRateTolerance = 0.2;    // a rate this near to the right one stays, so that all fit together
constexpr double kReservesPart = 0.7;     // of the burst, in reserves at most; the rest serves who runs low
constexpr double kSingleTokens = 0.6;     // of the burst, that may lie in reserves of one token
constexpr double kToleratedExcess = 0.5;  // tokens above the target that are not asked back
constexpr double kRoundingSlack = 1e-9;
constexpr double kLeastDivisor = 1e-9;  // instead of a sum that is 0

// The reserve that the holder should have, in tokens.
double targetReserve(const GrantTable& table, const Holding& holding, BucketRefill refill, bool wholeTokens) {
  const bool byQuota = refill == BucketRefill::byQuota;
  const double most = byQuota ? table.quota.burst : std::max(0.0, table.bucket + table.sums.tokens);
  const double target =
      std::min(holding.requestedTokens, kReservesPart * most * holding.requestedTokens /
                                            std::max(table.sums.requestedTokens, kLeastDivisor));
  if (byQuota && target < 1) return 1;
  if (!wholeTokens || holding.requestedTokens < 1 || target >= 1) return target;
  // Too few for one token each: they lie with those that asked for them last, and a few stay for the others.
  const double others = table.sums.tokens - std::max(0.0, holding.reserve);
  return holding.reserve >= 1 || others + 1 <= kSingleTokens * most ? 1 : 0;
}

// The part of the bucket that the holder may take.
double bucketPart(const GrantTable& table, const Holding& holding, double bucket, double target) {
  const GrantTable::Sums& sums = table.sums;
  const bool isScarce = bucket < sums.requestedTokens + sums.waitingRequests - sums.tokens &&
                        sums.requestRate > table.quota.rate;
  if (!isScarce || target <= 0) return 1;
  return std::min(1.0, 2 * holding.requestRate / std::max(sums.requestRate, kLeastDivisor));
}

}  // namespace

double roundedDownForWire(double value) { return std::floor(value * kWireUnits) / kWireUnits; }

double rateToGrant(const GrantTable& table, const Holding& holding) {
  const double count = static_cast<double>(std::max<std::size_t>(1, table.holdings.size()));
  const double byDemand = table.sums.averageRequestRate > 0
                              ? std::max(0.0, holding.averageRequestRate) / table.sums.averageRequestRate
                              : 1 / count;
  const double part = table.quota.rate * (kEvenPart / count + (1 - kEvenPart) * byDemand);
  const double current = holding.effectiveRate();
  const double room = std::max(0.0, table.quota.rate - (table.sums.effectiveRate - current));
  if (std::abs(part - current) <= kRateTolerance * part && current <= room) return current;
  return std::clamp(part, 0.0, room);
}

double tokensToGrant(const GrantTable& table, const Holding& holding, BucketRefill refill, bool wholeTokens) {
  const double target = targetReserve(table, holding, refill, wholeTokens);
  const double missing = target + holding.waitingRequests - holding.reserve;
  if (missing < 0) return missing < -kToleratedExcess ? missing : 0;
  const double bucket = std::max(0.0, table.bucket);
  double tokens = std::max(std::min(missing, bucket * bucketPart(table, holding, bucket, target)),
                           std::min(holding.unservedRequests(), bucket));
  if (wholeTokens) {  // less than a whole token would serve nobody
    tokens =
        std::max(0.0, std::floor(holding.reserve + tokens + kRoundingSlack) - std::max(0.0, holding.reserve));
  }
  return roundedDownForWire(std::max(0.0, tokens));
}

}  // namespace lilacmux
