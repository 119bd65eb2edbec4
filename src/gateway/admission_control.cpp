#include "gateway/admission_control.hpp"

#include <set>
#include <vector>

#include "quota/retry_ledger.hpp"

namespace lilacmux {
namespace {

std::vector<std::string> limitedTenants(const Configuration& configuration) {
  std::vector<std::string> out;
  for (const Tenant& tenant : configuration.tenants)
    if (tenant.ratePerS > 0) out.push_back(tenant.name);
  return out;
}

std::vector<std::string> targetServices(const Configuration& configuration) {
  std::set<std::string> out;
  for (const Route& route : configuration.routes)
    for (const Target& target : route.targets) out.insert(target.service);
  return {out.begin(), out.end()};
}

}  // namespace

AdmissionControl::AdmissionControl(const ServiceBounds& bounds)
    : limitsRetries_(RetryRule{bounds.retryBudgetRatio, bounds.retryBudgetSlack}.isEnabled()) {}

void AdmissionControl::configure(const Configuration& configuration) {
  quotas_.setLimitedTenants(limitedTenants(configuration));
  if (limitsRetries_) retries_.setLimitedTenants(targetServices(configuration));
}

Admission::Verdict AdmissionControl::takeToken(Millis now, const std::string& tenant, double draw,
                                               bool again) {
  return quotas_.tryAdmit(now, tenant, draw, again);
}

void AdmissionControl::requestEnded(Millis now, const std::string& tenant, bool ran) {
  quotas_.requestEnded(now, tenant, ran);
}

bool AdmissionControl::takeRetryToken(Millis now, const std::string& service) {
  return retries_.tryAdmit(now, service, 0).admitted;
}

void AdmissionControl::retryEnded(Millis now, const std::string& service, bool delivered) {
  retries_.requestEnded(now, service, delivered);
}

void AdmissionControl::addDemands(Millis now, ReportScope scope, FollowRequest& request) {
  request.demands = quotas_.demands(now, scope);
  if (!limitsRetries_) return;
  if (scope != ReportScope::urgent) request.requestRates = requestRates_.perSecond(now);
  request.retryDemands = retries_.demands(now, scope);
}

void AdmissionControl::addFinalDemands(Millis now, FollowRequest& request) {
  request.demands = quotas_.finalDemands(now);
  request.retryDemands = retries_.finalDemands(now);
}

void AdmissionControl::responseReceived(Millis now, const FollowResponse& response, Millis sentAt) {
  const Millis leaseUntil = sentAt - response.ageMs + ShareTiming{}.lease;
  quotas_.responseReceived(now, sentAt, leaseUntil);
  retries_.responseReceived(now, sentAt, leaseUntil);
  for (const ShareGrant& grant : response.quotaGrants.grants)
    quotas_.applyGrant(now, grant, response.quotaGrants.number);
  for (const ShareGrant& grant : response.retryGrants.grants)
    retries_.applyGrant(now, grant, response.retryGrants.number);
}

void AdmissionControl::requestFailed() {
  quotas_.requestFailed();
  retries_.requestFailed();
}

}  // namespace lilacmux
