#include "decision/concurrency_cap.hpp"

#include <algorithm>
#include <cmath>

#include "decision/decay.hpp"
#include "decision/quota_tuning.hpp"

namespace lilacmux::decision {
namespace {

// Ms for which a gateway may use one of the attempts that remain after even division of a cap, before the
// next gateway's turn. With a shorter duration, attempts of successive turns overlap.
constexpr Time kTurnDuration = 1000;
// Expected number of times per metered period that the load estimated from a peak reaches that peak.
constexpr double kPeaksPerPeriod = 0.35;
// Resolution of the search for a load, in attempts in flight.
constexpr double kLoadResolution = 0.01;
// Weight of the assumed load, in requests. Higher values detect a heavy tenant late.
constexpr double kAssumedLoadWeight = 0.25;
// Assumed load of an unknown tenant, as a multiple of its plan's optimal load.
constexpr double kAssumedLoadFactor = 2;
// The largest sample count, in requests, that has an optimal load of its own.
constexpr double kMaxSampleCount = 32;
// Requests that one metered peak counts for as a sample.
constexpr double kPeakSampleCount = 3;

// Returns the attempts in flight of this process and of the previous one.
unsigned attemptsInFlight(const Tenant& tenant) {
  return tenant.inFlight + (tenant.updatedAt < tenant.previousInFlightUntil ? tenant.previousInFlight : 0);
}

}  // namespace

ConcurrencyCap::ConcurrencyCap(const EngineSettings& settings, const Meter& meter,
                               const LatencyModel& latency, Random& random)
    : settings_(settings), meter_(meter), latency_(latency), random_(random) {
  for (const auto& plan : settings_.plans) {
    optimalLoad_.emplace_back();
    for (double sampleCount = 1; plan.maxInFlight > 0 && sampleCount <= kMaxSampleCount; ++sampleCount)
      optimalLoad_.back().push_back(optimalLoad(plan, sampleCount));
  }
}

// Returns the average number of attempts in flight over all gateways that earns most: an attempt within the
// cap earns its weight, an attempt beyond it costs. The number in flight varies at random, and a tenant's
// demand is known only as precisely as `sampleCount` requests allow, so fewer samples give a lower load.
double ConcurrencyCap::optimalLoad(const PlanSettings& plan, double sampleCount) {
  const double cost = std::max(0.0, plan.overQuotaCost - plan.overQuotaWeight);
  const auto gain = [&](double load) {
    const double odds = load / sampleCount, chance = odds / (1 + odds);
    double probability = std::pow(1 - chance, sampleCount + 1), withinCap = 0;
    for (unsigned inFlight = 0; inFlight < plan.maxInFlight; ++inFlight) {
      withinCap += probability;
      probability *= chance * (sampleCount + 1 + inFlight) / (inFlight + 1);
    }
    return load * ((1 + cost) * withinCap - cost);
  };
  double load = 0;
  while (load < plan.maxInFlight && gain(load + kLoadResolution) > gain(load)) load += kLoadResolution;
  return load;
}

double ConcurrencyCap::optimalLoad(unsigned plan, double sampleCount) const {
  return optimalLoad_[plan]
                     [static_cast<std::size_t>(std::clamp(std::round(sampleCount), 1.0, kMaxSampleCount)) -
                      1];
}

// Returns the probability of admitting a request of a tenant with a cap. Where many gateways serve the
// tenant, each receives its requests rarely and knows only its own attempts, so the cap is enforced by the
// load that all gateways admit together: the optimal load divided by the tenant's demand, which is estimated
// from the requests received here times the number of gateways in its set. An unknown tenant is assumed to
// demand more than the optimal load, because most requests come from such tenants. The first requests of a
// light tenant may therefore be rejected and have to be sent again.
double ConcurrencyCap::admitProbability(const Tenant& tenant, Time attemptTime) const {
  const double sampleCount = tenant.requestedLoad / attemptTime + kAssumedLoadWeight;
  const double assumedLoad = kAssumedLoadFactor * optimalLoad(tenant.plan, kMaxSampleCount);
  const double load = sampleCount / (tenant.requestedTime / attemptTime / tenant.gatewaySetSize +
                                     kAssumedLoadWeight / assumedLoad);
  return std::min(1.0, optimalLoad(tenant.plan, sampleCount) / load);
}

// A metered peak gives the average number of attempts in flight at all gateways: the load at which the number
// in flight reaches the peak kPeaksPerPeriod times in a period. Divided by the admitted share of requests, it
// gives the tenant's demand.
void ConcurrencyCap::notePeak(Tenant& tenant, long end, double peak) const {
  const Time attemptTime = tenant.averageAttemptTime;
  if (peak < 0.5 || attemptTime <= 0) return;
  double load = kLoadResolution;
  const auto peaksPerPeriod = [&] {
    return std::exp((peak + 1) * std::log(load) - load - std::lgamma(peak + 1)) * meter_.period() /
           attemptTime;
  };
  while (load < peak && peaksPerPeriod() < kPeaksPerPeriod) load += kLoadResolution;
  const double admitted = sumOverPeriod(tenant.admitFractionSlots, end) / kPeriodSlots;
  tenant.admitFraction =
      std::clamp(admitted * optimalLoad(tenant.plan, kPeakSampleCount) / load, kMinAdmitFraction, 1.0);
}

// Whether the cap admits one more attempt of the tenant. No information about the other gateways' attempts is
// recent enough: a metered peak is seconds old, while a cap of a few attempts is used up within milliseconds.
// An attempt beyond the cap costs more than a rejection, after which the client retries at once. Each gateway
// therefore keeps to its even share of the cap. The remainder of the division is free to all gateways while
// the meter reports less than the full cap; otherwise the gateways take turns by the clock, which all of them
// read alike. Where so many gateways serve the tenant that most would wait for their turn in vain, requests
// are admitted at random instead.
bool ConcurrencyCap::hasRoom(Tenant& tenant, const EngineRequest& request) {
  const PlanSettings& plan = settings_.plans[tenant.plan];
  const unsigned evenShare = plan.maxInFlight / tenant.gatewaySetSize,
                 remainder = plan.maxInFlight % tenant.gatewaySetSize, inFlight = attemptsInFlight(tenant);
  if (remainder > 0 && 2 * remainder < tenant.gatewaySetSize)
    return admitAtRandom(tenant, latency_.baseline(request.classIndex, request.units)) &&
           inFlight <= evenShare;
  if (inFlight != evenShare || remainder == 0) return inFlight < evenShare;
  const bool isCapReached = tenant.reading >= 100 && tenant.updatedAt - tenant.readingAt <= kRecoveryTime;
  if (!isCapReached) return true;
  const unsigned position =
      (settings_.gatewayIndex + settings_.gatewayCount - request.firstGateway % settings_.gatewayCount) %
      settings_.gatewayCount;
  const auto turn = static_cast<std::uint64_t>(std::max(0.0, tenant.updatedAt) / kTurnDuration);
  return (position + turn) % tenant.gatewaySetSize < remainder;
}

bool ConcurrencyCap::admitAtRandom(Tenant& tenant, Time attemptTime) {
  tenant.requestedLoad += attemptTime;
  tenant.averageAttemptTime = decayToward(tenant.averageAttemptTime, attemptTime, 1, kRequestAverageTau);
  const auto chance =
      static_cast<float>(std::min(admitProbability(tenant, attemptTime), tenant.admitFraction));
  if (tenant.updatedAt <= tenant.createdAt) tenant.admitFractionSlots.fill(chance);
  tenant.admitFractionSlots[slotIndex(tenant.slot)] = chance;
  return random_.next() < chance;
}

}  // namespace lilacmux::decision
