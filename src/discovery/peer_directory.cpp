#include "discovery/peer_directory.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lilacmux {
namespace {

// There are a few control processes in each zone, whatever the number of gatekeepers (deploy/system.toml).
constexpr std::size_t kMaxPeers = 128;
constexpr std::size_t kMaxAnnouncedPeers = 32;
constexpr unsigned kMaxBackoffDoublings = 8;
constexpr PeerDirectory::Millis kForgetAfter = 600'000;  // without an announcement, of a peer that sent one
constexpr unsigned kForgetAfterFailures = 64;            // of a peer that never sent one

}  // namespace

PeerDirectory::PeerDirectory(NodeId self, std::vector<NodeId> seeds, const std::vector<NodeId>& remembered,
                             Timing timing)
    : self_(std::move(self)), timing_(timing) {
  for (const NodeId& node : remembered) add(node);
  setSeeds(std::move(seeds));
}

bool PeerDirectory::isSeed(const NodeId& node) const {
  return std::find(seeds_.begin(), seeds_.end(), node) != seeds_.end();
}

void PeerDirectory::setSeeds(std::vector<NodeId> seeds) {
  seeds_ = std::move(seeds);
  for (const NodeId& node : seeds_)
    if (node != self_) peers_[node].nextAnnouncementAt = kNever;
}

void PeerDirectory::setLocalView(const CoreView& view, bool isMember) {
  isMember_ = isMember;
  learn(view);
}

// Views of one epoch are equal, except for the initial members: those have no epoch.
void PeerDirectory::learn(const CoreView& view) {
  if (view.members.empty()) return;
  if (!core_.members.empty() && view.epoch <= core_.epoch) return;
  core_ = view;
  for (const NodeId& member : core_.members) add(member);
}

void PeerDirectory::add(const NodeId& node) {
  if (node == self_ || node.empty() || peers_.contains(node)) return;
  if (peers_.size() >= kMaxPeers && !evictUnresponsive()) return;
  peers_.try_emplace(node);
}

// Removes the unresponsive peer that was heard from least recently; never a seed. Returns whether there was
// one.
bool PeerDirectory::evictUnresponsive() {
  auto victim = peers_.end();
  for (auto it = peers_.begin(); it != peers_.end(); ++it) {
    const auto& [node, peer] = *it;
    if (isSeed(node) || peer.isResponsive || peer.failures == 0) continue;
    if (victim == peers_.end() || peer.receivedAt < victim->second.receivedAt) victim = it;
  }
  if (victim == peers_.end()) return false;
  peers_.erase(victim);
  return true;
}

// Only other members are worth an announcement of their own; an epoch that only elects another primary is
// not.
bool PeerDirectory::needsUpdate(Millis now, const Peer& peer) const {
  const bool isOutdated = peer.reportedCore.epoch < core_.epoch && peer.reportedCore.members != core_.members;
  return peer.isResponsive && isOutdated && now >= peer.sentAt + timing_.minUpdateInterval;
}

// Adds the peer whose turn it is, unless it is due already.
void PeerDirectory::addNextInRotation(Millis now, std::vector<NodeId>& due) {
  rotateAt_ = now + timing_.refreshInterval;
  auto next = peers_.upper_bound(lastRotated_);
  if (next == peers_.end()) next = peers_.begin();
  if (next == peers_.end()) return;
  lastRotated_ = next->first;
  const bool isDue = std::find(due.begin(), due.end(), lastRotated_) != due.end();
  if (next->second.isResponsive && !isDue) due.push_back(lastRotated_);
}

std::vector<NodeId> PeerDirectory::takeDuePeers(Millis now) {
  std::vector<NodeId> due;
  for (const auto& [node, peer] : peers_)
    if (now >= peer.nextAnnouncementAt || needsUpdate(now, peer)) due.push_back(node);
  if (now >= rotateAt_) addNextInRotation(now, due);
  for (const NodeId& node : due) {
    Peer& peer = peers_[node];
    peer.sentAt = now;
    peer.nextAnnouncementAt = now + timing_.retryInterval;  // until the outcome is known
  }
  return due;
}

PeerAnnouncement PeerDirectory::announcement() const {
  PeerAnnouncement out;
  out.from = self_;
  out.isMember = isMember_;
  out.core = core_;
  std::vector<std::pair<Millis, NodeId>> mostRecentFirst;
  for (const auto& [node, peer] : peers_)
    if (peer.isResponsive) mostRecentFirst.emplace_back(-peer.receivedAt, node);
  std::sort(mostRecentFirst.begin(), mostRecentFirst.end());
  if (mostRecentFirst.size() > kMaxAnnouncedPeers) mostRecentFirst.resize(kMaxAnnouncedPeers);
  for (auto& [minusReceivedAt, node] : mostRecentFirst) out.peers.push_back(std::move(node));
  return out;
}

PeerDirectory::Millis PeerDirectory::nextRefreshAt(Millis now, const NodeId& node) const {
  return isMember_ || isSeed(node) ? now + timing_.refreshInterval : kNoSchedule;
}

PeerDirectory::Millis PeerDirectory::nextRetryAt(Millis now, const NodeId& node, unsigned failures) const {
  const Millis maxInterval = isSeed(node) ? timing_.maxSeedRetryInterval : timing_.maxPeerRetryInterval;
  const auto doublings = static_cast<int>(std::min(failures - 1, kMaxBackoffDoublings));
  return now + std::min(maxInterval, std::ldexp(timing_.retryInterval, doublings));
}

void PeerDirectory::recordAnnouncement(Millis now, const PeerAnnouncement& announcement) {
  if (announcement.from == self_ || announcement.from.empty()) return;
  add(announcement.from);
  learn(announcement.core);
  for (const NodeId& node : announcement.peers) add(node);
  const auto found = peers_.find(announcement.from);
  if (found == peers_.end()) return;
  Peer& peer = found->second;
  peer.receivedAt = now;
  peer.failures = 0;
  peer.isResponsive = true;
  peer.isMember = announcement.isMember;
  peer.reportedCore = announcement.core;
  // It gets what it lacks in the response, or in the next announcement to it (needsUpdate).
  peer.nextAnnouncementAt = nextRefreshAt(now, announcement.from);
}

void PeerDirectory::recordFailure(Millis now, const NodeId& node) {
  const auto found = peers_.find(node);
  if (found == peers_.end() || found->second.receivedAt >= found->second.sentAt) return;
  Peer& peer = found->second;
  peer.isResponsive = false;
  ++peer.failures;
  peer.nextAnnouncementAt = nextRetryAt(now, node, peer.failures);
  if (isForgettable(now, node, peer)) peers_.erase(found);
}

bool PeerDirectory::isForgettable(Millis now, const NodeId& node, const Peer& peer) const {
  if (isSeed(node) || contains(core_.members, node)) return false;
  const bool wasHeard = peer.receivedAt > kNever;
  return wasHeard ? now - peer.receivedAt >= kForgetAfter : peer.failures >= kForgetAfterFailures;
}

std::vector<NodeId> PeerDirectory::coreCandidates() const {
  std::vector<NodeId> out = core_.members;
  for (const auto& [node, peer] : peers_)
    if (peer.isMember && peer.isResponsive && !contains(core_.members, node)) out.push_back(node);
  return out;
}

std::vector<NodeId> PeerDirectory::joinContacts() const {
  std::vector<NodeId> out = coreCandidates();
  out.insert(out.end(), seeds_.begin(), seeds_.end());
  std::sort(out.begin(), out.end());
  out.erase(std::unique(out.begin(), out.end()), out.end());
  std::erase(out, self_);
  return out;
}

std::vector<NodeId> PeerDirectory::knownPeers() const {
  std::vector<NodeId> out;
  for (const auto& [node, peer] : peers_) out.push_back(node);
  return out;
}

}  // namespace lilacmux
