// Prevotes, votes, and the epochs that a primary opens.
#include <xxhash.h>

#include <algorithm>

#include "agreement/replica.hpp"

namespace lilacmux {

// A lease forbids votes against the primary that it was granted to, not a vote that lets that one return.
bool Replica::mayVoteFor(Millis now, const NodeId& candidate) const {
  if (diskIsEmpty_) return false;
  if (primary_) return now >= leaseUntil(now);
  return !boundByLease(now) ||
         (candidate == durable_.promisedTo && (leader_.empty() || leader_ == candidate));
}

// To all that may be members and have not voted yet: this node's own record may not be the newest.
void Replica::sendToVoters(const Message& message) {
  std::set<NodeId> voters = memberSet();
  voters.insert(knownMembers_.begin(), knownMembers_.end());
  voters.erase(self_);
  for (const NodeId& voter : voters)
    if (!ballot_->votes().contains(voter)) host_.send(voter, message);
}

// Also again while the ballot is open: a request or its answer may have been lost.
void Replica::askForVotes() {
  const bool isPrevote = ballot_->phase() == Ballot::Phase::prevote;
  Message request = makeMessage(isPrevote ? Message::Kind::prevoteRequest : Message::Kind::voteRequest);
  if (!isPrevote) request.epoch = ballot_->epoch();
  sendToVoters(request);
}

void Replica::tickFollower(Millis now) {
  if (boundByLease(now) || diskIsEmpty_) return;
  if (ballot_ && ballot_->isOpen(now)) return askForVotes();
  if (ballot_ && ballot_->phase() == Ballot::Phase::vote) lostElection_ = true;
  ballot_.reset();
  if (noElectionBefore_ <= 0) noElectionBefore_ = now + electionDelay();
  if (now < noElectionBefore_) return;
  leader_.clear();
  startPrevote(now);
}

// Members take turns. Where two have split the votes their turns may fall together again and again, each as
// late as its election before; so after a lost election the turn is another one each time.
Millis Replica::electionDelay() const {
  const auto& members = durable_.record.members;
  const auto place = std::lower_bound(members.begin(), members.end(), self_) - members.begin();
  if (lostElection_) {
    const std::uint64_t drawn = XXH3_64bits_withSeed(self_.data(), self_.size(), durable_.promised);
    return timing_.electionStagger * static_cast<double>(drawn % (2 * members.size()));
  }
  // The last primary, after a restart, needs no stagger: the others may vote for it at once.
  const bool ledLast = durable_.record.primary == self_ && durable_.promisedTo == self_;
  return timing_.electionStagger * (ledLast ? 0.0 : static_cast<double>(place));
}

// Asks who would vote before it promises anything, so that a member that cannot win, since the others are
// bound by a lease or have newer state, disturbs nobody.
void Replica::startPrevote(Millis now) {
  noElectionBefore_ = 0;
  ballot_.emplace(self_, Ballot::Phase::prevote, 0, now);
  if (ballot_->isWon(durable_)) return startElection(now);  // a core of one
  askForVotes();
}

// Members and others vote alike: the newest record among the votes, which this node may not have accepted
// yet, tells which of them count.
void Replica::onPrevoteRequest(Millis now, const Message& message) {
  Message answer = makeMessage(Message::Kind::prevote);
  answer.granted = mayVoteFor(now, message.from);
  answer.epoch = durable_.promised;
  host_.send(message.from, answer);
}

void Replica::onPrevote(Millis now, const Message& message) {
  newestEpochSeen_ = std::max(newestEpochSeen_, message.epoch);
  noteKnownMembers(message.record);
  if (!awaits(now, Ballot::Phase::prevote) || !message.granted) return;
  ballot_->add(message);
  if (ballot_->isWon(durable_)) startElection(now);
}

void Replica::startElection(Millis now) {
  durable_.promised = nextRound();
  durable_.promisedTo = self_;
  noElectionBefore_ = primary_ ? now + timing_.reelectAfter : 0;
  if (!persist()) return;
  ballot_.emplace(self_, Ballot::Phase::vote, durable_.promised, now);
  if (ballot_->isWon(durable_)) return becomePrimary(now);
  askForVotes();
}

void Replica::onVoteRequest(Millis now, const Message& message) {
  Message answer = makeMessage(Message::Kind::vote);
  answer.epoch = durable_.promised;
  // Asked again: the promise stands, and nothing of another round has been accepted since.
  const bool hasVoted = message.epoch == durable_.promised && message.from == durable_.promisedTo &&
                        durable_.record.epoch < message.epoch && !diskIsEmpty_;
  answer.granted = hasVoted;
  if (hasVoted || message.epoch <= durable_.promised || !mayVoteFor(now, message.from))
    return host_.send(message.from, answer);
  if (primary_) stepDown("its lease has run out and another starts an election");
  durable_.promised = message.epoch;
  durable_.promisedTo = message.from;
  if (!persist()) return;
  ballot_.reset();
  noElectionBefore_ = now + timing_.lease;
  answer.granted = true;
  answer.epoch = message.epoch;
  host_.send(message.from, answer);
}

bool Replica::awaits(Millis now, Ballot::Phase phase) const {
  return ballot_ && ballot_->phase() == phase && ballot_->isOpen(now);
}

void Replica::onVote(Millis now, const Message& message) {
  if (!message.granted) newestEpochSeen_ = std::max(newestEpochSeen_, message.epoch);
  if (!awaits(now, Ballot::Phase::vote) || !message.granted || message.epoch != ballot_->epoch()) return;
  ballot_->add(message);
  if (ballot_->isWon(durable_)) becomePrimary(now);
}

void Replica::becomePrimary(Millis now) {
  const Ballot won = std::move(*ballot_);
  ballot_.reset();
  for (const auto& [from, vote] : won.votes()) peers_[from].heardAt = now;
  openEpoch(now, won.successor(durable_, timing_.losses));
}

std::uint64_t Replica::nextRound() const {
  return (roundOf(std::max({durable_.promised, durable_.record.epoch, newestEpochSeen_})) + 1) << kPlaceBits;
}

// Leads from here on, as yet without a settled record.
void Replica::openEpoch(Millis now, const Record& record) {
  durable_.promised = record.epoch;
  durable_.promisedTo = self_;
  durable_.record = record;
  durable_.dataEpoch = record.epoch;
  if (!persist()) return;
  if (!primary_) electedAt_ = now;
  primary_ = true;
  settled_ = false;
  leader_ = self_;
  epochOpenedAt_ = now;
  for (auto& [node, peer] : peers_) peer.replicatedAt = -1e18, peer.replicatedSequence.reset();
  heartbeatSentAt_ = -1e18;
  tickPrimary(now);
}

// Another record in the same round, which needs no vote.
void Replica::openNextEpoch(Millis now, Record next) {
  if (durable_.promised != durable_.record.epoch) {  // its last election was not won: another one first
    if (now >= noElectionBefore_) startElection(now);
    return;
  }
  if (durable_.settledEpoch == durable_.record.epoch) {
    next.previous = durable_.record.epoch;
    next.uncertain.clear();
  }
  next.epoch = durable_.record.epoch + 1;
  openEpoch(now, next);
}

void Replica::stepDown(const std::string& why) {
  if (!primary_) return;
  primary_ = settled_ = proposalPending_ = false;
  committed_.reset();
  peers_.clear();
  leader_.clear();
  host_.log("no longer primary: " + why);
  host_.lostPrimacy();
}

}  // namespace lilacmux
