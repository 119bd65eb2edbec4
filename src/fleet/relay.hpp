// A relay stands between the primary and the gateways near it. It follows the primary's log and forwards it
// under the same indexes, and grants parts of its own grants to its gateways. A response of a relay is as old
// as the relay's own request to the primary that it rests on, and says how old, so that no lease becomes
// longer on the way. A relay that has had no contact with the primary lately redirects its gateways. No I/O
// and no clock; times are ms of the relay's clock.
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

  // `incarnation`: differs with each start of the process, as grants to gateways outlive it. From 0 to
  // 2^32 - 1.
  Relay(std::string name, RelayEndpoint endpoint, std::uint64_t incarnation, Millis now);

  // --- Towards gateways

  // With epoch 0 in the response the gateway must ask elsewhere.
  FollowResponse handleRequest(Millis now, const FollowRequest& request);
  // From here on gateways are redirected to other relays, and take their holdings along.
  void drain() { draining_ = true; }
  std::size_t gatewayCount(Millis now) const { return quotas_.gatekeeperCount(now); }

  // --- Towards the primary

  // Whether gateways wait for tokens that only the primary can grant.
  bool needsTokens() const { return quotas_.needsTokens() || retries_.needsTokens(); }
  FollowRequest nextRequest(Millis now, ReportScope scope);
  // The last request of a relay that stops: gives back what no gateway holds.
  FollowRequest detachRequest(Millis now);
  // A response to the request that was sent at `sentAt`.
  void handleResponse(Millis now, const FollowResponse& response, Millis sentAt);
  // The last request was not answered.
  void requestFailed();

  std::uint64_t revision() const { return log_.revision(); }
  // A primary that takes over in this process continues this log.
  const ChangeLog& log() const { return log_; }

 private:
  FollowRequest baseRequest(Millis now) const;
  FollowResponse redirect(Millis now, const FollowRequest& request);
  void detachGateway(Millis now, const FollowRequest& request);
  void grant(Millis now, const FollowRequest& request, FollowResponse& response);
  bool isStale(Millis now) const;
  void takeGrants(Millis now, const FollowResponse& response, Millis sentAt);

  static constexpr Millis kNever = -1e18;

  const std::string name_;  // with the incarnation
  const RelayEndpoint endpoint_;
  const Millis startedAt_;
  ChangeLog log_;
  ShareRelay quotas_, retries_;
  RequestRateSums requestRates_;
  std::vector<RelayEndpoint> relays_;  // all of them, as the primary listed them
  std::uint64_t relayListHash_ = 0;
  std::size_t gatekeepers_ = 0;  // in the whole system, as the primary reported
  bool draining_ = false;
  bool needsUnpacked_ = false;     // the last packed configuration could not be unpacked
  std::optional<Millis> listAge_;  // as the primary reported it: FollowResponse::listAgeMs
  Millis lastContactAt_ =
      kNever;  // when the newest request was sent whose response brought all that there was
};

}  // namespace lilacmux
