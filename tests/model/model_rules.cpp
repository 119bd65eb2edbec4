#include "model_rules.hpp"

#include <algorithm>

namespace model {
namespace {

constexpr std::uint32_t epochBit(unsigned epoch) { return std::uint32_t{1} << epoch; }

std::string epochText(unsigned epoch) {
  return std::to_string(termOf(static_cast<Epoch>(epoch))) + "." + std::to_string(epoch % kSteps);
}

std::string nodeText(unsigned node, const NodeIndexes& originals) {
  return node >= kMaxNodes ? "-" : std::string(1, static_cast<char>('A' + originals[node]));
}

std::string nodesText(Mask mask, const NodeIndexes& originals) {
  std::string out;
  for (unsigned i = 0; i < kMaxNodes; ++i)
    if (has(mask, i)) out += nodeText(i, originals);
  std::sort(out.begin(), out.end());
  return out.empty() ? "-" : out;
}

Epoch newestRecord(const State& state) {
  for (unsigned epoch = kMaxEpochs; epoch-- > 0;)
    if (state.records[epoch].exists) return static_cast<Epoch>(epoch);
  return 0;
}

unsigned newestTermWon(const State& state) {
  return static_cast<unsigned>(std::bit_width(state.termsWon)) - 1;
}

bool isPrimaryIn(const State& state, Epoch epoch) {
  const Record& record = state.records[epoch];
  if (!record.exists || record.primary == kNobody) return false;
  const Node& primary = state.nodes[record.primary];
  return primary.isPrimary && primary.record == epoch;
}

}  // namespace

std::string describe(const Action& action, const NodeIndexes& originals) {
  const std::string node = nodeText(action.node, originals);
  switch (action.kind) {
    case Action::Kind::restart:
      return node + " is restarted";
    case Action::Kind::vote:
      return node + " votes for " + nodeText(action.other, originals) + ", which has not won";
    case Action::Kind::elect:
      return node + " wins " + epochText(action.other) + " with the votes of " +
             nodesText(action.nodes, originals);
    case Action::Kind::accept:
      return node + " accepts record " + epochText(action.other);
    case Action::Kind::replicate:
      return node + " stores the state of " + epochText(action.other);
    case Action::Kind::commit:
      return node + " commits its state in " + epochText(action.other);
    case Action::Kind::propose:
      return node + " proposes a change";
    case Action::Kind::changeBackups:
      return node + " changes the backups in " + epochText(action.other) + ": " +
             nodesText(action.nodes, originals);
    case Action::Kind::replace:
      return node + " changes the members in " + epochText(action.other) + ": " +
             nodesText(action.nodes, originals);
    case Action::Kind::finish:
      return node + " completes the membership change in " + epochText(action.other);
    case Action::Kind::loseDisk:
      return node + " loses its disk";
  }
  return {};
}

State Rules::initial() const { return bounds_.startsEstablished ? establishedState() : bootstrapState(); }

State Rules::bootstrapState() const {
  State state;
  state.healthyMembers = static_cast<Mask>(bit(bounds_.members) - 1);
  state.records[0].exists = 1;
  state.records[0].members = state.healthyMembers;
  for (unsigned i = bounds_.members; i < bounds_.nodes(); ++i) state.nodes[i].hasEmptyDisk = 1;
  return state;
}

State Rules::establishedState() const {
  State state;
  const Epoch first = firstEpochOf(1);
  const Mask members = static_cast<Mask>(bit(bounds_.members) - 1);
  Record& record = state.records[first];
  record.exists = record.committed = record.established = 1;
  record.primary = 0;
  record.members = members;
  record.backups = static_cast<Mask>((bit(bounds_.losses + 1) - 1) & ~bit(0));
  record.replicated = record.backups;
  record.accepted = static_cast<Mask>(bit(bounds_.nodes()) - 1);
  record.data = 1;
  for (unsigned i = 0; i < bounds_.nodes(); ++i) {
    Node& node = state.nodes[i];
    node.votedEpoch = node.record = first;
    node.votedFor = 0;
    if (i >= bounds_.members) node.lostEpoch = first;
    if (i <= bounds_.losses) node.dataEpoch = first, node.data = 1;
  }
  state.nodes[0].isPrimary = 1;
  state.acknowledged = state.establishedData = 1;
  state.proposed = 1;
  state.newestEstablished = first;
  state.termsWon = 1 << 1;
  state.healthyMembers = members;
  return state;
}

bool Rules::isQuorum(const Record& record, Mask nodes) const {
  if (mutant_ == Mutant::oldQuorumSuffices && record.oldMembers) return isMajority(record.oldMembers, nodes);
  if (mutant_ == Mutant::newQuorumSuffices) return isMajority(record.members, nodes);
  return isMajority(record.members, nodes) && (!record.oldMembers || isMajority(record.oldMembers, nodes));
}

bool Rules::isMember(const State& state, unsigned node) const {
  const Record& record = state.records[state.nodes[node].record];
  return has(record.members | record.oldMembers, node);
}

bool Rules::mayBeCandidate(const State& state, unsigned node) const {
  if (state.nodes[node].hasEmptyDisk) return mutant_ == Mutant::emptyDiskVotes;
  return isMember(state, node);
}

// A node that has accepted a record may vote, whether it is a member by that record or not: the newest record
// among the voters decides which votes count.
bool Rules::mayVote(const State& state, unsigned node) const {
  return mayBeCandidate(state, node) ||
         (!state.nodes[node].hasEmptyDisk && mutant_ != Mutant::observerDoesNotVote);
}

bool Rules::neverReceivedState(const State& state, unsigned node, Epoch epoch) const {
  const Node& backup = state.nodes[node];
  return backup.dataEpoch < epoch && (backup.lostEpoch < epoch || mutant_ == Mutant::diskLossNotReported);
}

Rules::ElectionOutcome Rules::electionOutcome(const State& state, unsigned candidate, Mask voters) const {
  ElectionOutcome out;
  const Mask all = voters | bit(candidate);
  for (unsigned i = 0; i < bounds_.nodes(); ++i)
    if (has(all, i)) out.newest = std::max(out.newest, state.nodes[i].record);
  const Record& newest = state.records[out.newest];
  const Record& own = state.records[state.nodes[candidate].record];
  const bool hasQuorum =
      mutant_ == Mutant::ownRecordQuorum ? isMajority(own.members, all) : isQuorum(newest, all);
  if (!has(newest.members, candidate) || !hasQuorum) return out;

  // Nothing was committed in an epoch if one of its backups reports that it never received the state.
  out.undecided = newest.undecided | epochBit(out.newest);
  for (unsigned epoch = 0; epoch <= out.newest; ++epoch) {
    if (!(out.undecided & epochBit(epoch))) continue;
    const Mask backupsAsked = state.records[epoch].backups & all;
    for (unsigned i = 0; i < bounds_.nodes(); ++i)
      if (has(backupsAsked, i) && neverReceivedState(state, i, static_cast<Epoch>(epoch)))
        out.undecided &= ~epochBit(epoch);
  }
  const Epoch data = state.nodes[candidate].dataEpoch;
  const std::uint32_t newerThanData = ~(epochBit(data + 1u) - 1);
  const bool hasAll = data >= newest.previous && !(out.undecided & newerThanData);
  out.wins = hasAll || mutant_ == Mutant::stateNotCompared;
  return out;
}

void Rules::successors(const State& state, const Visit& visit) const {
  for (unsigned node = 0; node < bounds_.nodes(); ++node) {
    restart(state, node, visit);
    vote(state, node, visit);
    elect(state, node, visit);
    accept(state, node, visit);
    replicate(state, node, visit);
    commit(state, node, visit);
    propose(state, node, visit);
    changeBackups(state, node, visit);
    replaceMember(state, node, visit);
    finishReplacement(state, node, visit);
    loseDisk(state, node, visit);
  }
}

// Restarts a primary; a step-down has the same effect. A restart of another node loses nothing that is
// modelled.
void Rules::restart(const State& state, unsigned node, const Visit& visit) const {
  if (!state.nodes[node].isPrimary) return;
  State next = state;
  next.nodes[node].isPrimary = 0;
  visitNext(next, {Action::Kind::restart, node, 0, 0}, nullptr, visit);
}

// A vote in an election that is not won, for a candidate that has voted for itself.
void Rules::vote(const State& state, unsigned node, const Visit& visit) const {
  if (state.unwonVotes >= bounds_.unwonVotes) return;
  for (unsigned candidate = 0; candidate < bounds_.nodes(); ++candidate) {
    if (candidate == node ? !mayBeCandidate(state, node) : !mayVote(state, node)) continue;
    const Node& other = state.nodes[candidate];
    const unsigned term = candidate == node ? termOf(other.votedEpoch) + 1 : termOf(other.votedEpoch);
    if (term >= bounds_.terms + 1 || state.nodes[node].votedEpoch >= firstEpochOf(term)) continue;
    if (candidate != node && (other.votedFor != candidate || termOf(other.record) == term)) continue;
    State next = state;
    next.nodes[node].votedEpoch = firstEpochOf(term);
    next.nodes[node].votedFor = static_cast<std::uint8_t>(candidate);
    if (candidate != node) next.nodes[node].isPrimary = 0;
    ++next.unwonVotes;
    visitNext(next, {Action::Kind::vote, node, candidate, 0}, nullptr, visit);
  }
}

// An election in one step. A later vote is covered as well: the voter was slow until then, which is the same
// to the other nodes.
void Rules::elect(const State& state, unsigned node, const Visit& visit) const {
  if (!mayBeCandidate(state, node)) return;
  Mask possibleVoters = 0;
  for (unsigned i = 0; i < bounds_.nodes(); ++i)
    if (i != node && mayVote(state, i)) possibleVoters = static_cast<Mask>(possibleVoters | bit(i));
  for (Mask voters = possibleVoters; voters; voters = static_cast<Mask>((voters - 1) & possibleVoters)) {
    if (!electionOutcome(state, node, voters).wins) continue;
    // The candidate wins with the first votes that suffice: without the last of them it would not win.
    bool isLastNeeded = false;
    for (unsigned i = 0; i < bounds_.nodes() && !isLastNeeded; ++i)
      isLastNeeded =
          has(voters, i) && !electionOutcome(state, node, static_cast<Mask>(voters & ~bit(i))).wins;
    if (isLastNeeded) electWith(state, node, voters, visit);
  }
}

void Rules::electWith(const State& state, unsigned node, Mask voters, const Visit& visit) const {
  const Node& candidate = state.nodes[node];
  const bool isCandidate = candidate.votedFor == node && candidate.votedEpoch > candidate.record &&
                           candidate.votedEpoch == firstEpochOf(termOf(candidate.votedEpoch));
  unsigned term = isCandidate ? termOf(candidate.votedEpoch) : termOf(candidate.votedEpoch) + 1;
  for (unsigned i = 0; i < bounds_.nodes(); ++i) {
    const Node& voter = state.nodes[i];
    if (!has(voters, i) ||
        (isCandidate && voter.votedEpoch == candidate.votedEpoch && voter.votedFor == node))
      continue;
    term = std::max(term, termOf(voter.votedEpoch) + 1);
  }
  if (term > bounds_.terms) return;

  const ElectionOutcome won = electionOutcome(state, node, voters);
  const Record& newest = state.records[won.newest];
  const Epoch epoch = firstEpochOf(term);
  State next = state;
  Record& record = next.records[epoch];
  record = Record{};
  record.exists = 1;
  record.primary = static_cast<std::uint8_t>(node);
  record.members = newest.members;
  record.oldMembers = newest.oldMembers;
  record.previous = newest.previous;
  record.undecided = won.undecided;
  if (mutant_ == Mutant::previousIsNewestRecord) record.previous = won.newest, record.undecided = 0;
  if (mutant_ == Mutant::previousIsOwnData) record.previous = candidate.dataEpoch, record.undecided = 0;
  if (mutant_ == Mutant::undecidedDropped && record.undecided)
    record.previous = candidate.dataEpoch, record.undecided = 0;
  record.accepted = bit(node);
  record.data = candidate.data;
  for (unsigned i = 0; i < bounds_.nodes(); ++i) {
    if (!has(voters, i) && i != node) continue;
    next.nodes[i].votedEpoch = epoch;
    next.nodes[i].votedFor = static_cast<std::uint8_t>(node);
    next.nodes[i].isPrimary = i == node;
  }
  next.nodes[node].record = next.nodes[node].dataEpoch = epoch;
  const char* const violation = next.termsWon & (1u << term) ? "a term has two winners" : nullptr;
  next.termsWon = static_cast<std::uint8_t>(next.termsWon | 1u << term);

  // The voters with the newest state become the backups; each choice among equal voters is visited.
  const Mask choice = voters & newest.members;
  const unsigned wanted = std::min(bounds_.losses, count(choice));
  const Epoch established = state.newestEstablished <= won.newest ? state.newestEstablished : Epoch{0};
  for (Mask backups = choice;; backups = static_cast<Mask>((backups - 1) & choice)) {
    if (count(backups) == wanted && areNewest(state, backups, choice)) {
      record.backups = backups;
      visitNext(next, {Action::Kind::elect, node, epoch, voters}, violation, visit);
      if (established > record.previous) {  // some voter may know that this epoch was established
        State informed = next;
        informed.records[epoch].previous = established;
        informed.records[epoch].undecided &= ~(epochBit(established + 1u) - 1);
        visitNext(informed, {Action::Kind::elect, node, epoch, voters}, violation, visit);
      }
    }
    if (!backups) return;
  }
}

// Returns whether no node of `choice` outside `chosen` has newer state than a chosen one.
bool Rules::areNewest(const State& state, Mask chosen, Mask choice) const {
  Epoch oldestIn = kMaxEpochs, newestOut = 0;
  for (unsigned i = 0; i < bounds_.nodes(); ++i) {
    if (has(chosen, i)) oldestIn = std::min(oldestIn, state.nodes[i].dataEpoch);
    if (has(choice, i) && !has(chosen, i)) newestOut = std::max(newestOut, state.nodes[i].dataEpoch);
  }
  return newestOut <= oldestIn;
}

bool Rules::isAcceptable(const State& state, unsigned node, Epoch epoch) const {
  const Node& acceptingNode = state.nodes[node];
  const Record& record = state.records[epoch];
  if (!record.exists || record.primary == node || epoch == acceptingNode.record) return false;
  if (epoch < std::max(acceptingNode.votedEpoch, acceptingNode.record)) return false;
  if (termOf(epoch) == termOf(acceptingNode.votedEpoch) && acceptingNode.votedFor != record.primary)
    return false;
  if (!acceptingNode.hasEmptyDisk) return true;
  // A node with an empty disk has waited for longer than a lease and than the lifetime of any message, so the
  // record comes from a primary that may act.
  if (!isPrimaryIn(state, epoch)) return false;
  return mutant_ == Mutant::staleHeartbeat || termOf(epoch) == newestTermWon(state);
}

void Rules::accept(const State& state, unsigned node, const Visit& visit) const {
  if (state.nodes[node].isPrimary) return;  // a primary must step down first
  for (unsigned epoch = 1; epoch < kMaxEpochs; ++epoch) {
    if (!isAcceptable(state, node, static_cast<Epoch>(epoch))) continue;
    State next = state;
    Node& acceptingNode = next.nodes[node];
    acceptingNode.record = acceptingNode.votedEpoch = static_cast<Epoch>(epoch);
    acceptingNode.votedFor = next.records[epoch].primary;
    if (acceptingNode.hasEmptyDisk) acceptingNode.lostEpoch = static_cast<Epoch>(epoch);
    acceptingNode.hasEmptyDisk = 0;
    next.records[epoch].accepted = static_cast<Mask>(next.records[epoch].accepted | bit(node));
    visitNext(next, {Action::Kind::accept, node, epoch, 0}, nullptr, visit);
  }
}

void Rules::replicate(const State& state, unsigned node, const Visit& visit) const {
  const Node& backup = state.nodes[node];
  const Epoch epoch = backup.record;
  const Record& record = state.records[epoch];
  if (!isPrimaryIn(state, epoch) || !has(record.backups, node)) return;
  if (backup.votedEpoch != epoch && mutant_ != Mutant::backupIgnoresVote) return;
  if (backup.dataEpoch == epoch && backup.data == record.data && has(record.replicated, node)) return;
  State next = state;
  next.nodes[node].dataEpoch = epoch;
  next.nodes[node].data = record.data;
  next.records[epoch].replicated = static_cast<Mask>(record.replicated | bit(node));
  visitNext(next, {Action::Kind::replicate, node, epoch, 0}, nullptr, visit);
}

// A primary that does not know its successor yet may still commit changes that the successor has too.
void Rules::commit(const State& state, unsigned node, const Visit& visit) const {
  const Epoch epoch = state.nodes[node].record;
  const Record& record = state.records[epoch];
  if (!state.nodes[node].isPrimary || record.committed) return;
  if (!isQuorum(record, record.accepted) || (record.replicated & record.backups) != record.backups) return;
  State next = state;
  next.records[epoch].committed = next.records[epoch].established = 1;
  const char* violation = nullptr;
  if (record.primary != node) violation = "a node that is not the primary acknowledges a change";
  if (epoch >= state.newestEstablished) {
    if ((record.data & state.acknowledged) != state.acknowledged)
      violation = "an acknowledged change is lost";
    next.newestEstablished = epoch;
    next.establishedData = record.data;
  } else if ((state.establishedData & record.data) != record.data) {
    violation = "an older primary acknowledges a change that a newer one lacks";
  }
  next.acknowledged = state.acknowledged | record.data;
  visitNext(next, {Action::Kind::commit, node, epoch, 0}, violation, visit);
}

void Rules::propose(const State& state, unsigned node, const Visit& visit) const {
  const Node& primary = state.nodes[node];
  const Record& record = state.records[primary.record];
  if (!primary.isPrimary || !record.committed || primary.votedEpoch != primary.record) return;
  if (state.proposed >= bounds_.changes) return;
  State next = state;
  Record& changed = next.records[primary.record];
  changed.data = static_cast<std::uint8_t>(changed.data | bit(next.proposed));
  changed.replicated = 0;
  changed.committed = 0;
  next.nodes[node].data = changed.data;
  ++next.proposed;
  visitNext(next, {Action::Kind::propose, node, 0, 0}, nullptr, visit);
}

bool Rules::mayOpenNextEpoch(const State& state, unsigned node) const {
  const Node& primary = state.nodes[node];
  return primary.isPrimary && primary.votedEpoch == primary.record && primary.record % kSteps < bounds_.steps;
}

// Returns the state after the primary `node` has opened the next step of its term.
State Rules::withNextEpoch(const State& state, unsigned node, Mask backups, Mask members,
                           Mask oldMembers) const {
  State next = state;
  Node& primary = next.nodes[node];
  const Record& before = state.records[primary.record];
  const Epoch epoch = static_cast<Epoch>(primary.record + 1);
  Record& record = next.records[epoch];
  record = Record{};
  record.exists = 1;
  record.primary = static_cast<std::uint8_t>(node);
  record.backups = backups;
  record.members = members;
  record.oldMembers = oldMembers;
  const bool isComplete = before.established || mutant_ == Mutant::previousIsNewestRecord ||
                          mutant_ == Mutant::previousIsOwnData || mutant_ == Mutant::backupChangeSkipsCheck;
  record.previous = isComplete ? primary.record : before.previous;
  record.undecided = isComplete ? 0 : before.undecided;
  record.accepted = bit(node);
  record.data = before.data;
  primary.votedEpoch = primary.record = primary.dataEpoch = epoch;
  primary.votedFor = static_cast<std::uint8_t>(node);
  return next;
}

// Replaces unresponsive backups. While members are unresponsive, fewer backups suffice: those members count
// as lost.
void Rules::changeBackups(const State& state, unsigned node, const Visit& visit) const {
  if (!mayOpenNextEpoch(state, node) || state.backupChanges >= bounds_.backupChanges) return;
  const Record& record = state.records[state.nodes[node].record];
  const Mask others = static_cast<Mask>(record.members & ~bit(node));
  const unsigned wanted = std::min(bounds_.losses, count(others));
  for (Mask backups = others; backups; backups = static_cast<Mask>((backups - 1) & others)) {
    if (backups == record.backups || count(backups) > wanted) continue;
    const Mask dropped = static_cast<Mask>(record.backups & ~backups);
    if (!dropped && (!record.committed || record.oldMembers)) continue;
    const Mask remaining = static_cast<Mask>(others & ~backups);
    const unsigned unresponsiveNeeded = wanted - count(backups);
    for (Mask unresponsive = remaining;; unresponsive = static_cast<Mask>((unresponsive - 1) & remaining)) {
      if (count(unresponsive) == std::max(unresponsiveNeeded, count(dropped)) &&
          (unresponsive & dropped) == dropped) {
        State next = withNextEpoch(state, node, backups, record.members, record.oldMembers);
        ++next.backupChanges;
        if (unresponsiveNeeded && mutant_ != Mutant::unresponsiveNotLost)
          next.lost = static_cast<Mask>(next.lost | unresponsive);
        visitNext(next, {Action::Kind::changeBackups, node, next.nodes[node].record, backups}, nullptr,
                  visit);
        if (!unresponsiveNeeded) break;
      }
      if (!unresponsive) break;
    }
  }
}

void Rules::replaceMember(const State& state, unsigned node, const Visit& visit) const {
  if (!mayOpenNextEpoch(state, node) || state.replacements >= bounds_.replacements) return;
  const Record& record = state.records[state.nodes[node].record];
  if (!record.committed || record.oldMembers) return;
  for (unsigned spare = 0; spare < bounds_.nodes(); ++spare) {
    if (has(record.members, spare) || !has(record.accepted, spare)) continue;
    if (count(record.members) < bounds_.wantedMembers())
      changeMembers(state, node, static_cast<Mask>(record.members | bit(spare)), visit);
    for (unsigned unresponsive = 0; unresponsive < bounds_.nodes(); ++unresponsive) {
      if (unresponsive == node || !has(record.members, unresponsive) || has(record.backups, unresponsive))
        continue;
      changeMembers(state, node, static_cast<Mask>((record.members & ~bit(unresponsive)) | bit(spare)),
                    visit);
    }
  }
}

void Rules::changeMembers(const State& state, unsigned node, Mask members, const Visit& visit) const {
  const Record& record = state.records[state.nodes[node].record];
  const Mask oldMembers = mutant_ == Mutant::singleRecordChange ? Mask{0} : record.members;
  State next = withNextEpoch(state, node, record.backups, members, oldMembers);
  ++next.replacements;
  visitNext(next, {Action::Kind::replace, node, next.nodes[node].record, members}, nullptr, visit);
}

void Rules::finishReplacement(const State& state, unsigned node, const Visit& visit) const {
  if (!mayOpenNextEpoch(state, node)) return;
  const Record& record = state.records[state.nodes[node].record];
  if (!record.committed || !record.oldMembers) return;
  const State next = withNextEpoch(state, node, record.backups, record.members, 0);
  visitNext(next, {Action::Kind::finish, node, next.nodes[node].record, 0}, nullptr, visit);
}

// Returns the number of tolerated losses, which is lower while there are fewer members than wanted.
unsigned Rules::toleratedLosses(const State& state) const {
  return std::min(bounds_.losses, (count(state.healthyMembers) - 1) / 2);
}

// Disks may be lost at any moment, up to the number of tolerated losses since the core was last
// healthy.
void Rules::loseDisk(const State& state, unsigned node, const Visit& visit) const {
  if (state.diskLosses >= bounds_.diskLosses || state.nodes[node].hasEmptyDisk) return;
  if (count(state.lost | bit(node)) > toleratedLosses(state)) return;
  State next = state;
  next.nodes[node] = Node{};
  next.nodes[node].hasEmptyDisk = 1;
  next.lost = static_cast<Mask>(next.lost | bit(node));
  ++next.diskLosses;
  visitNext(next, {Action::Kind::loseDisk, node, 0, 0}, nullptr, visit);
}

// Returns whether all members have accepted the record and its backups have the state, so that losses are
// counted from zero again.
bool Rules::isHealthy(const State& state, Epoch epoch) const {
  const Record& record = state.records[epoch];
  if (!isPrimaryIn(state, epoch) || !record.committed || record.oldMembers) return false;
  if (count(record.backups) < bounds_.losses) return false;
  for (unsigned i = 0; i < bounds_.nodes(); ++i) {
    const Node& node = state.nodes[i];
    if (!has(record.members, i)) continue;
    if (node.hasEmptyDisk || node.record != epoch || node.votedEpoch != epoch) return false;
    if (has(record.backups, i) && (node.dataEpoch != epoch || node.data != record.data)) return false;
  }
  return true;
}

void Rules::visitNext(State next, const Action& action, const char* violation, const Visit& visit) const {
  dropUnreachable(next);
  const Epoch newest = newestRecord(next);
  if (isHealthy(next, newest)) {
    next.healthyMembers = next.records[newest].members;
    next.lost = 0;
    for (unsigned i = 0; i < bounds_.nodes(); ++i)  // the disk of a spare
      if (next.nodes[i].hasEmptyDisk) next.lost = static_cast<Mask>(next.lost | bit(i));
  }
  visit(next, action, violation);
}

// Removes data that no node can read any more, so that states which differ only in such data become equal.
void Rules::dropUnreachable(State& state) const {
  std::uint32_t referencedEpochs = 0;
  for (unsigned i = 0; i < bounds_.nodes(); ++i) {
    Node& node = state.nodes[i];
    if (state.records[node.record].exists) referencedEpochs |= epochBit(node.record);
  }
  for (unsigned epoch = kMaxEpochs; epoch-- > 0;) {
    Record& record = state.records[epoch];
    if (!record.exists) continue;
    bool isReachable = (referencedEpochs & epochBit(epoch)) != 0;
    for (unsigned i = 0; i < bounds_.nodes() && !isReachable; ++i)
      isReachable = isAcceptable(state, i, static_cast<Epoch>(epoch));
    if (!isReachable) {
      record = Record{};
      continue;
    }
    referencedEpochs |= record.undecided;
    if (isPrimaryIn(state, static_cast<Epoch>(epoch))) {
      // Once a quorum has accepted the record, further acceptances matter only for spares.
      if (isQuorum(record, record.accepted))
        record.accepted = static_cast<Mask>(record.accepted | record.members | record.oldMembers);
      continue;
    }
    record.accepted = record.replicated = 0;
    record.data = record.committed = record.established = 0;
  }
}

bool Rules::canElect(const State& state, Mask present) const {
  for (unsigned candidate = 0; candidate < bounds_.nodes(); ++candidate) {
    if (!has(present, candidate) || !mayBeCandidate(state, candidate)) continue;
    Mask voters = 0;
    for (unsigned i = 0; i < bounds_.nodes(); ++i)
      if (i != candidate && has(present, i) && mayVote(state, i)) voters = static_cast<Mask>(voters | bit(i));
    if (electionOutcome(state, candidate, voters).wins) return true;
  }
  return false;
}

bool Rules::isAlwaysElectable(const State& state) const {
  Mask reachable = state.healthyMembers;
  for (const Record& record : state.records)
    reachable = static_cast<Mask>(reachable | record.members | record.oldMembers);
  for (Mask lostNow = reachable;; lostNow = static_cast<Mask>((lostNow - 1) & reachable)) {
    const bool isTolerated = count(lostNow | state.lost) <= toleratedLosses(state);
    if (isTolerated && !canElect(state, static_cast<Mask>(reachable & ~lostNow))) return false;
    if (!lostNow) return true;
  }
}

}  // namespace model
