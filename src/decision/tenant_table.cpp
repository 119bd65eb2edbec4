#include "decision/tenant_table.hpp"

#include <algorithm>
#include <iterator>

#include "decision/quota_tuning.hpp"

namespace lilacmux::decision {
namespace {

// Tenants held (the source's default); fewer: heavy ones are evicted and come back refilled.
constexpr std::size_t kMaxTenants = 4096;
// Oldest entries looked at for one that loses nothing by eviction.
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
    table_.splice(table_.end(), table_, found->second);
    // The set may have changed; what is over its new part of the hard limit is gone at once (advance).
    found->second->gatewaySetSize = std::max(1u, std::min(request.gatewaySetSize, settings_.gatewayCount));
    estimate_.advance(*found->second, now);
    return *found->second;
  }
  if (index_.size() >= kMaxTenants) evict(now);
  table_.emplace_back();
  Tenant& tenant = table_.back();
  index_[request.tenant] = std::prev(table_.end());
  tenant.id = request.tenant;
  tenant.plan = request.plan;
  tenant.gatewaySetSize = std::max(1u, std::min(request.gatewaySetSize, settings_.gatewayCount));
  tenant.updatedAt = tenant.readingAt = now;
  tenant.createdAt = now;
  tenant.meteredUntil = now - settings_.meterPeriod;
  tenant.tokens = freshTokens(plan, tenant.gatewaySetSize, now);
  tenant.globalTokens = plan.burst;
  tenant.usualUnits = std::max(0.0, request.units);
  tenant.admitSlots.fill(1);
  tenant.credit = estimate_.startingCredit(tenant, random_.next());
  tenant.usualDemandTime = estimate_.share(tenant) * (now - bucketSince_) / 1000;
  tenant.recentTime = estimate_.share(tenant) * std::min(kRecentDemandTau, now - bucketSince_) / 1000;
  tenant.requestedSpan = std::min(kRequestedLoadTau, now - bucketSince_);
  // The hard limit's bucket lives on over restarts and evictions, so nothing is taken to be left in it but
  // what has come in since this gateway could last have sent for the tenant.
  tenant.hardLimitTokens =
      std::min(plan.hardLimitBurst, plan.hardLimitRate * (now - hardLimitSince_) / 1000) /
      tenant.gatewaySetSize;
  tenant.slot = meter_.slotAt(now);
  return tenant;
}

// What a bucket holds by now that was made at this gateway's start, or when one that lost by it was
// evicted.
double TenantTable::freshTokens(const PlanSettings& plan, unsigned gatewaySetSize, Time now) const {
  return std::min(plan.burst, plan.burst / gatewaySetSize + plan.rate * (now - bucketSince_) / 1000);
}

// Drops the oldest entry that loses nothing by it, so that a stream of one-off tenants does not bring
// heavy ones back refilled; else the oldest.
void TenantTable::evict(Time now) {
  auto victim = table_.begin();
  std::size_t seen = 0;
  for (auto it = table_.begin(); it != table_.end() && seen < kEvictionScan; ++it, ++seen) {
    estimate_.advance(*it, now);
    const PlanSettings& plan = settings_.plans[it->plan];
    if (it->inFlight == 0 && it->admitFraction >= 1 &&
        it->tokens >= freshTokens(plan, it->gatewaySetSize, now) &&
        it->hardLimitTokens >= plan.hardLimitBurst / it->gatewaySetSize) {
      victim = it;
      break;
    }
  }
  if (victim->tokens < freshTokens(settings_.plans[victim->plan], victim->gatewaySetSize, now))
    bucketSince_ = now;
  if (victim->hardLimitTokens < settings_.plans[victim->plan].hardLimitBurst / victim->gatewaySetSize)
    hardLimitSince_ = now;
  index_.erase(victim->id);
  table_.erase(victim);
}

void TenantTable::adopt(const Tenant& tenant) {
  if (index_.contains(tenant.id)) return;
  table_.push_front(tenant);
  index_[tenant.id] = table_.begin();
}

}  // namespace lilacmux::decision
