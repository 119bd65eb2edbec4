// Retry policy of a gateway.
#pragma once

#include "decision/latency_model.hpp"
#include "decision/pending_request.hpp"
#include "lilacmux/decision_engine.hpp"

namespace lilacmux::decision {

// Decides on retries by a request's class, its earlier attempts and the retry budget of this gateway.
class RetryPolicy {
 public:
  // Both arguments must outlive the policy.
  RetryPolicy(const EngineSettings& settings, const LatencyModel& latency);

  // Returns the ms after which the request's next attempt times out early, to leave time for a retry; 0: no
  // early time-out.
  Time attemptTimeout(Time now, const PendingRequest& pending) const;
  // Whether the request's class and remaining time allow another attempt.
  bool mayRetry(Time now, const PendingRequest& pending) const;
  // Whether the client may safely send the request again.
  bool isSafeToResend(const PendingRequest& pending) const;
  void noteResult(AttemptResult result);

  template <class Archive>
  void exchangeState(Archive& archive) {
    archive(budget_);
  }

 private:
  unsigned maxAttempts() const;

  const EngineSettings& settings_;
  const LatencyModel& latency_;
  double budget_;  // retry budget: remaining early time-outs and retries after them
};

}  // namespace lilacmux::decision
