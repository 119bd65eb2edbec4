#include "decision/concurrency_limiter.hpp"

#include <algorithm>
#include <cmath>

#include "decision/decay.hpp"
#include "decision/server_tuning.hpp"

namespace lilacmux::decision {
namespace {

// The most attempts of this gateway in flight at one server.
constexpr double kMaxServerLimit = 200;
// The least limit of the gateway; lower: servers that recover are found too late.
constexpr double kMinLimit = 0.1;
// Factor on a server's limit when an answer comes late; lower: half-empty servers.
constexpr double kServerLimitCut = 0.85;
// Share of a limit that must be in use for it to grow.
constexpr double kUsedToGrow = 0.7;
// Ms between cuts; one crowd of late answers is one cut.
constexpr Time kCutInterval = 200;
// E-folds a second by which the gateway's limit falls while answers are late.
constexpr double kLimitCutRate = 2;
// Multiple of the recent peak that a first late answer leaves of the limit.
constexpr double kPeakSpare = 2;
// Ms, time constant of the recent peak; shorter: a lull before a late answer cuts.
constexpr Time kPeakTau = 5000;
// E-folds a second by which it grows while answers are early; the two hold late answers near a quarter in
// overload.
constexpr double kLimitRiseRate = 0.6;
// An answer that takes more than this share of the latency target cuts the limit.
constexpr double kLate = 0.5;
// An answer within this share of the latency target lets a used-up limit grow.
constexpr double kEarly = 0.25;

}  // namespace

void ConcurrencyLimiter::start(std::size_t servers) {
  if (limit_ <= 0) limit_ = kInitialLimit * static_cast<double>(servers) / settings_.gatewayCount;
}

// A fraction of an attempt is kept by chance.
bool ConcurrencyLimiter::hasRoom() { return inFlight_ + random_.next() < limit_; }

void ConcurrencyLimiter::noteSent(Time now) {
  ++inFlight_;
  peak_ = peak(now);
  peakAt_ = now;
}

void ConcurrencyLimiter::noteEnded() {
  if (inFlight_ > 0) --inFlight_;
}

// The most attempts in flight lately; it fades.
double ConcurrencyLimiter::peak(Time now) const {
  return std::max<double>(inFlight_, decayToward(peak_, 0, now - peakAt_, kPeakTau));
}

// Two in-flight limits, raised and cut by how an answer's time stands to the class's latency target; they
// keep the queues at the servers short enough that what is sent is still worth answering, whatever made them
// long. The server's own holds where a gateway has several attempts at a server; that of the whole gateway
// goes as far below one for each server as it must where gateways outnumber what the servers hold. It moves
// by time, not by answer, so that many answers a second say no more than a few. A late answer takes away at
// once only what has not been used lately: held against what is in flight at that very moment, any answer of
// the tail that came in a lull closed a gateway that was far from its limit, for seconds. That covers all
// that is late for once, be it a long request, a machine's pause or a server cut off; a connection that
// failed tells nothing of load at all, nor does an attempt without a good answer where the server has
// answered later ones at once: it was lost, not waiting. It may hurt where a crowd that overdrives the
// servers comes right after a peak that they bore, and where one server's answers alone are late: it then
// sends less to all. A request of many units is held against its class's smallest: what it takes beyond
// that is its own work and no wait. Without it a few large requests in the mix shut both limits for good.
void ConcurrencyLimiter::steer(Server& server, Time now, const Attempt& attempt,
                               const AttemptOutcome& outcome) {
  const Time latencyTarget = settings_.classes[attempt.classIndex].latencyTarget;
  const Time ownWork = std::max(
      0.0, latency_.usual(attempt.classIndex, attempt.units) - latency_.usual(attempt.classIndex, 1));
  const Time waited = outcome.elapsed - ownWork;
  const bool telling = outcome.result != AttemptResult::connectFailed &&
                       outcome.result != AttemptResult::abandoned &&
                       (outcome.result == AttemptResult::ok || server.lastEarlyAt < now - outcome.elapsed);
  const bool late = outcome.result == AttemptResult::full || (telling && waited > kLate * latencyTarget);
  const bool early = outcome.result == AttemptResult::ok && waited < kEarly * latencyTarget;
  if (early) server.lastEarlyAt = now;
  if (late && now - server.limitAt >= kCutInterval) {
    server.limit = std::max(1.0, kServerLimitCut * std::min(server.limit, server.inFlight + 1.0));
    server.limitAt = now;
  } else if (early && server.inFlight + 1 >= kUsedToGrow * server.limit) {
    server.limit = std::min(kMaxServerLimit, server.limit + 1 / server.limit);
  }
  const double span = std::min(now - limitAt_, kCutInterval) / 1000;
  limitAt_ = now;
  if (late && (outcome.result != AttemptResult::full || mostlyFull(now)))
    limit_ =
        std::max(kMinLimit, std::min(limit_, kPeakSpare * (peak(now) + 1)) * std::exp(-kLimitCutRate * span));
  else if (early && inFlight_ + 1 >= kUsedToGrow * limit_)
    limit_ *= std::exp(kLimitRiseRate * span);
}

// Whether most servers turn attempts away: else those that do say nothing of the room at the others.
bool ConcurrencyLimiter::mostlyFull(Time now) const {
  std::size_t ready = 0, full = 0;
  for (const Server& server : pool_.servers())
    if (pool_.inUse(server)) ++ready, full += server.fullUntil > now;
  return 2 * full >= ready;
}

}  // namespace lilacmux::decision
