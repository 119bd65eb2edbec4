// Leases of keys step by step; whole runs with faults are in ownership_run_test.cpp.
#include "ownership/lease_manager.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace lilacmux {
namespace {

using Outcome = LeaseCallResult::Outcome;

class Leases : public testing::Test, protected LeaseCaller {
 protected:
  Leases() {
    table.beginChange();
    table.assign("s", {0, kKeyCount - 1}, "a");
  }
  void send(const LeaseCall& call) override { calls.push_back(call); }
  // Starts with a table on which this primary has sent nothing yet.
  void start(double now) {
    leases.emplace(now, rule, static_cast<LeaseCaller&>(*this), OwnershipTable());
    leases->setServers({"a", "b"});
    leases->setTable(now, table);
  }
  void moveAllTo(double now, const std::string& server) {
    table.beginChange();
    table.move("s", table.assignments("s")[0].fence, {0, kKeyCount - 1}, server);
    leases->setTable(now, table);
  }
  void answer(double now, std::size_t call, Outcome outcome, const std::string& token = {}) {
    leases->callEnded(now, calls.at(call).id, {outcome, token});
  }

  const LeaseManager::Rule rule;
  OwnershipTable table;
  std::vector<LeaseCall> calls;
  std::optional<LeaseManager> leases;
};

TEST_F(Leases, RenewsWithTheSameCall) {
  start(0);
  leases->tick(0);
  ASSERT_EQ(calls.size(), 1u);
  answer(5, 0, Outcome::done);
  leases->tick(rule.renewInterval);
  ASSERT_EQ(calls.size(), 2u);
  EXPECT_EQ(calls[1].fence, calls[0].fence);
  EXPECT_EQ(calls[1].keys, calls[0].keys);
  EXPECT_EQ(calls[1].holdMs, calls[0].holdMs);
}

TEST_F(Leases, GrantsTheNextServerOnlyAfterTheReleaseAndWithItsToken) {
  start(0);
  leases->tick(0);
  answer(5, 0, Outcome::done);
  moveAllTo(10, "b");
  leases->tick(10);
  ASSERT_EQ(calls.size(), 2u);
  EXPECT_EQ(calls[1].kind, LeaseCall::Kind::release);
  EXPECT_EQ(calls[1].server, "a");
  leases->tick(500);
  EXPECT_EQ(calls.size(), 2u);
  answer(600, 1, Outcome::done, "token");
  leases->tick(600);
  ASSERT_EQ(calls.size(), 3u);
  EXPECT_EQ(calls[2].server, "b");
  EXPECT_EQ(calls[2].handoff, "token");
}

TEST_F(Leases, AReleaseWaitsUntilNoEarlierGrantCanArrive) {
  start(0);
  leases->tick(0);
  moveAllTo(10, "b");
  leases->tick(20);
  EXPECT_EQ(calls.size(), 1u) << "the grant is in flight";
  answer(1000, 0, Outcome::unknown);
  leases->tick(1100);
  EXPECT_EQ(calls.size(), 1u) << "the grant may still arrive";
  leases->tick(rule.delayBound);
  ASSERT_EQ(calls.size(), 2u);
  EXPECT_EQ(calls[1].kind, LeaseCall::Kind::release);
}

TEST_F(Leases, WithoutAReleaseTheKeysWaitForTheSlowestClock) {
  start(0);
  leases->tick(0);
  answer(5, 0, Outcome::done);
  moveAllTo(10, "b");
  leases->setServers({"b"});
  const double end = 5 + rule.holdBound(rule.hold);
  for (double now = 20; now < end; now += 20) leases->tick(now);
  EXPECT_EQ(calls.size(), 1u);
  leases->tick(end);
  leases->tick(end);
  ASSERT_EQ(calls.size(), 2u);
  EXPECT_EQ(calls[1].server, "b");
  EXPECT_TRUE(calls[1].handoff.empty());
  EXPECT_EQ(leases->counts().lapses, 1u);
}

TEST_F(Leases, ANewPrimaryAssumesThatEarlierOnesGrantedUntilNow) {
  table.setMaxHoldMs(2 * rule.hold);
  table.beginChange();
  table.move("s", table.assignments("s")[0].fence, {0, kKeyCount - 1}, "b");
  leases.emplace(0, rule, static_cast<LeaseCaller&>(*this), table);
  leases->setServers({"b"});
  const double end = rule.delayBound + rule.holdBound(2 * rule.hold);
  for (double now = 0; now < end; now += 20) leases->tick(now);
  EXPECT_TRUE(calls.empty());
  leases->tick(end);
  leases->tick(end);
  EXPECT_EQ(calls.size(), 1u);
}

// NEWS-24: no further calls with a fence that was refused because a higher one has been used.
TEST_F(Leases, ARejectedFenceIsNotUsedAgain) {
  start(0);
  leases->tick(0);
  answer(5, 0, Outcome::fenceRejected);
  for (double now = 20; now < 10000; now += 20) leases->tick(now);
  EXPECT_EQ(calls.size(), 1u);
  EXPECT_TRUE(leases->isRejected(calls[0].fence));
  table.renewFence("s", calls[0].fence);
  leases->setTable(10000, table);
  leases->tick(10000);
  ASSERT_EQ(calls.size(), 2u);
  EXPECT_GT(calls[1].fence, calls[0].fence);
}

TEST_F(Leases, AServerThatAnswersNothingIsUnresponsiveUntilItDoes) {
  start(0);
  leases->tick(0);
  answer(1000, 0, Outcome::unknown);
  EXPECT_FALSE(leases->isUnresponsive(1100, "a"));
  EXPECT_TRUE(leases->isUnresponsive(1000 + rule.hold, "a"));
  leases->tick(5000);
  answer(5005, 1, Outcome::done);
  EXPECT_FALSE(leases->isUnresponsive(9000, "a"));
}

}  // namespace
}  // namespace lilacmux
