// Which server gets which keys.
#include "ownership/assignment_planner.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace lilacmux {
namespace {

class AssignmentPlanner : public testing::Test {
 protected:
  AssignmentPlanner() {
    input.service = "s";
    input.servers = {"a", "b", "c", "d"};
    input.isHandedOver = [](Fence) { return true; };
    input.isRejected = [](Fence) { return false; };
    table.beginChange();
  }
  bool plan() { return planAssignments(input, table); }
  // Adds requests for each of these keys.
  void addLoad(const KeyRange& keys, std::uint32_t requests) {
    KeyCounts counts;
    for (Key key = keys.first; key <= keys.last; key += kKeysPerBucket)
      counts.set("s", key / kKeysPerBucket, requests);
    load.add(0, counts.services().at("s"));
    input.load = &load;
  }
  std::map<std::string, double> loads() const {
    std::map<std::string, double> out;
    for (const Assignment& each : table.assignments("s")) out[each.server] += load.weight(each.keys);
    return out;
  }
  void expectEveryKeyIsAssignedOnce() const {
    Key next = 0;
    for (const Assignment& each : table.assignments("s")) {
      EXPECT_EQ(each.keys.first, next);
      next = each.keys.last + 1;
    }
    EXPECT_EQ(next, kKeyCount);
  }

  PlacementInput input;
  KeyLoad load;
  OwnershipTable table;
};

TEST_F(AssignmentPlanner, DividesTheKeysOfANewServiceAndThenChangesNothing) {
  EXPECT_TRUE(plan());
  EXPECT_EQ(table.assignments("s").size(), 4u);
  expectEveryKeyIsAssignedOnce();
  EXPECT_FALSE(plan());
}

TEST_F(AssignmentPlanner, MovesTheRangesOfServersThatLeaveToSeveralOthers) {
  plan();
  input.servers = {"a", "b", "c"};
  EXPECT_TRUE(plan());
  expectEveryKeyIsAssignedOnce();
  std::map<std::string, int> heirs;
  for (const Assignment& each : table.assignments("s")) {
    EXPECT_NE(each.server, "d");
    heirs[each.server] += each.previousServer == "d";
  }
  EXPECT_EQ(heirs, (std::map<std::string, int>{{"a", 1}, {"b", 1}, {"c", 1}}));
}

TEST_F(AssignmentPlanner, LeavesRangesInMovementWhereTheyAre) {
  plan();
  input.servers = {"a", "b", "c"};
  plan();
  input.servers = {"a", "b"};
  input.isHandedOver = [](Fence) { return false; };
  const OwnershipTable before = table;
  plan();
  for (const Assignment& each : before.assignments("s")) {
    const auto& now = table.assignments("s");
    if (!each.hasPrevious()) continue;
    EXPECT_NE(std::find(now.begin(), now.end(), each), now.end());
  }
}

TEST_F(AssignmentPlanner, GivesAnEmptyServerKeys) {
  plan();
  input.servers.emplace_back("e");
  EXPECT_TRUE(plan());
  expectEveryKeyIsAssignedOnce();
  const auto& all = table.assignments("s");
  EXPECT_TRUE(std::any_of(all.begin(), all.end(), [](const Assignment& each) { return each.server == "e"; }));
}

TEST_F(AssignmentPlanner, EvensOutHeavyKeysThatLieTogetherAndThenStops) {
  plan();
  addLoad({0, kKeyCount - 1}, 1);
  addLoad({0, 4095}, 40);
  int plans = 0;
  while (plan() && plans < 30) ++plans;
  EXPECT_LT(plans, 30);
  expectEveryKeyIsAssignedOnce();
  double heaviest = 0;
  for (const auto& [server, itsLoad] : loads()) heaviest = std::max(heaviest, itsLoad);
  EXPECT_LT(heaviest, 1.5 * load.total() / 4);
}

TEST_F(AssignmentPlanner, GivesARejectedFenceANewOneAtTheSameServer) {
  plan();
  const Assignment rejected = table.assignments("s")[1];
  input.isRejected = [&](Fence fence) { return fence == rejected.fence; };
  EXPECT_TRUE(plan());
  EXPECT_EQ(table.assignments("s")[1].server, rejected.server);
  EXPECT_GT(table.assignments("s")[1].fence, rejected.fence);
}

TEST_F(AssignmentPlanner, WithoutAServerNothingIsMoved) {
  plan();
  const OwnershipTable before = table;
  input.servers.clear();
  EXPECT_FALSE(plan());
  EXPECT_EQ(table, before);
}

}  // namespace
}  // namespace lilacmux
