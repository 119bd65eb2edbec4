// Membership changes: which nodes are members and backups, and who replaces an unresponsive one.
#include <algorithm>

#include "consensus/replica.hpp"

namespace lilacmux {
namespace {

constexpr Millis kObserverTimeout = 5000;  // until an observer that announces itself no more is dropped
constexpr Millis kAliveWithin = 700;       // of its last message, a node counts as alive

}  // namespace

// Remembers the members of the newest record that any message carried.
void Replica::learnMembers(const EpochRecord& theirs) {
  if (theirs.members.empty() || theirs.epoch < knownMembersEpoch_) return;
  knownMembers_ = theirs.members;
  knownMembers_.insert(knownMembers_.end(), theirs.oldMembers.begin(), theirs.oldMembers.end());
  knownMembersEpoch_ = theirs.epoch;
}

void Replica::onAnnounce(Millis now, const MemberMessage& message) {
  const EpochRecord& theirs = message.record;
  learnMembers(theirs);
  announcements_[message.from] = message.sentAt;
  // Not persisted: only the first start leaves members without a record on disk.
  if (durable_.record.members.empty()) durable_.record.members = theirs.members;
  if (theirs.epoch < durable_.record.epoch || (theirs.members.empty() && !durable_.record.members.empty()))
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

// Another member replaces an unresponsive backup, as far as there is one.
bool Replica::replaceUnresponsiveBackups(Millis now) {
  const EpochRecord& record = durable_.record;
  std::vector<NodeId> heard;
  for (const NodeId& backup : record.backups)
    if (now - lastContactAt(backup) < timing_.backupTimeout) heard.push_back(backup);
  const std::size_t wanted = std::min<std::size_t>(timing_.toleratedLosses, record.members.size() - 1);
  const bool grows = established_ && record.oldMembers.empty() && record.backups.size() < wanted;
  if (heard.size() == record.backups.size() && !grows) return false;
  const auto next = chooseBackups(now, heard);
  // Unresponsive members count toward the tolerated losses: so many fewer backups are needed for further
  // ones.
  const auto unresponsive = static_cast<unsigned>(
      std::count_if(record.members.begin(), record.members.end(), [&](const NodeId& member) {
        return member != self_ && now - lastContactAt(member) >= timing_.backupTimeout;
      }));
  if (unresponsive > timing_.toleratedLosses) return false;  // more likely this node is partitioned, or was
  const unsigned needed = std::max(1u, timing_.toleratedLosses - unresponsive);
  if (next == record.backups || next.size() < std::min<std::size_t>(needed, record.backups.size()))
    return false;
  for (const NodeId& backup : next)
    if (!record.isBackup(backup)) host_.log(backup + " becomes a backup");
  EpochRecord other = record;
  other.backups = next;
  openNextEpoch(now, std::move(other));
  return true;
}

// The given ones and, up to the number of losses, those of the other members that were heard from last.
std::vector<NodeId> Replica::chooseBackups(Millis now, std::vector<NodeId> backups) const {
  std::vector<std::pair<Millis, NodeId>> others;
  for (const NodeId& member : durable_.record.members) {
    const auto peer = peers_.find(member);
    if (member == self_ || durable_.record.isBackup(member) || peer == peers_.end()) continue;
    if (now - peer->second.lastContactAt < kAliveWithin)
      others.emplace_back(peer->second.lastContactAt, member);
  }
  std::sort(others.rbegin(), others.rend());
  for (const auto& [heard, member] : others)
    if (backups.size() < timing_.toleratedLosses) backups.push_back(member);
  std::sort(backups.begin(), backups.end());
  return backups;
}

// One at a time, and only while this epoch is established. The newcomer has accepted this epoch's record: it
// is alive, and has listened for long enough to contradict no vote of its own. It fills a vacancy, or
// replaces an unresponsive member.
bool Replica::replaceMember(Millis now) {
  const EpochRecord& record = durable_.record;
  if (!established_ || !record.oldMembers.empty()) return false;
  const auto newcomer = std::find_if(observers_.begin(), observers_.end(), [&](const auto& observer) {
    const auto peer = peers_.find(observer.first);
    return !record.hasMember(observer.first) && peer != peers_.end() &&
           now - peer->second.lastContactAt < kAliveWithin && peer->second.acceptedEpoch == record.epoch;
  });
  if (newcomer == observers_.end()) return false;
  const auto unresponsive =
      std::find_if(record.members.begin(), record.members.end(), [&](const NodeId& member) {
        return member != self_ && !record.isBackup(member) &&
               now - lastContactAt(member) >= timing_.memberTimeout;
      });
  EpochRecord next = record;
  next.oldMembers = record.members;
  if (unresponsive != record.members.end()) {
    host_.log(newcomer->first + " takes the place of " + *unresponsive + ", which is silent");
    next.members[static_cast<std::size_t>(unresponsive - record.members.begin())] = newcomer->first;
  } else if (record.members.size() < 2 * timing_.toleratedLosses + 1) {
    host_.log(newcomer->first + " becomes a member");
    next.members.push_back(newcomer->first);
  } else {
    return false;
  }
  std::sort(next.members.begin(), next.members.end());
  openNextEpoch(now, std::move(next));
  return true;
}

}  // namespace lilacmux
