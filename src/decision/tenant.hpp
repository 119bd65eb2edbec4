// What a gateway knows of one tenant.
#pragma once

#include "decision/decay.hpp"
#include "decision/meter_slots.hpp"
#include "lilacmux/decision_engine.hpp"

namespace lilacmux::decision {

// The state of one tenant at this gateway. Units are units of quota; times are points on the host's clock and
// spans in ms, where no other unit is named.
struct Tenant {
  TenantId id = 0;
  unsigned plan = 0;
  unsigned gatewaySetSize = 1;  // gateways that the tenant's requests come through
  Time updatedAt = 0;           // the buckets and averages are carried forward up to here
  double tokens = 0;            // this gateway's token bucket
  double globalTokens = 0;      // estimate of the tenant's token bucket over all gateways
  double hardLimitTokens = 0;   // this gateway's part of the hard rate limit's bucket
  double admitFraction = 1;     // share of the demand that is let in while the global bucket is empty
  int reading = -1;             // the last metered reading, percent; below 0: none yet
  Time readingAt = 0;
  Time readingGap = 0;         // the usual time between two readings
  Time lastAnswerAt = kNever;  // the last answer that brought a reading, new or not
  Time createdAt = 0;          // this entry's creation
  Time meteredUntil = 0;       // the end of the period that the last reading covers
  double credit = 0;           // units that the admit fraction has earned here and that are unused
  double usualUnits = 0;       // units of a usual request
  // All gateways' demand: units, and the seconds that they stand for; lately, and over a longer memory.
  double recentUnits = 0, recentTime = 0;
  double usualDemandUnits = 0, usualDemandTime = 0;
  // Decayed sums behind this gateway's share of the tenant's use.
  double ownUse = 0, allUse = 0;
  // Under a concurrency cap: ms that the requests received here would be in flight for, and ms they came in.
  double requestedLoad = 0, requestedSpan = 0;
  Time attemptTime = 0;          // and ms that one of them is usually in flight for
  unsigned inFlight = 0;         // attempts sent by this process
  unsigned inFlightBefore = 0;   // and by the process before this one,
  Time inFlightBeforeUntil = 0;  // as long as they may be in flight
  MeterSlots sentSlots{};        // units sent by this gateway
  MeterSlots othersSlots{};      // units that the other gateways are estimated to have sent
  MeterSlots admitSlots{};       // admit fraction in force
  long slot = 0;                 // the slot of updatedAt
};

// Writes or reads the tenant's part of the learned state; the order of its numbers is a form that the next
// process knows (DecisionEngine::knowledge).
template <class Archive>
void exchangeState(Archive& archive, Tenant& t) {
  archive(t.id, t.plan, t.gatewaySetSize, t.updatedAt, t.tokens, t.globalTokens, t.hardLimitTokens,
          t.admitFraction);
  archive(t.reading, t.readingAt, t.readingGap, t.lastAnswerAt, t.createdAt, t.meteredUntil, t.credit);
  archive(t.usualUnits, t.recentUnits, t.recentTime, t.usualDemandUnits, t.usualDemandTime, t.ownUse,
          t.allUse);
  archive(t.inFlight, t.slot, t.requestedLoad, t.requestedSpan, t.attemptTime);
  for (long i = t.slot - kSlots + 1; i <= t.slot; ++i)
    archive(t.sentSlots[slotIndex(i)], t.othersSlots[slotIndex(i)], t.admitSlots[slotIndex(i)]);
}

}  // namespace lilacmux::decision
