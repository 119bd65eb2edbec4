// Heartbeats, and the leader leases that members grant by acknowledging them.
#include <algorithm>

#include "consensus/replica.hpp"

namespace lilacmux {

// Returns the send time of the newest heartbeat that a quorum, which includes this node, has acknowledged.
Millis Replica::quorumAckedAt(Millis now) const {
  const auto ackedBy = [&](const std::vector<NodeId>& members) {
    std::vector<Millis> acked;
    for (const NodeId& member : members) {
      const auto peer = peers_.find(member);
      acked.push_back(member == self_        ? now
                      : peer == peers_.end() ? kNever
                                             : peer->second.ackedHeartbeatSentAt);
    }
    std::sort(acked.rbegin(), acked.rend());
    return acked.empty() ? kNever : acked[members.size() / 2];
  };
  const EpochRecord& record = durable_.record;
  const Millis acked = ackedBy(record.members);
  return record.oldMembers.empty() ? acked : std::min(acked, ackedBy(record.oldMembers));
}

// Returns the end of the lease that a quorum, which includes this node, has granted to this primary.
Millis Replica::leaseUntil(Millis now) const {
  return quorumAckedAt(now) + timing_.leaseDuration - timing_.clockDriftMargin;
}

// Leases granted before a restart are not on disk. Only the candidate voted for in the newest epoch can hold
// such a lease.
bool Replica::isBoundByLease(Millis now) const {
  if (now < lastHeartbeatAt_ + timing_.leaseDuration) return true;
  return !isFirstStart_ && durable_.votedFor != self_ && now < startedAt_ + timing_.leaseDuration;
}

void Replica::sendHeartbeats(Millis now) {
  heartbeatSentAt_ = now;
  dropUnresponsiveObservers(now);
  std::set<NodeId> receivers = memberSet();
  for (const auto& [observer, lastContactAt] : observers_) receivers.insert(observer);
  receivers.erase(self_);
  for (const NodeId& receiver : receivers) sendHeartbeat(now, receiver);
}

void Replica::sendHeartbeat(Millis now, const NodeId& to) const {
  MemberMessage heartbeat = makeMessage(MemberMessage::Kind::heartbeat);
  heartbeat.sentAt = now;
  const auto announcement = announcements_.find(to);
  heartbeat.lastAnnouncementSentAt = announcement == announcements_.end() ? kNever : announcement->second;
  host_.send(to, heartbeat);
}

// A member with an empty disk may have voted in a newer term before the disk was lost. It accepts a record
// only from a primary that has received an announcement made after the join delay: a heartbeat may have been
// in flight for as long as a connection lives, and its sender may have been replaced in the meantime.
bool Replica::mayAcceptRecord(Millis now, const MemberMessage& heartbeat) const {
  if (!diskIsEmpty_) return true;
  const Millis joinsAt = startedAt_ + timing_.emptyDiskJoinDelay;
  const Millis announcedAt = heartbeat.lastAnnouncementSentAt.value_or(now);
  return now >= joinsAt && announcedAt >= joinsAt && announcedAt <= now;
}

void Replica::onHeartbeat(Millis now, const MemberMessage& message) {
  MemberMessage response = makeMessage(MemberMessage::Kind::heartbeatAck);
  response.sentAt = message.sentAt;
  response.epoch = durable_.votedEpoch;
  const bool isStale =
      message.epoch < std::max(durable_.votedEpoch, durable_.record.epoch) ||
      (termOf(message.epoch) == termOf(durable_.votedEpoch) && durable_.votedFor != message.from);
  if (isStale) return host_.send(message.from, response);
  if (primary_) stepDown("another primary has a newer epoch");
  knownPrimary_ = message.from;
  lastHeartbeatAt_ = now;
  election_.reset();
  noElectionBefore_ = 0;
  lostLastElection_ = false;
  if (!mayAcceptRecord(now, message)) return sendAnnouncement(now, message.from);
  if (message.epoch != durable_.record.epoch) {
    durable_.votedEpoch = message.epoch;
    durable_.votedFor = message.from;
    durable_.record = message.record;
    if (diskIsEmpty_) durable_.lostEpoch = message.epoch;
    if (!persist()) return;
    diskIsEmpty_ = false;
  }
  durable_.establishedEpoch = std::max(durable_.establishedEpoch, message.establishedEpoch);
  response.granted = true;
  response.epoch = message.epoch;
  host_.send(message.from, response);
}

// A member that has voted in a later term, in which no candidate won, accepts nothing of this term. Winning
// an election in a newer term regains that member.
void Replica::onHeartbeatRejected(Millis now, const MemberMessage& message) {
  highestVotedEpoch_ = std::max(highestVotedEpoch_, message.epoch);
  const bool isOfThisEpoch = message.sentAt >= epochOpenedAt_;
  if (isOfThisEpoch && termOf(message.epoch) >= termOf(durable_.record.epoch) && now >= noElectionBefore_)
    startElection(now);
}

void Replica::onHeartbeatAck(Millis now, const MemberMessage& message) {
  if (!primary_) return;
  if (!message.granted) return onHeartbeatRejected(now, message);
  Peer& peer = peers_[message.from];
  peer.ackedHeartbeatSentAt = std::max(peer.ackedHeartbeatSentAt, message.sentAt);
  peer.lastContactAt = now;
  peer.acceptedEpoch = std::max(peer.acceptedEpoch, message.epoch);
  if (message.epoch != durable_.record.epoch) return;
  if (durable_.record.backups.empty() && !established_) return replicate(now);
  if (!durable_.record.isBackup(message.from)) return;
  const bool lacksState =
      message.dataEpoch < durable_.record.epoch;  // a new backup, or a backup that lost its disk
  const bool isResendDue =
      peer.stateSentAt < epochOpenedAt_ || now - peer.stateSentAt >= timing_.resendInterval;
  if ((lacksState || !peer.ackedSequence) && isResendDue) replicateTo(now, message.from);
}

}  // namespace lilacmux
