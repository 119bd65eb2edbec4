// Sends a control process's announcements to its peers and records their responses.
#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>

#include "discovery/peer_directory.hpp"
#include "net/frame_client.hpp"

namespace lilacmux {

// The network side of a PeerDirectory. Runs on the io_context's thread only.
class Announcer {
 public:
  // Both must outlive the announcer.
  Announcer(boost::asio::io_context& io, PeerDirectory& directory) : io_(io), directory_(directory) {}

  // Announces this process to the peers that are due. To be called about every 100 ms.
  void tick();

  // Records a peer's announcement and returns the response: this process's own announcement.
  Frame handleAnnouncement(const PeerAnnouncement& announcement);

 private:
  void announce(const NodeId& peer);
  void closeConnection(const NodeId& peer);

  boost::asio::io_context& io_;
  PeerDirectory& directory_;
  std::map<NodeId, std::unique_ptr<FrameClient>> clients_;
};

}  // namespace lilacmux
