#include "decision/retry_policy.hpp"

#include <algorithm>

namespace lilacmux::decision {
namespace {

// More attempts than this on one request only add load.
constexpr unsigned kMaxAttempts = 4;
// Usual latencies before an attempt that may be repeated is given up,
constexpr double kTimeoutLatencies = 5;
// and at least this share of the latency target.
constexpr double kTimeoutTargets = 1;
// Early time-outs in a row that the retry budget allows.
constexpr double kMaxBudget = 5;
// Budget earned by each good answer; higher: time-outs feed an overload.
constexpr double kBudgetStep = 0.05;

}  // namespace

RetryPolicy::RetryPolicy(const EngineSettings& settings, const LatencyModel& latency)
    : settings_(settings), latency_(latency), budget_(kMaxBudget) {}

unsigned RetryPolicy::maxAttempts() const { return std::min(settings_.maxAttempts, kMaxAttempts); }

Time RetryPolicy::attemptTimeout(Time now, const PendingRequest& pending) const {
  const ClassSettings& requestClass = settings_.classes[pending.request.classIndex];
  const bool last = pending.attempts + 1 >= maxAttempts();
  if (requestClass.idempotency == Idempotency::unsafe || last || budget_ < 1) return 0;
  const Time timeout =
      std::max(kTimeoutLatencies * latency_.usual(pending.request.classIndex, pending.request.units),
               kTimeoutTargets * requestClass.latencyTarget);
  const Time left = pending.request.expiresAt - now;
  return timeout >= left ? 0 : timeout;
}

bool RetryPolicy::mayRetry(Time now, const PendingRequest& pending) const {
  const ClassSettings& requestClass = settings_.classes[pending.request.classIndex];
  if (pending.attempts >= maxAttempts() || now >= pending.request.expiresAt) return false;
  const bool bound = pending.mayHaveRun && requestClass.idempotency != Idempotency::safe;
  if (bound && requestClass.idempotency == Idempotency::unsafe) return false;
  if (bound && now > pending.ranSince + requestClass.deduplicationWindow) return false;
  if (pending.mayHaveRun && budget_ < 1) return false;
  return requestClass.lateWeight > 0 || now <= pending.arrived + requestClass.latencyTarget;
}

bool RetryPolicy::isHarmless(const PendingRequest& pending) const {
  const ClassSettings& requestClass = settings_.classes[pending.request.classIndex];
  return !pending.mayHaveRun || requestClass.idempotency == Idempotency::safe ||
         (requestClass.idempotency == Idempotency::keyed &&
          requestClass.deduplicationScope == DeduplicationScope::all);
}

void RetryPolicy::noteResult(AttemptResult result) {
  if (result == AttemptResult::ok) budget_ = std::min(kMaxBudget, budget_ + kBudgetStep);
  if (result == AttemptResult::timeout) budget_ = std::max(0.0, budget_ - 1);
}

}  // namespace lilacmux::decision
