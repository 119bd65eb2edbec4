// Membership changes: choosing members and backups, and replacing unresponsive ones.
#include <algorithm>

#include "consensus/replica.hpp"

namespace lilacmux {
namespace {

constexpr Millis kObserverTimeout = 5000;  // without an announcement, until an observer is dropped
constexpr Millis kResponsiveWithin = 700;  // of its last message a node counts as responsive

}  // namespace

// Stores the members of the newest record received in any message.
void Replica::learnMembers(const EpochRecord& record) {
  if (record.members.empty() || record.epoch < knownMembersEpoch_) return;
  knownMembers_ = record.members;
  knownMembers_.insert(knownMembers_.end(), record.oldMembers.begin(), record.oldMembers.end());
  knownMembersEpoch_ = record.epoch;
}

void Replica::onAnnounce(Millis now, const MemberMessage& message) {
  const EpochRecord& peerRecord = message.record;
  learnMembers(peerRecord);
  announcements_[message.from] = message.sentAt;
  // Not persisted: only at the first start does a node know no members.
  if (durable_.record.members.empty()) durable_.record.members = peerRecord.members;
  if (peerRecord.epoch < durable_.record.epoch ||
      (peerRecord.members.empty() && !durable_.record.members.empty()))
    sendAnnouncement(now, message.from);
  if (!durable_.record.hasMember(message.from)) observers_[message.from] = now;
}

void Replica::dropUnresponsiveObservers(Millis now) {
  std::erase_if(observers_, [&](const auto& observer) { return now - observer.second > kObserverTimeout; });
}

Millis Replica::lastContactAt(const NodeId& node) const {
  const auto peer = peers_.find(node);
  return std::max(electedAt_, peer == peers_.end() ? kNever : peer->second.lastContactAt);
}

// Replaces unresponsive backups by other members, as far as responsive ones are available.
bool Replica::replaceUnresponsiveBackups(Millis now) {
  const EpochRecord& record = durable_.record;
  std::vector<NodeId> responsive;
  for (const NodeId& backup : record.backups)
    if (now - lastContactAt(backup) < timing_.backupTimeout) responsive.push_back(backup);
  const std::size_t wanted = std::min<std::size_t>(timing_.toleratedLosses, record.members.size() - 1);
  const bool canGrow = established_ && record.oldMembers.empty() && record.backups.size() < wanted;
  if (responsive.size() == record.backups.size() && !canGrow) return false;
  const auto backups = fillBackups(now, responsive);
  // Unresponsive members count toward the tolerated losses, so the remaining losses need fewer backups.
  const auto unresponsive = static_cast<unsigned>(
      std::count_if(record.members.begin(), record.members.end(), [&](const NodeId& member) {
        return member != self_ && now - lastContactAt(member) >= timing_.backupTimeout;
      }));
  // More likely, this node itself is or was partitioned.
  if (unresponsive > timing_.toleratedLosses) return false;
  const unsigned needed = std::max(1u, timing_.toleratedLosses - unresponsive);
  if (backups == record.backups || backups.size() < std::min<std::size_t>(needed, record.backups.size()))
    return false;
  for (const NodeId& backup : backups)
    if (!record.isBackup(backup)) host_.log(backup + " becomes a backup");
  EpochRecord next = record;
  next.backups = backups;
  openNextEpoch(now, std::move(next));
  return true;
}

// Adds responsive members to `backups`, those with the most recent contact first, until there are as many as
// tolerated losses.
std::vector<NodeId> Replica::fillBackups(Millis now, std::vector<NodeId> backups) const {
  std::vector<std::pair<Millis, NodeId>> others;
  for (const NodeId& member : durable_.record.members) {
    const auto peer = peers_.find(member);
    if (member == self_ || durable_.record.isBackup(member) || peer == peers_.end()) continue;
    if (now - peer->second.lastContactAt < kResponsiveWithin)
      others.emplace_back(peer->second.lastContactAt, member);
  }
  std::sort(others.rbegin(), others.rend());
  for (const auto& [lastContact, member] : others)
    if (backups.size() < timing_.toleratedLosses) backups.push_back(member);
  std::sort(backups.begin(), backups.end());
  return backups;
}

// Admits an observer to fill a vacancy or to replace an unresponsive member. Members change one at a time,
// and only while this epoch is established. The joining member has accepted the record of this epoch: it is
// responsive, and its join delay has passed, so it cannot contradict an earlier vote of its own.
bool Replica::replaceMember(Millis now) {
  const EpochRecord& record = durable_.record;
  if (!established_ || !record.oldMembers.empty()) return false;
  const auto joiningMember = std::find_if(observers_.begin(), observers_.end(), [&](const auto& observer) {
    const auto peer = peers_.find(observer.first);
    return !record.hasMember(observer.first) && peer != peers_.end() &&
           now - peer->second.lastContactAt < kResponsiveWithin && peer->second.acceptedEpoch == record.epoch;
  });
  if (joiningMember == observers_.end()) return false;
  const auto unresponsive =
      std::find_if(record.members.begin(), record.members.end(), [&](const NodeId& member) {
        return member != self_ && !record.isBackup(member) &&
               now - lastContactAt(member) >= timing_.memberTimeout;
      });
  EpochRecord next = record;
  next.oldMembers = record.members;
  if (unresponsive != record.members.end()) {
    host_.log(joiningMember->first + " replaces the unresponsive member " + *unresponsive);
    next.members[static_cast<std::size_t>(unresponsive - record.members.begin())] = joiningMember->first;
  } else if (record.members.size() < 2 * timing_.toleratedLosses + 1) {
    host_.log(joiningMember->first + " becomes a member");
    next.members.push_back(joiningMember->first);
  } else {
    return false;
  }
  std::sort(next.members.begin(), next.members.end());
  openNextEpoch(now, std::move(next));
  return true;
}

}  // namespace lilacmux
