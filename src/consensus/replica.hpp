// Primary-backup replication of the control plane's state as a deterministic state machine: elects the
// primary, chooses its backups, and decides when a change is committed. Events come in as calls and actions
// go out through ReplicaHost; the class owns no socket, clock or disk. All times are milliseconds of the
// host's monotonic clock. Not thread-safe: all calls come from the thread of the host's io_context.
//
// The protocol resembles Raft with leader leases. The first members are the machines named at the first
// start. Each member stores the newest epoch that it has voted for and the newest epoch record that it has
// accepted; a record names the primary, the backups and the members of one epoch. A change is committed once
// it is on the disks of the primary and of all backups; the other members are witnesses, which store votes
// and records only. To tolerate the simultaneous loss of `toleratedLosses` disks there are that many backups
// and 2 * toleratedLosses + 1 members; the primary admits observers as members until that number is reached.
// An epoch is established once a quorum of members has accepted its record. A member that has received a
// heartbeat of its primary votes for no other candidate for the duration of a lease; the primary acts only
// while a quorum has granted it a lease, so at most one primary acts at any time.
//
// An epoch is a term and a step within the term: an election opens a term, and each later change of the
// backups or the members by its winner opens the next step without a vote. So no two primaries ever open the
// same epoch, and a node that has voted in a newer term accepts nothing from an older one.
//
// Other control nodes are observers: they accept records and follow the primary. The primary replaces an
// unresponsive member by an observer, in two records (joint consensus): the first needs a quorum of the old
// members and one of the new members; the second, once the first is established, only one of the new members.
//
// replica.cpp dispatches events; replica_lease.cpp implements heartbeats and leases, replica_election.cpp
// elections and epochs, replica_replication.cpp replication and commit, replica_membership.cpp membership
// changes. leader_election.hpp decides which candidate wins.
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

// The environment of a Replica: network, disk and log. Must outlive the replica.
class ReplicaHost {
 public:
  virtual ~ReplicaHost() = default;
  virtual void send(const NodeId& to, const MemberMessage& message) = 0;
  // Returns true once the state survives a power loss. If it returns false, the replica sends nothing more.
  virtual bool store(const DurableState& durable) = 0;
  // Called at the primary once a change is committed.
  virtual void onCommitted(const ReplicatedState& state) = 0;
  // Called when this node stops being the primary; a pending proposal may or may not get committed.
  virtual void onPrimacyLost() = 0;
  virtual void log(const std::string& line) = 0;
};

class Replica {
 public:
  struct Timing {
    Millis heartbeatInterval = 200;
    Millis leaseDuration = 1100;
    Millis clockDriftMargin = 100;  // by which the primary shortens its lease, for clock drift
    Millis electionStagger = 100;   // between the election starts of two members
    Millis backupTimeout = 800;     // without a message, until another member replaces the backup
    // How long after its start a member with an empty disk accepts no record and does not vote.
    Millis emptyDiskJoinDelay = 2000;
    // Without a message, until an observer replaces the member. Together with a preceding failover (2.2 s)
    // and the two records of the change it stays below the 4 s for which a returning machine counts as lost.
    Millis memberTimeout = 1600;
    Millis resendInterval = 400;   // between transmissions of the state to a backup that does not acknowledge
    unsigned toleratedLosses = 1;  // number of simultaneous disk losses that the core tolerates
    // Between the elections by which a primary regains members that have voted in another term.
    Millis reelectionInterval = 500;
    // The primary changes backups or members only while a quorum has acknowledged a heartbeat sent within
    // this time. Otherwise a primary that is being partitioned would open an epoch that no other node
    // receives.
    Millis quorumContactTimeout = 500;
  };

  // `seeds`: the configured control nodes, with or without this one. `bootstrap`: the whole system starts for
  // the first time. `stored`: the state on disk, nullopt if the disk is empty.
  Replica(NodeId self, const std::vector<NodeId>& seeds, bool bootstrap, std::optional<DurableState> stored,
          const Timing& timing, Millis now, ReplicaHost& host);

  void tick(Millis now);  // to be called about every 50 ms
  void receive(Millis now, const MemberMessage& message);
  // Proposes `next` as the replicated state. Ignored unless canPropose(). The host is notified when the state
  // is committed or when primacy is lost.
  void propose(Millis now, const ReplicatedState& next);
  // Shuts down gracefully: the other members may elect a new primary at once.
  void resign();
  // Sets the nodes besides the members to which this node announces itself. Affects no decision of the
  // protocol.
  void setContacts(std::vector<NodeId> contacts) { contacts_ = std::move(contacts); }

  bool isMember() const;
  // Returns whether this node is the primary and no other node can be, so that its committed state is the
  // newest.
  bool hasLease(Millis now) const { return primary_ && committed_ && now < leaseUntil(now); }
  bool canPropose(Millis now) const { return hasLease(now) && !proposalPending_ && established_; }
  const ReplicatedState& committed() const { return *committed_; }
  std::uint64_t epoch() const { return durable_.record.epoch; }
  // Returns the primary that this node knows of; empty if it knows of none.
  const NodeId& knownPrimary() const { return knownPrimary_; }
  const std::vector<NodeId>& members() const { return durable_.record.members; }
  const DurableState& durable() const { return durable_; }
  bool isPrimary() const { return primary_; }
  // Returns whether a write to disk has failed. The replica then sends nothing more and must be restarted
  // from the state on disk.
  bool hasFailed() const { return failed_; }

 private:
  struct Peer {
    Millis ackedHeartbeatSentAt = kNever;  // send time of the newest heartbeat that the peer accepted
    Millis lastContactAt = kNever;
    std::uint64_t acceptedEpoch = 0;
    // In the current epoch: when the state was last sent to the peer, and the newest change on the peer's
    // disk.
    Millis stateSentAt = kNever;
    std::optional<std::uint64_t> ackedSequence;
  };

  std::set<NodeId> memberSet() const;
  Millis quorumAckedAt(Millis now) const;
  Millis leaseUntil(Millis now) const;
  bool isBoundByLease(Millis now) const;  // a lease granted since the start or possibly before it
  bool mayVoteFor(Millis now, const NodeId& candidate) const;
  bool isCollectingVotes(Millis now, Election::Phase phase) const;
  bool persist();
  void broadcast(const MemberMessage& message);
  void sendToPossibleVoters(const MemberMessage& message);
  void requestVotes();
  void learnMembers(const EpochRecord& record);
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
  void stepDown(const std::string& reason);
  std::vector<NodeId> fillBackups(Millis now, std::vector<NodeId> backups) const;
  void openNextEpoch(Millis now, EpochRecord next);
  bool replaceMember(Millis now);
  bool replaceUnresponsiveBackups(Millis now);
  Millis lastContactAt(const NodeId& node) const;

  const NodeId self_;
  std::vector<NodeId> contacts_;  // initially the seeds
  const Timing timing_;
  ReplicaHost& host_;
  DurableState durable_;
  const Millis startedAt_;
  bool isFirstStart_;  // no vote or lease can have been granted before this start
  bool diskIsEmpty_;   // the disk was empty at the start of a running system, and no record is accepted yet
  bool failed_ = false;
  bool resigned_ = false;

  std::uint64_t highestVotedEpoch_ = 0;  // the highest epoch that any responding member has voted for
  NodeId knownPrimary_;
  Millis lastHeartbeatAt_ = kNever;
  Millis lastAnnouncedAt_ = kNever;
  std::optional<Election> election_;
  Millis noElectionBefore_ = 0;
  bool lostLastElection_ = false;  // and no heartbeat has been accepted since

  bool primary_ = false;
  bool established_ = false;      // a quorum has accepted the record and all backups have the state
  bool proposalPending_ = false;  // proposed and not committed yet
  std::shared_ptr<ReplicatedState> committed_;
  std::map<NodeId, Peer> peers_;
  std::map<NodeId, Millis> observers_;      // time of the last announcement
  std::map<NodeId, Millis> announcements_;  // send time of each node's newest announcement, by its clock
  std::vector<NodeId> knownMembers_;        // members of the newest record received from peers
  std::uint64_t knownMembersEpoch_ = 0;
  Millis heartbeatSentAt_ = kNever;
  Millis epochOpenedAt_ = 0, electedAt_ = 0;
};

}  // namespace lilacmux
