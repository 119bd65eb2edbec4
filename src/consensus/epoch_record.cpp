#include "consensus/epoch_record.hpp"

#include <algorithm>

namespace lilacmux {
namespace {

bool isMajority(const std::vector<NodeId>& members, const std::set<NodeId>& nodes) {
  const auto present =
      std::count_if(members.begin(), members.end(), [&](const NodeId& n) { return nodes.contains(n); });
  return static_cast<std::size_t>(present) > members.size() / 2;
}

}  // namespace

bool contains(const std::vector<NodeId>& sorted, const NodeId& node) {
  return std::binary_search(sorted.begin(), sorted.end(), node);
}

bool EpochRecord::hasMember(const NodeId& node) const {
  return contains(members, node) || contains(oldMembers, node);
}

bool EpochRecord::isBackup(const NodeId& node) const { return contains(backups, node); }

bool EpochRecord::isQuorum(const std::set<NodeId>& nodes) const {
  return isMajority(members, nodes) && (oldMembers.empty() || isMajority(oldMembers, nodes));
}

}  // namespace lilacmux
