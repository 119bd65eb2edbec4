#include "decision/slow_start.hpp"

#include <algorithm>

#include "decision/decay.hpp"

namespace lilacmux::decision {
namespace {

// Share of a warming server's capacity that is used. Above 1, EngineSettings::overloadFactor would be
// exceeded.
constexpr double kSlowStartMargin = 0.8;
// Ms, time constant of the rate of successful attempts at warm servers.
constexpr Time kWarmSuccessRateTau = 4000;

}  // namespace

double SlowStart::capacityShare(const Server& server, Time now) const {
  const Time start = pool_.warmUpStart(server);
  if (start <= 0 || settings_.warmUpTime <= 0) return 1;
  const double age = std::clamp((now - start) / settings_.warmUpTime, 0.0, 1.0);
  return settings_.initialCapacityShare + (1 - settings_.initialCapacityShare) * age;
}

// Limits this gateway's attempts at a warming server to a share of its rate of successful attempts at one
// warm server. Every gateway does so, so all together stay below the warming server's share of a warm
// server's throughput, even while retries multiply the requests. A gateway without such a rate, because all
// servers are warming up or it has just started, keeps to its share of one request per
// EngineSettings::overloadDuration, which even the slowest server can handle. Where initialCapacityShare is
// far below a server's real capacity, the server's load grows more slowly than it could.
bool SlowStart::hasRoom(Server& server, Time now) const {
  const double share = capacityShare(server, now);
  if (share >= 1) return true;
  const double minRate =
      settings_.overloadFactor / std::max(settings_.overloadDuration, 1.0) / settings_.gatewayCount;
  const double observedRate =
      decayToward(warmSuccessRate_, 0, now - warmSuccessRateAt_, kWarmSuccessRateTau) /
      std::max(1u, warmServerCount_);
  server.slowStartTokens =
      std::min(1.0, server.slowStartTokens + kSlowStartMargin * share * std::max(observedRate, minRate) *
                                                 (now - server.slowStartAt));
  server.slowStartAt = now;
  return server.slowStartTokens >= 1;
}

void SlowStart::noteSuccess(const Server& server, Time now) {
  if (capacityShare(server, now) < 1) return;
  warmSuccessRate_ = decayToward(warmSuccessRate_, 0, now - warmSuccessRateAt_, kWarmSuccessRateTau) +
                     1 / kWarmSuccessRateTau;
  warmSuccessRateAt_ = now;
  warmServerCount_ = 0;
  for (const Server& other : pool_.servers())
    warmServerCount_ += pool_.inUse(other) && capacityShare(other, now) >= 1 && other.ejectedUntil <= now;
}

}  // namespace lilacmux::decision
