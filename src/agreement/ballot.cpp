#include "agreement/ballot.hpp"

#include <algorithm>
#include <utility>

namespace lilacmux {
namespace {

constexpr Millis kOpenFor = 250;

}  // namespace

bool Ballot::isOpen(Millis now) const { return now - startedAt_ < kOpenFor; }

const Record& Ballot::newestRecord(const Durable& own) const {
  const Record* newest = &own.record;
  for (const auto& [from, vote] : votes_)
    if (vote.record.epoch > newest->epoch) newest = &vote.record;
  return *newest;
}

bool Ballot::isWon(const Durable& own) const {
  const Record& newest = newestRecord(own);
  std::set<NodeId> voters{candidate_};
  for (const auto& [from, vote] : votes_) voters.insert(from);
  return contains(newest.members, candidate_) && newest.isQuorum(voters) && hasAllCommitted(own, newest);
}

// The primary of the newest record has all that was committed, and so has each of its backups once it was
// given the state in that epoch. Epochs in which nothing was committed are passed over, as far as that is
// known.
bool Ballot::hasAllCommitted(const Durable& own, const Record& newest) const {
  if (newest.epoch == 0) return true;
  const std::vector<Generation> used = maybeUsed(own, newest);
  return own.dataEpoch >= (used.empty() ? newest.previous : used.front().epoch);
}

// A change is committed once all backups have it. So where any backup of an epoch says that it was never
// given the state in it, nothing was committed there, and nothing will be: it has promised the round of this
// vote. One that has lost its disk since cannot say so.
bool Ballot::neverUsed(const Durable& own, const Generation& generation) const {
  const auto neverGiven = [&](std::uint64_t dataEpoch, std::uint64_t forgotten) {
    return dataEpoch < generation.epoch && forgotten < generation.epoch;
  };
  return std::any_of(generation.backups.begin(), generation.backups.end(), [&](const NodeId& backup) {
    if (backup == candidate_) return neverGiven(own.dataEpoch, own.forgotten);
    const auto vote = votes_.find(backup);
    return vote != votes_.end() && neverGiven(vote->second.dataEpoch, vote->second.forgotten);
  });
}

// A change is committed only once a quorum has accepted its epoch's record. Voters that have not accepted it
// never will, since they have promised a later round; so where the others are no quorum, nothing was ever
// committed in it. A primary that was cut off may have opened such an epoch with whoever it still reached.
bool Ballot::neverSettled(const Durable& own, const Record& record) const {
  std::set<NodeId> mayHaveAccepted(record.members.begin(), record.members.end());
  mayHaveAccepted.insert(record.leaving.begin(), record.leaving.end());
  if (own.record.epoch < record.epoch) mayHaveAccepted.erase(candidate_);
  for (const auto& [from, vote] : votes_)
    if (vote.record.epoch < record.epoch) mayHaveAccepted.erase(from);
  return !record.isQuorum(mayHaveAccepted);
}

// The newest record's epoch and the uncertain ones before it in which something may have been committed,
// newest first.
std::vector<Generation> Ballot::maybeUsed(const Durable& own, const Record& newest) const {
  std::vector<Generation> out;
  if (!neverSettled(own, newest)) out.push_back(newest.generation());
  out.insert(out.end(), newest.uncertain.begin(), newest.uncertain.end());
  std::erase_if(out, [&](const Generation& generation) { return neverUsed(own, generation); });
  return out;
}

Record Ballot::successor(const Durable& own, std::size_t backups) const {
  Record out = newestRecord(own);
  inherit(own, out);
  out.epoch = epoch_;
  out.primary = candidate_;
  out.backups = chooseBackups(out, backups);
  return out;
}

// What the successor of `record` tells of the epochs before it. Later votes may prove more of them unused, so
// whatever is not certain is handed on.
void Ballot::inherit(const Durable& own, Record& record) const {
  if (record.epoch == 0) return;
  std::uint64_t settled = own.settledEpoch;
  for (const auto& [from, vote] : votes_) settled = std::max(settled, vote.settledEpoch);
  record.uncertain = maybeUsed(own, record);
  record.previous = std::max(record.previous, settled);
  std::erase_if(record.uncertain, [&](const Generation& each) { return each.epoch <= record.previous; });
  if (record.uncertain.size() <= kMostUncertain) return;
  record.previous = record.uncertain[kMostUncertain].epoch;
  record.uncertain.resize(kMostUncertain);
}

// The voters with the newest state, which lack the least.
std::vector<NodeId> Ballot::chooseBackups(const Record& record, std::size_t most) const {
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
