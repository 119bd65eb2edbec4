// How a control process finds the others: the directory of control processes, the announcements that fill it,
// and the file that carries what is known of them over a restart. All that it yields are hints.
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

// The control processes that the settings name, as they are written in messages.
std::vector<NodeId> seedNodes(const NodeSettings& settings);

class PeerDiscovery {
 public:
  // Reads the peers of an earlier run where there is a data directory; a file that cannot be read counts as
  // empty.
  PeerDiscovery(boost::asio::io_context& io, const NodeId& self, const NodeSettings& settings);

  // Replaces the seeds by those of newer settings.
  void setSeeds(std::vector<NodeId> seeds) { directory_.setSeeds(std::move(seeds)); }
  // The core by this process's own epoch record.
  void setLocalView(const CoreView& view, bool isMember) { directory_.setLocalView(view, isMember); }

  // Announces this process to the peers that are due. To be called every 100 ms or so.
  void announce() { announcer_.tick(); }
  // The answer to another process's announcement.
  Frame handleAnnouncement(const PeerAnnouncement& announcement) {
    return announcer_.handleAnnouncement(announcement);
  }
  // Writes the known peers to disk if they have changed, at most every ten seconds. Without a data directory
  // it does nothing.
  void savePeers();

  // The newest view of the core that any process has reported.
  const CoreView& core() const { return directory_.core(); }
  // Processes that may be members of the core.
  std::vector<NodeId> coreCandidates() const { return directory_.coreCandidates(); }
  // Processes that an observer asks to be taken into the core.
  std::vector<NodeId> joinContacts() const { return directory_.joinContacts(); }

 private:
  const std::optional<std::filesystem::path> peerFile_;  // none without a data directory
  std::vector<NodeId> savedPeers_;                       // as the file has them
  PeerDirectory directory_;
  Announcer announcer_;
  PeerDirectory::Millis nextSaveAt_ = 0;
};

}  // namespace lilacmux
