// The grants of one tenant's quota: the token bucket, what each holder has of it, and sums over the holders,
// so that a report costs by the tenants that it names and not by the number of holders.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "quota/quota.hpp"
#include "quota/share_messages.hpp"

namespace lilacmux {

// What fills the buckets of a ledger.
enum class BucketRefill {
  byQuota,   // the quota's rate, up to its burst (the primary's ledger)
  bySupply,  // what is added by `ShareLedger::addTokens`, without a limit (a relay's ledger)
};

// What one holder has of one tenant.
struct Holding {
  double requestRate = 0;      // requests a second
  double reserve = 0;          // tokens, as reported
  double inTransit = 0;        // tokens granted and not yet confirmed; below 0: asked back
  double confirmedRate = 0;    // tokens a second that it may use while it is disconnected
  double offeredRate = 0;      // the same by the newest grant, which may not have arrived
  double waitingRequests = 0;  // requests without a token
  double requestedTokens = 0;
  double averageRequestRate = -1;  // its request rate, averaged over some seconds; below 0: not reported yet
  std::uint64_t grantNumber = 0;   // of the newest grant

  // The rate to reckon with: the grant in transit may or may not have arrived.
  double effectiveRate() const { return confirmedRate > offeredRate ? confirmedRate : offeredRate; }
  // Waiting requests that its own reserve does not serve.
  double unservedRequests() const { return std::max(0.0, waitingRequests - std::max(0.0, reserve)); }
  // Takes over what the holder reports, but for the grants in transit.
  void setReported(const ShareDemand& demand);
};

struct GrantTable {
  using Millis = double;

  // Over all holdings.
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
  double bucket = 0;                                  // tokens; below 0: owed
  Millis filledTo = 0;                                // the bucket holds what came up to here
  std::unordered_map<std::string, Holding> holdings;  // by holder
  Sums sums;

  // Tokens that the bucket may hold beside what is granted.
  double room() const { return quota.burst > sums.tokens ? quota.burst - sums.tokens : 0; }

  // Changes a holding and keeps the sums right.
  template <class Change>
  void update(Holding& holding, Change change) {
    addToSums(holding, -1);
    change();
    addToSums(holding, +1);
  }

  // Takes in a holder's report. `isKnown`: it reports to this ledger not for the first time. What was in
  // transit has arrived, or never will: a holder applies the newest reply alone.
  void applyDemand(Holding& holding, const ShareDemand& demand, bool isKnown);

  void erase(std::unordered_map<std::string, Holding>::iterator holding);

 private:
  void addToSums(const Holding& holding, int sign);
};

}  // namespace lilacmux
