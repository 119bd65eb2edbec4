#include "decision/concurrency_cap.hpp"

#include <algorithm>
#include <cmath>

#include "decision/decay.hpp"
#include "decision/quota_tuning.hpp"

namespace lilacmux::decision {
namespace {

// Ms until what is left of a cap goes to the next gateway; shorter: turns overlap.
constexpr Time kTurnSpan = 1000;
// Times in a period that the load told by a peak would reach that peak.
constexpr double kPeakLikelihood = 0.35;
// Attempts in flight between loads that are looked at.
constexpr double kLoadStep = 0.01;
// Requests that an assumed load counts for; higher: a heavy one is seen late.
constexpr double kLoadDoubt = 0.25;
// Load of a tenant that nothing is known of, as a multiple of the load that pays.
constexpr double kInitialLoad = 2;
// Requests up to which it is told apart how well a load is known.
constexpr double kMaxSamples = 32;
// Requests that tell as much as a metered peak.
constexpr double kPeakSamples = 3;

// Attempts that this process and the one before it have in flight.
unsigned attemptsOut(const Tenant& tenant) {
  return tenant.inFlight + (tenant.updatedAt < tenant.inFlightBeforeUntil ? tenant.inFlightBefore : 0);
}

}  // namespace

ConcurrencyCap::ConcurrencyCap(const EngineSettings& settings, const Meter& meter,
                               const LatencyModel& latency, Random& random)
    : settings_(settings), meter_(meter), latency_(latency), random_(random) {
  for (const auto& plan : settings_.plans) {
    payingLoad_.emplace_back();
    for (double tries = 1; plan.maxInFlight > 0 && tries <= kMaxSamples; ++tries)
      payingLoad_.back().push_back(payingLoad(plan, tries));
  }
}

// What all gateways together may have in flight of a tenant, on average, so that one more earns most: each
// that finds the cap free pays its worth, each beyond costs. What is out varies as chance has it, and what
// the tenant asks for is known as well as so many tries tell it: the less they are, the less may be let in.
double ConcurrencyCap::payingLoad(const PlanSettings& plan, double tries) {
  const double cost = std::max(0.0, plan.overQuotaCost - plan.overQuotaWeight);
  const auto gain = [&](double load) {
    const double odds = load / tries, chance = odds / (1 + odds);
    double term = std::pow(1 - chance, tries + 1), under = 0;
    for (unsigned out = 0; out < plan.maxInFlight; ++out) {
      under += term;
      term *= chance * (tries + 1 + out) / (out + 1);
    }
    return load * ((1 + cost) * under - cost);
  };
  double load = 0;
  while (load < plan.maxInFlight && gain(load + kLoadStep) > gain(load)) load += kLoadStep;
  return load;
}

double ConcurrencyCap::payingLoad(unsigned plan, double tries) const {
  return payingLoad_[plan][static_cast<std::size_t>(std::clamp(std::round(tries), 1.0, kMaxSamples)) - 1];
}

// The share of a tenant's tries that may be let in under its cap. Where many gateways serve it each meets
// it seldom and knows of no attempt but its own, so what holds the cap is how much all let in: the paying
// load over what it asks for, which its tries here tell, times the size of its set. One that nothing is
// known of is held to ask for more than what pays, since most tries come from those that do. Hurts the
// tries of a light tenant, which then come a second time.
double ConcurrencyCap::chanceOf(const Tenant& tenant, Time each) const {
  const double tries = tenant.requestedLoad / each + kLoadDoubt;
  const double usualLoad = kInitialLoad * payingLoad(tenant.plan, kMaxSamples);
  const double load = tries / (tenant.requestedSpan / each / tenant.gatewaySetSize + kLoadDoubt / usualLoad);
  return std::min(1.0, payingLoad(tenant.plan, tries) / load);
}

// A metered peak tells what all gateways had out on average, by how many chance makes meet in one period;
// over the share of tries that were let in it is what the tenant asked them all for.
void ConcurrencyCap::notePeak(Tenant& tenant, long end, double peak) const {
  const Time each = tenant.attemptTime;
  if (peak < 0.5 || each <= 0) return;
  double load = kLoadStep;
  const auto meets = [&] {
    return std::exp((peak + 1) * std::log(load) - load - std::lgamma(peak + 1)) * meter_.period() / each;
  };
  while (load < peak && meets() < kPeakLikelihood) load += kLoadStep;
  const double in = overPeriod(tenant.admitSlots, end) / kPeriodSlots;
  tenant.admitFraction =
      std::clamp(in * payingLoad(tenant.plan, kPeakSamples) / load, kMinAdmitFraction, 1.0);
}

// Whether one more attempt of a tenant may be in flight under its cap. Of what the others have in flight
// nothing tells in time: a metered peak is seconds old and a cap of a few is used up within ms, and one sent
// on beyond costs more than one refused, which comes back at once. So each gateway keeps to its even part of
// the cap. What those leave is anybody's while the meter tells of a cap that is not reached; else it goes
// round by the clock, which all gateways read alike. Where so many serve the tenant that most would wait
// for their turn in vain, chance decides instead.
bool ConcurrencyCap::hasRoom(Tenant& tenant, const EngineRequest& request) {
  const PlanSettings& plan = settings_.plans[tenant.plan];
  const unsigned even = plan.maxInFlight / tenant.gatewaySetSize,
                 rest = plan.maxInFlight % tenant.gatewaySetSize, out = attemptsOut(tenant);
  if (rest > 0 && 2 * rest < tenant.gatewaySetSize)
    return admitByChance(tenant, latency_.usual(request.classIndex, request.units)) && out <= even;
  if (out != even || rest == 0) return out < even;
  const bool reached = tenant.reading >= 100 && tenant.updatedAt - tenant.readingAt <= kRecoverySpan;
  if (!reached) return true;
  const unsigned place =
      (settings_.gatewayIndex + settings_.gatewayCount - request.firstGateway % settings_.gatewayCount) %
      settings_.gatewayCount;
  const auto turn = static_cast<std::uint64_t>(std::max(0.0, tenant.updatedAt) / kTurnSpan);
  return (place + turn) % tenant.gatewaySetSize < rest;
}

bool ConcurrencyCap::admitByChance(Tenant& tenant, Time each) {
  tenant.requestedLoad += each;
  tenant.attemptTime = decayToward(tenant.attemptTime, each, 1, kSizeTau);
  const auto chance = static_cast<float>(std::min(chanceOf(tenant, each), tenant.admitFraction));
  if (tenant.updatedAt <= tenant.createdAt) tenant.admitSlots.fill(chance);
  tenant.admitSlots[slotIndex(tenant.slot)] = chance;
  return random_.next() < chance;
}

}  // namespace lilacmux::decision
