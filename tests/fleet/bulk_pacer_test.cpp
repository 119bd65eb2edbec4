// BulkPacer delays bulk responses while the link is congested, so that small messages are not delayed.
#include "fleet/bulk_pacer.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "fleet/follow_codec.hpp"
#include "fleet/follower_state.hpp"

namespace lilacmux::test {
namespace {

// 30 gateways request a configuration of 260 KB at the same time from a machine with a link of 100 Mbit/s.
TEST(BulkPacer, BoundsTheLinkQueueWhileAllGatewaysReceiveTheConfiguration) {
  constexpr double kMbitPerS = 100, kGateways = 30;
  BulkPacer pacer(kMbitPerS);
  LinkPace link(kMbitPerS);
  const auto body = std::make_shared<const std::string>(std::string(260000, 'c'));
  double maxQueueMs = 0, lastSentAt = 0;
  std::vector<bool> hasConfiguration(kGateways, false);
  for (double now = 0; now < 5000; now += 250 / kGateways) {
    const auto g = static_cast<std::size_t>(now / (250 / kGateways)) % hasConfiguration.size();
    FollowResponse response;
    response.epoch = 1;
    response.delta.revision = 2;
    if (!hasConfiguration[g]) response.delta.configuration = body;
    pacer.pace(now, {}, response);
    if (!response.delta.configuration) continue;
    hasConfiguration[g] = true;
    lastSentAt = now;
    link.passed(now, body->size());
    maxQueueMs = std::max(maxQueueMs, link.queue(now));
  }
  EXPECT_EQ(std::count(hasConfiguration.begin(), hasConfiguration.end(), true), kGateways);
  EXPECT_LT(maxQueueMs, 100) << "ms that a heartbeat waits in the link queue";
  EXPECT_LT(lastSentAt, 2000) << "ms until all gateways have the configuration";
}

TEST(BulkPacer, AResponseWithoutItsDelayedServerListRenewsNoLease) {
  BulkPacer pacer(1);
  FollowerState state(4000);
  FollowRequest request;
  FollowResponse response;
  response.epoch = 3;
  response.delta.hasServerList = true;
  response.delta.servers.emplace().isSnapshot = true;
  response.delta.index = 9;
  response.delta.revision = 2;
  for (int i = 0; i < 1000; ++i)
    response.delta.servers->updated.push_back({"i" + std::to_string(i), "s", "a", "z", 1});
  FollowResponse firstResponse = response;
  pacer.pace(0, request, firstResponse);
  EXPECT_EQ(firstResponse.delta.servers->updated.size(), response.delta.servers->updated.size())
      << "the link is idle";
  pacer.pace(1, request, response);
  EXPECT_FALSE(response.delta.servers);
  state.apply(*parseFollowResponse(toFrame(response)), 100, 2);
  EXPECT_FALSE(state.hasServerList());
  EXPECT_FALSE(state.holdsLease(101));
  EXPECT_EQ(state.position(), ListPosition());
}

}  // namespace
}  // namespace lilacmux::test
