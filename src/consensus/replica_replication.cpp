// Replication of a proposed change to the backups, and commit.
#include <algorithm>

#include "consensus/replica.hpp"

namespace lilacmux {

void Replica::propose(Millis now, const ReplicatedState& next) {
  if (!canPropose(now)) return;
  durable_.state = next;
  proposalPending_ = true;
  established_ = false;
  if (!persist()) return;
  replicate(now);
}

// Returns whether every backup has this primary's state; always true in a core with a single member.
bool Replica::areBackupsUpToDate() {
  const auto& backups = durable_.record.backups;
  return std::all_of(backups.begin(), backups.end(), [&](const NodeId& backup) {
    return peers_[backup].ackedSequence == durable_.state.sequence;
  });
}

// Sends the state to each backup that has accepted the record but lacks the state; repeats it once per resend
// interval until it is acknowledged. If all backups have the state, retries the commit, which an expired
// lease or a member that had not accepted the record may have prevented.
void Replica::replicate(Millis now) {
  if (areBackupsUpToDate()) return tryCommit(now);
  for (const NodeId& backup : durable_.record.backups) {
    const Peer& peer = peers_[backup];
    if (peer.acceptedEpoch != epoch() || peer.ackedSequence == durable_.state.sequence) continue;
    const bool wasUpToDate = peer.ackedSequence.has_value();
    if (wasUpToDate || now - peer.stateSentAt >= timing_.resendInterval) replicateTo(now, backup);
  }
}

void Replica::replicateTo(Millis now, const NodeId& backup) {
  Peer& peer = peers_[backup];
  peer.stateSentAt = now;
  peer.ackedSequence.reset();
  MemberMessage message = makeMessage(MemberMessage::Kind::replicate);
  message.state = durable_.state;
  host_.send(backup, message);
}

void Replica::onReplicate(Millis now, const MemberMessage& message) {
  const EpochRecord& record = durable_.record;
  if (!isMember() || message.epoch != record.epoch || !record.isBackup(self_) ||
      record.primary != message.from || durable_.votedEpoch != record.epoch || !message.state)
    return;
  lastHeartbeatAt_ = std::max(lastHeartbeatAt_, now - timing_.heartbeatInterval);
  const bool isStored =
      durable_.dataEpoch == record.epoch && message.state->sequence <= durable_.state.sequence;
  if (!isStored) {
    durable_.state = *message.state;
    durable_.dataEpoch = record.epoch;
    if (!persist()) return;
  }
  host_.send(message.from, makeMessage(MemberMessage::Kind::replicateAck));
}

void Replica::onReplicateAck(Millis now, const MemberMessage& message) {
  if (!primary_ || message.epoch != durable_.record.epoch || !durable_.record.isBackup(message.from)) return;
  Peer& peer = peers_[message.from];
  peer.lastContactAt = now;
  peer.ackedSequence = message.sequence;
  if (message.sequence == durable_.state.sequence) tryCommit(now);
}

// Commits the state if all backups have it and a quorum has accepted the record, while the lease lasts.
void Replica::tryCommit(Millis now) {
  if (now >= leaseUntil(now)) return;  // after a freeze another node may be the primary
  std::set<NodeId> accepted{self_};
  for (const auto& [node, peer] : peers_)
    if (peer.acceptedEpoch == durable_.record.epoch) accepted.insert(node);
  if (!durable_.record.isQuorum(accepted)) return;
  if (!areBackupsUpToDate()) return;
  const bool isNewState = !committed_ || committed_->sequence != durable_.state.sequence;
  if (!committed_) host_.log("primary in epoch " + epochText(durable_.record.epoch));
  established_ = true;
  durable_.establishedEpoch = durable_.record.epoch;
  if (isNewState) committed_ = std::make_shared<ReplicatedState>(durable_.state);
  proposalPending_ = false;
  if (isNewState) host_.onCommitted(*committed_);
  if (!primary_ || durable_.record.oldMembers.empty()) return;
  EpochRecord next = durable_.record;
  next.oldMembers.clear();
  openNextEpoch(now, std::move(next));
}

}  // namespace lilacmux
