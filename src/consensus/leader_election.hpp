// One election at its candidate: whether the votes suffice to lead, and the record of the epoch that the
// winner opens. It has no clock of its own.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "consensus/member_message.hpp"

namespace lilacmux {

class Election {
 public:
  enum class Phase { prevote, vote };

  // `epoch`: the first of the term that is voted on; 0 for a prevote.
  Election(NodeId candidate, Phase phase, std::uint64_t epoch, Millis startedAt)
      : candidate_(std::move(candidate)), phase_(phase), epoch_(epoch), startedAt_(startedAt) {}

  Phase phase() const { return phase_; }
  std::uint64_t epoch() const { return epoch_; }
  // Votes count for a short time only: after a pause, one may arrive whose voter has lost its disk since and
  // has voted for another in the same term.
  bool isOpen(Millis now) const;
  void addVote(const MemberMessage& vote) { votes_[vote.from] = vote; }
  const std::map<NodeId, MemberMessage>& votes() const { return votes_; }

  // Whether the votes are a quorum of the newest record that any voter has, and the candidate, whose own
  // state is `own`, has all that was ever committed. No newer epoch can have been established: a quorum of
  // this one's members would know it.
  bool isWon(const DurableState& own) const;
  // The record that the winner opens its epoch with, with at most `backups` backups.
  EpochRecord successor(const DurableState& own, std::size_t backups) const;

 private:
  const EpochRecord& newestRecord(const DurableState& own) const;
  bool hasAllCommitted(const DurableState& own, const EpochRecord& newest) const;
  bool nothingCommittedIn(const DurableState& own, const ReplicaSet& replicaSet) const;
  bool neverEstablished(const DurableState& own, const EpochRecord& record) const;
  std::vector<ReplicaSet> possiblyCommittedIn(const DurableState& own, const EpochRecord& newest) const;
  void inherit(const DurableState& own, EpochRecord& record) const;
  std::vector<NodeId> chooseBackups(const EpochRecord& record, std::size_t most) const;

  const NodeId candidate_;
  const Phase phase_;
  const std::uint64_t epoch_;
  const Millis startedAt_;
  std::map<NodeId, MemberMessage> votes_;
};

}  // namespace lilacmux
