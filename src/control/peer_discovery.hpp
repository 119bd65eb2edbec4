// Finds the other control processes: combines the directory of known peers, the announcements that fill it,
// and the file that preserves the peers across restarts. All results are hints.
//
// Runs on the thread of the io_context, which must outlive it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <optional>
#include <vector>

#include "discovery/announcer.hpp"
#include "discovery/peer_directory.hpp"
#include "settings/settings.hpp"

namespace lilacmux {

// Returns the seeds of the settings as node ids.
std::vector<NodeId> seedNodes(const NodeSettings& settings);

class PeerDiscovery {
 public:
  // Reads the peers of an earlier run if there is a data directory; a file that cannot be read counts as
  // empty.
  PeerDiscovery(boost::asio::io_context& io, const NodeId& self, const NodeSettings& settings);

  // Replaces the seeds (after a reload of the settings).
  void setSeeds(std::vector<NodeId> seeds) { directory_.setSeeds(std::move(seeds)); }
  // Sets the view of the core from this process's own epoch record.
  void setLocalView(const CoreView& view, bool isMember) { directory_.setLocalView(view, isMember); }

  // Announces this process to the peers that are due. To be called about every 100 ms.
  void announce() { announcer_.tick(); }
  // Records a peer's announcement and returns the response to it.
  Frame handleAnnouncement(const PeerAnnouncement& announcement) {
    return announcer_.handleAnnouncement(announcement);
  }
  // Writes the known peers to disk if they have changed, at most every ten seconds. Does nothing without a
  // data directory.
  void savePeers();

  // Returns the newest view of the core that any process has reported.
  const CoreView& core() const { return directory_.core(); }
  // Returns the processes that may be members of the core.
  std::vector<NodeId> coreCandidates() const { return directory_.coreCandidates(); }
  // Returns the processes that an observer asks to admit it to the core.
  std::vector<NodeId> joinContacts() const { return directory_.joinContacts(); }

 private:
  const std::optional<std::filesystem::path> peerFile_;  // none without a data directory
  std::vector<NodeId> savedPeers_;                       // contents of the file
  PeerDirectory directory_;
  Announcer announcer_;
  PeerDirectory::Millis nextSaveAt_ = 0;
};

}  // namespace lilacmux
