// A relay forwards data of the primary to nearby gateways. It replicates the primary's change log, which it
// forwards under the same indexes, and sub-grants parts of its own grants to its gateways. Each response
// states the time since the relay's own request to the primary, and the gateway subtracts that from its
// lease; so forwarding does not extend leases. A relay without recent contact to the primary redirects its
// gateways. No I/O and no clock; times are in ms of the relay's clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet/follow_messages.hpp"
#include "quota/share_relay.hpp"

namespace lilacmux {

class Relay {
 public:
  using Millis = double;

  // `incarnation`: a number from 0 to 2^32 - 1 that differs with each start of the process, because grants to
  // gateways outlive the process.
  Relay(std::string name, RelayEndpoint endpoint, std::uint64_t incarnation, Millis now);

  // --- Towards gateways

  // Handles a gateway's request. Epoch 0 in the response redirects the gateway.
  FollowResponse handleRequest(Millis now, const FollowRequest& request);
  // Starts draining: gateways are redirected to other relays and retain their holdings.
  void drain() { draining_ = true; }
  std::size_t gatewayCount(Millis now) const { return quotas_.gatekeeperCount(now); }

  // --- Towards the primary

  // Whether gateways are waiting for tokens that only the primary can grant.
  bool needsTokens() const { return quotas_.needsTokens() || retries_.needsTokens(); }
  // The request takes the counts of keys along: they are reported once.
  FollowRequest nextRequest(Millis now, ReportScope scope);
  // Returns the last request of a stopping relay, which returns the tokens that no gateway holds.
  FollowRequest detachRequest(Millis now);
  // Handles the response to the request sent at `sentAt`.
  void handleResponse(Millis now, const FollowResponse& response, Millis sentAt);
  // Handles the failure of the last request.
  void requestFailed();

  std::uint64_t revision() const { return log_.revision(); }
  // The replicated log. If this process becomes the primary, the primary continues it.
  const ChangeLog& log() const { return log_; }

 private:
  FollowRequest baseRequest(Millis now) const;
  FollowResponse redirect(Millis now, const FollowRequest& request);
  void detachGateway(Millis now, const FollowRequest& request);
  void grant(Millis now, const FollowRequest& request, FollowResponse& response);
  bool isStale(Millis now) const;
  void applyGrants(Millis now, const FollowResponse& response, Millis sentAt);

  static constexpr Millis kNever = -1e18;

  const std::string name_;  // includes the incarnation
  const RelayEndpoint endpoint_;
  const Millis startedAt_;
  ChangeLog log_;
  ShareRelay quotas_, retries_;
  RequestRateSums requestRates_;
  OwnerDirectory owners_;              // replicated from the primary
  KeyCounts keyCounts_;                // reported by gateways since the last report to the primary
  std::vector<RelayEndpoint> relays_;  // all relays, as listed by the primary
  std::uint64_t relayListHash_ = 0;
  std::size_t gatewayCount_ = 0;  // in the whole system, as reported by the primary
  bool draining_ = false;
  bool needsUnpacked_ = false;     // the last packed configuration could not be unpacked
  std::optional<Millis> listAge_;  // as reported by the primary, see FollowResponse::listAgeMs
  // When the newest request was sent whose response was complete, that is, included the newest configuration.
  Millis lastContactAt_ = kNever;
};

}  // namespace lilacmux
