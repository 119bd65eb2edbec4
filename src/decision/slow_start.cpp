#include "decision/slow_start.hpp"

#include <algorithm>

#include "decision/decay.hpp"

namespace lilacmux::decision {
namespace {

// Share of a warming server's lower bound that is used; above 1 would break the rule's multiple.
constexpr double kSlowStartMargin = 0.8;
// Ms, time constant of the rate of good answers of warm servers.
constexpr Time kWarmRateTau = 4000;

}  // namespace

double SlowStart::warmth(const Server& server, Time now) const {
  const Time since = pool_.coldSince(server);
  if (since <= 0 || settings_.warmUpTime <= 0) return 1;
  const double age = std::clamp((now - since) / settings_.warmUpTime, 0.0, 1.0);
  return settings_.initialCapacityShare + (1 - settings_.initialCapacityShare) * age;
}

// Keeps this gateway's sends to a warming server under its share of the good answers that it has of a warm
// one. Every gateway does so, so all together stay under the warming server's share of what a warm one can
// do, also while retries are sent many times over. One that knows no such rate (all warming up, just
// restarted) keeps to its part of what even a server of one request a span bears. Hurts where the lower bound
// in the settings is far under what the server can do: it fills more slowly than it could.
bool SlowStart::hasRoom(Server& server, Time now) const {
  const double warm = warmth(server, now);
  if (warm >= 1) return true;
  const double least =
      settings_.overloadFactor / std::max(settings_.overloadDuration, 1.0) / settings_.gatewayCount;
  const double known = decayToward(warmRate_, 0, now - warmAt_, kWarmRateTau) / std::max(1u, warmServers_);
  server.slowStartTokens =
      std::min(1.0, server.slowStartTokens +
                        kSlowStartMargin * warm * std::max(known, least) * (now - server.slowStartAt));
  server.slowStartAt = now;
  return server.slowStartTokens >= 1;
}

void SlowStart::noteGoodAnswer(const Server& server, Time now) {
  if (warmth(server, now) < 1) return;
  warmRate_ = decayToward(warmRate_, 0, now - warmAt_, kWarmRateTau) + 1 / kWarmRateTau;
  warmAt_ = now;
  warmServers_ = 0;
  for (const Server& other : pool_.servers())
    warmServers_ += pool_.inUse(other) && warmth(other, now) >= 1 && other.ejectedUntil <= now;
}

}  // namespace lilacmux::decision
