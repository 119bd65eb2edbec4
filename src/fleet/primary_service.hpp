// Serves the relays on behalf of the primary: owns the change log that they follow, the ledgers of quotas and
// retry budgets, and the list of relays. Each new primary starts with a new instance; Replica holds the state
// that is replicated between members of the core. No I/O and no clock; times are in ms of the primary's
// clock.
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

  // `followed`: the log that this process replicated from earlier primaries. `holders`: names of the relays
  // that may still hold grants of earlier primaries.
  PrimaryService(Millis now, std::uint64_t epoch, const ChangeLog& followed,
                 const std::set<std::string>& holders, const QuotaRule& quotas, const RetryRule& retries);

  void updateServers(const std::vector<Instance>& list) { log_.updateServers(list); }
  // `limits`: rate and burst of each tenant, as set by the operator.
  void setConfiguration(Millis now, std::uint64_t revision, std::shared_ptr<const std::string> body,
                        const std::map<std::string, Quota>& limits);

  // Fills in the response to a relay's request; `request.relay` must be set. `isRegistered`: whether the core
  // has replicated the relay's name. Only registered relays receive grants.
  void fillResponse(Millis now, const FollowRequest& request, bool isRegistered, FollowResponse& response);

  const std::map<std::string, Instance>& servers() const { return log_.servers(); }  // by id
  std::uint64_t listIndex() const { return log_.index(); }
  std::uint64_t revision() const { return log_.revision(); }
  std::size_t relayCount(Millis now) const { return shares_.holderCount(now); }
  bool hasExpired(Millis now, const std::string& relay) const { return shares_.hasExpired(now, relay); }
  // Returns the number of ledgers and holdings inspected so far, a measure of the work done.
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
  std::optional<RetryLedger> retries_;        // set if retries are limited
  std::map<std::string, KnownRelay> relays_;  // by name
  std::uint64_t relayListHash_ = 0;
};

}  // namespace lilacmux
