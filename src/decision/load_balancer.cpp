#include "decision/load_balancer.hpp"

#include <algorithm>

#include "decision/decay.hpp"

namespace lilacmux::decision {
namespace {

// Random part of a server's cost. At 0, all gateways would select the first server listed.
constexpr double kRandomCostShare = 0.02;
// Cost factor of an ejected or unresponsive server, so high that the server is used only if there is no
// other.
constexpr double kAvoidedCostFactor = 10000;
// Cost factor of a server that an earlier attempt of the request was sent to.
constexpr double kTriedCostFactor = 30;
// Ms, time constant with which the estimate for a server without new reports returns to the mean. A longer
// one lets outdated reports decide.
constexpr Time kReportExpiryTau = 2400;
// Ms, the shortest time that a report stands for. At 0, two reports at the same moment would count as one.
constexpr Time kMinReportDuration = 50;
// The smallest number of reports that the mean over all servers averages.
constexpr std::size_t kMinMeanReports = 10;
// Ms, time constant of load reports.
constexpr double kReportTau = 600;
// Cost factor per unit of cross-zone price. A higher factor fills up the servers of one zone.
constexpr double kCrossZoneCostFactor = 15;

}  // namespace

double LoadBalancer::load(const Server& server, Time now) const {
  return server.inFlight +
         decayToward(server.othersInFlight, meanOthersInFlight_, now - server.othersAt, kReportExpiryTau);
}

bool LoadBalancer::inDeduplicationScope(const PendingRequest& pending, const Server& server) const {
  const ClassSettings& requestClass = settings_.classes[pending.request.classIndex];
  if (!pending.mayHaveRun || requestClass.idempotency == Idempotency::safe ||
      requestClass.deduplicationScope == DeduplicationScope::all)
    return true;
  return requestClass.deduplicationScope == DeduplicationScope::zone
             ? server.listed.zone == pending.mayHaveRunZone
             : server.listed.cell == pending.mayHaveRunCell;
}

// Selects the server with the lowest cost: its load, weighted by its latency ratio. Ejected servers are used
// only if there is no other.
Server* LoadBalancer::select(Time now, const PendingRequest& pending) {
  if (!pending.mayHaveRun && !limiter_.hasRoom()) return nullptr;
  Server* best = nullptr;
  double lowestCost = 0;
  for (Server& server : pool_.servers()) {
    if (!pool_.inUse(server) || !inDeduplicationScope(pending, server) || !slowStart_.hasRoom(server, now))
      continue;
    if (server.fullUntil > now || (!pending.mayHaveRun && server.inFlight + 1 > server.limit)) continue;
    double cost =
        outliers_.latencyRatio(server) * (load(server, now) + 1) * slowStart_.capacityShare(server, now);
    if (server.listed.zone != settings_.zone) cost *= 1 + kCrossZoneCostFactor * settings_.crossZonePrice;
    cost *= 1 + kRandomCostShare * random_.next();
    if (outliers_.isAvoided(server, now)) cost *= kAvoidedCostFactor;
    if (std::find(pending.triedServers.begin(), pending.triedServers.end(), server.listed.id) !=
        pending.triedServers.end())
      cost *= kTriedCostFactor;
    if (!best || cost < lowestCost) best = &server, lowestCost = cost;
  }
  return best;
}

void LoadBalancer::noteReport(Server& server, Time now, const std::vector<double>& report) {
  const std::size_t count = std::min(report.size(), settings_.loadReportFields.size());
  for (std::size_t i = 0; i < count; ++i) {
    double sample = -1;
    if (settings_.loadReportFields[i] == "inflight") sample = report[i] - server.inFlight - 1;
    if (settings_.loadReportFields[i] == "queue")
      sample = report[i] * (settings_.gatewayCount - 1) / settings_.gatewayCount;
    if (sample < 0 && settings_.loadReportFields[i] != "inflight") continue;
    sample = std::max(0.0, sample);
    server.othersInFlight =
        decayToward(server.othersInFlight, sample, now - server.othersAt + kMinReportDuration, kReportTau);
    server.othersAt = now;
    meanOthersInFlight_ =
        decayToward(meanOthersInFlight_, sample, 1,
                    static_cast<double>(std::max<std::size_t>(kMinMeanReports, pool_.size())));
  }
}

}  // namespace lilacmux::decision
