// The relay of a control process for the gatekeepers near it, with the follower that keeps it up to date. A
// process that has no replica relays nothing: its follower only learns where the relays are.
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
    relay,   // follows the primary and serves gatekeepers
    locator  // learns where the relays are, and nothing else
  };

  RelayService(boost::asio::io_context& io, const std::string& address, const NodeSettings& settings,
               Log log);

  // Begins to follow, or begins anew in another mode. To be called before anything below.
  void follow(Mode mode);
  // Seeds of newer settings, in place of the former ones.
  void setSeeds(std::vector<Endpoint> seeds);
  // The newest view of the core; the follower is given it when its epoch changes.
  void updateCore(const CoreView& core);

  // Answers a gatekeeper. Epoch 0 in the response: it should ask the core, which is named in it.
  FollowResponse answer(Millis now, const FollowRequest& request, const CoreView& core);

  // Redirects gatekeepers to other relays from here on.
  void beginDrain() { relay_.drain(); }
  // Tells the primary that this relay ends, and calls `done` once that is heard or nobody hears.
  void finishDrain(std::function<void()> done);

  // The log as received from the primary.
  const ChangeLog& changeLog() const { return relay_.log(); }
  std::size_t gatekeepers(Millis now) const { return relay_.gatewayCount(now); }
  std::uint64_t revision() const { return relay_.revision(); }
  // The relays that are known in mode `locator`.
  const std::vector<RelayEndpoint>& knownRelays() const { return locator_.relays(); }

 private:
  Follower::Callbacks relayHost();
  Follower::Callbacks locatorHost();

  boost::asio::io_context& io_;
  const Log log_;
  std::vector<Endpoint> seeds_;
  Relay relay_;
  RelayLocator locator_;
  std::unique_ptr<Follower> follower_;
  std::optional<std::uint64_t> coreEpoch_;  // of the view that the follower was given
};

}  // namespace lilacmux
