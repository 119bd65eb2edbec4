// Adaptive concurrency limits: load shedding by limits on attempts in flight.
#pragma once

#include <cstddef>

#include "decision/latency_model.hpp"
#include "decision/pending_request.hpp"
#include "decision/random.hpp"
#include "decision/server_pool.hpp"
#include "lilacmux/decision_engine.hpp"

namespace lilacmux::decision {

// Holds the concurrency limit of this gateway, and adjusts it and the limit of each server (Server::limit) by
// the latency of responses.
class ConcurrencyLimiter {
 public:
  // All arguments must outlive the limiter.
  ConcurrencyLimiter(const EngineSettings& settings, const ServerPool& pool, const LatencyModel& latency,
                     Random& random)
      : settings_(settings), pool_(pool), latency_(latency), random_(random) {}

  // Sets the initial limit from the number of servers. Only the first call has an effect.
  void start(std::size_t servers);
  // Whether the gateway's limit allows one more attempt in flight. Draws a random number.
  bool hasRoom();
  void noteSent(Time now);
  void noteEnded();
  // Adjusts the limits after an attempt. Must be called after noteEnded and after the server's own in-flight
  // count was decremented.
  void adjustLimits(Server& server, Time now, const Attempt& attempt, const AttemptOutcome& outcome);

  template <class Archive>
  void exchangeState(Archive& archive) {
    archive(peak_, peakAt_, limit_, limitAt_);
  }

 private:
  double peak(Time now) const;
  bool areMostServersFull(Time now) const;

  const EngineSettings& settings_;
  const ServerPool& pool_;
  const LatencyModel& latency_;
  Random& random_;
  unsigned inFlight_ = 0;  // attempts at all servers
  double peak_ = 0;        // moving maximum of attempts in flight, as of peakAt_
  Time peakAt_ = 0;
  double limit_ = 0;  // attempts allowed in flight; 0: before start()
  Time limitAt_ = 0;
};

}  // namespace lilacmux::decision
