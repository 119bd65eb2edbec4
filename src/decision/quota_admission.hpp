// Admission of requests by the quotas and hard rate limits of their tenants.
#pragma once

#include <cstddef>
#include <optional>

#include "decision/concurrency_cap.hpp"
#include "decision/latency_model.hpp"
#include "decision/meter.hpp"
#include "decision/quota_estimate.hpp"
#include "decision/random.hpp"
#include "decision/tenant.hpp"
#include "decision/tenant_table.hpp"
#include "lilacmux/decision_engine.hpp"

namespace lilacmux::decision {

// Decides whether a tenant's request may be sent, and keeps the tenants' accounts: units sent, attempts in
// flight and metered readings.
class QuotaAdmission {
 public:
  // All arguments must outlive the object.
  QuotaAdmission(const EngineSettings& settings, const LatencyModel& latency, Random& random, Time now);

  // Returns the request's tenant. The reference is valid until the next call.
  Tenant& lookUp(Time now, const EngineRequest& request) { return tenants_.lookUp(now, request); }
  Tenant* find(TenantId id) { return tenants_.find(id); }

  // Returns nothing if the request is admitted, else the ms after which the tenant may be admitted.
  std::optional<Time> admit(Tenant& tenant, const EngineRequest& request);
  // Records whether a server was found for an admitted request.
  void noteSelection(Time now, bool found);
  static void debit(Tenant& tenant, double units) { QuotaEstimate::debit(tenant, units); }
  void refund(Tenant& tenant, Time now, double units) { estimate_.refund(tenant, now, units); }
  // An attempt was sent (change 1) or has ended (change -1).
  void noteInFlight(Tenant& tenant, Time now, int change);
  // Records a response's metered reading, in percent of the quota, or its absence.
  void noteReading(Tenant& tenant, Time now, int percent);
  void noteNoReading(Time now) { meter_.noteNoReading(now); }

  TenantTable& tenants() { return tenants_; }
  const TenantTable& tenants() const { return tenants_; }
  void advance(Tenant& tenant, Time now) { estimate_.advance(tenant, now); }
  // Takes over a tenant's state from the previous process, including its attempts in flight.
  void adopt(Tenant tenant, Time now);

  Meter& meter() { return meter_; }
  template <class Archive>
  void exchangePressure(Archive& archive) {
    archive(pressure_, pressureAt_);
  }

 private:
  const EngineSettings& settings_;
  const LatencyModel& latency_;
  Meter meter_;
  QuotaEstimate estimate_;
  ConcurrencyCap cap_;
  TenantTable tenants_;
  double pressure_ = 0;  // share of admitted requests without a server
  Time pressureAt_ = 0;
};

}  // namespace lilacmux::decision
