// Elections (prevote and vote) and the epochs that a primary opens.
#include <xxhash.h>

#include <algorithm>

#include "consensus/replica.hpp"

namespace lilacmux {

// A lease forbids votes for any candidate but the primary that it was granted to. That primary, after a
// restart, may still get the vote.
bool Replica::mayVoteFor(Millis now, const NodeId& candidate) const {
  if (diskIsEmpty_) return false;
  if (primary_) return now >= leaseUntil(now);
  return !isBoundByLease(now) ||
         (candidate == durable_.votedFor && (knownPrimary_.empty() || knownPrimary_ == candidate));
}

// Sends to all nodes that may be members and have not voted yet. Includes members of newer records received
// from peers, since this node's own record may be outdated.
void Replica::sendToPossibleVoters(const MemberMessage& message) {
  std::set<NodeId> voters = memberSet();
  voters.insert(knownMembers_.begin(), knownMembers_.end());
  voters.erase(self_);
  for (const NodeId& voter : voters)
    if (!election_->votes().contains(voter)) host_.send(voter, message);
}

// Called repeatedly while the election is open, since a request or its response may be lost.
void Replica::requestVotes() {
  const bool isPrevote = election_->phase() == Election::Phase::prevote;
  MemberMessage request =
      makeMessage(isPrevote ? MemberMessage::Kind::prevoteRequest : MemberMessage::Kind::voteRequest);
  if (!isPrevote) request.epoch = election_->epoch();
  sendToPossibleVoters(request);
}

void Replica::tickFollower(Millis now) {
  if (isBoundByLease(now) || diskIsEmpty_) return;
  if (election_ && election_->isOpen(now)) return requestVotes();
  if (election_ && election_->phase() == Election::Phase::vote) lostLastElection_ = true;
  election_.reset();
  if (noElectionBefore_ <= 0) noElectionBefore_ = now + electionDelay();
  if (now < noElectionBefore_) return;
  knownPrimary_.clear();
  startPrevote(now);
}

// Returns the delay before this member starts an election, staggered by its index among the members. Two
// members that split the votes could collide again and again with fixed delays; so after a lost election the
// delay is drawn anew for each term from a hash of the node and the voted epoch.
Millis Replica::electionDelay() const {
  const auto& members = durable_.record.members;
  const auto index = std::lower_bound(members.begin(), members.end(), self_) - members.begin();
  if (lostLastElection_) {
    const std::uint64_t hash = XXH3_64bits_withSeed(self_.data(), self_.size(), durable_.votedEpoch);
    return timing_.electionStagger * static_cast<double>(hash % (2 * members.size()));
  }
  // The last primary needs no delay after a restart: the others may vote for it at once.
  const bool wasLastPrimary = durable_.record.primary == self_ && durable_.votedFor == self_;
  return timing_.electionStagger * (wasLastPrimary ? 0.0 : static_cast<double>(index));
}

// Asks the others whether they would vote for this node before it opens a term and votes for itself. A member
// that cannot win, because the others are bound by a lease or have newer state, thus disturbs no primary.
void Replica::startPrevote(Millis now) {
  noElectionBefore_ = 0;
  election_.emplace(self_, Election::Phase::prevote, 0, now);
  if (election_->isWon(durable_)) return startElection(now);  // a core with a single member
  requestVotes();
}

// Observers respond like members: the candidate decides which votes count by the newest record among them,
// which this node may not have accepted yet.
void Replica::onPrevoteRequest(Millis now, const MemberMessage& message) {
  MemberMessage response = makeMessage(MemberMessage::Kind::prevoteResponse);
  response.granted = mayVoteFor(now, message.from);
  response.epoch = durable_.votedEpoch;
  host_.send(message.from, response);
}

void Replica::onPrevote(Millis now, const MemberMessage& message) {
  highestVotedEpoch_ = std::max(highestVotedEpoch_, message.epoch);
  learnMembers(message.record);
  if (!isCollectingVotes(now, Election::Phase::prevote) || !message.granted) return;
  election_->addVote(message);
  if (election_->isWon(durable_)) startElection(now);
}

void Replica::startElection(Millis now) {
  durable_.votedEpoch = nextTerm();
  durable_.votedFor = self_;
  noElectionBefore_ = primary_ ? now + timing_.reelectionInterval : 0;
  if (!persist()) return;
  election_.emplace(self_, Election::Phase::vote, durable_.votedEpoch, now);
  if (election_->isWon(durable_)) return becomePrimary(now);
  requestVotes();
}

void Replica::onVoteRequest(Millis now, const MemberMessage& message) {
  MemberMessage response = makeMessage(MemberMessage::Kind::voteResponse);
  response.epoch = durable_.votedEpoch;
  // For a repeated request the vote stands, unless a record of this term or a later one has been accepted
  // since.
  const bool hasVoted = message.epoch == durable_.votedEpoch && message.from == durable_.votedFor &&
                        durable_.record.epoch < message.epoch && !diskIsEmpty_;
  response.granted = hasVoted;
  if (hasVoted || message.epoch <= durable_.votedEpoch || !mayVoteFor(now, message.from))
    return host_.send(message.from, response);
  if (primary_) stepDown("the lease has expired and " + message.from + " has started an election");
  durable_.votedEpoch = message.epoch;
  durable_.votedFor = message.from;
  if (!persist()) return;
  election_.reset();
  noElectionBefore_ = now + timing_.leaseDuration;
  response.granted = true;
  response.epoch = message.epoch;
  host_.send(message.from, response);
}

bool Replica::isCollectingVotes(Millis now, Election::Phase phase) const {
  return election_ && election_->phase() == phase && election_->isOpen(now);
}

void Replica::onVote(Millis now, const MemberMessage& message) {
  if (!message.granted) highestVotedEpoch_ = std::max(highestVotedEpoch_, message.epoch);
  if (!isCollectingVotes(now, Election::Phase::vote) || !message.granted ||
      message.epoch != election_->epoch())
    return;
  election_->addVote(message);
  if (election_->isWon(durable_)) becomePrimary(now);
}

void Replica::becomePrimary(Millis now) {
  const Election election = std::move(*election_);
  election_.reset();
  for (const auto& [from, vote] : election.votes()) peers_[from].lastContactAt = now;
  openEpoch(now, election.successor(durable_, timing_.toleratedLosses));
}

std::uint64_t Replica::nextTerm() const {
  return (termOf(std::max({durable_.votedEpoch, durable_.record.epoch, highestVotedEpoch_})) + 1)
         << kStepBits;
}

// Makes this node the primary of a new epoch, which is not established yet.
void Replica::openEpoch(Millis now, const EpochRecord& record) {
  durable_.votedEpoch = record.epoch;
  durable_.votedFor = self_;
  durable_.record = record;
  durable_.dataEpoch = record.epoch;
  if (!persist()) return;
  if (!primary_) electedAt_ = now;
  primary_ = true;
  established_ = false;
  knownPrimary_ = self_;
  epochOpenedAt_ = now;
  for (auto& [node, peer] : peers_) peer.stateSentAt = kNever, peer.ackedSequence.reset();
  heartbeatSentAt_ = kNever;
  tickPrimary(now);
}

// Opens the next step of the current term, which needs no vote.
void Replica::openNextEpoch(Millis now, EpochRecord next) {
  if (durable_.votedEpoch != durable_.record.epoch) {  // it lost an election since and must win one first
    if (now >= noElectionBefore_) startElection(now);
    return;
  }
  if (durable_.establishedEpoch == durable_.record.epoch) {
    next.previous = durable_.record.epoch;
    next.undecided.clear();
  }
  next.epoch = durable_.record.epoch + 1;
  openEpoch(now, next);
}

void Replica::stepDown(const std::string& reason) {
  if (!primary_) return;
  primary_ = established_ = proposalPending_ = false;
  committed_.reset();
  peers_.clear();
  knownPrimary_.clear();
  host_.log("no longer primary: " + reason);
  host_.onPrimacyLost();
}

}  // namespace lilacmux
