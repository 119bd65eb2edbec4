#include "decision/quota_admission.hpp"

#include <algorithm>
#include <utility>

#include "decision/decay.hpp"
#include "decision/quota_tuning.hpp"

namespace lilacmux::decision {
namespace {

// Ms, time constant of how often no server is found.
constexpr Time kPressureTau = 4000;
// Higher: nothing is admitted on a doubtful estimate.
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
  const double want = std::min(units, plan.burst);
  tenant.usualUnits = decayToward(tenant.usualUnits, units, 1, kSizeTau);
  if (plan.rate > 0 && tenant.tokens < want) return 1000 * (want - tenant.tokens) / plan.rate;
  if (plan.maxInFlight > 0 && !cap_.hasRoom(tenant, request)) return latency_.usual(request.classIndex);
  QuotaEstimate::addDemand(tenant, units, 0);
  const bool empty =
      plan.rate > 0 && (estimate_.isSeldom(tenant) || estimate_.isEmpty(tenant, want, pressure_));
  tenant.admitSlots[slotIndex(tenant.slot)] = static_cast<float>(empty ? tenant.admitFraction : 1);
  // The fraction times the demand is the rate: what it lets in here is this gateway's share of the rate,
  // measured out over time, so that a demand misjudged by some gateways does not add up past the quota.
  if (empty && tenant.credit < units)
    return 1000 * (units - tenant.credit) / (plan.rate * estimate_.share(tenant));
  if (empty) tenant.credit -= units;
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
  const Time since = now - tenant.readingAt;
  tenant.readingGap = tenant.reading < 0 ? since : decayToward(tenant.readingGap, since, 1, 3);
  tenant.reading = percent;
  tenant.readingAt = now;
  estimate_.advance(tenant, now);
  const PlanSettings& plan = settings_.plans[tenant.plan];
  const long out = meter_.publishedSlot(now);
  if (plan.rate <= 0) return cap_.notePeak(tenant, out - meter_.lag(), percent / 100.0 * plan.maxInFlight);
  const double metered = percent / 100.0 * plan.rate * settings_.meterPeriod / 1000;
  meter_.learnLag(tenant, out, metered);
  estimate_.noteMetered(tenant, now, out - meter_.lag(), metered);
}

void QuotaAdmission::adopt(Tenant tenant, Time now) {
  if (tenant.plan >= settings_.plans.size() || tenants_.find(tenant.id)) return;
  Time longest = 0;
  for (unsigned classIndex = 0; classIndex < settings_.classes.size(); ++classIndex)
    longest = std::max(longest, latency_.usual(classIndex));
  tenant.inFlightBefore = std::exchange(tenant.inFlight, 0);
  tenant.inFlightBeforeUntil = now + 2 * longest;
  tenants_.adopt(tenant);
}

}  // namespace lilacmux::decision
