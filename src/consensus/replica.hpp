// Replication of the control plane's state as a deterministic state machine: who is the primary, which
// members are its backups, and when a change is committed. Events in, actions out; it has no socket, clock or
// disk of its own. All times are milliseconds of the host's monotonic clock. Not thread-safe: all calls come
// from the thread of the host's io_context.
//
// The protocol is close to Raft with leader leases. The first members are the machines named at the first
// start. Each stores the newest epoch that it has voted for and the newest epoch record that it has accepted;
// a record names the primary, the backups and the members of one epoch. The primary writes a change to its
// disk and to those of all backups before it is committed; the other members are witnesses, which store votes
// and records only. To tolerate `losses` disks lost at once there are that many backups and 2 * losses + 1
// members; the primary admits observers until there are. A quorum of members that has accepted a record
// establishes its epoch. A member that has heard from its primary votes for nobody else for the duration of a
// lease; the primary acts only while a quorum has granted it one, so that no two act at once.
//
// An epoch is a term and a step within it: an election opens a term, and what its winner changes later (its
// backups, the members) takes the next step without a vote. So no two primaries ever open the same epoch, and
// whoever has voted in a newer term accepts nothing more of an older one.
//
// Other control nodes are observers: they accept records and follow. The primary lets one of them replace a
// member that is unresponsive, in two records (joint consensus): the first needs a quorum of the old members
// and one of the new ones, the second, once the first is established, one of the new members alone.
//
// replica.cpp dispatches events; replica_lease.cpp holds heartbeats and leases, replica_election.cpp
// elections and epochs, replica_replication.cpp replication and commit, replica_membership.cpp membership
// changes. leader_election.hpp decides who may lead.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "consensus/leader_election.hpp"
#include "consensus/member_message.hpp"

namespace lilacmux {

class ReplicaHost {
 public:
  virtual ~ReplicaHost() = default;
  virtual void send(const NodeId& to, const MemberMessage& message) = 0;
  // Returns once the state survives a power loss; false: it does not, and the node must stop.
  virtual bool store(const DurableState& durable) = 0;
  virtual void onCommitted(const ReplicatedState& state) = 0;  // at the primary, once the change is committed
  virtual void onPrimacyLost() = 0;  // a pending proposal may or may not be committed
  virtual void log(const std::string& line) = 0;
};

class Replica {
 public:
  struct Timing {
    Millis heartbeatInterval = 200;
    Millis leaseDuration = 1100;
    Millis clockDriftMargin = 100;  // subtracted at the primary, for clock drift
    Millis electionStagger = 100;   // between members that may start an election
    Millis backupTimeout = 800;     // without a message, until another member becomes the backup
    // A member with an empty disk accepts no record and does not vote for this long.
    Millis emptyDiskJoinDelay = 2000;
    // Without a message, until an observer replaces a member. With a failover before it (2.2 s) and the two
    // records of the change, less than the 4 s for which a machine that returns counts as lost.
    Millis memberTimeout = 1600;
    Millis resendInterval = 400;   // of the state, to a backup that has not acknowledged it
    unsigned toleratedLosses = 1;  // disks lost at once that the core tolerates
    // Between the elections by which a primary wins back members that voted in another term.
    Millis reelectionInterval = 500;
    // Other backups or members are chosen only while a quorum has answered a heartbeat sent that recently: a
    // primary that is being partitioned would open an epoch that nobody else hears of.
    Millis quorumContactTimeout = 500;
  };

  // `seeds`: the configured control nodes, with or without this one. `bootstrap`: the whole system starts for
  // the first time. `stored`: what the disk holds; nothing: it is empty.
  Replica(NodeId self, const std::vector<NodeId>& seeds, bool bootstrap, std::optional<DurableState> stored,
          const Timing& timing, Millis now, ReplicaHost& host);

  void tick(Millis now);  // every 50 ms or so
  void receive(Millis now, const MemberMessage& message);
  // Ignored unless canPropose(). The host is notified once it is committed, or when primacy is lost.
  void propose(Millis now, const ReplicatedState& next);
  // Graceful shutdown: a backup may take over at once.
  void resign();
  // Replaces the nodes outside the members to which it announces itself. A hint: nothing is decided by it.
  void setContacts(std::vector<NodeId> contacts) { contacts_ = std::move(contacts); }

  bool isMember() const;
  // Whether this node is the primary and no other can be, so that its committed state is the newest there is.
  bool hasLease(Millis now) const { return primary_ && committed_ && now < leaseUntil(now); }
  bool canPropose(Millis now) const { return hasLease(now) && !proposalPending_ && established_; }
  const ReplicatedState& committed() const { return *committed_; }
  std::uint64_t epoch() const { return durable_.record.epoch; }
  // The primary, as far as this node knows; empty: unknown.
  const NodeId& knownPrimary() const { return knownPrimary_; }
  const std::vector<NodeId>& members() const { return durable_.record.members; }
  const DurableState& durable() const { return durable_; }
  bool isPrimary() const { return primary_; }
  // The state could not be stored: the replica sends nothing any more and must be restarted from what is on
  // disk.
  bool hasFailed() const { return failed_; }

 private:
  struct Peer {
    Millis ackedHeartbeatSentAt = kNever;  // when the newest heartbeat that it accepted was sent
    Millis lastContactAt = kNever;
    std::uint64_t acceptedEpoch = 0;
    // In this epoch: when the state was last sent to it, and the newest change that it has on disk.
    Millis stateSentAt = kNever;
    std::optional<std::uint64_t> ackedSequence;
  };

  std::set<NodeId> memberSet() const;
  Millis quorumAckedAt(Millis now) const;
  Millis leaseUntil(Millis now) const;
  bool isBoundByLease(Millis now) const;  // granted by this node, or perhaps before its restart
  bool mayVoteFor(Millis now, const NodeId& candidate) const;
  bool isCollectingVotes(Millis now, Election::Phase phase) const;
  bool persist();
  void broadcast(const MemberMessage& message);
  void sendToPossibleVoters(const MemberMessage& message);
  void requestVotes();
  void learnMembers(const EpochRecord& theirs);
  void dropUnresponsiveObservers(Millis now);
  MemberMessage makeMessage(MemberMessage::Kind kind) const;

  void onAnnounce(Millis now, const MemberMessage& message);
  void onHeartbeat(Millis now, const MemberMessage& message);
  void onHeartbeatAck(Millis now, const MemberMessage& message);
  void onHeartbeatRejected(Millis now, const MemberMessage& message);
  void onPrevoteRequest(Millis now, const MemberMessage& message);
  void onPrevote(Millis now, const MemberMessage& message);
  void onVoteRequest(Millis now, const MemberMessage& message);
  void onVote(Millis now, const MemberMessage& message);
  void onReplicate(Millis now, const MemberMessage& message);
  void onReplicateAck(Millis now, const MemberMessage& message);

  void tickPrimary(Millis now);
  void sendHeartbeats(Millis now);
  void sendHeartbeat(Millis now, const NodeId& to) const;
  bool mayAcceptRecord(Millis now, const MemberMessage& heartbeat) const;
  void announce(Millis now);
  void sendAnnouncement(Millis now, const NodeId& to) const;
  void tickFollower(Millis now);
  void startPrevote(Millis now);
  Millis electionDelay() const;
  void startElection(Millis now);
  std::uint64_t nextTerm() const;
  void openEpoch(Millis now, const EpochRecord& record);
  bool areBackupsUpToDate();
  void replicate(Millis now);
  void replicateTo(Millis now, const NodeId& backup);
  void tryCommit(Millis now);
  void becomePrimary(Millis now);
  void stepDown(const std::string& why);
  std::vector<NodeId> chooseBackups(Millis now, std::vector<NodeId> backups) const;
  void openNextEpoch(Millis now, EpochRecord next);
  bool replaceMember(Millis now);
  bool replaceUnresponsiveBackups(Millis now);
  Millis lastContactAt(const NodeId& node) const;

  const NodeId self_;
  std::vector<NodeId> contacts_;  // at first the seeds
  const Timing timing_;
  ReplicaHost& host_;
  DurableState durable_;
  const Millis startedAt_;
  bool isFirstStart_;  // no vote or lease can have been given before this start
  bool diskIsEmpty_;   // in a system that runs already; until a record has been accepted
  bool failed_ = false;
  bool resigned_ = false;

  std::uint64_t highestVotedEpoch_ = 0;  // voted for by any member that has responded
  NodeId knownPrimary_;
  Millis lastHeartbeatAt_ = kNever;
  Millis lastAnnouncedAt_ = kNever;
  std::optional<Election> election_;
  Millis noElectionBefore_ = 0;
  bool lostLastElection_ = false;  // its last one, and no primary has been heard of since

  bool primary_ = false;
  bool established_ = false;      // a quorum has accepted the record and all backups have the state
  bool proposalPending_ = false;  // not committed yet
  std::shared_ptr<ReplicatedState> committed_;
  std::map<NodeId, Peer> peers_;
  std::map<NodeId, Millis> observers_;      // when they last announced themselves
  std::map<NodeId, Millis> announcements_;  // the newest of each node, by that node's clock
  std::vector<NodeId> knownMembers_;        // members of the newest record received from others
  std::uint64_t knownMembersEpoch_ = 0;
  Millis heartbeatSentAt_ = kNever;
  Millis epochOpenedAt_ = 0, electedAt_ = 0;
};

}  // namespace lilacmux
