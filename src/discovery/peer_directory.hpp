// Directory of the control processes that this one knows, and of the newest view of the core that any of them
// has reported.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "discovery/peer_announcement.hpp"

namespace lilacmux {

// Each control process announces itself to its seeds and to every other known peer until they respond. An
// announcement and its response both carry the sender's newest view of the core and its known peers. A
// process therefore learns of every process whose settings name it, and a new view spreads in both directions
// between the two (docs/design/discovery.md gives the time bound).
//
// All results are hints. A state machine without sockets or a clock; not thread-safe. Times are milliseconds
// of a monotonic clock.
class PeerDirectory {
 public:
  using Millis = double;

  struct Timing {
    Millis retryInterval = 500;  // to an unresponsive peer; doubled with each failure
    Millis maxSeedRetryInterval = 1000;
    Millis maxPeerRetryInterval = 4000;  // to a peer that is not a seed
    // Between announcements to a responsive seed, from a member of the core to each peer, and from every
    // process to one peer in rotation: the receiver may have lost what it was sent.
    Millis refreshInterval = 3000;
    Millis minUpdateInterval = 250;  // between two announcements of new views to one peer
  };

  // `savedPeers`: the peers known to an earlier incarnation of the process.
  PeerDirectory(NodeId self, std::vector<NodeId> seeds, const std::vector<NodeId>& savedPeers, Timing timing);

  // Replaces the seeds (after a reload of the settings).
  void setSeeds(std::vector<NodeId> seeds);

  // Sets the view of the core from this process's own epoch record.
  void setLocalView(const CoreView& view, bool isMember);

  // Returns the peers that must get an announcement now, and records them as announced to.
  std::vector<NodeId> takeDuePeers(Millis now);

  // Returns the announcement of this process.
  PeerAnnouncement announcement() const;

  // Records a peer's announcement, or its response to an announcement.
  void recordAnnouncement(Millis now, const PeerAnnouncement& announcement);

  // Records that an announcement to `node` got no response.
  void recordFailure(Millis now, const NodeId& node);

  // Returns the newest known view.
  const CoreView& core() const { return core_; }

  // Returns the possible members of the core: those in the newest view, and responsive peers that report
  // themselves as members.
  std::vector<NodeId> coreCandidates() const;

  // Returns the processes that a control process with a disk asks to admit it to the core: seeds and core
  // candidates, without this process.
  std::vector<NodeId> joinContacts() const;

  // Returns all known peers, sorted; to be saved for the next start.
  std::vector<NodeId> knownPeers() const;

 private:
  // Unset times: earlier than any other time, and later than any other.
  static constexpr Millis kNever = -1e18;
  static constexpr Millis kNoSchedule = 1e18;

  struct Peer {
    Millis nextAnnouncementAt = kNever;
    Millis sentAt = kNever;
    Millis receivedAt = kNever;
    unsigned failures = 0;      // since the last announcement from the peer
    bool isMember = false;      // whether the peer reported itself as a member of the core
    bool isResponsive = false;  // the peer answered the last announcement, or has announced itself since
    CoreView reportedCore;      // the newest view that the peer is known to have
  };

  bool isSeed(const NodeId& node) const;
  void addPeer(const NodeId& node);
  bool evictUnresponsive();
  void updateCore(const CoreView& view);
  Millis nextRefreshAt(Millis now, const NodeId& node) const;
  Millis nextRetryAt(Millis now, const NodeId& node, unsigned failures) const;
  bool hasExpired(Millis now, const NodeId& node, const Peer& peer) const;
  bool needsUpdate(Millis now, const Peer& peer) const;
  void addNextInRotation(Millis now, std::vector<NodeId>& due);

  const NodeId self_;
  const Timing timing_;
  std::vector<NodeId> seeds_;
  std::map<NodeId, Peer> peers_;  // seeds included, without this process
  CoreView core_;
  bool isMember_ = false;
  Millis nextRotationAt_ = kNever;
  NodeId lastRotated_;  // the last peer that was selected by the rotation
};

}  // namespace lilacmux
