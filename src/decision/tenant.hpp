// The state of one tenant at a gateway.
#pragma once

#include "decision/decay.hpp"
#include "decision/meter_slots.hpp"
#include "lilacmux/decision_engine.hpp"

namespace lilacmux::decision {

// The state of one tenant at this gateway. Units are units of quota. Points in time are on the host's clock;
// durations are in ms unless another unit is given.
struct Tenant {
  TenantId id = 0;
  unsigned plan = 0;
  unsigned gatewaySetSize = 1;  // number of gateways that receive the tenant's requests
  Time updatedAt = 0;           // time up to which buckets and averages have been advanced
  double tokens = 0;            // this gateway's token bucket
  double globalTokens = 0;      // estimate of the tenant's token bucket over all gateways
  double hardLimitTokens = 0;   // this gateway's share of the hard rate limit's bucket
  double admitFraction = 1;     // share of the demand that is admitted while the global bucket is empty
  int reading = -1;             // last metered reading, percent; below 0: none yet
  Time readingAt = 0;
  Time readingInterval = 0;             // average interval between readings
  Time lastReadingResponseAt = kNever;  // last response with a reading, new or not
  Time createdAt = 0;                   // creation time of this entry
  Time meteredUntil = 0;                // end of the period that the last reading covers
  double credit = 0;                    // unused units earned at this gateway by the admit fraction
  double averageUnits = 0;              // average units per request
  // Demand at all gateways, recent and long-term: units, and the seconds in which they were requested.
  double recentDemandUnits = 0, recentDemandTime = 0;
  double longTermDemandUnits = 0, longTermDemandTime = 0;
  // Decayed sums, in units, from which this gateway's share of the tenant's use is computed.
  double ownUse = 0, totalUse = 0;
  // For plans with a concurrency cap. requestedLoad: decayed sum of the expected in-flight times of requests
  // received here. requestedTime: time over which they were received. averageAttemptTime: expected in-flight
  // time per attempt.
  double requestedLoad = 0, requestedTime = 0;
  Time averageAttemptTime = 0;
  unsigned inFlight = 0;            // attempts in flight, sent by this process
  unsigned previousInFlight = 0;    // attempts that the previous process had in flight,
  Time previousInFlightUntil = 0;   // and the time until which they may still be in flight
  MeterSlots sentSlots{};           // units sent by this gateway
  MeterSlots othersSlots{};         // estimated units sent by the other gateways
  MeterSlots admitFractionSlots{};  // admit fraction in force
  long slot = 0;                    // slot of updatedAt
};

// Writes or reads the tenant's part of the learned state. The order of the numbers is part of the handover
// format (DecisionEngine::exportLearnedState).
template <class Archive>
void exchangeState(Archive& archive, Tenant& t) {
  archive(t.id, t.plan, t.gatewaySetSize, t.updatedAt, t.tokens, t.globalTokens, t.hardLimitTokens,
          t.admitFraction);
  archive(t.reading, t.readingAt, t.readingInterval, t.lastReadingResponseAt, t.createdAt, t.meteredUntil,
          t.credit);
  archive(t.averageUnits, t.recentDemandUnits, t.recentDemandTime, t.longTermDemandUnits,
          t.longTermDemandTime, t.ownUse, t.totalUse);
  archive(t.inFlight, t.slot, t.requestedLoad, t.requestedTime, t.averageAttemptTime);
  for (long i = t.slot - kSlots + 1; i <= t.slot; ++i)
    archive(t.sentSlots[slotIndex(i)], t.othersSlots[slotIndex(i)], t.admitFractionSlots[slotIndex(i)]);
}

}  // namespace lilacmux::decision
