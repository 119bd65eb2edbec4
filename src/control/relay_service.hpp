// The relay of a control process for nearby gateways, with the follower that keeps the relay up to date. A
// process without a replica relays nothing: its follower only finds the other relays.
//
// Runs on the thread of the io_context, which must outlive it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control/relay_locator.hpp"
#include "fleet/follower.hpp"
#include "fleet/relay.hpp"
#include "settings/settings.hpp"

namespace lilacmux {

class RelayService {
 public:
  using Log = std::function<void(const std::string&)>;
  using Millis = double;

  enum class Mode {
    relay,   // follows the primary and serves gateways
    locator  // only finds the relays
  };

  RelayService(boost::asio::io_context& io, const std::string& address, const NodeSettings& settings,
               Log log);

  // Starts to follow, or restarts in another mode. Must be called before the methods below.
  void follow(Mode mode);
  // Replaces the seeds (after a reload of the settings).
  void setSeeds(std::vector<Endpoint> seeds);
  // Passes the newest view of the core to the follower if its epoch has changed.
  void updateCore(const CoreView& core);

  // Answers a gateway. A response with epoch 0 redirects the gateway to the core that it names.
  FollowResponse answer(Millis now, const FollowRequest& request, const CoreView& core);

  // Redirects gateways to other relays from here on.
  void beginDrain() { relay_.drain(); }
  // Reports to the primary that this relay stops. Calls `done` once the primary has responded or the request
  // has timed out.
  void finishDrain(std::function<void()> done);

  // Returns the log as received from the primary.
  const ChangeLog& changeLog() const { return relay_.log(); }
  std::size_t gatewayCount(Millis now) const { return relay_.gatewayCount(now); }
  std::uint64_t revision() const { return relay_.revision(); }
  // Returns the relays found in mode `locator`.
  const std::vector<RelayEndpoint>& knownRelays() const { return locator_.relays(); }

 private:
  Follower::Callbacks relayCallbacks();
  Follower::Callbacks locatorCallbacks();

  boost::asio::io_context& io_;
  const Log log_;
  std::vector<Endpoint> seeds_;
  Relay relay_;
  RelayLocator locator_;
  std::unique_ptr<Follower> follower_;
  std::optional<std::uint64_t> coreEpoch_;  // epoch of the view last passed to the follower
};

}  // namespace lilacmux
