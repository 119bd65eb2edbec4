#include "decision/retry_policy.hpp"

#include <algorithm>

namespace lilacmux::decision {
namespace {

// Upper bound of attempts per request. More attempts only add load.
constexpr unsigned kMaxAttempts = 4;
// An early time-out is at least this many baseline latencies,
constexpr double kTimeoutLatencies = 5;
// and at least this share of the latency target.
constexpr double kTimeoutTargetShare = 1;
// Upper bound of the retry budget: consecutive early time-outs that it allows.
constexpr double kMaxRetryBudget = 5;
// Budget earned by each successful attempt. At a higher value, time-outs amplify an overload.
constexpr double kRetryBudgetStep = 0.05;

}  // namespace

RetryPolicy::RetryPolicy(const EngineSettings& settings, const LatencyModel& latency)
    : settings_(settings), latency_(latency), budget_(kMaxRetryBudget) {}

unsigned RetryPolicy::maxAttempts() const { return std::min(settings_.maxAttempts, kMaxAttempts); }

Time RetryPolicy::attemptTimeout(Time now, const PendingRequest& pending) const {
  const ClassSettings& requestClass = settings_.classes[pending.request.classIndex];
  const bool isLastAttempt = pending.attempts + 1 >= maxAttempts();
  if (requestClass.idempotency == Idempotency::unsafe || isLastAttempt || budget_ < 1) return 0;
  const Time timeout =
      std::max(kTimeoutLatencies * latency_.baseline(pending.request.classIndex, pending.request.units),
               kTimeoutTargetShare * requestClass.latencyTarget);
  const Time remaining = pending.request.expiresAt - now;
  return timeout >= remaining ? 0 : timeout;
}

bool RetryPolicy::mayRetry(Time now, const PendingRequest& pending) const {
  const ClassSettings& requestClass = settings_.classes[pending.request.classIndex];
  if (pending.attempts >= maxAttempts() || now >= pending.request.expiresAt) return false;
  const bool isRestricted = pending.mayHaveRun && requestClass.idempotency != Idempotency::safe;
  if (isRestricted && requestClass.idempotency == Idempotency::unsafe) return false;
  if (isRestricted && now > pending.mayHaveRunSince + requestClass.deduplicationWindow) return false;
  if (pending.mayHaveRun && budget_ < 1) return false;
  return requestClass.lateWeight > 0 || now <= pending.arrived + requestClass.latencyTarget;
}

bool RetryPolicy::isSafeToResend(const PendingRequest& pending) const {
  const ClassSettings& requestClass = settings_.classes[pending.request.classIndex];
  return !pending.mayHaveRun || requestClass.idempotency == Idempotency::safe ||
         (requestClass.idempotency == Idempotency::keyed &&
          requestClass.deduplicationScope == DeduplicationScope::all);
}

void RetryPolicy::noteResult(AttemptResult result) {
  if (result == AttemptResult::ok) budget_ = std::min(kMaxRetryBudget, budget_ + kRetryBudgetStep);
  if (result == AttemptResult::timeout) budget_ = std::max(0.0, budget_ - 1);
}

}  // namespace lilacmux::decision
