// The link between two processes of one gatekeeper while the next one takes over: the clients' listening
// socket goes one way, and each learns what the other does. It runs over a Unix socket in the folder that
// they share.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "http/http.hpp"

namespace lilacmux {

// What a process may hold at most, of what both share.
struct Holdings {
  std::size_t clients = 0, workers = 0, bytes = 0;
};

// The gatekeeper, as the link sees it.
class Heir {
 public:
  virtual ~Heir() = default;
  virtual int listener() = 0;  // the descriptor of the clients' listening socket; below 0: none
  // The most that this process will hold from now on, told while a successor is linked.
  virtual Holdings holdings() = 0;
  virtual void successorStarts() = 0;  // it is given the socket next
  virtual void successorServes() = 0;
  virtual void successorLost() = 0;  // before it served
  virtual void predecessorHolds(const Holdings& most) = 0;
  virtual void predecessorLeft() = 0;
};

class Handover {
 public:
  using Log = std::function<void(const std::string&)>;
  Handover(boost::asio::io_context& io, const std::filesystem::path& folder, Heir& heir, Log log);
  ~Handover();
  Handover(const Handover&) = delete;
  Handover& operator=(const Handover&) = delete;

  // Asks a process that serves for its listening socket: a descriptor that the caller owns, or below 0 where
  // none serves or its answer makes no sense. Takes a second at most.
  int take();
  // Offers this process's own to the next. What lies there of a process that is no more is replaced.
  void offer();
  // Tells the predecessor that this process takes clients.
  void sayServing();

  bool hasPredecessor() const { return predecessor_ != nullptr; }
  bool hasSuccessor() const { return successor_ != nullptr; }

 private:
  class Link;
  void accept();
  void heard(Link& link, std::string_view line);
  void ended(Link& link);
  void tellHoldings();

  boost::asio::io_context& io_;
  const std::string path_;
  Heir& heir_;
  const Log log_;
  boost::asio::local::stream_protocol::acceptor acceptor_;
  boost::asio::steady_timer tell_;
  std::shared_ptr<Link> predecessor_, successor_;
  bool served_ = false;  // by the successor
};

}  // namespace lilacmux
