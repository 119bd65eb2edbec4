// The listening side of the internal protocol: frames come in, each may be answered.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "net/acceptor.hpp"
#include "net/frame.hpp"
#include "net/link.hpp"

namespace lilacmux {

// Answers calls on the internal port. A peer that sends malformed frames is cut off and
// logged once.
class FrameServer {
 public:
  using Reply = std::function<void(Frame&&)>;
  using Handler = std::function<void(Frame&&, const Reply&)>;
  using Log = std::function<void(const std::string&)>;

  // Throws std::runtime_error if it cannot listen.
  FrameServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
              std::size_t connections, Handler handler, Log log);
  ~FrameServer();
  FrameServer(const FrameServer&) = delete;
  FrameServer& operator=(const FrameServer&) = delete;
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.address(); }

 private:
  void add(boost::asio::ip::tcp::socket socket);

  const std::size_t maxConnections_;
  const Handler handler_;
  const Log log_;
  std::list<std::shared_ptr<Link>> links_;  // the longest silent first, which makes room where there is none
  bool malformedReported_ = false;
  Acceptor acceptor_;
};

}  // namespace lilacmux
