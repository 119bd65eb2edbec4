// The control processes that one of them knows, and the newest view of the core that any of them has
// reported.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "discovery/peer_announcement.hpp"

namespace lilacmux {

// Each control process announces itself to its seeds and to every other peer that it knows until they
// respond. An announcement and its response both carry the newest view of the core and the known peers, so a
// process that is named in anyone's settings learns who named it, and a new view spreads along each such edge
// in both directions (docs/design/discovery.md has the bound).
//
// All that it yields are hints. A state machine without sockets or a clock; not thread-safe. Times are
// milliseconds of a monotonic clock.
class PeerDirectory {
 public:
  using Millis = double;

  struct Timing {
    Millis retryInterval = 500;  // to an unresponsive peer; doubled with each failure
    Millis maxSeedRetryInterval = 1000;
    Millis maxPeerRetryInterval = 4000;  // to a peer that is not a seed
    // To a responsive seed, from a member of the core to each peer, and from everyone to one peer in turn: it
    // may have lost what it was sent.
    Millis refreshInterval = 3000;
    Millis minUpdateInterval = 250;  // between two announcements of new views to one peer
  };

  // `remembered`: the peers of an earlier incarnation of the process.
  PeerDirectory(NodeId self, std::vector<NodeId> seeds, const std::vector<NodeId>& remembered, Timing timing);

  // Replaces the seeds (after a reload of the settings).
  void setSeeds(std::vector<NodeId> seeds);

  // Sets the view of the core by this process's own epoch record.
  void setLocalView(const CoreView& view, bool isMember);

  // The peers to which this process must be announced now. Counts as done.
  std::vector<NodeId> takeDuePeers(Millis now);

  // What this process announces.
  PeerAnnouncement announcement() const;

  // Records a peer's announcement, or its response to one.
  void recordAnnouncement(Millis now, const PeerAnnouncement& announcement);

  // Records that an announcement to `node` got no response.
  void recordFailure(Millis now, const NodeId& node);

  // The newest known view.
  const CoreView& core() const { return core_; }

  // Where the core may be: the members by the newest view, and responsive peers that call themselves members.
  std::vector<NodeId> coreCandidates() const;

  // Seeds and core candidates without this process: whom a control process with a disk asks to admit it to
  // the core.
  std::vector<NodeId> joinContacts() const;

  // All known peers, sorted; to be remembered for the next start.
  std::vector<NodeId> knownPeers() const;

 private:
  // Times that are unset: earlier than any other, and later.
  static constexpr Millis kNever = -1e18;
  static constexpr Millis kNoSchedule = 1e18;

  struct Peer {
    Millis nextAnnouncementAt = kNever;
    Millis sentAt = kNever;
    Millis receivedAt = kNever;
    unsigned failures = 0;      // since the last announcement from it
    bool isMember = false;      // of the core, as it reported
    bool isResponsive = false;  // it responded to the last announcement, or has announced itself since
    CoreView reportedCore;      // the view that it is known to have
  };

  bool isSeed(const NodeId& node) const;
  void add(const NodeId& node);
  bool evictUnresponsive();
  void learn(const CoreView& view);
  Millis nextRefreshAt(Millis now, const NodeId& node) const;
  Millis nextRetryAt(Millis now, const NodeId& node, unsigned failures) const;
  bool isForgettable(Millis now, const NodeId& node, const Peer& peer) const;
  bool needsUpdate(Millis now, const Peer& peer) const;
  void addNextInRotation(Millis now, std::vector<NodeId>& due);

  const NodeId self_;
  const Timing timing_;
  std::vector<NodeId> seeds_;
  std::map<NodeId, Peer> peers_;  // seeds included, without this process
  CoreView core_;
  bool isMember_ = false;
  Millis rotateAt_ = kNever;
  NodeId lastRotated_;  // the last peer that was refreshed in its turn
};

}  // namespace lilacmux
