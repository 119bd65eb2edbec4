// Admission control at one gatekeeper, applied before a request is forwarded. Each tenant has a token bucket,
// filled by grants from the gatekeeper's relay, and an admit fraction, computed from metered use. A tenant
// with few requests at this gatekeeper has no reserve: its tokens stay at the relay and are requested when
// they are needed. The same class enforces the retry budgets, with services in place of tenants.
//
// A state machine without a clock. Used by one thread. Times are ms of the host's monotonic clock.
#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "quota/grant_holder.hpp"

namespace lilacmux {

class Admission : public GrantHolder {
 public:
  static constexpr std::size_t kMaxTenants = 4096;  // buckets in memory; the least recently used is evicted

  Admission() : GrantHolder(gatekeeperTiming()) {}

  struct Verdict {
    bool admitted = true;        // a tenant with a limit has paid one token
    bool tokenExpected = false;  // when not admitted: the relay may grant a token within some ms
    Millis retryAfter = 0;       // when not admitted: estimated ms until a token is available
  };
  // Takes a token for one request of the tenant. A tenant without a limit is always admitted. `randomDraw` is
  // uniform in [0, 1). `isRepeat` is true if the same request was not admitted before and waits for a token.
  Verdict tryAdmit(Millis now, const std::string& tenant, double randomDraw, bool isRepeat = false);
  // Records the end of an admitted request. If the request is known not to have been executed, its token is
  // returned to the bucket.
  void requestEnded(Millis now, const std::string& tenant, bool wasExecuted);

  // The reason to send an urgent report, if any: a reserve is low, or a request waits for a token.
  enum class Need { none, low, waiting };
  Need need() const { return need_; }

  // Sets the tenants that have a limit in the current configuration. All other tenants are always admitted.
  void setLimitedTenants(const std::vector<std::string>& tenants);

  std::vector<ShareDemand> demands(Millis now, ReportScope scope) override;
  std::vector<ShareDemand> finalDemands(Millis now) override;
  void responseReceived(Millis now, Millis sentAt, Millis leaseUntil) override;
  void applyGrant(Millis now, const ShareGrant& grant, std::uint64_t grantNumber) override;
  void requestFailed() override;

 private:
  struct Bucket {
    std::string tenant;
    double tokens = 0;       // the reserve
    double grantedRate = 0;  // tokens per second that may be used while disconnected
    std::uint64_t grantNumber = 0;
    Millis filledTo = 0;  // time up to which the bucket has been refilled

    double unexecutedTokens = 0;   // granted tokens minus requests known to have been executed
    double admitFraction = 1;      // fraction of requests admitted once `unexecutedTokens` is used up
    Millis periodFrom = 0;         // start of the current metering period
    double periodGranted = 0;      // tokens that were available in this period
    double periodExecuted = 0;     // requests that were executed in this period
    Millis lastMeasurementAt = 0;  // when the use in a period last set the admit fraction

    double newRequests = 0;  // requests since `countedFrom`
    Millis countedFrom = 0;
    double requestRate = 0;              // requests per second
    double reportedRate = 0;             // request rate in the last report, per second
    double waitingRequests = 0;          // requests that found no token since the last report
    double reportedWaitingRequests = 0;  // waiting requests in the last report
    Millis exhaustedUntil = kNever;      // until then the relay is assumed to have no tokens
    bool hasChanged = true;              // since the last report
    bool isInFlight = false;             // part of the report that is not answered yet
    bool isLow = false;                  // the reserve was low at some time since the last report
  };
  Bucket& lookUp(Millis now, const std::string& tenant);
  Bucket& addBucket(Millis now, const std::string& tenant);
  void fill(Bucket& bucket, Millis now);
  static void meter(Bucket& bucket, Millis now);
  bool isReserveLow(const Bucket& bucket, Millis now) const;
  ShareDemand demandOf(Bucket& bucket, Millis now) const;

  std::unordered_set<std::string> limitedTenants_;
  std::list<Bucket> buckets_;  // from the least to the most recently used
  std::unordered_map<std::string, std::list<Bucket>::iterator> byTenant_;
  Need need_ = Need::none;
};

}  // namespace lilacmux
