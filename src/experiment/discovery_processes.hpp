// What the processes of a discovery run do: start, announce themselves, follow the primary.
#pragma once

#include <optional>
#include <vector>

#include "experiment/discovery.hpp"
#include "experiment/discovery_network.hpp"

namespace lilacmux {

std::vector<Endpoint> toEndpoints(const std::vector<NodeId>& nodes);

// Runs the real cores of each process as ControlNode, Relay and Gateway do on sockets.
class DiscoveryProcesses {
 public:
  // All must outlive this.
  DiscoveryProcesses(const DiscoveryPlan& plan, SeededRandom& random, DiscoveryNetwork& network)
      : plan_(plan), random_(random), network_(network) {}

  // `bootstrap`: as the settings of a first start say. A host that was removed is not started.
  void start(DiscoveryHost& host, bool bootstrap);
  // Ends the process at once; what is on disk stays.
  void kill(DiscoveryHost& host);
  // Makes a running process take up the seeds of its settings file.
  void reload(DiscoveryHost& host);

  // The host that may serve as primary now, or null.
  DiscoveryHost* primary() const;

 private:
  struct FollowResponse {
    bool hasUpdates = false;
    NodeId leader;  // if the host without updates knows another one to be the leader
    CoreView core;
    std::vector<NodeId> relays;
  };

  void tick(DiscoveryHost& host);
  void announce(DiscoveryHost& host, const NodeId& peer);
  void poll(DiscoveryHost& host);
  void pollAfter(DiscoveryHost& host, Millis delay);
  FollowResponse handleFollow(const DiscoveryHost& follower, DiscoveryHost& server);
  void onFollowResponse(DiscoveryHost& host, const std::optional<FollowResponse>& response);
  std::vector<NodeId> activeRelays() const;

  const DiscoveryPlan& plan_;
  SeededRandom& random_;
  DiscoveryNetwork& network_;
};

}  // namespace lilacmux
