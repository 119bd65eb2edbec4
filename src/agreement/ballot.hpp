// The count of one ballot: whether a candidate may lead, and the record of the epoch that it then opens. No
// clock but what it is given.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "agreement/member_message.hpp"

namespace lilacmux {

class Ballot {
 public:
  enum class Phase { prevote, vote };

  // `epoch`: of the round that is voted on; 0 for a prevote.
  Ballot(NodeId candidate, Phase phase, std::uint64_t epoch, Millis startedAt)
      : candidate_(std::move(candidate)), phase_(phase), epoch_(epoch), startedAt_(startedAt) {}

  Phase phase() const { return phase_; }
  std::uint64_t epoch() const { return epoch_; }
  // Votes count for a short while only: after a standstill, one may come up whose giver has lost its disk
  // since and has promised the same round to another.
  bool isOpen(Millis now) const;
  void add(const Message& vote) { votes_[vote.from] = vote; }
  const std::map<NodeId, Message>& votes() const { return votes_; }

  // Whether the votes are a quorum of the newest record that any voter has, and the candidate, whose own
  // state is `own`, has all that was ever committed. No newer record can have been settled: a quorum of this
  // one's members would know it.
  bool isWon(const Durable& own) const;
  // The record that the winner opens its epoch with, with at most `backups` backups.
  Record successor(const Durable& own, std::size_t backups) const;

 private:
  const Record& newestRecord(const Durable& own) const;
  bool hasAllCommitted(const Durable& own, const Record& newest) const;
  bool neverUsed(const Durable& own, const Generation& generation) const;
  bool neverSettled(const Durable& own, const Record& record) const;
  std::vector<Generation> maybeUsed(const Durable& own, const Record& newest) const;
  void inherit(const Durable& own, Record& record) const;
  std::vector<NodeId> chooseBackups(const Record& record, std::size_t most) const;

  const NodeId candidate_;
  const Phase phase_;
  const std::uint64_t epoch_;
  const Millis startedAt_;
  std::map<NodeId, Message> votes_;
};

}  // namespace lilacmux
