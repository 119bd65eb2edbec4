// Heartbeats, and the leader leases that members grant by answering them.
#include <algorithm>

#include "consensus/replica.hpp"

namespace lilacmux {

// When the newest heartbeat was sent that a quorum, this node included, has answered.
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

// The end of the lease that a quorum, this node included, has granted the primary.
Millis Replica::leaseUntil(Millis now) const {
  return quorumAckedAt(now) + timing_.leaseDuration - timing_.clockDriftMargin;
}

// A lease granted before a restart is not on disk, but it can only be that of the candidate voted for in the
// newest epoch.
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

// A member with an empty disk may have voted in a newer term before. It accepts a record only from a primary
// that has received its announcement after it had listened: a heartbeat may have been in flight for as long
// as a connection lives, and its sender may have been replaced meanwhile.
bool Replica::mayAcceptRecord(Millis now, const MemberMessage& heartbeat) const {
  if (!diskIsEmpty_) return true;
  const Millis joinsAt = startedAt_ + timing_.emptyDiskJoinDelay;
  const Millis seen = heartbeat.lastAnnouncementSentAt.value_or(now);
  return now >= joinsAt && seen >= joinsAt && seen <= now;
}

void Replica::onHeartbeat(Millis now, const MemberMessage& message) {
  MemberMessage response = makeMessage(MemberMessage::Kind::heartbeatAck);
  response.sentAt = message.sentAt;
  response.epoch = durable_.votedEpoch;
  const bool stale =
      message.epoch < std::max(durable_.votedEpoch, durable_.record.epoch) ||
      (termOf(message.epoch) == termOf(durable_.votedEpoch) && durable_.votedFor != message.from);
  if (stale) return host_.send(message.from, response);
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

// A member that has voted in a later term, which nobody won, accepts nothing of this one: an election in a
// newer term wins it back.
void Replica::onHeartbeatRejected(Millis now, const MemberMessage& message) {
  highestVotedEpoch_ = std::max(highestVotedEpoch_, message.epoch);
  const bool ofThisEpoch = message.sentAt >= epochOpenedAt_;
  if (ofThisEpoch && termOf(message.epoch) >= termOf(durable_.record.epoch) && now >= noElectionBefore_)
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
  const bool lacksState = message.dataEpoch < durable_.record.epoch;  // a new backup, or its disk was lost
  const bool due = peer.stateSentAt < epochOpenedAt_ || now - peer.stateSentAt >= timing_.resendInterval;
  if ((lacksState || !peer.ackedSequence) && due) replicateTo(now, message.from);
}

}  // namespace lilacmux
