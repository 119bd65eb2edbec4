// Grants shares of the tenants' quotas to holders. The ledger keeps one token bucket a tenant and hands its
// tokens out; each holder keeps a reserve, sized by its demand, and asks for more before that is empty, or
// for just the tokens that it needs now. Beside that each is granted a part of the tenant's rate, which it
// uses only while it is disconnected. What is in the bucket, in all reserves, and what unresponsive holders
// may use never exceeds what the ledger has together, so the quota holds whoever is partitioned; reserves and
// granted rates expire.
//
// At the primary the buckets fill by the quotas, and the holders are relays; at a relay they fill by what the
// primary grants, and the holders are gatekeepers. A report costs by the tenants that it names, whatever the
// number of holders and tenants: sums are kept, and a holder is inspected by itself only where it is
// unresponsive.
//
// A state machine without a clock, used by one thread; times are ms of the host's monotonic clock.
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

  // `unconfirmed`: names of holders that may use rates that an earlier ledger granted. During its recovery
  // period, until all of them have reported or their leases have expired, only the rates of those that
  // reported fill the buckets. Grants are numbered from `firstGrant` on; other ledgers' numbers must be far
  // from these.
  ShareLedger(Refill refill, const ShareTiming& timing, Millis now, std::set<std::string> unconfirmed,
              std::uint64_t firstGrant);

  // Replaces all quotas; tenants that are not named are dropped with their grants.
  void setQuotas(Millis now, const std::map<std::string, Quota>& quotas);
  void setQuota(Millis now, const std::string& tenant, const Quota& quota);
  // For `Refill::bySupply`. Below 0: taken away, though it may be granted already.
  void addTokens(Millis now, const std::string& tenant, double tokens);

  // A holder's report, and its grants. `isFull`: it names all that the holder has; it has nothing of other
  // tenants. A holder that is not known, or whose lease expired, must send a full report first.
  GrantReply handleReport(Millis now, const std::string& holder, const std::vector<ShareDemand>& demands,
                          bool isFull);

  // A holder shuts down: what it returns is there for others at once. What it still answers for (`reserve`
  // and `grantedRate` of a tenant, sub-granted to holders that it has not heard of) expires with its lease.
  void release(Millis now, const std::string& holder, const std::vector<ShareDemand>& rest);

  // This incarnation of a holder has heard of all that earlier ones sub-granted: their grants are dropped.
  void retireEarlierIncarnations(Millis now, const std::string& holder);

  // All that earlier ledgers granted to this holder has been reported here.
  void confirm(Millis now, const std::string& name);

  // Of one tenant, the ledger and its holders together.
  struct Totals {
    double requestRate = 0;          // requests a second
    double reserve = 0;              // tokens in the bucket, in reserves and in transit
    double waitingRequests = 0;      // requests without a token
    double grantedRate = 0;          // tokens a second
    double bucket = 0;               // tokens of `reserve` that are not granted
    double requestedTokens = 0;      // of the responsive holders
    double unresponsiveReserve = 0;  // tokens of `reserve` that the others hold: they serve nobody here
  };
  Totals totals(Millis now, const std::string& tenant);

  std::size_t holderCount(Millis now) const;
  // Whether no incarnation of this holder can have anything: none reported for the time of a lease.
  bool hasExpired(Millis now, const std::string& name) const;
  // Tables and holdings inspected so far: a measure of the work done.
  std::uint64_t inspectedCount() const { return inspectedCount_; }

 private:
  bool isRecovering(Millis now) const { return !unconfirmed_.empty() && now < recoversUntil_; }

  void noteReport(Millis now, const std::string& holder);
  void forgetHolder(Millis now, const std::string& holder);
  void dropHoldings(Millis now, const std::string& holder, const std::set<std::string>& exceptTenants);
  void applyFullReport(Millis now, const std::string& holder, const std::vector<ShareDemand>& demands);
  bool releaseHolding(Millis now, const std::string& holder, const ShareDemand& rest);

  ShareGrant grantFor(Millis now, const std::string& holder, const ShareDemand& demand,
                      std::uint64_t grantNumber);
  static void bookGrant(GrantTable& table, Holding& holding, double rate, double tokens);

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
  std::map<std::string, std::string> incarnations_;  // by holder's name: that which retired the earlier ones
  std::uint64_t lastGrant_;
  std::uint64_t inspectedCount_ = 0;
};

}  // namespace lilacmux
