// The record of an epoch: who leads, who keeps the state, and who votes.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "consensus/epoch.hpp"

namespace lilacmux {

using NodeId = std::string;  // the internal address, ip:port

// The nodes that keep the replicated state in one epoch.
struct ReplicaSet {
  std::uint64_t epoch = 0;
  NodeId primary;
  std::vector<NodeId> backups;  // sorted
  bool operator==(const ReplicaSet&) const = default;
};

// Most undecided epochs that a record carries. Something counts as committed in those before them.
constexpr std::size_t kMaxUndecidedEpochs = 8;

// What the members agree on for one epoch. A quorum that has accepted the record establishes the epoch.
struct EpochRecord {
  std::uint64_t epoch = 0;
  // Where nothing was committed in this epoch or in any of `undecided`, a node that has the state of
  // `previous`, or of a later epoch, has all that was ever committed.
  std::uint64_t previous = 0;
  NodeId primary;
  std::vector<NodeId> backups;  // sorted
  std::vector<NodeId> members;  // sorted; empty: not known yet
  std::vector<NodeId>
      oldMembers;  // sorted; not empty during a membership change (joint quorum): the members before it
  // The epochs after `previous` of which it is not known whether anything was committed in them, newest
  // first: their primaries failed before they could report it.
  std::vector<ReplicaSet> undecided;

  ReplicaSet replicaSet() const { return {epoch, primary, backups}; }
  // The epoch whose state suffices for a new primary if nothing was committed in this one, whatever else is
  // known.
  std::uint64_t conservativePrevious() const {
    return undecided.empty() ? previous : undecided.front().epoch;
  }
  // Whether the node is a member or an old member.
  bool hasMember(const NodeId& node) const;
  bool isBackup(const NodeId& node) const;
  // Whether these nodes are a quorum: a majority of the members and, during a membership change, of the old
  // ones.
  bool isQuorum(const std::set<NodeId>& nodes) const;
};

// Whether a sorted list has the node.
bool contains(const std::vector<NodeId>& sorted, const NodeId& node);

}  // namespace lilacmux
