// Answers the follow requests of gateways and relays: as the primary, as a relay, or with a redirect.
// Compresses the large parts of a response if the follower accepts it, and paces them to the capacity of the
// machine's link.
//
// Runs on the thread of the services that it refers to. They must outlive it.
#pragma once

#include "consensus/replica.hpp"
#include "control/peer_discovery.hpp"
#include "control/primary_role.hpp"
#include "control/relay_service.hpp"
#include "fleet/bulk_pacer.hpp"
#include "fleet/configuration_pack.hpp"
#include "fleet/snapshot_pack.hpp"

namespace lilacmux {

class FollowService {
 public:
  // `networkMbps`: capacity of the machine's link in Mbit/s; 0: unknown, and responses are not paced.
  FollowService(NodeId self, double networkMbps, const PeerDiscovery& discovery, PrimaryRole& primary,
                RelayService& relay);

  FollowResponse answer(const FollowRequest& request, const Replica& replica);
  // Returns a response that contains only the view of the core.
  FollowResponse redirectToCore() const;

 private:
  FollowResponse answerRelay(const FollowRequest& request, const Replica& replica);
  void compress(const FollowRequest& request, FollowResponse& response);

  const NodeId self_;
  const PeerDiscovery& discovery_;
  PrimaryRole& primary_;
  RelayService& relay_;
  ConfigurationPacker configurations_;
  SnapshotPacker snapshots_;
  BulkPacer pacer_;
};

}  // namespace lilacmux
