#include "decision/tenant_table.hpp"

#include <algorithm>
#include <iterator>

#include "decision/quota_tuning.hpp"

namespace lilacmux::decision {
namespace {

// Capacity of the table. With a smaller one, heavy tenants are evicted and return with a full bucket.
constexpr std::size_t kMaxTenants = 4096;
// Number of oldest entries searched for one that can be evicted without loss.
constexpr std::size_t kEvictionScan = 32;

}  // namespace

TenantTable::TenantTable(const EngineSettings& settings, const Meter& meter, const QuotaEstimate& estimate,
                         Random& random, Time now)
    : settings_(settings),
      meter_(meter),
      estimate_(estimate),
      random_(random),
      bucketSince_(now),
      hardLimitSince_(now) {}

Tenant* TenantTable::find(TenantId id) {
  const auto found = index_.find(id);
  return found == index_.end() ? nullptr : &*found->second;
}

Tenant& TenantTable::lookUp(Time now, const EngineRequest& request) {
  const PlanSettings& plan = settings_.plans[request.plan];
  if (const auto found = index_.find(request.tenant); found != index_.end()) {
    entries_.splice(entries_.end(), entries_, found->second);
    // The set of gateways may have changed; advance() drops tokens beyond the new share of the hard limit.
    found->second->gatewaySetSize = std::max(1u, std::min(request.gatewaySetSize, settings_.gatewayCount));
    estimate_.advance(*found->second, now);
    return *found->second;
  }
  if (index_.size() >= kMaxTenants) evict(now);
  entries_.emplace_back();
  Tenant& tenant = entries_.back();
  index_[request.tenant] = std::prev(entries_.end());
  tenant.id = request.tenant;
  tenant.plan = request.plan;
  tenant.gatewaySetSize = std::max(1u, std::min(request.gatewaySetSize, settings_.gatewayCount));
  tenant.updatedAt = tenant.readingAt = now;
  tenant.createdAt = now;
  tenant.meteredUntil = now - settings_.meterPeriod;
  tenant.tokens = initialTokens(plan, tenant.gatewaySetSize, now);
  tenant.globalTokens = plan.burst;
  tenant.averageUnits = std::max(0.0, request.units);
  tenant.admitFractionSlots.fill(1);
  tenant.credit = estimate_.startingCredit(tenant, random_.next());
  tenant.longTermDemandTime = estimate_.share(tenant) * (now - bucketSince_) / 1000;
  tenant.recentDemandTime = estimate_.share(tenant) * std::min(kRecentDemandTau, now - bucketSince_) / 1000;
  tenant.requestedTime = std::min(kRequestedLoadTau, now - bucketSince_);
  // The hard limit's bucket continues over restarts and evictions, so a new entry starts only with the tokens
  // earned since this gateway could last have sent for the tenant.
  tenant.hardLimitTokens =
      std::min(plan.hardLimitBurst, plan.hardLimitRate * (now - hardLimitSince_) / 1000) /
      tenant.gatewaySetSize;
  tenant.slot = meter_.slotAt(now);
  return tenant;
}

// Returns the tokens that a bucket holds now if it was created at this gateway's start, or at the last
// eviction of an entry whose bucket was not full.
double TenantTable::initialTokens(const PlanSettings& plan, unsigned gatewaySetSize, Time now) const {
  return std::min(plan.burst, plan.burst / gatewaySetSize + plan.rate * (now - bucketSince_) / 1000);
}

// Evicts the oldest entry that loses nothing by it, so that a stream of one-off tenants does not return heavy
// tenants with full buckets; if there is none, evicts the oldest entry.
void TenantTable::evict(Time now) {
  auto victim = entries_.begin();
  std::size_t scanned = 0;
  for (auto it = entries_.begin(); it != entries_.end() && scanned < kEvictionScan; ++it, ++scanned) {
    estimate_.advance(*it, now);
    const PlanSettings& plan = settings_.plans[it->plan];
    if (it->inFlight == 0 && it->admitFraction >= 1 &&
        it->tokens >= initialTokens(plan, it->gatewaySetSize, now) &&
        it->hardLimitTokens >= plan.hardLimitBurst / it->gatewaySetSize) {
      victim = it;
      break;
    }
  }
  if (victim->tokens < initialTokens(settings_.plans[victim->plan], victim->gatewaySetSize, now))
    bucketSince_ = now;
  if (victim->hardLimitTokens < settings_.plans[victim->plan].hardLimitBurst / victim->gatewaySetSize)
    hardLimitSince_ = now;
  index_.erase(victim->id);
  entries_.erase(victim);
}

void TenantTable::adopt(const Tenant& tenant) {
  if (index_.contains(tenant.id)) return;
  entries_.push_front(tenant);
  index_[tenant.id] = entries_.begin();
}

}  // namespace lilacmux::decision
