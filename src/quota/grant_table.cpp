#include "quota/grant_table.hpp"

#include <cmath>

namespace lilacmux {
namespace {

constexpr double kAverageRequestRateWeight = 0.06;  // of each reported rate in the moving average

}  // namespace

void Holding::setReported(const ShareDemand& demand) {
  reserve = demand.reserve;
  requestRate = demand.requestRate;
  averageRequestRate =
      averageRequestRate < 0
          ? demand.requestRate
          : averageRequestRate + kAverageRequestRateWeight * (demand.requestRate - averageRequestRate);
  waitingRequests = demand.waitingRequests;
  requestedTokens = demand.requestedTokens;
}

void GrantTable::applyDemand(Holding& holding, const ShareDemand& demand, bool isKnown) {
  const bool isConfirmed = demand.grantNumber > 0 && demand.grantNumber == holding.grantNumber;
  if (isKnown) {
    // A relay reports its sub-granted rates, which may exceed its current grant.
    holding.confirmedRate =
        std::max(isConfirmed ? holding.offeredRate : holding.effectiveRate(), demand.grantedRate);
    const bool isReturned = isConfirmed ? holding.inTransit < 0 : holding.inTransit > 0;
    if (isReturned) bucket += std::abs(holding.inTransit);
  } else {
    holding.confirmedRate = demand.grantedRate;
  }
  holding.inTransit = 0;
  holding.offeredRate = 0;
  holding.setReported(demand);
}

void GrantTable::erase(std::unordered_map<std::string, Holding>::iterator holding) {
  addToSums(holding->second, -1);
  holdings.erase(holding);
  if (holdings.empty()) sums = {};  // discards accumulated rounding errors
}

void GrantTable::addToSums(const Holding& holding, int sign) {
  sums.tokens += sign * (std::max(0.0, holding.reserve) + std::max(0.0, holding.inTransit));
  sums.requestRate += sign * holding.requestRate;
  sums.requestedTokens += sign * holding.requestedTokens;
  sums.effectiveRate += sign * holding.effectiveRate();
  sums.confirmedRate += sign * holding.confirmedRate;
  sums.waitingRequests += sign * holding.waitingRequests;
  sums.averageRequestRate += sign * std::max(0.0, holding.averageRequestRate);
}

}  // namespace lilacmux
