// The client of the follow protocol: a gateway uses it to follow a relay, a relay to follow the primary. It
// selects the peer, sends requests on schedule, or earlier if something is urgent, and connects to another
// candidate if the peer does not respond. Runs on the thread of its io_context.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "discovery/endpoint_selector.hpp"
#include "fleet/follow_codec.hpp"
#include "fleet/follow_schedule.hpp"
#include "net/frame_client.hpp"
#include "settings/settings.hpp"

namespace lilacmux {

class Follower {
 public:
  using Millis = double;  // of the steady clock

  // Implemented by the owner. Called on the io_context's thread, never from the constructor, and never after
  // `detach` was called. `setPreferred` and `updateCore` may call `log`; `setPreferred` may also call
  // `makeDetachRequest`.
  struct Callbacks {
    // Returns the next request, with a report of the given scope.
    std::function<FollowRequest(ReportScope)> makeRequest;
    // Handles a response, other than a redirect, to the request sent at `sentAt`.
    std::function<void(const FollowResponse&, Millis sentAt)> onResponse;
    // Called if the last request received no response or a redirect: its report may have been lost.
    std::function<void()> onFailure;
    std::function<void(const std::string&)> log;  // writes a line to the log for operators
    // Returns the request that detaches from the current peer before the follower connects to a preferred
    // one. If null, no such request is sent.
    std::function<FollowRequest()> makeDetachRequest;
  };

  Follower(boost::asio::io_context& io, std::vector<Endpoint> seeds, Callbacks callbacks);
  // Sends the next request before its scheduled time, at least `gap` ms after the last one.
  void requestSoon(Millis gap);
  // Stops following. If the peer has a record of this follower, sends `lastRequest` and calls `done` after
  // the response or a timeout; otherwise calls `done` at once.
  void detach(const std::function<FollowRequest()>& lastRequest, std::function<void()> done);
  // Replaces the seeds after the settings have been reloaded.
  void setSeeds(std::vector<Endpoint> seeds) { selector_.setSeeds(std::move(seeds)); }
  // Updates the addresses of the core's members with a view that came from a source other than the peer.
  void updateCore(const CoreView& core);
  // Sets the relays to follow as long as they respond, in order of preference. Connects to the first one at
  // once.
  void setPreferred(const std::vector<RelayEndpoint>& best);

 private:
  void sendRequest();
  void handleResponse(std::optional<Frame> frame, Millis sentAt);
  void handleNoResponse();
  void handleRedirect(const std::string& leader);
  void requestFailed(Millis retryAfter);
  void scheduleRequest(Millis wait);
  void connectTo(const Endpoint& to);
  void connectToNextCandidate();
  void returnToPreferred();
  void detachFromPeer();
  std::vector<Endpoint> parseAddresses(const std::vector<std::string>& addresses) const;

  boost::asio::io_context& io_;
  EndpointSelector selector_;
  std::unique_ptr<FrameClient> client_;  // connected to the peer; null if there is no candidate
  boost::asio::steady_timer timer_;
  const Callbacks callbacks_;
  unsigned failures_ = 0;                // consecutive requests without a response
  unsigned redirectsWithoutLeader_ = 0;  // consecutive responses that named no primary
  bool isKnownToPeer_ = false;           // the peer has a record of this follower's holdings
  bool detached_ = false;
  bool awaitsNextRequest_ = false;  // no request is in flight, so the next one may be sent early
  FollowSchedule schedule_;
  Millis returnAt_ = 0;  // when to reconnect to the most preferred candidate
};

}  // namespace lilacmux
