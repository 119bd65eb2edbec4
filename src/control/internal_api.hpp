// Answers the frames of the other processes of the system: announcements of control processes, follow
// requests of gateways and relays, and messages of core members.
//
// Runs on the thread of the io_context. The io_context and the components that it refers to must outlive it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "control/core_member.hpp"
#include "control/follow_service.hpp"
#include "control/peer_discovery.hpp"
#include "net/frame_server.hpp"

namespace lilacmux {

class InternalApi {
 public:
  using Log = std::function<void(const std::string&)>;

  InternalApi(PeerDiscovery& discovery, CoreMember& member, FollowService& follows)
      : discovery_(discovery), member_(member), follows_(follows) {}

  // Throws std::runtime_error if the listener cannot be opened.
  void listen(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, const Log& log);

  // Returns the number of frames received since the start of the process.
  std::uint64_t requestCount() const { return requestCount_; }

 private:
  void handle(Frame&& frame, const FrameServer::Reply& reply);

  PeerDiscovery& discovery_;
  CoreMember& member_;
  FollowService& follows_;
  std::uint64_t requestCount_ = 0;
  std::optional<FrameServer> server_;
};

}  // namespace lilacmux
