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

// The primary of the newest record has every committed change, and so does each of its backups that has
// received the state in that epoch. Epochs in which demonstrably nothing was committed are skipped.
bool Election::hasAllCommitted(const DurableState& own, const EpochRecord& newest) const {
  if (newest.epoch == 0) return true;
  const std::vector<ReplicaSet> possiblyCommitted = possiblyCommittedIn(own, newest);
  return own.dataEpoch >= (possiblyCommitted.empty() ? newest.previous : possiblyCommitted.front().epoch);
}

// A change is committed only once all backups have it. So if a backup of an epoch reports that it never
// received the state in that epoch, nothing was committed there, and nothing will be, since that backup has
// voted in the term of this election. A backup that has lost its disk since cannot report this.
bool Election::nothingCommittedIn(const DurableState& own, const ReplicaSet& replicaSet) const {
  const auto neverReceivedState = [&](std::uint64_t dataEpoch, std::uint64_t lostEpoch) {
    return dataEpoch < replicaSet.epoch && lostEpoch < replicaSet.epoch;
  };
  return std::any_of(replicaSet.backups.begin(), replicaSet.backups.end(), [&](const NodeId& backup) {
    if (backup == candidate_) return neverReceivedState(own.dataEpoch, own.lostEpoch);
    const auto vote = votes_.find(backup);
    return vote != votes_.end() && neverReceivedState(vote->second.dataEpoch, vote->second.lostEpoch);
  });
}

// A change is committed only once a quorum has accepted the record of its epoch. Voters that have not
// accepted the record never will, since they have voted in a later term; so if the remaining members are not
// a quorum, nothing was ever committed in the epoch. A partitioned primary may have opened such an epoch with
// the members that it still reached.
bool Election::neverEstablished(const DurableState& own, const EpochRecord& record) const {
  std::set<NodeId> mayHaveAccepted(record.members.begin(), record.members.end());
  mayHaveAccepted.insert(record.oldMembers.begin(), record.oldMembers.end());
  if (own.record.epoch < record.epoch) mayHaveAccepted.erase(candidate_);
  for (const auto& [from, vote] : votes_)
    if (vote.record.epoch < record.epoch) mayHaveAccepted.erase(from);
  return !record.isQuorum(mayHaveAccepted);
}

// Returns those of the newest record's epoch and its undecided epochs in which a change may have been
// committed, newest first.
std::vector<ReplicaSet> Election::possiblyCommittedIn(const DurableState& own,
                                                      const EpochRecord& newest) const {
  std::vector<ReplicaSet> out;
  if (!neverEstablished(own, newest)) out.push_back(newest.replicaSet());
  out.insert(out.end(), newest.undecided.begin(), newest.undecided.end());
  std::erase_if(out, [&](const ReplicaSet& replicaSet) { return nothingCommittedIn(own, replicaSet); });
  return out;
}

EpochRecord Election::successor(const DurableState& own, std::size_t maxBackups) const {
  EpochRecord out = newestRecord(own);
  inheritUndecided(own, out);
  out.epoch = epoch_;
  out.primary = candidate_;
  out.backups = chooseBackups(out, maxBackups);
  return out;
}

// Turns `undecided` and `previous` of `record` into those of its successor. Epochs that are still undecided
// are carried over, since later votes may prove that nothing was committed in them.
void Election::inheritUndecided(const DurableState& own, EpochRecord& record) const {
  if (record.epoch == 0) return;
  std::uint64_t established = own.establishedEpoch;
  for (const auto& [from, vote] : votes_) established = std::max(established, vote.establishedEpoch);
  record.undecided = possiblyCommittedIn(own, record);
  record.previous = std::max(record.previous, established);
  std::erase_if(record.undecided,
                [&](const ReplicaSet& replicaSet) { return replicaSet.epoch <= record.previous; });
  if (record.undecided.size() <= kMaxUndecidedEpochs) return;
  record.previous = record.undecided[kMaxUndecidedEpochs].epoch;
  record.undecided.resize(kMaxUndecidedEpochs);
}

// Chooses the voters with the newest state, which need the least replication.
std::vector<NodeId> Election::chooseBackups(const EpochRecord& record, std::size_t maxBackups) const {
  std::vector<std::pair<std::uint64_t, NodeId>> voters;
  for (const auto& [from, vote] : votes_)
    if (contains(record.members, from)) voters.emplace_back(vote.dataEpoch, from);
  std::sort(voters.rbegin(), voters.rend());
  if (voters.size() > maxBackups) voters.resize(maxBackups);
  std::vector<NodeId> out;
  out.reserve(voters.size());
  for (const auto& [dataEpoch, from] : voters) out.push_back(from);
  std::sort(out.begin(), out.end());
  return out;
}

}  // namespace lilacmux
