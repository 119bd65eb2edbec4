#include "consensus/leader_election.hpp"

#include <algorithm>
#include <utility>

namespace lilacmux {
namespace {

constexpr Millis kVoteValidity = 250;

}  // namespace

bool Election::isOpen(Millis now) const { return now - startedAt_ < kVoteValidity; }

const EpochRecord& Election::newestRecord(const DurableState& own) const {
  const EpochRecord* newest = &own.record;
  for (const auto& [from, vote] : votes_)
    if (vote.record.epoch > newest->epoch) newest = &vote.record;
  return *newest;
}

bool Election::isWon(const DurableState& own) const {
  const EpochRecord& newest = newestRecord(own);
  std::set<NodeId> voters{candidate_};
  for (const auto& [from, vote] : votes_) voters.insert(from);
  return contains(newest.members, candidate_) && newest.isQuorum(voters) && hasAllCommitted(own, newest);
}

// The primary of the newest record has all that was committed, and so has each of its backups once it was
// given the state in that epoch. Epochs in which nothing was committed are passed over, as far as that is
// known.
bool Election::hasAllCommitted(const DurableState& own, const EpochRecord& newest) const {
  if (newest.epoch == 0) return true;
  const std::vector<ReplicaSet> used = possiblyCommittedIn(own, newest);
  return own.dataEpoch >= (used.empty() ? newest.previous : used.front().epoch);
}

// A change is committed once all backups have it. So where any backup of an epoch says that it was never
// given the state in it, nothing was committed there, and nothing will be: it has voted in the term of this
// election. One that has lost its disk since cannot tell.
bool Election::nothingCommittedIn(const DurableState& own, const ReplicaSet& replicaSet) const {
  const auto neverGiven = [&](std::uint64_t dataEpoch, std::uint64_t lostEpoch) {
    return dataEpoch < replicaSet.epoch && lostEpoch < replicaSet.epoch;
  };
  return std::any_of(replicaSet.backups.begin(), replicaSet.backups.end(), [&](const NodeId& backup) {
    if (backup == candidate_) return neverGiven(own.dataEpoch, own.lostEpoch);
    const auto vote = votes_.find(backup);
    return vote != votes_.end() && neverGiven(vote->second.dataEpoch, vote->second.lostEpoch);
  });
}

// A change is committed only once a quorum has accepted its epoch's record. Voters that have not accepted it
// never will, since they have voted in a later term; so where the others are no quorum, nothing was ever
// committed in it. A partitioned primary may have opened such an epoch with whoever it still reached.
bool Election::neverEstablished(const DurableState& own, const EpochRecord& record) const {
  std::set<NodeId> mayHaveAccepted(record.members.begin(), record.members.end());
  mayHaveAccepted.insert(record.oldMembers.begin(), record.oldMembers.end());
  if (own.record.epoch < record.epoch) mayHaveAccepted.erase(candidate_);
  for (const auto& [from, vote] : votes_)
    if (vote.record.epoch < record.epoch) mayHaveAccepted.erase(from);
  return !record.isQuorum(mayHaveAccepted);
}

// The newest record's epoch and the undecided ones before it in which something may have been committed,
// newest first.
std::vector<ReplicaSet> Election::possiblyCommittedIn(const DurableState& own,
                                                      const EpochRecord& newest) const {
  std::vector<ReplicaSet> out;
  if (!neverEstablished(own, newest)) out.push_back(newest.replicaSet());
  out.insert(out.end(), newest.undecided.begin(), newest.undecided.end());
  std::erase_if(out, [&](const ReplicaSet& replicaSet) { return nothingCommittedIn(own, replicaSet); });
  return out;
}

EpochRecord Election::successor(const DurableState& own, std::size_t backups) const {
  EpochRecord out = newestRecord(own);
  inherit(own, out);
  out.epoch = epoch_;
  out.primary = candidate_;
  out.backups = chooseBackups(out, backups);
  return out;
}

// What the successor of `record` carries about the epochs before it. Later votes may prove that nothing was
// committed in more of them, so whatever is undecided is handed on.
void Election::inherit(const DurableState& own, EpochRecord& record) const {
  if (record.epoch == 0) return;
  std::uint64_t established = own.establishedEpoch;
  for (const auto& [from, vote] : votes_) established = std::max(established, vote.establishedEpoch);
  record.undecided = possiblyCommittedIn(own, record);
  record.previous = std::max(record.previous, established);
  std::erase_if(record.undecided, [&](const ReplicaSet& each) { return each.epoch <= record.previous; });
  if (record.undecided.size() <= kMaxUndecidedEpochs) return;
  record.previous = record.undecided[kMaxUndecidedEpochs].epoch;
  record.undecided.resize(kMaxUndecidedEpochs);
}

// The voters with the newest state, which lack the least.
std::vector<NodeId> Election::chooseBackups(const EpochRecord& record, std::size_t most) const {
  std::vector<std::pair<std::uint64_t, NodeId>> voters;
  for (const auto& [from, vote] : votes_)
    if (contains(record.members, from)) voters.emplace_back(vote.dataEpoch, from);
  std::sort(voters.rbegin(), voters.rend());
  if (voters.size() > most) voters.resize(most);
  std::vector<NodeId> out;
  out.reserve(voters.size());
  for (const auto& [dataEpoch, from] : voters) out.push_back(from);
  std::sort(out.begin(), out.end());
  return out;
}

}  // namespace lilacmux
