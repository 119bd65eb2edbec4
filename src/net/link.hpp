// A connection between two processes of the system, as a sequence of frames each way.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "net/frame.hpp"

namespace lilacmux {

// Why a link ended by itself.
enum class LinkEnd {
  closed,           // by the peer, or an error of the socket
  malformed,        // what came is not a frame
  peerDoesNotRead,  // more than `Link::kMaxUnsent` bytes wait to be sent
};

// One connection that carries frames in both directions. Ends, and reports that once, for one of the reasons
// above. All calls and callbacks run on the io_context's one thread.
class Link : public std::enable_shared_from_this<Link> {
 public:
  static constexpr std::size_t kMaxUnsent = 24 << 20;
  using OnFrame = std::function<void(Frame&&)>;
  using OnEnd = std::function<void(LinkEnd reason)>;

  explicit Link(boost::asio::ip::tcp::socket socket) : socket_(std::move(socket)) {}
  void start(OnFrame onFrame, OnEnd onEnd);
  void send(const Frame& frame);
  // Ends it without a call of `onEnd`.
  void close();
  bool open() const { return !closed_; }
  // Bytes of a frame that has come in part so far; 0: none is on its way.
  std::size_t partial() const { return in_.size(); }

 private:
  void read();
  void write();
  void shut();
  void end(LinkEnd reason);

  boost::asio::ip::tcp::socket socket_;
  OnFrame onFrame_;
  OnEnd onEnd_;
  std::string in_, writing_, waiting_;
  std::array<char, 8192> chunk_{};
  bool closed_ = false;
};

}  // namespace lilacmux
