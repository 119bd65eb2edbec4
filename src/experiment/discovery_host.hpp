// A simulated machine of a discovery run, with the one process on it.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "consensus/replica.hpp"
#include "discovery/endpoint_selector.hpp"
#include "discovery/peer_directory.hpp"

namespace lilacmux {

class DiscoveryNetwork;

// A follower of the change log and its search for an endpoint that has updates; stands for Follower, which
// uses sockets.
struct SimulatedFollower {
  explicit SimulatedFollower(const std::vector<Endpoint>& seeds) : selector(seeds) {}

  EndpointSelector selector;
  std::optional<Endpoint> target;  // the endpoint of the next request
  Millis updatedAt = -1e18;
};

// Members of the core have a disk and a replica; control processes without a disk a directory only;
// gatekeepers (isControl is false) only follow.
struct DiscoveryHost : ReplicaHost {
  DiscoveryHost(DiscoveryNetwork& itsNetwork, NodeId itsAddress)
      : network(itsNetwork), address(std::move(itsAddress)) {}

  void send(const NodeId& to, const MemberMessage& message) override;
  bool store(const DurableState& durable) override { return disk = durable, true; }
  void onCommitted(const ReplicatedState&) override {}
  void onPrimacyLost() override {}
  void log(const std::string&) override {}

  // Whether this machine takes part now: not a spare that was never started, nor one that was removed.
  bool isInService() const { return !isSpare && !isRemoved; }

  DiscoveryNetwork& network;
  const NodeId address;
  bool hasDisk = false;
  bool isControl = false;
  bool isUp = false;  // the process
  bool hasPower = true;
  bool isSpare = false;    // not started yet
  bool isRemoved = false;  // for good
  std::uint64_t incarnation = 0;
  std::vector<NodeId> seeds;  // as the settings file has them now
  std::optional<DurableState> disk;
  std::vector<NodeId> rememberedPeers;  // the peer file
  Millis rememberPeersAt = 0;
  std::unique_ptr<Replica> replica;
  std::unique_ptr<PeerDirectory> directory;
  std::unique_ptr<SimulatedFollower> follower;
  std::map<NodeId, Millis> relays;  // at a primary: who sent it a follow request, and when
};

}  // namespace lilacmux
