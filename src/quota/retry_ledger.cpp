#include "quota/retry_ledger.hpp"

namespace lilacmux {
namespace {

// Of what the rule allows, used: the rates are smoothed and some 200 ms old.
constexpr double kOfRatio = 0.9;
constexpr double kOfSlack = 0.8;

}  // namespace

ShareLedger::Turn RetryLedger::turn(Millis now, const std::string& holder, const Rates& requests,
                                    const std::vector<ShareDemand>& demands, bool whole) {
  requests_.report(now, holder, requests);
  for (const auto& [service, perS] : requests_.rates())
    shares_.limit(now, service, {kOfRatio * rule_.ratio * perS, kOfSlack * rule_.slack});
  return shares_.turn(now, holder, demands, whole);
}

}  // namespace lilacmux
