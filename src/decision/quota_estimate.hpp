// Token buckets of tenants, and an estimate of the use of a quota by all gateways together.
#pragma once

#include "decision/meter.hpp"
#include "decision/tenant.hpp"
#include "lilacmux/decision_engine.hpp"

namespace lilacmux::decision {

// Advances a tenant's token buckets in time. From own sends and metered readings, estimates the other
// gateways' use: the tenant's demand, this gateway's share of it, the tokens left in the global bucket, and
// the admit fraction that keeps all gateways together within the quota. Stateless.
class QuotaEstimate {
 public:
  // Both arguments must outlive the estimate.
  QuotaEstimate(const EngineSettings& settings, const Meter& meter) : settings_(settings), meter_(meter) {}

  // Advances the tenant's time-dependent state to `now`.
  void advance(Tenant& tenant, Time now) const;
  // Returns the share of the tenant's use, above 0 and up to 1, that this gateway sends.
  double share(const Tenant& tenant) const;
  // Returns the initial Tenant::credit of a new tenant, in units. randomValue: a random number, at least 0
  // and below 1.
  double startingCredit(const Tenant& tenant, double randomValue) const;
  // Adds observed demand: `units` over a time of `seconds`.
  static void addDemand(Tenant& tenant, double units, double seconds);
  // Whether the tenant's quota is so small that this gateway's share of it allows one request only in a long
  // time.
  bool hasRareRequests(const Tenant& tenant) const;
  // Whether the global bucket probably lacks the tokens for a request of `requiredTokens` units. pressure:
  // share of admitted requests, below 1, for which no server is found.
  bool isGlobalBucketEmpty(const Tenant& tenant, double requiredTokens, double pressure) const;
  // Takes the units of an admitted request from the buckets, or returns units to them.
  static void debit(Tenant& tenant, double units);
  void refund(Tenant& tenant, Time now, double units) const;
  // Records a reading: `metered` units used by all gateways in the metered period that ends before slot
  // `end`.
  void noteMetered(Tenant& tenant, Time now, long end, double metered) const;

 private:
  double demand(const Tenant& tenant) const;
  double othersRate(const Tenant& tenant) const;
  double estimateOthersUnits(const Tenant& tenant, double tokens, double seconds) const;
  double maxDebt(const PlanSettings& plan) const;
  void advanceSlot(Tenant& tenant, Time now, double taken) const;
  void noteShare(Tenant& tenant, long endSlot, double metered) const;

  const EngineSettings& settings_;
  const Meter& meter_;
};

}  // namespace lilacmux::decision
