#include "quota/share_relay.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace lilacmux {
namespace {

// Time until the primary is asked again for tokens that it did not have.
constexpr double kExhaustedDurationMs = 50;
// A bucket is low, and more tokens are requested at once, if it is below the sum of these.
constexpr double kLowBucketTokens = 1;
constexpr double kLowBucketSeconds = 0.1;  // seconds of demand
// Capacity of a bucket while disconnected, in addition to one second of the granted rate.
constexpr double kDisconnectedBurstTokens = 4;
constexpr double kReportedRateChange = 0.05;  // fraction of a granted rate; smaller changes are not reported
constexpr double kTokenTolerance = 1e-6;
constexpr double kWireToleranceTokens = 0.01;              // for the rounding on the wire
constexpr std::uint64_t kGrantNumbersPerLedger = 1 << 24;  // size of the range that one ledger may use

}  // namespace

ShareRelay::ShareRelay(const ShareTiming& upstream, const ShareTiming& downstream, Millis now,
                       std::uint64_t firstGrant)
    : GrantHolder(upstream), downstream_(downstream), firstGrant_(firstGrant) {
  startLedger(now);
}

void ShareRelay::startLedger(Millis now) {
  ledger_.emplace(ShareLedger::Refill::bySupply, downstream_, now, std::set<std::string>{}, firstGrant_);
}

// The buckets of the sub-grants have no capacity limit: they hold all tokens that the primary granted.
void ShareRelay::setSubGrantRate(Millis now, const std::string& tenant, double rate) {
  ledger_->setQuota(now, tenant, {rate, std::numeric_limits<double>::infinity()});
}

void ShareRelay::fillDisconnected(Millis now, const std::string& tenant) {
  Grant& grant = grants_[tenant];
  const auto [from, to] = disconnectedSince(grant.filledTo, now);
  if (to <= from) return;
  grant.filledTo = to;
  const double room = kDisconnectedBurstTokens + grant.rate - ledger_->totals(now, tenant).bucket;
  ledger_->addTokens(now, tenant, std::clamp(grant.rate * (to - from) / 1000, 0.0, std::max(0.0, room)));
}

void ShareRelay::recordChange(Millis now, const std::string& tenant) {
  changedTenants_.insert(tenant);
  const Grant& grant = grants_[tenant];
  const auto totals = ledger_->totals(now, tenant);
  const bool isLow = totals.bucket < kLowBucketTokens + kLowBucketSeconds * totals.requestRate;
  if (isLow && now >= grant.exhaustedUntil) lowTenants_.insert(tenant);
}

// --- Interface to the gatekeepers

GrantReply ShareRelay::handleReport(Millis now, const std::string& gatekeeper,
                                    const std::vector<ShareDemand>& demands, bool isFull) {
  for (const ShareDemand& demand : demands)
    if (grants_.try_emplace(demand.tenant).second) setSubGrantRate(now, demand.tenant, 0);
  for (const ShareDemand& demand : demands) fillDisconnected(now, demand.tenant);
  GrantReply reply = ledger_->handleReport(now, gatekeeper, demands, isFull);
  if (!reply.isHolderKnown) return reply;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const ShareDemand& demand = demands[i];
    ShareGrant& grant = reply.grants[i];
    recordChange(now, demand.tenant);
    const bool lacksTokens = demand.waitingRequests > 0 &&
                             demand.reserve + grant.tokens + kTokenTolerance < demand.waitingRequests;
    grant.moreExpected = lacksTokens && !isDisconnected(now) && now >= grants_[demand.tenant].exhaustedUntil;
  }
  return reply;
}

void ShareRelay::release(Millis now, const std::string& gatekeeper,
                         const std::vector<ShareDemand>& finalReport) {
  ledger_->release(now, gatekeeper, finalReport);
  for (const ShareDemand& demand : finalReport) changedTenants_.insert(demand.tenant);
}

// --- Interface to the primary

std::vector<ShareDemand> ShareRelay::finalDemands(Millis now) {
  std::vector<ShareDemand> out;
  for (const auto& [tenant, grant] : grants_) {
    const auto totals = ledger_->totals(now, tenant);
    const double bucket = std::max(0.0, totals.bucket);
    ShareDemand demand;
    demand.tenant = tenant;
    demand.reserve = std::max(0.0, totals.reserve - bucket);
    demand.grantedRate = totals.grantedRate;
    demand.grantNumber = grant.number;
    demand.returnedTokens = bucket;
    out.push_back(std::move(demand));
  }
  return out;
}

std::vector<ShareDemand> ShareRelay::demands(Millis now, ReportScope scope) {
  std::vector<ShareDemand> out;
  for (const std::string& tenant : tenantsToReport(scope)) out.push_back(demandOf(now, tenant));
  return out;
}

// Returns the tenants of the scope and marks them as reported.
std::set<std::string> ShareRelay::tenantsToReport(ReportScope scope) {
  std::set<std::string> low = std::exchange(lowTenants_, {});
  if (scope == ReportScope::urgent) {
    for (const std::string& tenant : low) changedTenants_.erase(tenant);
    return low;
  }
  std::set<std::string> changed = std::exchange(changedTenants_, {});
  if (scope == ReportScope::delta) {
    changed.insert(low.begin(), low.end());
    return changed;
  }
  std::set<std::string> all;
  for (const auto& [tenant, grant] : grants_) all.insert(tenant);
  return all;
}

ShareDemand ShareRelay::demandOf(Millis now, const std::string& tenant) {
  Grant& grant = grants_[tenant];
  const auto totals = ledger_->totals(now, tenant);
  const double requestRate = std::max(0.0, totals.requestRate);
  grant.isInFlight = true;
  // Tokens for waiting requests that the bucket does not cover are requested in addition to the reserve.
  grant.urgentTokens = std::max(0.0, totals.waitingRequests - std::max(0.0, totals.bucket));
  ShareDemand out;
  out.tenant = tenant;
  out.requestRate = requestRate;
  out.reserve = totals.reserve;
  out.grantedRate = std::max(grant.rate, totals.grantedRate);
  out.grantNumber = grant.number;
  out.waitingRequests = grant.urgentTokens;
  out.requestedTokens =
      totals.requestedTokens + totals.unresponsiveReserve + reserveFor(timing(), requestRate);
  return out;
}

// If the relay's grants have expired, so have all sub-grants. The relay then starts a new ledger, to which
// every gatekeeper must send a full report.
void ShareRelay::responseReceived(Millis now, Millis sentAt, Millis leaseUntil) {
  if (isDisconnected(now))
    for (auto& [tenant, grant] : grants_) fillDisconnected(now, tenant);
  if (hadLease() && isExpired(now)) {
    firstGrant_ += kGrantNumbersPerLedger;
    startLedger(now);
    for (auto& [tenant, grant] : grants_) {
      grant = {};
      setSubGrantRate(now, tenant, 0);
    }
  }
  renewLease(sentAt, leaseUntil);
}

void ShareRelay::applyGrant(Millis now, const ShareGrant& grant, std::uint64_t grantNumber) {
  Grant& current = grants_[grant.tenant];
  current.isInFlight = false;
  current.number = grantNumber;
  const bool hasRateChanged = std::abs(grant.rate - current.rate) > kReportedRateChange * current.rate;
  if (grant.tokens != 0 || hasRateChanged) changedTenants_.insert(grant.tenant);
  current.rate = grant.rate;
  setSubGrantRate(now, grant.tenant, grant.rate);
  ledger_->addTokens(now, grant.tenant, grant.tokens);
  const bool isExhausted =
      current.urgentTokens > 0 && grant.tokens < current.urgentTokens - kWireToleranceTokens;
  if (isExhausted) current.exhaustedUntil = now + kExhaustedDurationMs;
}

void ShareRelay::requestFailed() {
  for (auto& [tenant, grant] : grants_)
    if (std::exchange(grant.isInFlight, false)) changedTenants_.insert(tenant);
}

}  // namespace lilacmux
