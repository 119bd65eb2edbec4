#include "discovery/peer_directory.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lilacmux {
namespace {

// Each zone has a few control processes, however many gateways there are (deploy/system.toml).
constexpr std::size_t kMaxPeers = 128;
constexpr std::size_t kMaxAnnouncedPeers = 32;
constexpr unsigned kMaxBackoffDoublings = 8;
// A peer expires this long after its last announcement.
constexpr PeerDirectory::Millis kPeerExpiry = 600'000;
// A peer that has never sent an announcement expires after this many failures.
constexpr unsigned kMaxFailuresBeforeContact = 64;

}  // namespace

PeerDirectory::PeerDirectory(NodeId self, std::vector<NodeId> seeds, const std::vector<NodeId>& savedPeers,
                             Timing timing)
    : self_(std::move(self)), timing_(timing) {
  for (const NodeId& node : savedPeers) addPeer(node);
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
  updateCore(view);
}

// Keeps the view with the newer epoch. Views of the same epoch are equal, except those of the initial
// members, which have no epoch.
void PeerDirectory::updateCore(const CoreView& view) {
  if (view.members.empty()) return;
  if (!core_.members.empty() && view.epoch <= core_.epoch) return;
  core_ = view;
  for (const NodeId& member : core_.members) addPeer(member);
}

void PeerDirectory::addPeer(const NodeId& node) {
  if (node == self_ || node.empty() || peers_.contains(node)) return;
  if (peers_.size() >= kMaxPeers && !evictUnresponsive()) return;
  peers_.try_emplace(node);
}

// Evicts the unresponsive peer whose last announcement is the oldest; never a seed. Returns whether there was
// such a peer.
bool PeerDirectory::evictUnresponsive() {
  auto oldest = peers_.end();
  for (auto it = peers_.begin(); it != peers_.end(); ++it) {
    const auto& [node, peer] = *it;
    if (isSeed(node) || peer.isResponsive || peer.failures == 0) continue;
    if (oldest == peers_.end() || peer.receivedAt < oldest->second.receivedAt) oldest = it;
  }
  if (oldest == peers_.end()) return false;
  peers_.erase(oldest);
  return true;
}

// Returns whether the peer must get an announcement because the members of the core have changed. An epoch
// that only elects another primary does not need one.
bool PeerDirectory::needsUpdate(Millis now, const Peer& peer) const {
  const bool isOutdated = peer.reportedCore.epoch < core_.epoch && peer.reportedCore.members != core_.members;
  return peer.isResponsive && isOutdated && now >= peer.sentAt + timing_.minUpdateInterval;
}

// Adds the next responsive peer of the rotation to `due` unless it is contained already.
void PeerDirectory::addNextInRotation(Millis now, std::vector<NodeId>& due) {
  nextRotationAt_ = now + timing_.refreshInterval;
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
  if (now >= nextRotationAt_) addNextInRotation(now, due);
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
  addPeer(announcement.from);
  updateCore(announcement.core);
  for (const NodeId& node : announcement.peers) addPeer(node);
  const auto found = peers_.find(announcement.from);
  if (found == peers_.end()) return;
  Peer& peer = found->second;
  peer.receivedAt = now;
  peer.failures = 0;
  peer.isResponsive = true;
  peer.isMember = announcement.isMember;
  peer.reportedCore = announcement.core;
  // The peer gets a newer view in the response, or in the next announcement to it (needsUpdate).
  peer.nextAnnouncementAt = nextRefreshAt(now, announcement.from);
}

void PeerDirectory::recordFailure(Millis now, const NodeId& node) {
  const auto found = peers_.find(node);
  if (found == peers_.end() || found->second.receivedAt >= found->second.sentAt) return;
  Peer& peer = found->second;
  peer.isResponsive = false;
  ++peer.failures;
  peer.nextAnnouncementAt = nextRetryAt(now, node, peer.failures);
  if (hasExpired(now, node, peer)) peers_.erase(found);
}

bool PeerDirectory::hasExpired(Millis now, const NodeId& node, const Peer& peer) const {
  if (isSeed(node) || contains(core_.members, node)) return false;
  const bool hasAnnounced = peer.receivedAt > kNever;
  return hasAnnounced ? now - peer.receivedAt >= kPeerExpiry : peer.failures >= kMaxFailuresBeforeContact;
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
