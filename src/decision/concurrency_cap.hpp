// Concurrency caps: limits on a tenant's attempts in flight over all gateways.
#pragma once

#include <vector>

#include "decision/latency_model.hpp"
#include "decision/meter.hpp"
#include "decision/random.hpp"
#include "decision/tenant.hpp"
#include "lilacmux/decision_engine.hpp"

namespace lilacmux::decision {

// Decides at this gateway whether a tenant's plan allows one more attempt in flight
// (PlanSettings::maxInFlight).
class ConcurrencyCap {
 public:
  // All arguments must outlive the cap.
  ConcurrencyCap(const EngineSettings& settings, const Meter& meter, const LatencyModel& latency,
                 Random& random);

  // Whether the cap admits one more attempt of the tenant. May draw a random number.
  bool hasRoom(Tenant& tenant, const EngineRequest& request);
  // Adjusts the tenant's admit fraction by a metered peak: the most attempts that all gateways had in flight
  // at once in the metered period that ends before slot `end`.
  void notePeak(Tenant& tenant, long end, double peak) const;

 private:
  static double optimalLoad(const PlanSettings& plan, double sampleCount);
  double optimalLoad(unsigned plan, double sampleCount) const;
  double admitProbability(const Tenant& tenant, Time attemptTime) const;
  bool admitAtRandom(Tenant& tenant, Time attemptTime);

  const EngineSettings& settings_;
  const Meter& meter_;
  const LatencyModel& latency_;
  Random& random_;
  // By plan, then by sample count - 1; empty for plans without a cap.
  std::vector<std::vector<double>> optimalLoad_;
};

}  // namespace lilacmux::decision
