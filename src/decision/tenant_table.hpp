// The tenants known to a gateway.
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

// A bounded table of tenants by id, ordered by their last request. Evicts an old entry for a new one.
// References stay valid until their entry is evicted, which only lookUp does.
class TenantTable {
 public:
  // All arguments must outlive the table.
  TenantTable(const EngineSettings& settings, const Meter& meter, const QuotaEstimate& estimate,
              Random& random, Time now);

  // Returns the tenant's entry, or null.
  Tenant* find(TenantId id);
  // Returns the entry of the request's tenant, advanced to `now`; creates it if necessary. Draws a random
  // number for a new entry.
  Tenant& lookUp(Time now, const EngineRequest& request);
  // Takes over an entry from the previous process. Must be called in the order of the tenants' last requests,
  // the most recent first. Ignored if the tenant is already in the table.
  void adopt(const Tenant& tenant);

  std::size_t size() const { return index_.size(); }
  bool empty() const { return entries_.empty(); }
  std::list<Tenant>& entries() { return entries_; }  // least recent first

  template <class Archive>
  void exchangeState(Archive& archive) {
    archive(bucketSince_, hardLimitSince_);
  }

 private:
  double initialTokens(const PlanSettings& plan, unsigned gatewaySetSize, Time now) const;
  void evict(Time now);

  const EngineSettings& settings_;
  const Meter& meter_;
  const QuotaEstimate& estimate_;
  Random& random_;
  std::list<Tenant> entries_;  // least recent first
  std::unordered_map<TenantId, std::list<Tenant>::iterator> index_;
  // The start of the time over which a bucket that is not in the table may have refilled.
  Time bucketSince_, hardLimitSince_;
};

}  // namespace lilacmux::decision
