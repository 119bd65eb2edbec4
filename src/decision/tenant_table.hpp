// The tenants that a gateway knows.
#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>

#include "decision/meter.hpp"
#include "decision/quota_estimate.hpp"
#include "decision/random.hpp"
#include "decision/tenant.hpp"
#include "lilacmux/decision_engine.hpp"

namespace lilacmux::decision {

// Tenants by id, in the order of their last request. Of bounded size: an old entry is evicted for a new one.
// References stay valid until the entry is evicted, which only lookUp does.
class TenantTable {
 public:
  // All must outlive the table.
  TenantTable(const EngineSettings& settings, const Meter& meter, const QuotaEstimate& estimate,
              Random& random, Time now);

  // The entry of a tenant, or null.
  Tenant* find(TenantId id);
  // The entry of the request's tenant, made where there was none, carried forward to `now`. Draws a random
  // number for a new one.
  Tenant& lookUp(Time now, const EngineRequest& request);
  // Takes over the entry that the process before this one had; to be called in the order of its last
  // requests, the most recent first. Ignored where the tenant is known.
  void adopt(const Tenant& tenant);

  std::size_t size() const { return index_.size(); }
  bool empty() const { return table_.empty(); }
  std::list<Tenant>& entries() { return table_; }  // least recent first

  template <class Archive>
  void exchangeState(Archive& archive) {
    archive(bucketSince_, hardLimitSince_);
  }

 private:
  double freshTokens(const PlanSettings& plan, unsigned gatewaySetSize, Time now) const;
  void evict(Time now);

  const EngineSettings& settings_;
  const Meter& meter_;
  const QuotaEstimate& estimate_;
  Random& random_;
  std::list<Tenant> table_;  // least recent first
  std::unordered_map<TenantId, std::list<Tenant>::iterator> index_;
  // Since when a bucket that is not in the table may have been filling.
  Time bucketSince_, hardLimitSince_;
};

}  // namespace lilacmux::decision
