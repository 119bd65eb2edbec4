// The client side of following, over sockets, for a gateway that follows a relay and for a relay that follows
// the primary: chooses whom to ask, sends requests by the schedule or earlier where something is urgent, and
// turns to another candidate when there is no response. Runs on the thread of its io_context.
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

  // What the follower needs of its owner. Called on the io_context's thread, never from the constructor, and
  // not once `detach` was called. `prefer` and `updateCore` may call `log`, and `prefer` also
  // `detachRequest`.
  struct Callbacks {
    // The next request; the argument says how much it must report.
    std::function<FollowRequest(ReportScope)> request;
    // A response that is no redirect has arrived to the request sent at `sentAt`.
    std::function<void(const FollowResponse&, Millis sentAt)> responded;
    // The last request was not answered, or answered by a redirect: its report may not have been received.
    std::function<void()> failed;
    std::function<void(const std::string&)> log;  // a line for the operators
    // The request that detaches from a peer when the follower turns to a better one. Null: none is sent.
    std::function<FollowRequest()> detachRequest;
  };

  Follower(boost::asio::io_context& io, std::vector<Endpoint> seeds, Callbacks callbacks);
  // Sends the next request ahead of its time, at least `gap` ms after the last one.
  void requestSoon(Millis gap);
  // Stops following. Sends `lastRequest` if the peer knows this follower, and calls `done` once there is a
  // response or the time for it has run out; without such a peer at once.
  void detach(const std::function<FollowRequest()>& lastRequest, std::function<void()> done);
  // Replaces the seeds by those of newer settings.
  void setSeeds(std::vector<Endpoint> seeds) { selector_.setSeeds(std::move(seeds)); }
  // Where the core is, as learned from others than the peer.
  void updateCore(const CoreView& core);
  // The relays to follow as long as they respond, the best first. Turns to the best one at once.
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
  std::unique_ptr<FrameClient> client_;  // to the peer; null: there is no candidate
  boost::asio::steady_timer timer_;
  const Callbacks callbacks_;
  unsigned failures_ = 0;     // requests without a response, in a row
  bool knownToPeer_ = false;  // the peer knows what this follower holds
  bool detached_ = false;
  bool awaitsNextRequest_ = false;  // nothing is in flight, and the next request may be brought forward
  FollowSchedule schedule_;
  Millis returnAt_ = 0;  // the best candidate is tried again from then on
};

}  // namespace lilacmux
