// Grants shares of the tenants' quotas to holders. The ledger keeps one token bucket per tenant and grants
// its tokens. Each holder keeps a reserve, sized by its demand, and requests more before the reserve is
// empty, or requests just the tokens that it needs now. Each holder is also granted a part of the tenant's
// rate, which it uses only while it is disconnected. The tokens in the bucket and in all reserves plus those
// that unresponsive holders may use never exceed the tokens of the ledger, so the quota holds whichever
// holders are partitioned. Reserves and granted rates expire.
//
// At the primary, the buckets are refilled at the rates of the quotas and the holders are relays. At a relay,
// they are refilled by the grants of the primary and the holders are gatekeepers. The cost of a report
// depends on the tenants that it names, not on the number of holders and tenants: sums over the holdings are
// kept up to date, and only unresponsive holders are inspected one by one.
//
// A state machine without a clock. Used by one thread. Times are ms of the host's monotonic clock.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "quota/grant_table.hpp"
#include "quota/holder_activity.hpp"
#include "quota/quota.hpp"
#include "quota/share_messages.hpp"
#include "quota/share_timing.hpp"

namespace lilacmux {

class ShareLedger {
 public:
  using Millis = double;
  using Refill = BucketRefill;

  // `unconfirmed` names the holders that may be using rates granted by an earlier ledger. The recovery period
  // lasts until all of them have reported or their leases have expired. During it, the buckets are refilled
  // only at the rates of the holders that have reported. Each report of a known holder takes the next grant
  // number; the first is `firstGrant` + 1. A report confirms a grant by its number alone, so ledgers that may
  // receive reports of each other's grants must not use the same numbers. The ledger does not limit its
  // range: callers must choose values of `firstGrant` that are far enough apart.
  ShareLedger(Refill refill, const ShareTiming& timing, Millis now, std::set<std::string> unconfirmed,
              std::uint64_t firstGrant);

  // Replaces all quotas. Drops tenants that are not named, with their grants.
  void setQuotas(Millis now, const std::map<std::string, Quota>& quotas);
  void setQuota(Millis now, const std::string& tenant, const Quota& quota);
  // Adds tokens to a bucket of a ledger with `Refill::bySupply`. Negative `tokens` are removed from the
  // bucket, even if they are already granted.
  void addTokens(Millis now, const std::string& tenant, double tokens);

  // Handles a holder's report and returns its grants. A full report (`isFull`) names all tenants of which the
  // holder has a share. A holder that is unknown, or whose lease has expired, must first send a full report.
  GrantReply handleReport(Millis now, const std::string& holder, const std::vector<ShareDemand>& demands,
                          bool isFull);

  // Handles a holder that shuts down. The tokens that it returns are available to others at once. `reserve`
  // and `grantedRate` in `finalReport` are sub-granted to holders from which it received no report; they
  // expire with its lease.
  void release(Millis now, const std::string& holder, const std::vector<ShareDemand>& finalReport);

  // Drops the grants of earlier incarnations of this holder. Call once this incarnation has received reports
  // of all their sub-grants.
  void retireEarlierIncarnations(Millis now, const std::string& holder);

  // Records that the holder has reported all grants of earlier ledgers to this one.
  void confirm(Millis now, const std::string& name);

  // One tenant's totals over the ledger and its holders.
  struct Totals {
    double requestRate = 0;      // requests per second
    double reserve = 0;          // tokens in the bucket, in reserves and in transit
    double waitingRequests = 0;  // requests without a token
    double grantedRate = 0;      // tokens per second
    double bucket = 0;           // the tokens of `reserve` that are not granted
    double requestedTokens = 0;  // by responsive holders
    // The tokens of `reserve` at unresponsive holders. Because their holders are unresponsive, these tokens
    // serve no request here.
    double unresponsiveReserve = 0;
  };
  Totals totals(Millis now, const std::string& tenant);

  std::size_t holderCount(Millis now) const;
  // Returns whether no incarnation of this holder can have a grant, because none has reported within a lease.
  bool hasExpired(Millis now, const std::string& name) const;
  // Returns the number of tables and holdings inspected so far, a measure of the work done.
  std::uint64_t inspectedCount() const { return inspectedCount_; }

 private:
  bool isRecovering(Millis now) const { return !unconfirmed_.empty() && now < recoversUntil_; }

  void recordReport(Millis now, const std::string& holder);
  void dropHolder(Millis now, const std::string& holder);
  void dropHoldings(Millis now, const std::string& holder, const std::set<std::string>& exceptTenants);
  void applyFullReport(Millis now, const std::string& holder, const std::vector<ShareDemand>& demands);
  bool releaseHolding(Millis now, const std::string& holder, const ShareDemand& finalDemand);

  ShareGrant grantFor(Millis now, const std::string& holder, const ShareDemand& demand,
                      std::uint64_t grantNumber);
  static void recordGrant(GrantTable& table, Holding& holding, double rate, double tokens);

  void fillAll(Millis now);
  void fill(GrantTable& table, Millis now);
  double refillOf(const GrantTable& table, Millis now) const;
  double setAsideForUnresponsive(GrantTable& table, Millis now, double tokens);
  void capBucket(GrantTable& table) const;
  template <class Visit>
  void forEachUnresponsive(GrantTable& table, Millis now, Visit visit);

  const Refill refill_;
  const ShareTiming timing_;
  const Millis recoversUntil_;
  std::set<std::string> unconfirmed_;
  std::unordered_map<std::string, GrantTable> tables_;  // by tenant
  HolderActivity holders_;
  std::map<std::string, std::string> incarnations_;  // by holder's name: the newest, which retired the others
  std::uint64_t lastGrant_;
  std::uint64_t inspectedCount_ = 0;
};

}  // namespace lilacmux
