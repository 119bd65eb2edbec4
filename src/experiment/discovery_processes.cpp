#include "experiment/discovery_processes.hpp"

#include "fleet/follow_schedule.hpp"

namespace lilacmux {
namespace {

constexpr Millis kTickInterval = 100;
constexpr Millis kMaxPollOffset = 20;   // of the first follow request after a start
constexpr Millis kNoLeaderDelay = 120;  // until the next endpoint is tried after a response without updates
constexpr Millis kRelayTimeout = 2000;  // a relay without updates for so long sends followers elsewhere
constexpr Millis kRememberInterval = 10000;  // between two writes of the peer file

}  // namespace

std::vector<Endpoint> toEndpoints(const std::vector<NodeId>& nodes) {
  std::vector<Endpoint> out;
  out.reserve(nodes.size());
  for (const NodeId& node : nodes) out.push_back(parseAddress(node, "seed"));
  return out;
}

void DiscoveryProcesses::start(DiscoveryHost& host, bool bootstrap) {
  if (host.isRemoved) return;
  ++host.incarnation;
  host.isUp = host.hasPower = true;
  host.follower = std::make_unique<SimulatedFollower>(toEndpoints(host.seeds));
  if (host.isControl) {
    const auto remembered = host.hasDisk ? host.rememberedPeers : std::vector<NodeId>();
    host.directory =
        std::make_unique<PeerDirectory>(host.address, host.seeds, remembered, PeerDirectory::Timing{});
    host.rememberPeersAt = network_.now();
    Replica::Timing timing;
    timing.toleratedLosses = (plan_.members - 1) / 2;
    if (host.hasDisk)
      host.replica = std::make_unique<Replica>(host.address, host.seeds, bootstrap, host.disk, timing,
                                               network_.now(), host);
    network_.scheduleAt(host, random_.below(kTickInterval), [this, &host] { tick(host); });
  }
  pollAfter(host, random_.below(kMaxPollOffset));
}

void DiscoveryProcesses::kill(DiscoveryHost& host) {
  host.isUp = false;
  ++host.incarnation;
  host.replica.reset();
  host.directory.reset();
  host.follower.reset();
  host.relays.clear();
}

void DiscoveryProcesses::reload(DiscoveryHost& host) {
  if (plan_.mutant == DiscoveryMutant::reloadIgnoresSeeds) return;
  if (host.directory) host.directory->setSeeds(host.seeds);
  host.follower->selector.setSeeds(toEndpoints(host.seeds));
}

DiscoveryHost* DiscoveryProcesses::primary() const {
  for (const auto& host : network_.hosts())
    if (host->isUp && host->replica && host->replica->hasLease(network_.now())) return host.get();
  return nullptr;
}

void DiscoveryProcesses::tick(DiscoveryHost& host) {
  network_.scheduleAt(host, kTickInterval, [this, &host] { tick(host); });
  PeerDirectory& directory = *host.directory;
  if (host.replica) {
    directory.setLocalView({host.replica->epoch(), host.replica->members()}, host.replica->isMember());
    host.replica->setContacts(directory.joinContacts());
    host.replica->tick(network_.now());
  }
  const CoreView& core = directory.core();
  host.follower->selector.setCore(core.epoch, toEndpoints(core.members));
  if (plan_.mutant != DiscoveryMutant::noAnnouncements)
    for (const NodeId& peer : directory.takeDuePeers(network_.now())) announce(host, peer);
  if (host.hasDisk && network_.now() >= host.rememberPeersAt) {
    host.rememberPeersAt = network_.now() + kRememberInterval;
    host.rememberedPeers = directory.knownPeers();
  }
}

void DiscoveryProcesses::announce(DiscoveryHost& host, const NodeId& peer) {
  network_.call<PeerAnnouncement>(
      host, peer,
      [this, announcement = host.directory->announcement()](DiscoveryHost& receiver) {
        receiver.directory->recordAnnouncement(network_.now(), announcement);
        return receiver.directory->announcement();
      },
      [this, &host, peer](const std::optional<PeerAnnouncement>& response) {
        response ? host.directory->recordAnnouncement(network_.now(), *response)
                 : host.directory->recordFailure(network_.now(), peer);
      });
}

void DiscoveryProcesses::pollAfter(DiscoveryHost& host, Millis delay) {
  network_.scheduleAt(host, delay, [this, &host] { poll(host); });
}

// Gatekeepers and control processes without a disk follow relays; members follow the primary.
void DiscoveryProcesses::poll(DiscoveryHost& host) {
  SimulatedFollower& follower = *host.follower;
  if (!follower.target) follower.target = follower.selector.next();
  if (!follower.target) return pollAfter(host, FollowSchedule::kInterval);
  network_.call<FollowResponse>(
      host, textOf(*follower.target),
      [this, &host](DiscoveryHost& server) { return handleFollow(host, server); },
      [this, &host](const std::optional<FollowResponse>& response) { onFollowResponse(host, response); });
}

DiscoveryProcesses::FollowResponse DiscoveryProcesses::handleFollow(const DiscoveryHost& follower,
                                                                    DiscoveryHost& server) {
  const Millis now = network_.now();
  FollowResponse out;
  out.core = server.directory->core();
  if (!server.replica) return plan_.mutant == DiscoveryMutant::disklessForgets ? FollowResponse{} : out;
  if (follower.hasDisk) {
    out.hasUpdates = server.replica->hasLease(now);
    if (out.hasUpdates) server.relays[follower.address] = now;
    if (!out.hasUpdates && server.replica->knownPrimary() != server.address)
      out.leader = server.replica->knownPrimary();
  } else {
    out.hasUpdates = now - server.follower->updatedAt < kRelayTimeout;
  }
  if (out.hasUpdates) out.relays = activeRelays();
  return out;
}

std::vector<NodeId> DiscoveryProcesses::activeRelays() const {
  std::vector<NodeId> out;
  if (const DiscoveryHost* leader = primary())
    for (const auto& [relay, requestedAt] : leader->relays)
      if (network_.now() - requestedAt < kRelayTimeout) out.push_back(relay);
  return out;
}

void DiscoveryProcesses::onFollowResponse(DiscoveryHost& host,
                                          const std::optional<FollowResponse>& response) {
  SimulatedFollower& follower = *host.follower;
  EndpointSelector& selector = follower.selector;
  if (!response) {
    follower.target = selector.next();
    return pollAfter(host, FollowSchedule::kRetryDelay);
  }
  selector.setCore(response->core.epoch, toEndpoints(response->core.members));
  if (!response->hasUpdates && response->leader.empty()) {
    follower.target = selector.next();
    return pollAfter(host, kNoLeaderDelay);
  }
  if (!response->hasUpdates) {
    follower.target = parseAddress(response->leader, "leader");
    return pollAfter(host, FollowSchedule::kRetryDelay);
  }
  follower.updatedAt = network_.now();
  selector.markResponsive(*follower.target);
  if (!host.hasDisk && selector.setPreferred(toEndpoints(response->relays)))
    follower.target = selector.preferred().front();
  pollAfter(host, FollowSchedule::kInterval);
}

}  // namespace lilacmux
