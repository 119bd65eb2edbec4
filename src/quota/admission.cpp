#include "quota/admission.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/token_bucket.hpp"
#include "quota/rate_meter.hpp"

namespace lilacmux {
namespace {

constexpr double kMinAdmitFraction = 0.05;
constexpr double kMeteringPeriodMs = 1000;    // period over which the use is measured
constexpr double kFractionRecoveryMs = 5000;  // from the lowest fraction back to 1 without measurements
// Capacity of the bucket while disconnected, in addition to one second of the granted rate.
constexpr double kDisconnectedBurstTokens = 4;
constexpr double kMinRetryAfterMs = 40;
constexpr double kMaxRetryAfterMs = 2000;
constexpr double kMinRefillRate = 0.1;  // tokens per second; lower bound for the estimate of `retryAfter`
// A reserve is low, and more is requested, if it is below the sum of these.
constexpr double kLowReserveSeconds = 0.15;  // seconds of demand
constexpr double kLowReserveTokens = 1;
// The tokens that one request needs, less a tolerance for the rounding on the wire. The difference remains a
// deficit of the bucket.
constexpr double kOneToken = 0.998;
// A shorter duration causes constant requests for a tenant that is over its quota.
constexpr double kExhaustedDurationMs = 60;
// A change of a rate is reported if it exceeds the sum of these.
constexpr double kReportedRateChange = 0.15;        // fraction of the previous rate
constexpr double kReportedRateChangeOffset = 0.04;  // requests or tokens per second

bool isReportableChange(double current, double reported) {
  return std::abs(current - reported) > kReportedRateChangeOffset + kReportedRateChange * reported;
}

}  // namespace

// --- Buckets

Admission::Bucket& Admission::lookUp(Millis now, const std::string& tenant) {
  const auto found = byTenant_.find(tenant);
  if (found == byTenant_.end()) return addBucket(now, tenant);
  buckets_.splice(buckets_.end(), buckets_, found->second);
  fill(*found->second, now);
  return *found->second;
}

// Adds an empty bucket.
Admission::Bucket& Admission::addBucket(Millis now, const std::string& tenant) {
  if (byTenant_.size() >= kMaxTenants) {
    byTenant_.erase(buckets_.front().tenant);
    buckets_.pop_front();
  }
  Bucket bucket;
  bucket.tenant = tenant;
  bucket.filledTo = bucket.periodFrom = bucket.lastMeasurementAt = bucket.countedFrom = now;
  buckets_.push_back(std::move(bucket));
  byTenant_[tenant] = std::prev(buckets_.end());
  return buckets_.back();
}

// While disconnected, refills the bucket at the granted rate. Once the lease has expired, empties it, because
// its tokens may by then be granted to another gatekeeper.
void Admission::fill(Bucket& bucket, Millis now) {
  const auto [from, to] = disconnectedSince(bucket.filledTo, now);
  if (to > from) {
    const double cap = std::max(bucket.tokens, kDisconnectedBurstTokens + bucket.grantedRate);
    const double filled = refilled(bucket.tokens, bucket.grantedRate, cap, (to - from) / 1000);
    bucket.hasChanged = bucket.hasChanged || filled != bucket.tokens;
    bucket.unexecutedTokens += filled - bucket.tokens;
    bucket.periodGranted += filled - bucket.tokens;
    bucket.tokens = filled;
  }
  if (isExpired(now)) bucket.tokens = bucket.unexecutedTokens = 0;
  meter(bucket, now);
  bucket.filledTo = std::max(bucket.filledTo, now);
}

// At the end of each period, adjusts the admit fraction by the ratio of available tokens to executed
// requests.
void Admission::meter(Bucket& bucket, Millis now) {
  if (now - bucket.periodFrom < kMeteringPeriodMs) return;
  if (bucket.periodExecuted > 0 && bucket.periodGranted > 0) {
    bucket.admitFraction = std::clamp(bucket.admitFraction * bucket.periodGranted / bucket.periodExecuted,
                                      kMinAdmitFraction, 1.0);
    bucket.lastMeasurementAt = now;
  } else if (now - bucket.lastMeasurementAt > 2 * kMeteringPeriodMs) {
    bucket.admitFraction = recovered(bucket.admitFraction, now - bucket.periodFrom, kFractionRecoveryMs);
  }
  bucket.periodGranted = std::max(0.0, bucket.tokens);
  bucket.periodExecuted = 0;
  bucket.periodFrom = now;
}

// Always false for a tenant without a reserve, whose tokens are requested when they are needed.
bool Admission::isReserveLow(const Bucket& bucket, Millis now) const {
  return bucket.tokens < kLowReserveTokens + kLowReserveSeconds * bucket.requestRate &&
         now >= bucket.exhaustedUntil && reserveFor(timing(), bucket.requestRate) > 0;
}

// --- Requests

Admission::Verdict Admission::tryAdmit(Millis now, const std::string& tenant, double randomDraw,
                                       bool isRepeat) {
  if (!limitedTenants_.contains(tenant)) return {};
  Bucket& bucket = lookUp(now, tenant);
  if (!isRepeat) bucket.newRequests += 1;
  bucket.hasChanged = true;
  const bool hasToken = bucket.tokens >= kOneToken;
  if (hasToken && (bucket.unexecutedTokens >= kOneToken || randomDraw < bucket.admitFraction)) {
    bucket.tokens -= 1;
    if (isReserveLow(bucket, now)) {
      bucket.isLow = true;
      need_ = std::max(need_, Need::low);
    }
    return {};
  }
  const double msUntilToken = 1000 * (1 - bucket.tokens) / std::max(bucket.grantedRate, kMinRefillRate);
  const Millis retryAfter = std::clamp(msUntilToken, kMinRetryAfterMs, kMaxRetryAfterMs);
  if (hasToken || isDisconnected(now) || now < bucket.exhaustedUntil) return {false, false, retryAfter};
  bucket.waitingRequests += 1;
  need_ = Need::waiting;
  return {false, true, retryAfter};
}

void Admission::requestEnded(Millis now, const std::string& tenant, bool wasExecuted) {
  const auto found = byTenant_.find(tenant);
  if (found == byTenant_.end()) return;
  Bucket& bucket = *found->second;
  fill(bucket, now);
  if (wasExecuted) {
    bucket.periodExecuted += 1;
    bucket.unexecutedTokens -= 1;
  } else if (!isExpired(now)) {
    bucket.tokens += 1;
    bucket.hasChanged = true;
  }
}

void Admission::setLimitedTenants(const std::vector<std::string>& tenants) {
  limitedTenants_ = {tenants.begin(), tenants.end()};
}

// --- Reports and grants

ShareDemand Admission::demandOf(Bucket& bucket, Millis now) const {
  // Before the minimum span is over, report at least the rate expected at its end, so that the relay learns
  // of a burst of requests at once.
  const Millis span = std::max(now - bucket.countedFrom, kMinRateSpan);
  const double requestRate = smoothedRate(bucket.requestRate, bucket.newRequests, span);
  double reportedRate = std::max(bucket.requestRate, requestRate);
  if (now - bucket.countedFrom >= kMinRateSpan) {
    reportedRate = bucket.requestRate = requestRate;
    bucket.newRequests = 0;
    bucket.countedFrom = now;
  }
  ShareDemand out;
  out.tenant = bucket.tenant;
  out.requestRate = reportedRate;
  out.reserve = bucket.tokens;
  out.grantedRate = bucket.grantedRate;
  out.grantNumber = bucket.grantNumber;
  out.waitingRequests = bucket.waitingRequests;
  out.requestedTokens = reserveFor(timing(), reportedRate);
  return out;
}

std::vector<ShareDemand> Admission::demands(Millis now, ReportScope scope) {
  std::vector<ShareDemand> out;
  for (Bucket& bucket : buckets_) {
    if (!limitedTenants_.contains(bucket.tenant)) continue;
    if (scope == ReportScope::urgent && bucket.waitingRequests == 0 && !bucket.isLow) continue;
    fill(bucket, now);
    ShareDemand demand = demandOf(bucket, now);
    const bool isUnchanged =
        !bucket.hasChanged && !isReportableChange(demand.requestRate, bucket.reportedRate);
    if (scope == ReportScope::delta && isUnchanged) continue;
    bucket.reportedRate = demand.requestRate;
    bucket.reportedWaitingRequests = bucket.waitingRequests;
    bucket.waitingRequests = 0;
    bucket.hasChanged = bucket.isLow = false;
    bucket.isInFlight = true;
    out.push_back(std::move(demand));
  }
  need_ = Need::none;
  return out;
}

std::vector<ShareDemand> Admission::finalDemands(Millis now) {
  std::vector<ShareDemand> out;
  for (Bucket& bucket : buckets_) {
    fill(bucket, now);
    ShareDemand demand;
    demand.tenant = bucket.tenant;
    demand.grantNumber = bucket.grantNumber;
    demand.returnedTokens = std::max(0.0, bucket.tokens);
    out.push_back(std::move(demand));
    bucket.tokens = bucket.unexecutedTokens = 0;
  }
  return out;
}

void Admission::responseReceived(Millis now, Millis sentAt, Millis leaseUntil) {
  if (isExpired(now))  // the buckets are emptied with it
    for (Bucket& bucket : buckets_) fill(bucket, now);
  renewLease(sentAt, leaseUntil);
  for (Bucket& bucket : buckets_) {
    bucket.waitingRequests = 0;  // requests that still wait call `tryAdmit` again
    bucket.isInFlight = false;
  }
}

void Admission::applyGrant(Millis now, const ShareGrant& grant, std::uint64_t grantNumber) {
  Bucket& bucket = lookUp(now, grant.tenant);
  bucket.hasChanged =
      bucket.hasChanged || grant.tokens != 0 || isReportableChange(grant.rate, bucket.grantedRate);
  bucket.grantedRate = grant.rate;
  bucket.grantNumber = grantNumber;
  bucket.tokens += grant.tokens;
  bucket.unexecutedTokens += grant.tokens;
  bucket.periodGranted += std::max(0.0, grant.tokens);
  const bool isExhausted = bucket.reportedWaitingRequests > 0 &&
                           bucket.tokens < kOneToken * bucket.reportedWaitingRequests && !grant.moreExpected;
  if (isExhausted) bucket.exhaustedUntil = now + kExhaustedDurationMs;
}

void Admission::requestFailed() {
  for (Bucket& bucket : buckets_) {
    bucket.hasChanged = bucket.hasChanged || bucket.isInFlight;
    bucket.waitingRequests = 0;
    bucket.isInFlight = false;
  }
}

}  // namespace lilacmux
