// A gatekeeper's side of the control plane: finds the primary, follows its log, and knows until when what it
// holds may be served. A lease counts from when the call that renewed it was sent, so that it has run out
// here before the primary may count on that.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cli/settings.hpp"
#include "control/wire.hpp"
#include "net/frames.hpp"

namespace lilacmux {

class Follower {
 public:
  using Millis = double;
  // What it is told is handed on with the time at which the call was sent.
  using News = std::function<void(const FollowAnswer&, Millis sentAt)>;
  using Asks = std::function<FollowCall()>;
  using Log = std::function<void(const std::string&)>;

  Follower(boost::asio::io_context& io, std::vector<Endpoint> candidates, Asks asks, News news, Log log);
  // Asks again soon, ahead of its time.
  void hurry();
  // Other places to ask, beside those that are known.
  void add(const std::vector<Endpoint>& candidates);

 private:
  void poll();
  void answered(std::optional<Frame> frame, Millis sentAt);
  void learn(const std::vector<NodeId>& core);
  void go(const Endpoint& to);
  void next();
  void again(std::chrono::milliseconds wait);

  boost::asio::io_context& io_;
  std::vector<Endpoint> candidates_;
  std::size_t at_ = 0;
  std::unique_ptr<FrameClient> client_;
  boost::asio::steady_timer timer_;
  const Asks asks_;
  const News news_;
  const Log log_;
  unsigned failures_ = 0;
  bool waits_ = false;  // for its time to ask, which may be brought forward
  std::chrono::steady_clock::time_point askedAt_;
};

}  // namespace lilacmux
