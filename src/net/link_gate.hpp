// Lets what is large through a link step by step, each in its turn (net/link_pace.hpp).
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>

#include "net/link_pace.hpp"

namespace lilacmux {

class LinkGate {
 public:
  LinkGate(boost::asio::io_context& io, double mbitPerS) : pace_(mbitPerS), timer_(io) {}

  const LinkPace& pace() const { return pace_; }
  double queue() const;  // ms that what is put in now stands in the link's queue
  void passed(std::size_t bytes);
  // `step` is called once there is room, maybe before this returns. It says what it passed once it has.
  void enter(std::function<void()> step);

 private:
  void open();

  LinkPace pace_;
  boost::asio::steady_timer timer_;
  std::deque<std::function<void()>> waiting_;  // in the order of their coming
};

}  // namespace lilacmux
