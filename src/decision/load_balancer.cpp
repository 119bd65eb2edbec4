#include "decision/load_balancer.hpp"

#include <algorithm>

#include "decision/decay.hpp"

namespace lilacmux::decision {
namespace {

// Random part of a server's cost; 0: gateways alike all take the first listed.
constexpr double kTieBreak = 0.02;
// Cost factor of an ejected or unresponsive server: only where there is no other.
constexpr double kAvoidedCost = 10000;
// Cost factor of a server that has failed this request.
constexpr double kTriedCost = 30;
// Ms, time constant by which a server without reports becomes as the average; longer: old news decides.
constexpr Time kReportLifeTau = 2400;
// Ms that a report stands for at least; 0: two at once count as one.
constexpr Time kMinReportSpan = 50;
// Reports at least behind the fleet's mean.
constexpr std::size_t kMinReports = 10;
// Ms, time constant of load reports.
constexpr double kReportTau = 600;
// Cost factor per unit of cross-zone price; higher: one zone fills up.
constexpr double kCrossZoneCost = 15;

}  // namespace

double LoadBalancer::load(const Server& server, Time now) const {
  return server.inFlight +
         decayToward(server.othersInFlight, meanOthers_, now - server.othersAt, kReportLifeTau);
}

bool LoadBalancer::inDeduplicationScope(const PendingRequest& pending, const Server& server) const {
  const ClassSettings& requestClass = settings_.classes[pending.request.classIndex];
  if (!pending.mayHaveRun || requestClass.idempotency == Idempotency::safe ||
      requestClass.deduplicationScope == DeduplicationScope::all)
    return true;
  return requestClass.deduplicationScope == DeduplicationScope::zone ? server.listed.zone == pending.ranZone
                                                                     : server.listed.cell == pending.ranCell;
}

// The least loaded ready server, weighted by how slow it has been. Ejected ones serve where no other is.
Server* LoadBalancer::select(Time now, const PendingRequest& pending) {
  if (!pending.mayHaveRun && !limiter_.hasRoom()) return nullptr;
  Server* best = nullptr;
  double least = 0;
  for (Server& server : pool_.servers()) {
    if (!pool_.inUse(server) || !inDeduplicationScope(pending, server) || !slowStart_.hasRoom(server, now))
      continue;
    if (server.fullUntil > now || (!pending.mayHaveRun && server.inFlight + 1 > server.limit)) continue;
    double cost = outliers_.latencyRatio(server) * (load(server, now) + 1) * slowStart_.warmth(server, now);
    if (server.listed.zone != settings_.zone) cost *= 1 + kCrossZoneCost * settings_.crossZonePrice;
    cost *= 1 + kTieBreak * random_.next();
    if (outliers_.isAvoided(server, now)) cost *= kAvoidedCost;
    if (std::find(pending.tried.begin(), pending.tried.end(), server.listed.id) != pending.tried.end())
      cost *= kTriedCost;
    if (!best || cost < least) best = &server, least = cost;
  }
  return best;
}

void LoadBalancer::noteReport(Server& server, Time now, const std::vector<double>& report) {
  const std::size_t n = std::min(report.size(), settings_.loadReportFields.size());
  for (std::size_t i = 0; i < n; ++i) {
    double sample = -1;
    if (settings_.loadReportFields[i] == "inflight") sample = report[i] - server.inFlight - 1;
    if (settings_.loadReportFields[i] == "queue")
      sample = report[i] * (settings_.gatewayCount - 1) / settings_.gatewayCount;
    if (sample < 0 && settings_.loadReportFields[i] != "inflight") continue;
    sample = std::max(0.0, sample);
    server.othersInFlight =
        decayToward(server.othersInFlight, sample, now - server.othersAt + kMinReportSpan, kReportTau);
    server.othersAt = now;
    meanOthers_ = decayToward(meanOthers_, sample, 1,
                              static_cast<double>(std::max<std::size_t>(kMinReports, pool_.size())));
  }
}

}  // namespace lilacmux::decision
