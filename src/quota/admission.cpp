#include "quota/admission.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/token_bucket.hpp"
#include "quota/rate_meter.hpp"

namespace lilacmux {
namespace {

constexpr double kMinAdmitFraction = 0.05;
constexpr double kMeterPeriod = 1000;       // ms of use that one reading covers
constexpr double kFractionRecovery = 5000;  // ms from the least fraction back to 1 without readings
constexpr double kDisconnectedBurst = 4;    // tokens that a granted rate alone saves up
constexpr double kMinRetryAfter = 40;       // ms
constexpr double kMaxRetryAfter = 2000;     // ms
constexpr double kMinRefillRate = 0.1;      // tokens a second, for the advised wait
constexpr double kLowSeconds = 0.15;        // of demand in the reserve, below which more is requested
constexpr double kLowTokens = 1;            // and tokens
constexpr double kOneToken = 0.998;         // less what is rounded off on the way; the rest stays owed
constexpr double kExhaustedFor = 60;        // ms; shorter: a tenant over its quota is asked for all the time
constexpr double kReportedChange = 0.15;    // of a rate, and so much more: smaller changes are not reported
constexpr double kReportedChangeOffset = 0.04;  // a second

bool isWorthReporting(double now, double reported) {
  return std::abs(now - reported) > kReportedChangeOffset + kReportedChange * reported;
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

// It starts empty.
Admission::Bucket& Admission::addBucket(Millis now, const std::string& tenant) {
  if (byTenant_.size() >= kMaxTenants) {
    byTenant_.erase(buckets_.front().tenant);
    buckets_.pop_front();
  }
  Bucket fresh;
  fresh.tenant = tenant;
  fresh.filledTo = fresh.periodFrom = fresh.lastReading = fresh.countedFrom = now;
  buckets_.push_back(std::move(fresh));
  byTenant_[tenant] = std::prev(buckets_.end());
  return buckets_.back();
}

// Disconnected, it fills at the granted rate. When the lease has expired it is empty for good: what another
// gatekeeper may hold by then is not used here as well.
void Admission::fill(Bucket& bucket, Millis now) {
  const auto [from, to] = disconnectedSince(bucket.filledTo, now);
  if (to > from) {
    const double cap = std::max(bucket.tokens, kDisconnectedBurst + bucket.grantedRate);
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

// At the end of each period: the requests that were executed, against the tokens that were there for them.
void Admission::meter(Bucket& bucket, Millis now) {
  if (now - bucket.periodFrom < kMeterPeriod) return;
  if (bucket.periodExecuted > 0 && bucket.periodGranted > 0) {
    bucket.admitFraction = std::clamp(bucket.admitFraction * bucket.periodGranted / bucket.periodExecuted,
                                      kMinAdmitFraction, 1.0);
    bucket.lastReading = now;
  } else if (now - bucket.lastReading > 2 * kMeterPeriod) {
    bucket.admitFraction = recovered(bucket.admitFraction, now - bucket.periodFrom, kFractionRecovery);
  }
  bucket.periodGranted = std::max(0.0, bucket.tokens);
  bucket.periodExecuted = 0;
  bucket.periodFrom = now;
}

// Only where a reserve is held at all: else tokens are requested when they are needed.
bool Admission::isReserveLow(const Bucket& bucket, Millis now) const {
  return bucket.tokens < kLowTokens + kLowSeconds * bucket.requestRate && now >= bucket.exhaustedUntil &&
         reserveFor(timing(), bucket.requestRate) > 0;
}

// --- Requests

Admission::Verdict Admission::tryAdmit(Millis now, const std::string& tenant, double chance, bool isRepeat) {
  if (!limited_.contains(tenant)) return {};
  Bucket& bucket = lookUp(now, tenant);
  if (!isRepeat) bucket.newRequests += 1;
  bucket.hasChanged = true;
  const bool hasToken = bucket.tokens >= kOneToken;
  if (hasToken && (bucket.unexecutedTokens >= kOneToken || chance < bucket.admitFraction)) {
    bucket.tokens -= 1;
    if (isReserveLow(bucket, now)) {
      bucket.isLow = true;
      need_ = std::max(need_, Need::low);
    }
    return {};
  }
  const double untilToken = 1000 * (1 - bucket.tokens) / std::max(bucket.grantedRate, kMinRefillRate);
  const Millis retryAfter = std::clamp(untilToken, kMinRetryAfter, kMaxRetryAfter);
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
  limited_ = {tenants.begin(), tenants.end()};
}

// --- Reports and grants

ShareDemand Admission::demandOf(Bucket& bucket, Millis now) const {
  // Before a span is over, at least what its end would report, so that a burst of requests is seen at once.
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
    if (!limited_.contains(bucket.tenant)) continue;
    if (scope == ReportScope::urgent && bucket.waitingRequests == 0 && !bucket.isLow) continue;
    fill(bucket, now);
    ShareDemand demand = demandOf(bucket, now);
    const bool isUnchanged = !bucket.hasChanged && !isWorthReporting(demand.requestRate, bucket.reportedRate);
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
  if (isExpired(now))  // and all that was held with the lease
    for (Bucket& bucket : buckets_) fill(bucket, now);
  renewLease(sentAt, leaseUntil);
  for (Bucket& bucket : buckets_) {
    bucket.waitingRequests = 0;  // requests that still wait ask again
    bucket.isInFlight = false;
  }
}

void Admission::applyGrant(Millis now, const ShareGrant& grant, std::uint64_t grantNumber) {
  Bucket& bucket = lookUp(now, grant.tenant);
  bucket.hasChanged =
      bucket.hasChanged || grant.tokens != 0 || isWorthReporting(grant.rate, bucket.grantedRate);
  bucket.grantedRate = grant.rate;
  bucket.grantNumber = grantNumber;
  bucket.tokens += grant.tokens;
  bucket.unexecutedTokens += grant.tokens;
  bucket.periodGranted += std::max(0.0, grant.tokens);
  const bool isExhausted = bucket.reportedWaitingRequests > 0 &&
                           bucket.tokens < kOneToken * bucket.reportedWaitingRequests && !grant.moreExpected;
  if (isExhausted) bucket.exhaustedUntil = now + kExhaustedFor;
}

void Admission::requestFailed() {
  for (Bucket& bucket : buckets_) {
    bucket.hasChanged = bucket.hasChanged || bucket.isInFlight;
    bucket.waitingRequests = 0;
    bucket.isInFlight = false;
  }
}

}  // namespace lilacmux
