// The calling side of the internal protocol: frames go to one peer and their answers come back.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "net/frame.hpp"
#include "net/link.hpp"

namespace lilacmux {

// Calls one peer over one connection, which comes up when it is needed. A call ends with the answer or, on
// any failure, with nothing.
class FrameClient {
 public:
  using Done = std::function<void(std::optional<Frame>)>;

  FrameClient(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& peer);
  ~FrameClient();
  FrameClient(const FrameClient&) = delete;
  FrameClient& operator=(const FrameClient&) = delete;

  const boost::asio::ip::tcp::endpoint& peer() const { return peer_; }
  // Given up once nothing has come for `within`. While a long frame comes in piece by piece, over a narrow
  // link say, the call goes on, for `kMaxWaits` times as long at most.
  void call(Frame frame, std::chrono::milliseconds within, Done done);
  static constexpr unsigned kMaxWaits = 10;

 private:
  void send(Frame&& frame);
  struct Call {
    std::unique_ptr<boost::asio::steady_timer> timer;
    Done done;
    std::size_t partial = 0;  // of the frame that was coming in when it was looked at last
    unsigned waits = 0;
  };
  void await(std::uint64_t number, std::chrono::milliseconds within);
  void ensureConnected();
  void connected(boost::asio::ip::tcp::socket socket);
  void disconnected();
  void received(Frame&& frame);
  void finish(std::uint64_t number, std::optional<Frame> answer);

  boost::asio::io_context& io_;
  const boost::asio::ip::tcp::endpoint peer_;
  std::shared_ptr<Link> link_;
  std::shared_ptr<boost::asio::ip::tcp::socket> connecting_;
  boost::asio::steady_timer connectTimer_;
  std::vector<Frame> unsentFrames_;  // until the connection is up
  std::unordered_map<std::uint64_t, Call> calls_;
  std::uint64_t lastNumber_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace lilacmux
