// Elections (prevote and vote), and the epochs that a primary opens.
#include <xxhash.h>

#include <algorithm>

#include "consensus/replica.hpp"

namespace lilacmux {

// A lease forbids votes against the primary that it was granted to, not a vote that lets that one return.
bool Replica::mayVoteFor(Millis now, const NodeId& candidate) const {
  if (diskIsEmpty_) return false;
  if (primary_) return now >= leaseUntil(now);
  return !isBoundByLease(now) ||
         (candidate == durable_.votedFor && (knownPrimary_.empty() || knownPrimary_ == candidate));
}

// To all that may be members and have not voted yet: this node's own record may not be the newest.
void Replica::sendToPossibleVoters(const MemberMessage& message) {
  std::set<NodeId> voters = memberSet();
  voters.insert(knownMembers_.begin(), knownMembers_.end());
  voters.erase(self_);
  for (const NodeId& voter : voters)
    if (!election_->votes().contains(voter)) host_.send(voter, message);
}

// Repeated while the election is open: a request or its response may have been lost.
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

// Members start elections in turns. Where two have split the votes their turns may fall together again and
// again, each as late as its election before; so after a lost election the turn is another one each time.
Millis Replica::electionDelay() const {
  const auto& members = durable_.record.members;
  const auto place = std::lower_bound(members.begin(), members.end(), self_) - members.begin();
  if (lostLastElection_) {
    const std::uint64_t drawn = XXH3_64bits_withSeed(self_.data(), self_.size(), durable_.votedEpoch);
    return timing_.electionStagger * static_cast<double>(drawn % (2 * members.size()));
  }
  // The last primary, after a restart, needs no stagger: the others may vote for it at once.
  const bool ledLast = durable_.record.primary == self_ && durable_.votedFor == self_;
  return timing_.electionStagger * (ledLast ? 0.0 : static_cast<double>(place));
}

// Asks who would vote before it votes for itself, so that a member that cannot win, since the others are
// bound by a lease or have newer state, disturbs nobody.
void Replica::startPrevote(Millis now) {
  noElectionBefore_ = 0;
  election_.emplace(self_, Election::Phase::prevote, 0, now);
  if (election_->isWon(durable_)) return startElection(now);  // a core of one
  requestVotes();
}

// Members and others vote alike: the newest record among the votes, which this node may not have accepted
// yet, tells which of them count.
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
  // A repeated request: the vote stands, and nothing of another term has been accepted since.
  const bool hasVoted = message.epoch == durable_.votedEpoch && message.from == durable_.votedFor &&
                        durable_.record.epoch < message.epoch && !diskIsEmpty_;
  response.granted = hasVoted;
  if (hasVoted || message.epoch <= durable_.votedEpoch || !mayVoteFor(now, message.from))
    return host_.send(message.from, response);
  if (primary_) stepDown("its lease has run out and another starts an election");
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
  const Election won = std::move(*election_);
  election_.reset();
  for (const auto& [from, vote] : won.votes()) peers_[from].lastContactAt = now;
  openEpoch(now, won.successor(durable_, timing_.toleratedLosses));
}

std::uint64_t Replica::nextTerm() const {
  return (termOf(std::max({durable_.votedEpoch, durable_.record.epoch, highestVotedEpoch_})) + 1)
         << kStepBits;
}

// Leads from here on, as yet without an established record.
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

// Another record in the same term, which needs no vote.
void Replica::openNextEpoch(Millis now, EpochRecord next) {
  if (durable_.votedEpoch != durable_.record.epoch) {  // its last election was not won: another one first
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

void Replica::stepDown(const std::string& why) {
  if (!primary_) return;
  primary_ = established_ = proposalPending_ = false;
  committed_.reset();
  peers_.clear();
  knownPrimary_.clear();
  host_.log("no longer primary: " + why);
  host_.onPrimacyLost();
}

}  // namespace lilacmux
