// One election as its candidate sees it: collects the votes, decides whether they suffice to lead, and
// builds the record of the epoch that the winner opens. Reads no clock.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "consensus/member_message.hpp"

namespace lilacmux {

class Election {
 public:
  enum class Phase { prevote, vote };

  // `epoch`: the first epoch of the term that is voted on; 0 for a prevote.
  Election(NodeId candidate, Phase phase, std::uint64_t epoch, Millis startedAt)
      : candidate_(std::move(candidate)), phase_(phase), epoch_(epoch), startedAt_(startedAt) {}

  Phase phase() const { return phase_; }
  std::uint64_t epoch() const { return epoch_; }
  // Returns whether votes still count. They expire quickly: a vote delayed by a pause may come from a voter
  // that has since lost its disk and voted for another candidate in the same term.
  bool isOpen(Millis now) const;
  void addVote(const MemberMessage& vote) { votes_[vote.from] = vote; }
  const std::map<NodeId, MemberMessage>& votes() const { return votes_; }

  // Returns whether the votes are a quorum of the newest record known to any voter and the candidate, whose
  // durable state is `own`, has every committed change. No newer epoch can have been established: some voter
  // in that quorum would have accepted its record.
  bool isWon(const DurableState& own) const;
  // Returns the record of the epoch that the winner opens, with at most `maxBackups` backups.
  EpochRecord successor(const DurableState& own, std::size_t maxBackups) const;

 private:
  const EpochRecord& newestRecord(const DurableState& own) const;
  bool hasAllCommitted(const DurableState& own, const EpochRecord& newest) const;
  bool nothingCommittedIn(const DurableState& own, const ReplicaSet& replicaSet) const;
  bool neverEstablished(const DurableState& own, const EpochRecord& record) const;
  std::vector<ReplicaSet> possiblyCommittedIn(const DurableState& own, const EpochRecord& newest) const;
  void inheritUndecided(const DurableState& own, EpochRecord& record) const;
  std::vector<NodeId> chooseBackups(const EpochRecord& record, std::size_t maxBackups) const;

  const NodeId candidate_;
  const Phase phase_;
  const std::uint64_t epoch_;
  const Millis startedAt_;
  std::map<NodeId, MemberMessage> votes_;
};

}  // namespace lilacmux
