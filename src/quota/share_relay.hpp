// A relay's part in the quotas. The relay holds grants of the primary and sub-grants them to the gatekeepers
// near it. The primary sees the relay as one holder, whose reserve includes the reserves of its gatekeepers.
// Sub-grants expire no later than the relay's own grants. While it is disconnected, the relay uses its
// granted rate, which is shared by all its gatekeepers.
//
// A state machine without a clock. Used by one thread. Times are ms of the host's monotonic clock.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "quota/grant_holder.hpp"
#include "quota/share_ledger.hpp"

namespace lilacmux {

class ShareRelay : public GrantHolder {
 public:
  // `upstream` is the timing between the primary and this relay, `downstream` that between this relay and its
  // gatekeepers. `firstGrant` is as for `ShareLedger`.
  ShareRelay(const ShareTiming& upstream, const ShareTiming& downstream, Millis now,
             std::uint64_t firstGrant);

  // Handles a gatekeeper's report and returns its sub-grants. A sub-grant has `moreExpected` set if requests
  // still wait and the primary may have tokens for them.
  GrantReply handleReport(Millis now, const std::string& gatekeeper, const std::vector<ShareDemand>& demands,
                          bool isFull);
  // Handles a gatekeeper that shuts down, or that moves to another relay and takes its reserves along
  // (`finalReport` is then empty).
  void release(Millis now, const std::string& gatekeeper, const std::vector<ShareDemand>& finalReport);
  std::size_t gatekeeperCount(Millis now) const { return ledger_->holderCount(now); }

  // Returns whether an urgent report should be sent.
  bool needsTokens() const { return !lowTenants_.empty(); }

  std::vector<ShareDemand> demands(Millis now, ReportScope scope) override;
  // Returns the tokens in the buckets to the primary; sub-grants that were not released stay reported.
  std::vector<ShareDemand> finalDemands(Millis now) override;
  void responseReceived(Millis now, Millis sentAt, Millis leaseUntil) override;
  void applyGrant(Millis now, const ShareGrant& grant, std::uint64_t grantNumber) override;
  void requestFailed() override;

 private:
  // The primary's grant for one tenant.
  struct Grant {
    double rate = 0;  // tokens per second
    std::uint64_t number = 0;
    Millis exhaustedUntil = kNever;  // until then the primary is assumed to have no tokens
    Millis filledTo = kNever;        // time up to which the bucket was refilled while disconnected
    bool isInFlight = false;         // part of the report that is not answered yet
    double urgentTokens = 0;         // tokens requested for waiting requests in the last report
  };
  void startLedger(Millis now);
  void setSubGrantRate(Millis now, const std::string& tenant, double rate);
  void fillDisconnected(Millis now, const std::string& tenant);
  void recordChange(Millis now, const std::string& tenant);
  std::set<std::string> tenantsToReport(ReportScope scope);
  ShareDemand demandOf(Millis now, const std::string& tenant);

  const ShareTiming downstream_;
  std::uint64_t firstGrant_;
  std::optional<ShareLedger> ledger_;
  std::unordered_map<std::string, Grant> grants_;  // by tenant
  std::set<std::string> changedTenants_;           // tenants that changed since they were last reported
  std::set<std::string> lowTenants_;               // tenants that need tokens at once
};

}  // namespace lilacmux
