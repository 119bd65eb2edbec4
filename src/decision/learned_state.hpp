// Learned state that a process hands over, as plain numbers, to the process that replaces it.
#pragma once

#include <vector>

#include "decision/concurrency_limiter.hpp"
#include "decision/latency_model.hpp"
#include "decision/outlier_detector.hpp"
#include "decision/quota_admission.hpp"
#include "decision/retry_policy.hpp"
#include "decision/server_pool.hpp"
#include "decision/slow_start.hpp"
#include "lilacmux/decision_engine.hpp"

namespace lilacmux::decision {

// Writes and reads the learned state of an engine's components. Layout: the header() (kFormatVersion and the
// figures that must be equal in both processes), the number of servers, the number of tenants, the state
// shared by all servers and tenants, the servers, the tenants.
class LearnedState {
 public:
  // All arguments must outlive the object.
  LearnedState(const EngineSettings& settings, QuotaAdmission& quota, LatencyModel& latency, ServerPool& pool,
               ConcurrencyLimiter& limiter, RetryPolicy& retries, SlowStart& slowStart,
               OutlierDetector& outliers)
      : settings_(settings),
        quota_(quota),
        latency_(latency),
        pool_(pool),
        limiter_(limiter),
        retries_(retries),
        slowStart_(slowStart),
        outliers_(outliers) {}

  std::vector<double> write(Time now);
  // Returns false, without any change, if the numbers are malformed or of another format, or if there are
  // tenants already.
  bool read(Time now, const std::vector<double>& numbers);

 private:
  template <class Archive>
  void exchangeShared(Archive& archive);
  std::vector<double> header();

  const EngineSettings& settings_;
  QuotaAdmission& quota_;
  LatencyModel& latency_;
  ServerPool& pool_;
  ConcurrencyLimiter& limiter_;
  RetryPolicy& retries_;
  SlowStart& slowStart_;
  OutlierDetector& outliers_;
};

}  // namespace lilacmux::decision
