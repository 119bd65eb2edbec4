// The record of an epoch: its primary, its backups, and the members that vote.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "consensus/epoch.hpp"

namespace lilacmux {

using NodeId = std::string;  // the internal address as ip:port

// The nodes that store the replicated state in one epoch.
struct ReplicaSet {
  std::uint64_t epoch = 0;
  NodeId primary;
  std::vector<NodeId> backups;  // sorted
  bool operator==(const ReplicaSet&) const = default;
};

// Maximum number of undecided epochs in a record. In older ones a change is assumed to have been committed.
constexpr std::size_t kMaxUndecidedEpochs = 8;

// The configuration of one epoch. The epoch is established once a quorum has accepted the record.
struct EpochRecord {
  std::uint64_t epoch = 0;
  // If nothing was committed in this epoch or in any of `undecided`, a node that has the state of `previous`
  // or of a later epoch has every committed change.
  std::uint64_t previous = 0;
  NodeId primary;
  std::vector<NodeId> backups;  // sorted
  std::vector<NodeId> members;  // sorted; empty: unknown
  // The members before a membership change that is in progress (joint quorum), sorted; empty otherwise.
  std::vector<NodeId> oldMembers;
  // The epochs after `previous` in which a change may or may not have been committed, newest first: their
  // primaries failed before they reported it.
  std::vector<ReplicaSet> undecided;

  ReplicaSet replicaSet() const { return {epoch, primary, backups}; }
  // Returns the epoch whose state suffices for a new primary if nothing was committed in this epoch, even if
  // changes were committed in all undecided ones.
  std::uint64_t conservativePrevious() const {
    return undecided.empty() ? previous : undecided.front().epoch;
  }
  // Returns whether the node is a member or an old member.
  bool hasMember(const NodeId& node) const;
  bool isBackup(const NodeId& node) const;
  // Returns whether the nodes are a quorum: a majority of the members and, during a membership change, also a
  // majority of the old members.
  bool isQuorum(const std::set<NodeId>& nodes) const;
};

// Returns whether a sorted list contains the node.
bool contains(const std::vector<NodeId>& sorted, const NodeId& node);

}  // namespace lilacmux
