// The state of one tenant's quota at a ledger: the token bucket, the holdings of all holders, and their sums.
// The sums are updated with each holding, so the cost of a report depends on the tenants that it names and
// not on the number of holders.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "quota/quota.hpp"
#include "quota/share_messages.hpp"

namespace lilacmux {

// The source that refills the buckets of a ledger.
enum class BucketRefill {
  byQuota,   // the quota's rate, up to its burst (the primary's ledger)
  bySupply,  // calls of `ShareLedger::addTokens`, without a limit (a relay's ledger)
};

// One holder's share of one tenant's quota.
struct Holding {
  double requestRate = 0;      // requests per second
  double reserve = 0;          // tokens, as reported
  double inTransit = 0;        // tokens granted and not confirmed yet; below 0: tokens to be returned
  double confirmedRate = 0;    // tokens per second that the holder may use while disconnected
  double offeredRate = 0;      // the same in the newest grant, which may not have arrived
  double waitingRequests = 0;  // requests without a token
  double requestedTokens = 0;
  double averageRequestRate = -1;  // moving average over some seconds; below 0 before the first report
  std::uint64_t grantNumber = 0;   // number of the newest grant

  // Returns the higher of the confirmed and the offered rate, because the newest grant may or may not have
  // arrived.
  double effectiveRate() const { return confirmedRate > offeredRate ? confirmedRate : offeredRate; }
  // Returns the number of waiting requests that the holder's own reserve does not cover.
  double unservedRequests() const { return std::max(0.0, waitingRequests - std::max(0.0, reserve)); }
  // Copies the reported values; leaves the grant in transit unchanged.
  void setReported(const ShareDemand& demand);
};

struct GrantTable {
  using Millis = double;

  // Sums over all holdings.
  struct Sums {
    double tokens = 0;  // in reserves and in transit
    double requestRate = 0;
    double requestedTokens = 0;
    double effectiveRate = 0;
    double confirmedRate = 0;
    double waitingRequests = 0;
    double averageRequestRate = 0;
  };

  Quota quota;
  double bucket = 0;                                  // tokens; below 0: a deficit that refills cover first
  Millis filledTo = 0;                                // time up to which the bucket has been refilled
  std::unordered_map<std::string, Holding> holdings;  // by holder
  Sums sums;

  // Returns the capacity of the bucket: the burst minus the granted tokens.
  double room() const { return quota.burst > sums.tokens ? quota.burst - sums.tokens : 0; }

  // Changes a holding and updates the sums.
  template <class Change>
  void update(Holding& holding, Change change) {
    addToSums(holding, -1);
    change();
    addToSums(holding, +1);
  }

  // Applies a holder's report. `isKnown` is false for its first report to this ledger. Afterwards nothing is
  // in transit: a holder applies only the newest reply, so tokens in transit have arrived by now or never
  // will. Call within `update`.
  void applyDemand(Holding& holding, const ShareDemand& demand, bool isKnown);

  void erase(std::unordered_map<std::string, Holding>::iterator holding);

 private:
  void addToSums(const Holding& holding, int sign);
};

}  // namespace lilacmux
