#include "control/retry_ledger.hpp"

namespace lilacmux {
namespace {

// Of what the rule allows, used: the rates are smoothed and some 200 ms old.
constexpr double kOfRatio = 0.9;
constexpr double kOfSlack = 0.8;
constexpr ShareLedger::Millis kReportKept = 1500;  // a gatekeeper that is gone brings no more requests

}  // namespace

std::vector<ShareLedger::Grant> RetryLedger::turn(Millis now, const std::string& gatekeeper,
                                                  const Rates& requests,
                                                  const std::vector<ShareLedger::Demand>& demands,
                                                  std::uint64_t& grant) {
  reports_[gatekeeper] = {now, requests};
  std::erase_if(reports_, [&](const auto& entry) { return now - entry.second.at > kReportKept; });
  for (const auto& [service, perS] : requests) services_.insert(service);
  std::map<std::string, Quota> budgets;
  for (const std::string& service : services_) budgets[service].burst = kOfSlack * rule_.slack;
  for (const auto& [name, report] : reports_)
    for (const auto& [service, perS] : report.requests)
      budgets[service].rate += kOfRatio * rule_.ratio * perS;
  shares_.limits(now, budgets);
  return shares_.turn(now, gatekeeper, demands, grant);
}

}  // namespace lilacmux
