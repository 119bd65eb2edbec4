#include "quota/share_relay.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace lilacmux {
namespace {

constexpr double kExhaustedFor = 50;  // ms until the primary is asked again for tokens that it did not have
constexpr double kLowTokens = 1;      // in the bucket, below which more is requested at once
constexpr double kLowSeconds = 0.1;   // and seconds of demand
constexpr double kDisconnectedBurst = 4;  // tokens that a granted rate alone saves up, beside a second of it
constexpr double kReportedChange = 0.05;  // of a granted rate: smaller changes are not reported
constexpr double kTokenRounding = 1e-6;
constexpr double kWireRounding = 0.01;                    // tokens
constexpr std::uint64_t kGrantsPerIncarnation = 1 << 24;  // numbers that one ledger may use

}  // namespace

ShareRelay::ShareRelay(const ShareTiming& upstream, const ShareTiming& downstream, Millis now,
                       std::uint64_t firstGrant)
    : GrantHolder(upstream), downstream_(downstream), firstGrant_(firstGrant) {
  startLedger(now);
}

void ShareRelay::startLedger(Millis now) {
  ledger_.emplace(ShareLedger::Refill::bySupply, downstream_, now, std::set<std::string>{}, firstGrant_);
}

// A bucket here has no limit of its own: it holds what was granted.
void ShareRelay::setSubGrantRate(Millis now, const std::string& tenant, double rate) {
  ledger_->setQuota(now, tenant, {rate, std::numeric_limits<double>::infinity()});
}

void ShareRelay::fillDisconnected(Millis now, const std::string& tenant) {
  Grant& grant = grants_[tenant];
  const auto [from, to] = disconnectedSince(grant.filledTo, now);
  if (to <= from) return;
  grant.filledTo = to;
  const double room = kDisconnectedBurst + grant.rate - ledger_->totals(now, tenant).bucket;
  ledger_->addTokens(now, tenant, std::clamp(grant.rate * (to - from) / 1000, 0.0, std::max(0.0, room)));
}

void ShareRelay::noteChange(Millis now, const std::string& tenant) {
  changed_.insert(tenant);
  const Grant& grant = grants_[tenant];
  const auto totals = ledger_->totals(now, tenant);
  const bool isLow = totals.bucket < kLowTokens + kLowSeconds * totals.requestRate;
  if (isLow && now >= grant.exhaustedUntil) low_.insert(tenant);
}

// --- Towards gatekeepers

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
    noteChange(now, demand.tenant);
    const bool lacksTokens =
        demand.waitingRequests > 0 && demand.reserve + grant.tokens + kTokenRounding < demand.waitingRequests;
    grant.moreExpected = lacksTokens && !isDisconnected(now) && now >= grants_[demand.tenant].exhaustedUntil;
  }
  return reply;
}

void ShareRelay::release(Millis now, const std::string& gatekeeper, const std::vector<ShareDemand>& rest) {
  ledger_->release(now, gatekeeper, rest);
  for (const ShareDemand& demand : rest) changed_.insert(demand.tenant);
}

// --- Towards the primary

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

// Those of the scope; they count as reported.
std::set<std::string> ShareRelay::tenantsToReport(ReportScope scope) {
  std::set<std::string> low = std::exchange(low_, {});
  if (scope == ReportScope::urgent) {
    for (const std::string& tenant : low) changed_.erase(tenant);
    return low;
  }
  std::set<std::string> changed = std::exchange(changed_, {});
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
  // Waiting requests are asked for beside the reserve, as far as their tokens are not here.
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

// Where its grants had expired, so had all sub-grants, and every gatekeeper sends a full report.
void ShareRelay::responseReceived(Millis now, Millis sentAt, Millis leaseUntil) {
  if (isDisconnected(now))
    for (auto& [tenant, grant] : grants_) fillDisconnected(now, tenant);
  if (hadLease() && isExpired(now)) {
    firstGrant_ += kGrantsPerIncarnation;
    startLedger(now);
    for (auto& [tenant, grant] : grants_) {
      grant = {};
      setSubGrantRate(now, tenant, 0);
    }
  }
  renewLease(sentAt, leaseUntil);
}

void ShareRelay::applyGrant(Millis now, const ShareGrant& grant, std::uint64_t grantNumber) {
  Grant& held = grants_[grant.tenant];
  held.isInFlight = false;
  held.number = grantNumber;
  const bool rateChanged = std::abs(grant.rate - held.rate) > kReportedChange * held.rate;
  if (grant.tokens != 0 || rateChanged) changed_.insert(grant.tenant);
  held.rate = grant.rate;
  setSubGrantRate(now, grant.tenant, grant.rate);
  ledger_->addTokens(now, grant.tenant, grant.tokens);
  const bool isExhausted = held.urgentTokens > 0 && grant.tokens < held.urgentTokens - kWireRounding;
  if (isExhausted) held.exhaustedUntil = now + kExhaustedFor;
}

void ShareRelay::requestFailed() {
  for (auto& [tenant, grant] : grants_)
    if (std::exchange(grant.isInFlight, false)) changed_.insert(tenant);
}

}  // namespace lilacmux
