#include "consensus/replica.hpp"

#include <algorithm>

namespace lilacmux {
namespace {

constexpr Millis kAnnounceInterval = 1000;
// After this many lease durations without a heartbeat an observer considers the primary unknown.
constexpr double kObserverTimeoutInLeases = 2;

}  // namespace

Replica::Replica(NodeId self, const std::vector<NodeId>& seeds, bool bootstrap,
                 std::optional<DurableState> stored, const Timing& timing, Millis now, ReplicaHost& host)
    : self_(std::move(self)),
      contacts_(seeds),
      timing_(timing),
      host_(host),
      startedAt_(now),
      isFirstStart_(bootstrap && !stored),
      diskIsEmpty_(!bootstrap && !stored) {
  if (stored) durable_ = std::move(*stored);
  if (durable_.record.members.empty() && bootstrap) {
    durable_.record.members = seeds;
    std::sort(durable_.record.members.begin(), durable_.record.members.end());
    persist();
  }
}

bool Replica::isMember() const { return durable_.record.hasMember(self_); }

bool Replica::persist() {
  if (failed_) return false;
  if (host_.store(durable_)) return true;
  // A change that is not on disk must not be acknowledged: this node sends nothing from here on.
  failed_ = true;
  stepDown("the state cannot be written to disk");
  return false;
}

MemberMessage Replica::makeMessage(MemberMessage::Kind kind) const {
  MemberMessage out;
  out.kind = kind;
  out.from = self_;
  out.epoch = durable_.record.epoch;
  out.record = durable_.record;
  out.dataEpoch = durable_.dataEpoch;
  out.lostEpoch = durable_.lostEpoch;
  out.establishedEpoch = durable_.establishedEpoch;
  out.sequence = durable_.state.sequence;
  return out;
}

std::set<NodeId> Replica::memberSet() const {
  std::set<NodeId> out(durable_.record.members.begin(), durable_.record.members.end());
  out.insert(durable_.record.oldMembers.begin(), durable_.record.oldMembers.end());
  return out;
}

void Replica::broadcast(const MemberMessage& message) {
  for (const NodeId& member : memberSet())
    if (member != self_) host_.send(member, message);
}

void Replica::receive(Millis now, const MemberMessage& message) {
  if (failed_ || message.from == self_) return;
  switch (message.kind) {
    case MemberMessage::Kind::announce:
      return onAnnounce(now, message);
    case MemberMessage::Kind::heartbeat:
      return onHeartbeat(now, message);
    case MemberMessage::Kind::heartbeatAck:
      return onHeartbeatAck(now, message);
    case MemberMessage::Kind::prevoteRequest:
      return onPrevoteRequest(now, message);
    case MemberMessage::Kind::prevoteResponse:
      return onPrevote(now, message);
    case MemberMessage::Kind::voteRequest:
      return onVoteRequest(now, message);
    case MemberMessage::Kind::voteResponse:
      return onVote(now, message);
    case MemberMessage::Kind::replicate:
      return onReplicate(now, message);
    case MemberMessage::Kind::replicateAck:
      return onReplicateAck(now, message);
    case MemberMessage::Kind::resign:
      if (message.from != knownPrimary_) return;
      lastHeartbeatAt_ = kNever;
      noElectionBefore_ = now;
      return;
  }
}

void Replica::tick(Millis now) {
  if (failed_ || resigned_) return;
  // Members announce themselves only while they know of no primary. Observers always do, so that the primary
  // sends them heartbeats.
  const bool knowsPrimary = primary_ || isBoundByLease(now);
  if (now - lastAnnouncedAt_ >= kAnnounceInterval && (!isMember() || !knowsPrimary)) announce(now);
  if (!isMember()) {
    if (now - lastHeartbeatAt_ > kObserverTimeoutInLeases * timing_.leaseDuration) knownPrimary_.clear();
    return;
  }
  primary_ ? tickPrimary(now) : tickFollower(now);
}

void Replica::announce(Millis now) {
  lastAnnouncedAt_ = now;
  std::set<NodeId> receivers = memberSet();
  receivers.insert(contacts_.begin(), contacts_.end());
  receivers.insert(knownMembers_.begin(), knownMembers_.end());
  receivers.erase(self_);
  for (const NodeId& receiver : receivers) sendAnnouncement(now, receiver);
}

void Replica::sendAnnouncement(Millis now, const NodeId& to) const {
  MemberMessage announcement = makeMessage(MemberMessage::Kind::announce);
  announcement.sentAt = now;
  host_.send(to, announcement);
}

void Replica::tickPrimary(Millis now) {
  // Checked before heartbeats are sent: after a freeze this node may have been replaced as the primary.
  if (now >= std::max(leaseUntil(now), electedAt_ + timing_.leaseDuration)) {
    stepDown("no quorum has acknowledged a heartbeat within the lease duration");
    noElectionBefore_ = now + timing_.electionStagger;
    return;
  }
  if (now - heartbeatSentAt_ >= timing_.heartbeatInterval) sendHeartbeats(now);
  if (!established_) replicate(now);
  if (now - quorumAckedAt(now) > timing_.quorumContactTimeout) return;
  if (replaceMember(now)) return;
  replaceUnresponsiveBackups(now);
}

void Replica::resign() {
  resigned_ = true;
  if (!primary_) return;
  const bool wasEstablished = established_;
  const MemberMessage resignation = makeMessage(MemberMessage::Kind::resign);
  stepDown("this node is shutting down");
  if (wasEstablished) broadcast(resignation);
}

}  // namespace lilacmux
