// What is large in responses waits for the link, so that what is small finds room.
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

// Thirty gatekeepers want a configuration of 260 KB at once from a machine with 100 Mbit/s.
TEST(BulkPacer, KeepsTheLinkFreeForWhatIsSmall) {
  constexpr double kMbitPerS = 100, kGatekeepers = 30;
  BulkPacer pacer(kMbitPerS);
  LinkPace link(kMbitPerS);
  const auto body = std::make_shared<const std::string>(std::string(260000, 'c'));
  double worst = 0, last = 0;
  std::vector<bool> has(kGatekeepers, false);
  for (double now = 0; now < 5000; now += 250 / kGatekeepers) {
    const auto g = static_cast<std::size_t>(now / (250 / kGatekeepers)) % has.size();
    FollowResponse answer;
    answer.epoch = 1;
    answer.delta.revision = 2;
    if (!has[g]) answer.delta.configuration = body;
    pacer.pace(now, {}, answer);
    if (!answer.delta.configuration) continue;
    has[g] = true;
    last = now;
    link.passed(now, body->size());
    worst = std::max(worst, link.queue(now));
  }
  EXPECT_EQ(std::count(has.begin(), has.end(), true), kGatekeepers);
  EXPECT_LT(worst, 100) << "ms that a heartbeat stands in the queue";
  EXPECT_LT(last, 2000) << "ms until all have it";
}

TEST(BulkPacer, WhatWaitsRenewsNoLease) {
  BulkPacer pacer(1);
  FollowerState state(4000);
  FollowRequest request;
  FollowResponse answer;
  answer.epoch = 3;
  answer.delta.hasServerList = true;
  answer.delta.servers.emplace().isSnapshot = true;
  answer.delta.index = 9;
  answer.delta.revision = 2;
  for (int i = 0; i < 1000; ++i)
    answer.delta.servers->updated.push_back({"i" + std::to_string(i), "s", "a", "z", 1});
  FollowResponse first = answer;
  pacer.pace(0, request, first);
  EXPECT_EQ(first.delta.servers->updated.size(), answer.delta.servers->updated.size()) << "the link is free";
  pacer.pace(1, request, answer);
  EXPECT_FALSE(answer.delta.servers);
  state.apply(*parseFollowResponse(toFrame(answer)), 100, 2);
  EXPECT_FALSE(state.hasServerList());
  EXPECT_FALSE(state.holdsLease(101));
  EXPECT_EQ(state.position(), ListPosition());
}

}  // namespace
}  // namespace lilacmux::test
