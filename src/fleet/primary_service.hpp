// What the primary does for the relays: keeps the log that they follow, the ledgers of quotas and of retry
// budgets, and the list of relays. Each primary begins with a new one; what is replicated between members of
// the core is in Replica. No I/O and no clock; times are ms of the primary's clock.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/follow_messages.hpp"
#include "quota/retry_ledger.hpp"

namespace lilacmux {

class PrimaryService {
 public:
  using Millis = double;

  // `followed`: the log as this process followed it under earlier primaries. `holders`: names of relays that
  // may still hold grants of those.
  PrimaryService(Millis now, std::uint64_t epoch, const ChangeLog& followed,
                 const std::set<std::string>& holders, const QuotaRule& quotas, const RetryRule& retries);

  void updateServers(const std::vector<Instance>& list) { log_.updateServers(list); }
  // `limits`: each tenant's rate and burst, as the operator has set them.
  void setConfiguration(Millis now, std::uint64_t revision, std::shared_ptr<const std::string> body,
                        const std::map<std::string, Quota>& limits);

  // Fills in the response to a relay's request; `request.relay` must be set. `named`: the relay's name is
  // stored by the core, so it may be granted something.
  void fillResponse(Millis now, const FollowRequest& request, bool named, FollowResponse& response);

  std::uint64_t listIndex() const { return log_.index(); }
  std::uint64_t revision() const { return log_.revision(); }
  std::size_t relayCount(Millis now) const { return shares_.holderCount(now); }
  bool hasExpired(Millis now, const std::string& relay) const { return shares_.hasExpired(now, relay); }
  // Ledgers and holdings visited so far: what the work grows with.
  std::uint64_t inspectedCount() const { return shares_.inspectedCount(); }

 private:
  struct KnownRelay {
    RelayEndpoint endpoint;
    std::size_t gatewayCount = 0;
    Millis lastRequestAt = 0;
  };
  void recordRelay(Millis now, const FollowRequest& request);
  void detachRelay(Millis now, const FollowRequest& request);
  void confirmPriorGrants(Millis now, const std::string& relay);
  void grant(Millis now, const FollowRequest& request, FollowResponse& response);
  std::size_t gatewayCount() const;
  std::vector<RelayEndpoint> endpoints() const;

  const QuotaRule rule_;
  ChangeLog log_;
  ShareLedger shares_;
  std::optional<RetryLedger> retries_;        // where retries are limited
  std::map<std::string, KnownRelay> relays_;  // by name
  std::uint64_t relayListHash_ = 0;
};

}  // namespace lilacmux
