#include "quota/retry_ledger.hpp"

namespace lilacmux {
namespace {

// Fractions of the rule that are used, because the request rates are smoothed and about 200 ms old.
constexpr double kUsedRatioFraction = 0.9;
constexpr double kUsedSlackFraction = 0.8;

}  // namespace

RetryLedger::RetryLedger(const RetryRule& rule, Millis now, const std::set<std::string>& unconfirmed,
                         std::uint64_t firstGrant)
    : rule_(rule), shares_(ShareLedger::Refill::byQuota, {}, now, unconfirmed, firstGrant) {}

GrantReply RetryLedger::handleReport(Millis now, const std::string& holder, const Rates& requests,
                                     const std::vector<ShareDemand>& demands, bool isFull) {
  requests_.report(now, holder, requests);
  for (const auto& [service, requestRate] : requests_.rates())
    shares_.setQuota(now, service,
                     {kUsedRatioFraction * rule_.ratio * requestRate, kUsedSlackFraction * rule_.slack});
  return shares_.handleReport(now, holder, demands, isFull);
}

void RetryLedger::release(Millis now, const std::string& holder,
                          const std::vector<ShareDemand>& finalReport) {
  shares_.release(now, holder, finalReport);
}

void RetryLedger::confirmIncarnation(Millis now, const std::string& relay) {
  shares_.confirm(now, nameWithoutIncarnation(relay));
  shares_.retireEarlierIncarnations(now, relay);
}

}  // namespace lilacmux
