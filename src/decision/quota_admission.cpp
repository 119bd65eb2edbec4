#include "decision/quota_admission.hpp"

#include <algorithm>
#include <utility>

#include "decision/decay.hpp"
#include "decision/quota_tuning.hpp"

namespace lilacmux::decision {
namespace {

// Ms, time constant of the share of requests without a server.
constexpr Time kPressureTau = 4000;
// Upper bound of that share. Above it, uncertain estimates would admit nothing.
constexpr double kMaxPressure = 0.8;

}  // namespace

QuotaAdmission::QuotaAdmission(const EngineSettings& settings, const LatencyModel& latency, Random& random,
                               Time now)
    : settings_(settings),
      latency_(latency),
      meter_(settings.meterPeriod),
      estimate_(settings, meter_),
      cap_(settings, meter_, latency, random),
      tenants_(settings, meter_, estimate_, random, now) {}

std::optional<Time> QuotaAdmission::admit(Tenant& tenant, const EngineRequest& request) {
  const PlanSettings& plan = settings_.plans[tenant.plan];
  const double units = std::max(0.0, request.units);
  if (plan.hardLimitRate > 0 && tenant.hardLimitTokens < units)
    return 1000 * (units - tenant.hardLimitTokens) * tenant.gatewaySetSize / plan.hardLimitRate;
  const double requiredTokens = std::min(units, plan.burst);
  tenant.averageUnits = decayToward(tenant.averageUnits, units, 1, kRequestAverageTau);
  if (plan.rate > 0 && tenant.tokens < requiredTokens)
    return 1000 * (requiredTokens - tenant.tokens) / plan.rate;
  if (plan.maxInFlight > 0 && !cap_.hasRoom(tenant, request)) return latency_.baseline(request.classIndex);
  QuotaEstimate::addDemand(tenant, units, 0);
  const bool isEmpty = plan.rate > 0 && (estimate_.hasRareRequests(tenant) ||
                                         estimate_.isGlobalBucketEmpty(tenant, requiredTokens, pressure_));
  tenant.admitFractionSlots[slotIndex(tenant.slot)] = static_cast<float>(isEmpty ? tenant.admitFraction : 1);
  // Demand times admit fraction is the rate, so this gateway admits its share of the rate, spread over time.
  // A demand that some gateways misjudge then does not add up to more than the quota.
  if (isEmpty && tenant.credit < units)
    return 1000 * (units - tenant.credit) / (plan.rate * estimate_.share(tenant));
  if (isEmpty) tenant.credit -= units;
  return std::nullopt;
}

void QuotaAdmission::noteSelection(Time now, bool found) {
  pressure_ = std::min(kMaxPressure, decayToward(pressure_, found ? 0 : 1, now - pressureAt_, kPressureTau));
  pressureAt_ = now;
}

void QuotaAdmission::noteInFlight(Tenant& tenant, Time now, int change) {
  estimate_.advance(tenant, now);
  tenant.inFlight = static_cast<unsigned>(static_cast<int>(tenant.inFlight) + change);
}

void QuotaAdmission::noteReading(Tenant& tenant, Time now, int percent) {
  meter_.noteReading(tenant, now, percent);
  if (!meter_.isNew(tenant, now, percent)) return;
  const Time interval = now - tenant.readingAt;
  tenant.readingInterval =
      tenant.reading < 0 ? interval : decayToward(tenant.readingInterval, interval, 1, 3);
  tenant.reading = percent;
  tenant.readingAt = now;
  estimate_.advance(tenant, now);
  const PlanSettings& plan = settings_.plans[tenant.plan];
  const long publishedSlot = meter_.publishedSlot(now);
  if (plan.rate <= 0)
    return cap_.notePeak(tenant, publishedSlot - meter_.lag(), percent / 100.0 * plan.maxInFlight);
  const double metered = percent / 100.0 * plan.rate * settings_.meterPeriod / 1000;
  meter_.learnLag(tenant, publishedSlot, metered);
  estimate_.noteMetered(tenant, now, publishedSlot - meter_.lag(), metered);
}

void QuotaAdmission::adopt(Tenant tenant, Time now) {
  if (tenant.plan >= settings_.plans.size() || tenants_.find(tenant.id)) return;
  Time longest = 0;
  for (unsigned classIndex = 0; classIndex < settings_.classes.size(); ++classIndex)
    longest = std::max(longest, latency_.baseline(classIndex));
  tenant.previousInFlight = std::exchange(tenant.inFlight, 0);
  tenant.previousInFlightUntil = now + 2 * longest;
  tenants_.adopt(tenant);
}

}  // namespace lilacmux::decision
