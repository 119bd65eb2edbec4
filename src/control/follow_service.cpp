#include "control/follow_service.hpp"

#include <utility>

#include "net/steady.hpp"

namespace lilacmux {

FollowService::FollowService(NodeId self, double networkMbps, const PeerDiscovery& discovery,
                             PrimaryRole& primary, RelayService& relay)
    : self_(std::move(self)), discovery_(discovery), primary_(primary), relay_(relay), pacer_(networkMbps) {}

FollowResponse FollowService::answer(const FollowRequest& request, const Replica& replica) {
  const bool isFromRelay = request.relay.has_value();
  FollowResponse out =
      isFromRelay ? answerRelay(request, replica) : relay_.answer(steadyMs(), request, discovery_.core());
  compress(request, out);
  pacer_.pace(steadyMs(), request, out);
  return out;
}

FollowResponse FollowService::redirectToCore() const {
  FollowResponse out;
  out.core = discovery_.core();
  return out;
}

FollowResponse FollowService::answerRelay(const FollowRequest& request, const Replica& replica) {
  FollowResponse out = redirectToCore();
  const Millis now = steadyMs();
  if (replica.hasLease(now) && primary_.isActive()) {
    primary_.fillResponse(now, request, replica.committed(), out);
  } else if (replica.knownPrimary() != self_) {
    out.leader = replica.knownPrimary();
  }
  return out;
}

void FollowService::compress(const FollowRequest& request, FollowResponse& response) {
  if (!request.acceptsPacked) return;
  auto& delta = response.delta;
  if (delta.configuration) {
    configurations_.add(delta.revision, delta.configuration);
    delta.packedConfiguration = configurations_.pack(delta.revision, request.revision);
  }
  if (!delta.isSnapshot()) return;
  auto& servers = *delta.servers;
  servers.packedUpdated = snapshots_.pack({response.epoch, delta.index}, servers.updated);
}

}  // namespace lilacmux
