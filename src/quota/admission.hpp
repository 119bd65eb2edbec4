// Admission at one gatekeeper, before a request goes anywhere: a token bucket a tenant, which holds the
// tokens that the gatekeeper's relay granted, and the admit fraction that metered use feeds. A tenant whose
// requests come here seldom has no reserve: its tokens lie at the relay, and are requested when they are
// needed. The same bucket holds the retry budgets, with services in place of tenants.
//
// A state machine without a clock, used by one thread; times are ms of the host's monotonic clock.
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
  static constexpr std::size_t kMaxTenants = 4096;  // in memory; the least recently used make room

  Admission() : GrantHolder(gatekeeperTiming()) {}

  struct Verdict {
    bool admitted = true;        // a token is taken
    bool tokenExpected = false;  // else: one may come within some ms
    Millis retryAfter = 0;       // else: ms after which there may be a token
  };
  // `chance`: drawn evenly from 0 to below 1. A tenant without a limit is always admitted. `isRepeat`: the
  // same request was asked for before, and waits.
  Verdict tryAdmit(Millis now, const std::string& tenant, double chance, bool isRepeat = false);
  // An admitted request ended. Where it is known not to have been executed its token comes back.
  void requestEnded(Millis now, const std::string& tenant, bool wasExecuted);

  // Whether an urgent report should be sent: some reserve is low, or a request waits for a token.
  enum class Need { none, low, waiting };
  Need need() const { return need_; }

  // The tenants that have a limit in the configuration in force; all others pass.
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
    double grantedRate = 0;  // tokens a second, for while it is disconnected
    std::uint64_t grantNumber = 0;
    Millis filledTo = 0;  // the bucket holds what came up to here

    double unexecutedTokens = 0;  // granted, less the requests that are known to have been executed
    double admitFraction = 1;     // of the requests, those admitted while that estimate is used up
    Millis periodFrom = 0;        // of the metered period
    double periodGranted = 0;     // tokens that were there in it
    double periodExecuted = 0;    // requests that were executed in it
    Millis lastReading = 0;       // when the admit fraction was set by a period's use

    double newRequests = 0;  // since `countedFrom`
    Millis countedFrom = 0;
    double requestRate = 0;              // requests a second
    double reportedRate = 0;             // the same in the last report
    double waitingRequests = 0;          // requests that found no token since the last report
    double reportedWaitingRequests = 0;  // those of the last report
    Millis exhaustedUntil = kNever;      // the relay has no tokens for now
    bool hasChanged = true;              // since the last report
    bool isInFlight = false;             // reported in the request that is not answered yet
    bool isLow = false;                  // the reserve was found low since the last report
  };
  Bucket& lookUp(Millis now, const std::string& tenant);
  Bucket& addBucket(Millis now, const std::string& tenant);
  void fill(Bucket& bucket, Millis now);
  static void meter(Bucket& bucket, Millis now);
  bool isReserveLow(const Bucket& bucket, Millis now) const;
  ShareDemand demandOf(Bucket& bucket, Millis now) const;

  std::unordered_set<std::string> limited_;
  std::list<Bucket> buckets_;  // the most recently used last
  std::unordered_map<std::string, std::list<Bucket>::iterator> byTenant_;
  Need need_ = Need::none;
};

}  // namespace lilacmux
