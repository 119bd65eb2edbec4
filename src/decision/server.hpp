// What a gateway knows of one server.
#pragma once

#include <cstdint>

#include "lilacmux/decision_engine.hpp"

namespace lilacmux::decision {

// The state of one server at this gateway. Times are points on the host's clock, spans in ms.
struct Server {
  ListedServer listed;
  unsigned inFlight = 0;      // own attempts
  double othersInFlight = 0;  // estimate of the other gateways' attempts
  Time othersAt = 0;
  double limit = 1;  // own attempts allowed in flight
  Time limitAt = 0;  // the last cut of it
  // Latencies over their class's usual one, fading by answer and by time.
  double latencySum = 0, latencyCount = 0;
  Time latencyAt = 0;
  Time lastAnswerAt = 0;  // or since when it has had attempts in flight
  Time lastEarlyAt = 0;   // the last answer that came early
  unsigned failuresInRow = 0;
  Time ejectedUntil = 0;
  Time ejectionTime = 0;       // of the last ejection; 0: none since the last good answer
  Time fullUntil = 0;          // nothing is sent until then: it has answered that it is full
  Time fullBackoff = 0;        // the last such pause; 0: none since the last good answer
  double slowStartTokens = 0;  // attempts that may be sent while it warms up
  Time slowStartAt = 0;
};

// Writes or reads the server's part of the learned state; the order of its numbers is a form that the next
// process knows (DecisionEngine::knowledge).
template <class Archive>
void exchangeState(Archive& archive, Server& s) {
  std::uint32_t high = static_cast<std::uint32_t>(s.listed.id >> 32);
  std::uint32_t low = static_cast<std::uint32_t>(s.listed.id);
  archive(high, low, s.listed.startedAt, s.inFlight, s.limit, s.limitAt, s.fullBackoff, s.latencySum);
  archive(s.latencyCount, s.latencyAt, s.lastAnswerAt, s.lastEarlyAt, s.failuresInRow, s.ejectedUntil);
  archive(s.ejectionTime, s.fullUntil, s.slowStartTokens, s.slowStartAt);
  s.listed.id = std::uint64_t{high} << 32 | low;
}

}  // namespace lilacmux::decision
