#include "decision/quota_estimate.hpp"

#include <algorithm>
#include <cmath>

#include "decision/quota_tuning.hpp"
#include "decision/token_bucket.hpp"

namespace lilacmux::decision {
namespace {

// The admit fraction needs at least this many average intervals between readings to recover, where readings
// are rare.
constexpr double kMinRecoveryIntervals = 3;
// Ms, time constant of the long-term demand. With a shorter one, gateways oscillate.
constexpr Time kLongTermDemandTau = 60000;
// Weight of an assumed demand, in requests. At a higher weight, new observations are adopted late.
constexpr double kAssumedDemandWeight = 0.5;
// Assumed demand of an unknown tenant, as a share of its rate.
constexpr double kAssumedDemandShare = 1;
// Weight, in requests, of the assumption that this gateway's share is 1/gatewaySetSize. At a lower weight, a
// single request changes the share noticeably.
constexpr double kAssumedShareWeight = 4;
// Ms, time constant of the share. With a longer one, the share follows traffic shifts slowly.
constexpr Time kShareTau = 10000;
// Scale of a normal distribution relative to the logistic distribution that approximates it.
constexpr double kLogisticScale = 1.7;
// Upper bound of a gateway's unused credit, in average requests, while the global bucket is empty.
constexpr double kMaxCreditRequests = 1.5;
// Safety margin of the estimate, in standard deviations. Higher values reject requests although tokens are
// left, lower ones exceed the quota.
constexpr double kSafetyDeviations = 1;
// Requests are rare if this gateway's share of the rate needs more than this time, in ms, for one. With a
// shorter time, full buckets are missed.
constexpr Time kRareRequestInterval = 20000;
// Share of first requests admitted if requests are rare. At a higher share, all gateways together exceed the
// quota.
constexpr double kFirstRequestAdmitShare = 0.6;
// Target of the admitted use, as a share of the rate.
constexpr double kTargetUseShare = 0.6;
// Upper bound of the global bucket's debt, in metered periods of the rate. At 0, noise could only add tokens.
constexpr double kMaxDebtPeriods = 0.5;

}  // namespace

double QuotaEstimate::maxDebt(const PlanSettings& plan) const {
  return kMaxDebtPeriods * plan.rate * settings_.meterPeriod / 1000;
}

double QuotaEstimate::share(const Tenant& tenant) const {
  const double weight = kAssumedShareWeight * tenant.averageUnits + 1e-9;
  return std::min(1.0, (tenant.ownUse + weight / tenant.gatewaySetSize) / (tenant.totalUse + weight));
}

// Returns the demand at all gateways in units per second: the weighted combination of recent demand,
// long-term demand and the assumed demand of an unknown tenant.
double QuotaEstimate::demand(const Tenant& tenant) const {
  const double weight = kAssumedDemandWeight * tenant.averageUnits;
  const double assumedRate = std::max(1e-6, kAssumedDemandShare * settings_.plans[tenant.plan].rate);
  const double longTerm =
      (tenant.longTermDemandUnits + weight) / (tenant.longTermDemandTime + weight / assumedRate);
  return (tenant.recentDemandUnits + weight) / (tenant.recentDemandTime + weight / longTerm);
}

// Returns the rate, in units per second, at which the other gateways take tokens from the global bucket.
double QuotaEstimate::othersRate(const Tenant& tenant) const {
  return demand(tenant) * (1 - share(tenant)) * tenant.admitFractionSlots[slotIndex(tenant.slot)];
}

// Returns the estimate of the units that the other gateways take within a time from a bucket with this many
// tokens. They keep to the same quota: from an empty bucket, they take no more than their share of the rate,
// whatever the demand.
double QuotaEstimate::estimateOthersUnits(const Tenant& tenant, double tokens, double seconds) const {
  const double available =
      std::max(0.0, tokens) + settings_.plans[tenant.plan].rate * (1 - share(tenant)) * seconds;
  return std::min(othersRate(tenant) * seconds, available);
}

void QuotaEstimate::addDemand(Tenant& tenant, double units, double seconds) {
  tenant.recentDemandUnits += units, tenant.longTermDemandUnits += units;
  tenant.recentDemandTime += seconds, tenant.longTermDemandTime += seconds;
}

void QuotaEstimate::advance(Tenant& tenant, Time now) const {
  const PlanSettings& plan = settings_.plans[tenant.plan];
  const Time elapsed = std::max(0.0, now - tenant.updatedAt);
  const double dt = elapsed / 1000;
  tenant.tokens = refilled(tenant.tokens, plan.rate, plan.burst, dt);
  const double othersUnits = estimateOthersUnits(tenant, tenant.globalTokens, dt);
  tenant.globalTokens = refilled(tenant.globalTokens - othersUnits, plan.rate, plan.burst, dt);
  tenant.hardLimitTokens = std::min(plan.hardLimitBurst / tenant.gatewaySetSize,
                                    tenant.hardLimitTokens + plan.hardLimitRate * dt / tenant.gatewaySetSize);
  const double recentDecay = std::exp(-elapsed / kRecentDemandTau),
               longTermDecay = std::exp(-elapsed / kLongTermDemandTau);
  tenant.recentDemandUnits *= recentDecay,
      tenant.recentDemandTime = tenant.recentDemandTime * recentDecay + share(tenant) * dt;
  tenant.longTermDemandUnits *= longTermDecay,
      tenant.longTermDemandTime = tenant.longTermDemandTime * longTermDecay + share(tenant) * dt;
  const double requestedLoadDecay = std::exp(-elapsed / kRequestedLoadTau);
  tenant.requestedLoad *= requestedLoadDecay,
      tenant.requestedTime = tenant.requestedTime * requestedLoadDecay + elapsed;
  const double shareDecay = std::exp(-elapsed / kShareTau);
  tenant.ownUse *= shareDecay, tenant.totalUse *= shareDecay;
  // A gateway that admits nothing receives no readings.
  if (now - tenant.readingAt > 2 * settings_.meterPeriod)
    tenant.admitFraction = recovered(tenant.admitFraction, elapsed,
                                     std::max(kRecoveryTime, kMinRecoveryIntervals * tenant.readingInterval));
  tenant.credit =
      std::min(kMaxCreditRequests * tenant.averageUnits, tenant.credit + plan.rate * share(tenant) * dt);
  advanceSlot(tenant, now, othersUnits);
  tenant.updatedAt = std::max(tenant.updatedAt, now);
}

// Whether this gateway's even share of the burst is less than one request and its share of the rate takes a
// long time to earn one. Until the first reading, the gateway knows nothing about the global bucket. If each
// gateway assumed a full bucket, each would admit the tenant's first request, and all together many times the
// burst. Most requests of a light tenant are the first at their gateway and most of a heavy tenant are not,
// so part of the first requests is admitted, and later ones at the gateway's share of the rate. This works
// poorly for a light tenant whose requests keep coming to one gateway.
bool QuotaEstimate::hasRareRequests(const Tenant& tenant) const {
  const PlanSettings& plan = settings_.plans[tenant.plan];
  const double unitsForAll = tenant.averageUnits * tenant.gatewaySetSize;
  return tenant.reading < 0 && plan.rate > 0 && plan.burst < unitsForAll &&
         1000 * unitsForAll / plan.rate > kRareRequestInterval;
}

// Whether admitting the request probably costs more than it earns, because the global bucket lacks its units:
// compares the estimate and its uncertainty with the plan's price of a wrong admission.
bool QuotaEstimate::isGlobalBucketEmpty(const Tenant& tenant, double requiredTokens, double pressure) const {
  const PlanSettings& plan = settings_.plans[tenant.plan];
  const double price = (plan.overQuotaCost - plan.overQuotaWeight + pressure) / (1 - pressure);
  if (price <= 0) return false;
  // Own sends are known; the other gateways' sends since the end of the last metered period are not.
  const double age = std::min((tenant.updatedAt - tenant.meteredUntil) / 1000, plan.burst / plan.rate);
  const double deviation =
      std::sqrt(std::min(demand(tenant), plan.rate) * (1 - share(tenant)) * tenant.averageUnits * age);
  return tenant.globalTokens <
         requiredTokens + (std::log(price) / kLogisticScale + kSafetyDeviations) * deviation;
}

double QuotaEstimate::startingCredit(const Tenant& tenant, double randomValue) const {
  return std::min(kMaxCreditRequests, randomValue + (hasRareRequests(tenant) ? kFirstRequestAdmitShare : 0)) *
         tenant.averageUnits;
}

void QuotaEstimate::debit(Tenant& tenant, double units) {
  tenant.tokens -= units;
  tenant.hardLimitTokens -= units;
  tenant.globalTokens -= units;
  tenant.sentSlots[slotIndex(tenant.slot)] += static_cast<float>(units);
}

void QuotaEstimate::refund(Tenant& tenant, Time now, double units) const {
  advance(tenant, now);
  const PlanSettings& plan = settings_.plans[tenant.plan];
  tenant.tokens = std::min(plan.burst, tenant.tokens + units);
  tenant.globalTokens = std::min(plan.burst, tenant.globalTokens + units);
}

// Advances to the slot of `now`, and spreads `othersUnits` evenly over the slots that have passed.
void QuotaEstimate::advanceSlot(Tenant& tenant, Time now, double othersUnits) const {
  const long endSlot = meter_.slotAt(now), passed = std::max(0L, endSlot - tenant.slot);
  const auto unitsPerSlot = static_cast<float>(othersUnits / static_cast<double>(passed + 1));
  const std::size_t from = slotIndex(tenant.slot);
  tenant.othersSlots[from] += unitsPerSlot;
  for (tenant.slot = std::max(tenant.slot, endSlot - kSlots); tenant.slot < endSlot;) {
    const std::size_t nextSlot = slotIndex(++tenant.slot);
    tenant.sentSlots[nextSlot] = 0, tenant.othersSlots[nextSlot] = unitsPerSlot,
    tenant.admitFractionSlots[nextSlot] = tenant.admitFractionSlots[from];
  }
}

// Updates the share for the time that no reading has covered, by the use in the period of this reading.
// Readings come with responses, so a gateway that sends rarely would otherwise compute its share only from
// periods in which it sent nothing.
void QuotaEstimate::noteShare(Tenant& tenant, long endSlot, double metered) const {
  const double knownUntil = std::max({tenant.meteredUntil, tenant.createdAt,
                                      static_cast<double>(tenant.slot - kSlots + 1) * meter_.slotLength()});
  double own = 0;
  const long from = meter_.slotAt(knownUntil);
  for (long i = from; i < endSlot; ++i) own += tenant.sentSlots[slotIndex(i)];
  if (from >= endSlot) return;
  tenant.ownUse += own;
  tenant.totalUse += std::max(own, metered * static_cast<double>(endSlot - from) / kPeriodSlots);
}

// Replaces the estimated use in the metered period by the metered use, and the use since then by an estimate
// from the updated demand. The slots record what was deducted, so consecutive, overlapping or repeated
// periods leave no remainder. A remainder would persist until the bucket is full, which never happens while a
// tenant's demand exceeds its rate.
void QuotaEstimate::noteMetered(Tenant& tenant, Time now, long end, double metered) const {
  const PlanSettings& plan = settings_.plans[tenant.plan];
  const double own = sumOverPeriod(tenant.sentSlots, end),
               admitted = sumOverPeriod(tenant.admitFractionSlots, end) / kPeriodSlots;
  const double others = std::max(0.0, metered - own);
  noteShare(tenant, end - kPeriodSlots, metered);
  tenant.ownUse += own, tenant.totalUse += own + others;
  addDemand(tenant, others, settings_.meterPeriod / 1000 * (1 - share(tenant)) * admitted);
  // The reading reflects the admit fraction of its own period, not the current one.
  tenant.admitFraction = std::clamp(kTargetUseShare * plan.rate / demand(tenant), kMinAdmitFraction, 1.0);
  double sentSince = 0;  // units sent since the end of the metered period
  for (long i = end - kPeriodSlots; i <= tenant.slot; ++i) {
    const double deducted = i < end ? others / kPeriodSlots : 0;
    tenant.globalTokens += tenant.othersSlots[slotIndex(i)] - deducted;
    tenant.othersSlots[slotIndex(i)] = static_cast<float>(deducted);
    if (i >= end) sentSince += tenant.sentSlots[slotIndex(i)];
  }
  tenant.meteredUntil = static_cast<double>(end) * meter_.slotLength();
  const double seconds = std::max(0.0, now - std::max(tenant.meteredUntil, tenant.createdAt)) / 1000;
  const double othersUnits =
      estimateOthersUnits(tenant, tenant.globalTokens + sentSince - plan.rate * seconds, seconds);
  for (long i = end; i <= tenant.slot; ++i)
    tenant.othersSlots[slotIndex(i)] =
        static_cast<float>(othersUnits / static_cast<double>(tenant.slot - end + 1));
  tenant.globalTokens = std::clamp(tenant.globalTokens - othersUnits, -maxDebt(plan), plan.burst);
}

}  // namespace lilacmux::decision
