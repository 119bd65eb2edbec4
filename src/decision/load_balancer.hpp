// Selection of the server for an attempt.
#pragma once

#include <vector>

#include "decision/concurrency_limiter.hpp"
#include "decision/outlier_detector.hpp"
#include "decision/pending_request.hpp"
#include "decision/random.hpp"
#include "decision/server_pool.hpp"
#include "decision/slow_start.hpp"
#include "lilacmux/decision_engine.hpp"

namespace lilacmux::decision {

// Selects servers by cost: a server's load, latency and zone. Keeps the other gateways' load as given by load
// reports.
class LoadBalancer {
 public:
  // All arguments must outlive the balancer.
  LoadBalancer(const EngineSettings& settings, ServerPool& pool, const SlowStart& slowStart,
               const OutlierDetector& outliers, ConcurrencyLimiter& limiter, Random& random)
      : settings_(settings),
        pool_(pool),
        slowStart_(slowStart),
        outliers_(outliers),
        limiter_(limiter),
        random_(random) {}

  // Returns the server for the request's next attempt, or null if no server can take it now. Draws random
  // numbers.
  Server* select(Time now, const PendingRequest& pending);
  // Records a load report from a server's response; the values are in the order of
  // EngineSettings::loadReportFields.
  void noteReport(Server& server, Time now, const std::vector<double>& report);

 private:
  double load(const Server& server, Time now) const;
  bool inDeduplicationScope(const PendingRequest& pending, const Server& server) const;

  const EngineSettings& settings_;
  ServerPool& pool_;
  const SlowStart& slowStart_;
  const OutlierDetector& outliers_;
  ConcurrencyLimiter& limiter_;
  Random& random_;
  double meanOthersInFlight_ = 0;  // other gateways' attempts in flight per server, by load reports
};

}  // namespace lilacmux::decision
