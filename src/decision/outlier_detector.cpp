#include "decision/outlier_detector.hpp"

#include <algorithm>
#include <cmath>

namespace lilacmux::decision {
namespace {

// Ms, time constant of a server's latency ratio.
constexpr Time kLatencyTau = 30000;
// Share of a server's older samples retained at each sample. Higher values detect a slow server late.
constexpr double kSampleDecay = 0.8;
// Weight of the mean ratio of the server's kind, in samples. At 0, a single sample would decide.
constexpr double kKindSampleWeight = 1;
// Weight of a sample in the mean ratio of its kind. At a higher weight, the mean follows a single server.
constexpr double kKindMeanWeight = 0.02;
// Baseline latencies without a response, with two or more attempts in flight, after which a server counts as
// unresponsive. Lower values eject servers by chance.
constexpr double kUnresponsiveLatencies = 3;
// Consecutive failures needed for an ejection. At 1, a single lost packet could empty the pool.
constexpr unsigned kMinFailuresToEject = 2;
// A server is ejected only if that many consecutive failures happen by chance with at most this probability.
// Higher values eject healthy servers.
constexpr double kMaxRandomProbability = 1e-4;
// Weight of an attempt in the share of random failures.
constexpr double kRandomFailureWeight = 0.01;
// Ms, the duration of the first ejection. Doubles up to kMaxEjectionTime.
constexpr Time kMinEjectionTime = 1000;
constexpr Time kMaxEjectionTime = 8000;

}  // namespace

// A server with attempts in flight and no response for several baseline latencies is partitioned, paused or
// dead, whatever its listed phase. This is detected long before the attempts time out. Two attempts are
// required, because a single one may be very long.
bool OutlierDetector::isUnresponsive(const Server& server, Time now) const {
  return server.inFlight >= 2 && now - server.lastResponseAt > kUnresponsiveLatencies * latency_.longest();
}

bool OutlierDetector::isAvoided(const Server& server, Time now) const {
  return server.ejectedUntil > now || (server.ejectionDuration > 0 && server.inFlight > 0) ||
         isUnresponsive(server, now);
}

// Returns the server's latency ratio, weighted with the mean of its kind by the number of its samples.
double OutlierDetector::latencyRatio(const Server& server) const {
  const auto kind = latencyRatioByKind_.find(server.listed.kind);
  const double kindRatio = kind == latencyRatioByKind_.end() ? 1 : kind->second;
  return (kKindSampleWeight * kindRatio + server.latencySum) / (kKindSampleWeight + server.latencyCount);
}

void OutlierDetector::noteLatency(Server& server, Time now, double ratio) {
  const double decay = kSampleDecay * std::exp(-(now - server.latencyAt) / kLatencyTau);
  server.latencySum = decay * server.latencySum + ratio;
  server.latencyCount = decay * server.latencyCount + 1;
  server.latencyAt = now;
  double& kindRatio = latencyRatioByKind_.try_emplace(server.listed.kind, 1).first->second;
  kindRatio += kKindMeanWeight * (ratio - kindRatio);
}

void OutlierDetector::noteSuccess(Server& server) {
  for (; server.consecutiveFailures > 0; --server.consecutiveFailures) noteHealthyAttempt(1);
  noteHealthyAttempt(0);
  server.ejectionDuration = 0;
  server.ejectedUntil = 0;
}

bool OutlierDetector::noteFailure(Server& server, Time now) {
  if (++server.consecutiveFailures < kMinFailuresToEject) return false;
  if (!(std::pow(randomFailureShare_, server.consecutiveFailures) <= kMaxRandomProbability)) return false;
  server.ejectionDuration = std::clamp(2 * server.ejectionDuration, kMinEjectionTime, kMaxEjectionTime);
  server.ejectedUntil = now + server.ejectionDuration;
  return true;
}

// Updates the share of attempts that fail at healthy servers. Where connections break at random, every server
// has a few consecutive failures, and ejecting it overloads the others. A dead server never responds again,
// so its failures are not counted here.
void OutlierDetector::noteHealthyAttempt(double failed) {
  randomFailureShare_ += kRandomFailureWeight * (failed - randomFailureShare_);
}

}  // namespace lilacmux::decision
