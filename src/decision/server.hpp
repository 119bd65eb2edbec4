// The state of one server at a gateway.
#pragma once

#include <cstdint>

#include "lilacmux/decision_engine.hpp"

namespace lilacmux::decision {

// The state of one server at this gateway. Points in time are on the host's clock, durations in ms.
struct Server {
  ListedServer listed;
  unsigned inFlight = 0;      // attempts of this gateway
  double othersInFlight = 0;  // estimate of the other gateways' attempts in flight
  Time othersAt = 0;
  double limit = 1;  // concurrency limit: attempts of this gateway allowed in flight
  Time limitAt = 0;  // the last decrease of the limit
  // Sum and count of latency ratios (latency divided by the baseline of the request), decayed by sample and
  // by time.
  double latencySum = 0, latencyCount = 0;
  Time latencyAt = 0;
  // Time of the last response, or since when attempts have been in flight if that is later.
  Time lastResponseAt = 0;
  Time lastEarlyResponseAt = 0;  // the last early response (ConcurrencyLimiter)
  unsigned consecutiveFailures = 0;
  Time ejectedUntil = 0;
  Time ejectionDuration = 0;   // duration of the last ejection; 0: none since the last successful attempt
  Time fullUntil = 0;          // no attempts are sent until then: the server responded that it is full
  Time fullBackoff = 0;        // duration of the last such pause; 0: none since the last successful attempt
  double slowStartTokens = 0;  // attempts that may be sent while the server warms up
  Time slowStartAt = 0;
};

// Writes or reads the server's part of the learned state. The order of the numbers is part of the handover
// format (DecisionEngine::exportLearnedState).
template <class Archive>
void exchangeState(Archive& archive, Server& s) {
  std::uint32_t high = static_cast<std::uint32_t>(s.listed.id >> 32);
  std::uint32_t low = static_cast<std::uint32_t>(s.listed.id);
  archive(high, low, s.listed.startedAt, s.inFlight, s.limit, s.limitAt, s.fullBackoff, s.latencySum);
  archive(s.latencyCount, s.latencyAt, s.lastResponseAt, s.lastEarlyResponseAt, s.consecutiveFailures,
          s.ejectedUntil);
  archive(s.ejectionDuration, s.fullUntil, s.slowStartTokens, s.slowStartAt);
  s.listed.id = std::uint64_t{high} << 32 | low;
}

}  // namespace lilacmux::decision
