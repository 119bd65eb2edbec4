#include "decision/concurrency_limiter.hpp"

#include <algorithm>
#include <cmath>

#include "decision/decay.hpp"
#include "decision/server_tuning.hpp"

namespace lilacmux::decision {
namespace {

// Upper bound of a server's limit, in attempts of this gateway in flight.
constexpr double kMaxServerLimit = 200;
// Lower bound of the gateway's limit. Below it, recovered servers are detected too late.
constexpr double kMinGatewayLimit = 0.1;
// Factor applied to a server's limit on a late response. Lower values leave servers half empty.
constexpr double kServerLimitDecrease = 0.85;
// Share of a limit that must be in use for the limit to grow.
constexpr double kMinUseToGrow = 0.7;
// Ms between decreases of a limit, so that a group of late responses counts once.
constexpr Time kDecreaseInterval = 200;
// Exponential rate, per second, at which the gateway's limit falls while responses are late.
constexpr double kGatewayLimitDecreaseRate = 2;
// The first late response lowers the gateway's limit to at most this multiple of the recent peak.
constexpr double kPeakHeadroom = 2;
// Ms, time constant of the recent peak. With a shorter one, a lull before a late response lowers the limit.
constexpr Time kPeakTau = 5000;
// Exponential rate, per second, at which the gateway's limit grows while responses are early. In overload,
// the two rates keep the share of late responses near a quarter.
constexpr double kGatewayLimitIncreaseRate = 0.6;
// A response that takes longer than this share of the latency target lowers the limits.
constexpr double kLateShare = 0.5;
// A response within this share of the latency target lets a limit grow that is in use.
constexpr double kEarlyShare = 0.25;

}  // namespace

void ConcurrencyLimiter::start(std::size_t servers) {
  if (limit_ <= 0) limit_ = kInitialLimit * static_cast<double>(servers) / settings_.gatewayCount;
}

// The random draw admits the fractional part of the limit with that probability.
bool ConcurrencyLimiter::hasRoom() { return inFlight_ + random_.next() < limit_; }

void ConcurrencyLimiter::noteSent(Time now) {
  ++inFlight_;
  peak_ = peak(now);
  peakAt_ = now;
}

void ConcurrencyLimiter::noteEnded() {
  if (inFlight_ > 0) --inFlight_;
}

// Returns the recent maximum of attempts in flight, which decays over time.
double ConcurrencyLimiter::peak(Time now) const {
  return std::max<double>(inFlight_, decayToward(peak_, 0, now - peakAt_, kPeakTau));
}

// Adjusts two limits on attempts in flight by comparing a response's latency to its class's latency target.
// They keep the servers' queues so short that responses arrive in time, whatever the cause of the queues.
//
// The server's limit works where a gateway has several attempts in flight at a server. The gateway's limit
// can fall far below one attempt per server, which is needed where the gateways outnumber the attempts that
// the servers can hold. It changes with time, not per response, so that the number of responses per second
// does not matter.
//
// A late response at once removes only the part of the gateway's limit that was not used recently. Compared
// with the attempts in flight at that moment instead, a late response during a lull would close a gateway
// that is far from its limit, for seconds. Late responses with a single cause, such as a long request, a
// machine's pause or a partitioned server, therefore do little harm.
//
// Failed connections say nothing about load, and neither does an attempt without a good response at a server
// that has answered later attempts early: such an attempt was lost, not queued.
//
// A request of many units is compared with the smallest requests of its class, because its additional time is
// work and not queueing. Without this, a few large requests keep both limits closed.
//
// Known weaknesses: a burst that overloads the servers right after a peak that they handled, and late
// responses of a single server, which reduce the traffic to all servers.
void ConcurrencyLimiter::adjustLimits(Server& server, Time now, const Attempt& attempt,
                                      const AttemptOutcome& outcome) {
  const Time latencyTarget = settings_.classes[attempt.classIndex].latencyTarget;
  const Time extraWorkTime = std::max(
      0.0, latency_.baseline(attempt.classIndex, attempt.units) - latency_.baseline(attempt.classIndex, 1));
  const Time adjustedLatency = outcome.elapsed - extraWorkTime;
  const bool indicatesLoad =
      outcome.result != AttemptResult::connectFailed && outcome.result != AttemptResult::abandoned &&
      (outcome.result == AttemptResult::ok || server.lastEarlyResponseAt < now - outcome.elapsed);
  const bool isLate = outcome.result == AttemptResult::full ||
                      (indicatesLoad && adjustedLatency > kLateShare * latencyTarget);
  const bool isEarly = outcome.result == AttemptResult::ok && adjustedLatency < kEarlyShare * latencyTarget;
  if (isEarly) server.lastEarlyResponseAt = now;
  if (isLate && now - server.limitAt >= kDecreaseInterval) {
    server.limit = std::max(1.0, kServerLimitDecrease * std::min(server.limit, server.inFlight + 1.0));
    server.limitAt = now;
  } else if (isEarly && server.inFlight + 1 >= kMinUseToGrow * server.limit) {
    server.limit = std::min(kMaxServerLimit, server.limit + 1 / server.limit);
  }
  const double seconds = std::min(now - limitAt_, kDecreaseInterval) / 1000;
  limitAt_ = now;
  if (isLate && (outcome.result != AttemptResult::full || areMostServersFull(now)))
    limit_ = std::max(kMinGatewayLimit, std::min(limit_, kPeakHeadroom * (peak(now) + 1)) *
                                            std::exp(-kGatewayLimitDecreaseRate * seconds));
  else if (isEarly && inFlight_ + 1 >= kMinUseToGrow * limit_)
    limit_ *= std::exp(kGatewayLimitIncreaseRate * seconds);
}

// Whether at least half of the servers in use reject attempts as full. If fewer do, the other servers still
// have room.
bool ConcurrencyLimiter::areMostServersFull(Time now) const {
  std::size_t ready = 0, full = 0;
  for (const Server& server : pool_.servers())
    if (pool_.inUse(server)) ++ready, full += server.fullUntil > now;
  return 2 * full >= ready;
}

}  // namespace lilacmux::decision
