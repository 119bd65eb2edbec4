#include "agreement/replica.hpp"

#include <algorithm>

namespace lilacmux {
namespace {

constexpr Millis kHelloEvery = 1000;
constexpr Millis kObserverKept = 5000;
constexpr Millis kAliveWithin = 700;  // of its last word, a member counts as there
constexpr Millis kBallotFor = 250;

bool contains(const std::vector<NodeId>& sorted, const NodeId& node) {
  return std::binary_search(sorted.begin(), sorted.end(), node);
}

bool isMajority(const std::vector<NodeId>& of, const std::set<NodeId>& nodes) {
  const auto there = std::count_if(of.begin(), of.end(), [&](const NodeId& n) { return nodes.contains(n); });
  return static_cast<std::size_t>(there) > of.size() / 2;
}

}  // namespace

bool Record::has(const NodeId& node) const { return contains(members, node) || contains(leaving, node); }

bool Record::isBackup(const NodeId& node) const { return contains(backups, node); }

bool Record::decides(const std::set<NodeId>& nodes) const {
  return isMajority(members, nodes) && (leaving.empty() || isMajority(leaving, nodes));
}

Replica::Replica(NodeId self, const std::vector<NodeId>& seeds, bool bootstrap, std::optional<Durable> kept,
                 const Timing& timing, Millis now, ReplicaHost& host)
    : self_(std::move(self)),
      seeds_(seeds),
      timing_(timing),
      host_(host),
      startedAt_(now),
      fresh_(bootstrap && !kept),
      empty_(!bootstrap && !kept) {
  if (kept) durable_ = std::move(*kept);
  if (durable_.record.members.empty() && bootstrap) {
    durable_.record.members = seeds;
    std::sort(durable_.record.members.begin(), durable_.record.members.end());
    keep();
  }
}

bool Replica::isMember() const { return durable_.record.has(self_); }

bool Replica::keep() {
  if (failed_) return false;
  if (host_.store(durable_)) return true;
  // What cannot be kept must not be promised: this node is silent from here on.
  failed_ = true;
  stepDown("its state cannot be stored");
  return false;
}

Message Replica::make(Message::Kind kind) const {
  Message out;
  out.kind = kind;
  out.from = self_;
  out.epoch = durable_.record.epoch;
  out.record = durable_.record;
  out.dataEpoch = durable_.dataEpoch;
  out.forgotten = durable_.forgotten;
  out.settledEpoch = durable_.settledEpoch;
  out.sequence = durable_.state.sequence;
  return out;
}

std::set<NodeId> Replica::everyMember() const {
  std::set<NodeId> out(durable_.record.members.begin(), durable_.record.members.end());
  out.insert(durable_.record.leaving.begin(), durable_.record.leaving.end());
  return out;
}

void Replica::broadcast(const Message& message) {
  for (const NodeId& member : everyMember())
    if (member != self_) host_.send(member, message);
}

// To all who may decide: this node's own record may not be the newest.
void Replica::askVoters(const Message& message) {
  std::set<NodeId> voters = everyMember();
  voters.insert(contacts_.begin(), contacts_.end());
  voters.erase(self_);
  for (const NodeId& voter : voters) host_.send(voter, message);
}

// A majority, this node included, owes its loyalty until then; during a change of members both majorities.
Millis Replica::leaseUntil(Millis now) const {
  const auto ackedBy = [&](const std::vector<NodeId>& members) {
    std::vector<Millis> acked;
    for (const NodeId& member : members) {
      const auto peer = peers_.find(member);
      acked.push_back(member == self_ ? now : peer == peers_.end() ? -1e18 : peer->second.ackedSentAt);
    }
    std::sort(acked.rbegin(), acked.rend());
    return acked.empty() ? -1e18 : acked[members.size() / 2];
  };
  const Record& record = durable_.record;
  Millis acked = ackedBy(record.members);
  if (!record.leaving.empty()) acked = std::min(acked, ackedBy(record.leaving));
  return acked + timing_.lease - timing_.slack;
}

// After a start a loyalty may be forgotten, but only one to whom it has promised its newest epoch.
bool Replica::owes(Millis now) const {
  if (now < heardBeat_ + timing_.lease) return true;
  return !fresh_ && durable_.promisedTo != self_ && now < startedAt_ + timing_.lease;
}

// Loyalty keeps it from helping others against its primary, not from helping that one to come back.
bool Replica::helps(Millis now, const NodeId& candidate) const {
  if (empty_) return false;
  if (primary_) return now >= leaseUntil(now);
  return !owes(now) || (candidate == durable_.promisedTo && (leader_.empty() || leader_ == candidate));
}

// --- Events
// -------------------------------------------------------------------------------------------------

void Replica::receive(Millis now, const Message& message) {
  if (failed_ || message.from == self_) return;
  switch (message.kind) {
    case Message::Kind::hello:
      return onHello(now, message);
    case Message::Kind::beat:
      return onBeat(now, message);
    case Message::Kind::beatAck:
      return onBeatAck(now, message);
    case Message::Kind::probe:
      return onProbe(now, message);
    case Message::Kind::wouldVote:
      return onWouldVote(now, message);
    case Message::Kind::ask:
      return onAsk(now, message);
    case Message::Kind::vote:
      return onVote(now, message);
    case Message::Kind::sync:
      return onSync(now, message);
    case Message::Kind::synced:
      return onSynced(now, message);
    case Message::Kind::resign:
      if (message.from != leader_) return;
      heardBeat_ = -1e18;
      standAfter_ = now;
      return;
  }
}

void Replica::tick(Millis now) {
  if (failed_ || resigned_) return;
  // Members say hello only while they know of no primary; others, so that the primary tells them of itself.
  if (now - helloAt_ >= kHelloEvery && (!isMember() || (!primary_ && !owes(now)))) {
    helloAt_ = now;
    const Message hello = make(Message::Kind::hello);
    std::set<NodeId> to = everyMember();
    to.insert(seeds_.begin(), seeds_.end());
    to.insert(contacts_.begin(), contacts_.end());
    for (const NodeId& node : to)
      if (node != self_) host_.send(node, hello);
  }
  if (!isMember()) {
    if (now - heardBeat_ > 2 * timing_.lease) leader_.clear();
    return;
  }
  primary_ ? tickPrimary(now) : tickFollower(now);
}

// Remembers the members of the newest record that others have told of.
void Replica::noteContacts(const Record& theirs) {
  if (theirs.members.empty() || theirs.epoch < contactsEpoch_) return;
  contacts_ = theirs.members;
  contacts_.insert(contacts_.end(), theirs.leaving.begin(), theirs.leaving.end());
  contactsEpoch_ = theirs.epoch;
}

void Replica::onHello(Millis now, const Message& message) {
  const Record& theirs = message.record;
  noteContacts(theirs);
  // Not kept: a disk that has members but no record is one of the first start.
  if (durable_.record.members.empty()) durable_.record.members = theirs.members;
  if (theirs.epoch < durable_.record.epoch || (theirs.members.empty() && !durable_.record.members.empty()))
    host_.send(message.from, make(Message::Kind::hello));
  if (!durable_.record.has(message.from)) observers_[message.from] = now;
}

void Replica::onBeat(Millis now, const Message& message) {
  Message answer = make(Message::Kind::beatAck);
  answer.sentAt = message.sentAt;
  answer.epoch = durable_.promised;
  const bool stale =
      message.epoch < std::max(durable_.promised, durable_.record.epoch) ||
      (roundOf(message.epoch) == roundOf(durable_.promised) && durable_.promisedTo != message.from);
  if (stale) return host_.send(message.from, answer);
  if (primary_) stepDown("another primary has a newer epoch");
  leader_ = message.from;
  heardBeat_ = now;
  ballot_.reset();
  standAfter_ = 0;
  if (empty_ && now < startedAt_ + timing_.listenFirst) return;
  if (message.epoch != durable_.record.epoch) {
    durable_.promised = message.epoch;
    durable_.promisedTo = message.from;
    durable_.record = message.record;
    if (empty_) durable_.forgotten = message.epoch;
    if (!keep()) return;
    empty_ = false;
  }
  durable_.settledEpoch = std::max(durable_.settledEpoch, message.settledEpoch);
  answer.yes = true;
  answer.epoch = message.epoch;
  host_.send(message.from, answer);
}

void Replica::onBeatAck(Millis now, const Message& message) {
  if (!primary_) return;
  if (!message.yes) {
    // A member that has promised another round in vain would be lost to this one: it is voted anew.
    seen_ = std::max(seen_, message.epoch);
    const bool toThisRecord = message.sentAt >= ledSince_;
    if (toThisRecord && roundOf(message.epoch) >= roundOf(durable_.record.epoch) && now >= standAfter_)
      stand(now);
    return;
  }
  Peer& peer = peers_[message.from];
  peer.ackedSentAt = std::max(peer.ackedSentAt, message.sentAt);
  peer.heardAt = now;
  peer.tookEpoch = std::max(peer.tookEpoch, message.epoch);
  if (message.epoch != durable_.record.epoch) return;
  if (durable_.record.backups.empty() && !settled_) return sendSync(now);
  if (!durable_.record.isBackup(message.from)) return;
  const bool lost = message.dataEpoch < durable_.record.epoch;  // its disk, say
  const bool due = peer.syncAt < ledSince_ || now - peer.syncAt >= timing_.resync;
  if ((lost || !peer.kept) && due) sendSyncTo(now, message.from);
}

// Whether its vote counts is told by the newest record among the votes, which it may not have taken yet.
void Replica::onProbe(Millis now, const Message& message) {
  Message answer = make(Message::Kind::wouldVote);
  answer.yes = helps(now, message.from);
  answer.epoch = durable_.promised;
  host_.send(message.from, answer);
}

void Replica::onWouldVote(Millis now, const Message& message) {
  seen_ = std::max(seen_, message.epoch);
  noteContacts(message.record);
  if (!ballotIsOpen(now, false) || !message.yes) return;
  ballot_->votes[message.from] = message;
  if (wins(ballot_->votes)) stand(now);
}

void Replica::onAsk(Millis now, const Message& message) {
  Message answer = make(Message::Kind::vote);
  answer.epoch = durable_.promised;
  if (message.epoch <= durable_.promised || !helps(now, message.from))
    return host_.send(message.from, answer);
  if (primary_) stepDown("its lease has run out and another stands for election");
  durable_.promised = message.epoch;
  durable_.promisedTo = message.from;
  if (!keep()) return;
  ballot_.reset();
  standAfter_ = now + timing_.lease;
  answer.yes = true;
  answer.epoch = message.epoch;
  host_.send(message.from, answer);
}

// After a standstill votes may come up that are long over: who gave one may have lost its disk since, and
// have promised the same round to another.
bool Replica::ballotIsOpen(Millis now, bool asked) const {
  return ballot_ && ballot_->asked == asked && now - ballot_->since < kBallotFor;
}

void Replica::onVote(Millis now, const Message& message) {
  if (!message.yes) seen_ = std::max(seen_, message.epoch);
  if (!ballotIsOpen(now, true) || !message.yes || message.epoch != ballot_->epoch) return;
  ballot_->votes[message.from] = message;
  if (wins(ballot_->votes)) win(now);
}

void Replica::win(Millis now) {
  const Ballot won = std::move(*ballot_);
  ballot_.reset();
  Record record = newestOf(won.votes);
  follow(won.votes, record);
  record.epoch = won.epoch;
  record.primary = self_;
  // Who has the newest state is given what it lacks the soonest.
  std::vector<std::pair<std::uint64_t, NodeId>> voters;
  for (const auto& [from, vote] : won.votes) {
    peers_[from].heardAt = now;
    if (contains(record.members, from)) voters.emplace_back(vote.dataEpoch, from);
  }
  std::sort(voters.rbegin(), voters.rend());
  record.backups.clear();
  for (const auto& [dataEpoch, from] : voters)
    if (record.backups.size() < timing_.losses) record.backups.push_back(from);
  std::sort(record.backups.begin(), record.backups.end());
  lead(now, record);
}

const Record& Replica::newestOf(const std::map<NodeId, Message>& votes) const {
  const Record* newest = &durable_.record;
  for (const auto& [from, vote] : votes)
    if (vote.record.epoch > newest->epoch) newest = &vote.record;
  return *newest;
}

// Who decides is told by the newest record that any voter has. There is none newer that holds: it would be
// with a majority of this one's members.
bool Replica::wins(const std::map<NodeId, Message>& votes) const {
  const Record& newest = newestOf(votes);
  std::set<NodeId> voters{self_};
  for (const auto& [from, vote] : votes) voters.insert(from);
  return contains(newest.members, self_) && newest.decides(voters) && eligible(votes, newest);
}

// Whether this node has all that was ever committed. A primary of the newest record that any majority knows
// of has, and so has each of its backups once it was given the state in that epoch. Epochs in which nothing
// was committed are passed over, as far as that is known.
bool Replica::eligible(const std::map<NodeId, Message>& votes, const Record& newest) const {
  if (newest.epoch == 0) return true;
  const std::vector<Generation> used = usedOf(votes, newest);
  return durable_.dataEpoch >= (used.empty() ? newest.previous : used.front().epoch);
}

// A change is committed once all backups have it. So where any backup of an epoch says that it was never
// given the state in it, nothing was committed there, and nothing will be: it has promised its vote's round.
// One that has lost its disk since cannot say so.
bool Replica::neverUsed(const std::map<NodeId, Message>& votes, const Generation& generation) const {
  const auto never = [&](std::uint64_t dataEpoch, std::uint64_t forgotten) {
    return dataEpoch < generation.epoch && forgotten < generation.epoch;
  };
  return std::any_of(generation.backups.begin(), generation.backups.end(), [&](const NodeId& backup) {
    if (backup == self_) return never(durable_.dataEpoch, durable_.forgotten);
    const auto vote = votes.find(backup);
    return vote != votes.end() && never(vote->second.dataEpoch, vote->second.forgotten);
  });
}

// The newest record's epoch and those before it in which something may have been committed, newest first.
std::vector<Generation> Replica::usedOf(const std::map<NodeId, Message>& votes, const Record& newest) const {
  std::vector<Generation> out{newest.generation()};
  out.insert(out.end(), newest.uncertain.begin(), newest.uncertain.end());
  std::erase_if(out, [&](const Generation& generation) { return neverUsed(votes, generation); });
  return out;
}

// What a record that comes after `record` by a vote tells of the epochs before it. Later votes may tell more
// of them, so whatever is not certain is handed on.
void Replica::follow(const std::map<NodeId, Message>& votes, Record& record) const {
  if (record.epoch == 0) return;
  std::uint64_t settled = durable_.settledEpoch;
  for (const auto& [from, vote] : votes) settled = std::max(settled, vote.settledEpoch);
  record.uncertain = usedOf(votes, record);
  record.previous = std::max(record.previous, settled);
  std::erase_if(record.uncertain, [&](const Generation& each) { return each.epoch <= record.previous; });
  if (record.uncertain.size() <= kMostUncertain) return;
  record.previous = record.uncertain[kMostUncertain].epoch;
  record.uncertain.resize(kMostUncertain);
}

void Replica::onSync(Millis now, const Message& message) {
  const Record& record = durable_.record;
  if (!isMember() || message.epoch != record.epoch || !record.isBackup(self_) ||
      record.primary != message.from || durable_.promised != record.epoch || !message.state)
    return;
  heardBeat_ = std::max(heardBeat_, now - timing_.beat);
  const bool known = durable_.dataEpoch == record.epoch && message.state->sequence <= durable_.state.sequence;
  if (!known) {
    durable_.state = *message.state;
    durable_.dataEpoch = record.epoch;
    if (!keep()) return;
  }
  host_.send(message.from, make(Message::Kind::synced));
}

void Replica::onSynced(Millis now, const Message& message) {
  if (!primary_ || message.epoch != durable_.record.epoch || !durable_.record.isBackup(message.from)) return;
  Peer& peer = peers_[message.from];
  peer.heardAt = now;
  peer.kept = message.sequence;
  if (message.sequence == durable_.state.sequence) settle(now);
}

// The state is where it must be: what was proposed holds, if the record does.
void Replica::settle(Millis now) {
  if (now >= leaseUntil(now)) return;  // after a standstill: others may have gone on
  std::set<NodeId> took{self_};
  for (const auto& [node, peer] : peers_)
    if (peer.tookEpoch == durable_.record.epoch) took.insert(node);
  if (!durable_.record.decides(took)) return;
  if (!allKept()) return;
  const bool news = !committed_ || committed_->sequence != durable_.state.sequence;
  if (!committed_) host_.log("primary in epoch " + epochText(durable_.record.epoch));
  settled_ = true;
  durable_.settledEpoch = durable_.record.epoch;
  if (news) committed_ = std::make_shared<State>(durable_.state);
  proposed_ = false;
  if (news) host_.committed(*committed_);
  if (!primary_ || durable_.record.leaving.empty()) return;
  Record next = durable_.record;
  next.leaving.clear();
  renew(now, std::move(next));
}

// --- As a primary
// --------------------------------------------------------------------------------------------

std::uint64_t Replica::nextRound() const {
  return (roundOf(std::max({durable_.promised, durable_.record.epoch, seen_})) + 1) << kPlaceBits;
}

void Replica::renew(Millis now, Record next) {
  if (durable_.promised != durable_.record.epoch) {  // it has stood in vain, and does so again
    if (now >= standAfter_) stand(now);
    return;
  }
  if (durable_.settledEpoch == durable_.record.epoch) {
    next.previous = durable_.record.epoch;
    next.uncertain.clear();
  }
  next.epoch = durable_.record.epoch + 1;
  lead(now, next);
}

void Replica::lead(Millis now, const Record& record) {
  durable_.promised = record.epoch;
  durable_.promisedTo = self_;
  durable_.record = record;
  durable_.dataEpoch = record.epoch;
  if (!keep()) return;
  if (!primary_) electedAt_ = now;
  primary_ = true;
  settled_ = false;
  leader_ = self_;
  ledSince_ = now;
  for (auto& [node, peer] : peers_) peer.syncAt = -1e18, peer.kept.reset();
  beatAt_ = -1e18;
  tickPrimary(now);
}

void Replica::tickPrimary(Millis now) {
  // First of all: after a standstill nobody may hear of a primary that others may have replaced.
  if (now >= std::max(leaseUntil(now), electedAt_ + timing_.lease)) {
    stepDown("no majority has answered for a lease's time");
    standAfter_ = now + timing_.stagger;
    return;
  }
  if (now - beatAt_ >= timing_.beat) sendBeats(now);
  if (!settled_) sendSync(now);
  if (changeMembers(now)) return;
  replaceSilentBackups(now);
}

void Replica::sendBeats(Millis now) {
  beatAt_ = now;
  Message beat = make(Message::Kind::beat);
  beat.sentAt = now;
  broadcast(beat);
  std::erase_if(observers_, [&](const auto& observer) { return now - observer.second > kObserverKept; });
  for (const auto& [observer, heardAt] : observers_) host_.send(observer, beat);
}

// Another member takes a silent backup's place, as far as there is one.
bool Replica::replaceSilentBackups(Millis now) {
  const Record& record = durable_.record;
  std::vector<NodeId> heard;
  for (const NodeId& backup : record.backups)
    if (now - heardAt(backup) < timing_.backupSilent) heard.push_back(backup);
  const std::size_t wanted = std::min<std::size_t>(timing_.losses, record.members.size() - 1);
  const bool grows = settled_ && record.leaving.empty() && record.backups.size() < wanted;
  if (heard.size() == record.backups.size() && !grows) return false;
  const auto next = chooseBackups(now, heard);
  // Who is silent is lost already: so many fewer disks need to be there for those that may still be.
  const auto silent = static_cast<unsigned>(
      std::count_if(record.members.begin(), record.members.end(), [&](const NodeId& member) {
        return member != self_ && now - heardAt(member) >= timing_.backupSilent;
      }));
  const unsigned needed = std::max(1u, timing_.losses - std::min(timing_.losses, silent));
  if (next == record.backups || next.size() < std::min<std::size_t>(needed, record.backups.size()))
    return false;
  for (const NodeId& backup : next)
    if (!record.isBackup(backup)) host_.log(backup + " becomes a backup");
  Record other = record;
  other.backups = next;
  renew(now, std::move(other));
  return true;
}

Millis Replica::heardAt(const NodeId& node) const {
  const auto peer = peers_.find(node);
  return std::max(ledSince_, peer == peers_.end() ? -1e18 : peer->second.heardAt);
}

// One at a time, and only while the record before it holds. The one that comes in has this epoch's record
// already: it is there, and has listened for long enough to have forgotten nothing. It fills a place that is
// empty, or that of a member that is silent.
bool Replica::changeMembers(Millis now) {
  const Record& record = durable_.record;
  if (!settled_ || !record.leaving.empty()) return false;
  const auto comes = std::find_if(observers_.begin(), observers_.end(), [&](const auto& observer) {
    const auto peer = peers_.find(observer.first);
    return !record.has(observer.first) && peer != peers_.end() && now - peer->second.heardAt < kAliveWithin &&
           peer->second.tookEpoch == record.epoch;
  });
  if (comes == observers_.end()) return false;
  const auto silent = std::find_if(record.members.begin(), record.members.end(), [&](const NodeId& member) {
    return member != self_ && !record.isBackup(member) && now - heardAt(member) >= timing_.replaceAfter;
  });
  Record next = record;
  next.leaving = record.members;
  if (silent != record.members.end()) {
    host_.log(comes->first + " takes the place of " + *silent + ", which is silent");
    next.members[static_cast<std::size_t>(silent - record.members.begin())] = comes->first;
  } else if (record.members.size() < 2 * timing_.losses + 1) {
    host_.log(comes->first + " becomes a member");
    next.members.push_back(comes->first);
  } else {
    return false;
  }
  std::sort(next.members.begin(), next.members.end());
  renew(now, std::move(next));
  return true;
}

// These and, as far as they are too few, those of the other members that were heard last.
std::vector<NodeId> Replica::chooseBackups(Millis now, std::vector<NodeId> kept) const {
  std::vector<std::pair<Millis, NodeId>> others;
  for (const NodeId& member : durable_.record.members) {
    const auto peer = peers_.find(member);
    if (member == self_ || durable_.record.isBackup(member) || peer == peers_.end()) continue;
    if (now - peer->second.heardAt < kAliveWithin) others.emplace_back(peer->second.heardAt, member);
  }
  std::sort(others.rbegin(), others.rend());
  for (const auto& [heard, member] : others)
    if (kept.size() < timing_.losses) kept.push_back(member);
  std::sort(kept.begin(), kept.end());
  return kept;
}

void Replica::propose(Millis now, const State& next) {
  if (!canWrite(now)) return;
  durable_.state = next;
  proposed_ = true;
  settled_ = false;
  if (!keep()) return;
  sendSync(now);
}

// Whether each backup has the state as it is here; so a core of one always has.
bool Replica::allKept() {
  const auto& backups = durable_.record.backups;
  return std::all_of(backups.begin(), backups.end(),
                     [&](const NodeId& backup) { return peers_[backup].kept == durable_.state.sequence; });
}

// To each backup that has the record and not the state, and not again at once. Where all have it, what was in
// the way of its counting may be over: a lease that had run out, a member that had not taken the record.
void Replica::sendSync(Millis now) {
  if (allKept()) return settle(now);
  for (const NodeId& backup : durable_.record.backups) {
    const Peer& peer = peers_[backup];
    if (peer.tookEpoch != epoch() || peer.kept == durable_.state.sequence) continue;
    const bool news = peer.kept.has_value();  // it had all until this change
    if (news || now - peer.syncAt >= timing_.resync) sendSyncTo(now, backup);
  }
}

void Replica::sendSyncTo(Millis now, const NodeId& backup) {
  Peer& peer = peers_[backup];
  peer.syncAt = now;
  peer.kept.reset();
  Message sync = make(Message::Kind::sync);
  sync.state = durable_.state;
  host_.send(backup, sync);
}

void Replica::stepDown(const std::string& why) {
  if (!primary_) return;
  primary_ = settled_ = proposed_ = false;
  committed_.reset();
  peers_.clear();
  leader_.clear();
  host_.log("no longer primary: " + why);
  host_.lostPrimacy();
}

void Replica::resign() {
  resigned_ = true;
  if (!primary_) return;
  const bool settled = settled_;
  const Message word = make(Message::Kind::resign);
  stepDown("it leaves");
  if (settled) broadcast(word);
}

// --- As a follower
// -------------------------------------------------------------------------------------------

void Replica::tickFollower(Millis now) {
  if (owes(now) || empty_) return;
  if (ballot_ && now - ballot_->since < kBallotFor) return;
  if (standAfter_ <= 0) {
    // Who led last, and was only restarted, is helped at once.
    const auto& members = durable_.record.members;
    const auto place = std::lower_bound(members.begin(), members.end(), self_) - members.begin();
    const bool ledLast = durable_.record.primary == self_ && durable_.promisedTo == self_;
    standAfter_ = now + timing_.stagger * (ledLast ? 0.0 : static_cast<double>(place));
  }
  if (now < standAfter_) return;
  leader_.clear();
  probe(now);
}

// Asks who would vote before it promises itself anything, so that a member that cannot win, since the others
// are loyal or have newer state, disturbs nobody.
void Replica::probe(Millis now) {
  standAfter_ = 0;
  ballot_ = Ballot{false, 0, now, {}};
  if (wins({})) return stand(now);  // a core of one
  askVoters(make(Message::Kind::probe));
}

void Replica::stand(Millis now) {
  durable_.promised = nextRound();
  durable_.promisedTo = self_;
  standAfter_ = primary_ ? now + timing_.standAgain : 0;
  if (!keep()) return;
  ballot_ = Ballot{true, durable_.promised, now, {}};
  if (wins({})) return win(now);
  Message ask = make(Message::Kind::ask);
  ask.epoch = durable_.promised;
  askVoters(ask);
}

}  // namespace lilacmux
