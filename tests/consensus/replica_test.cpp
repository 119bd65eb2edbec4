// Elections, failover, membership changes and durability of acknowledged changes in a simulated cluster.
#include <gtest/gtest.h>

#include "experiment/fault_run.hpp"
#include "experiment/simulated_cluster.hpp"

namespace lilacmux::test {
namespace {

constexpr Millis kTakeover = 4000;

TEST(Replica, AFreshCoreLeadsSoonWhateverOrderItsMembersStartIn) {
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    SimulatedCluster cluster(seed);
    std::vector<NodeId> order = cluster.names();
    for (std::size_t i = order.size(); i > 1; --i)
      std::swap(order[i - 1], order[static_cast<std::size_t>(cluster.chance() * static_cast<double>(i))]);
    for (const NodeId& name : order) {
      cluster.start(name, true);
      cluster.run(400 * cluster.chance());
    }
    ASSERT_TRUE(cluster.awaitWritablePrimary(3000)) << "seed " << seed;
    cluster.run(5000);
    ASSERT_TRUE(cluster.activePrimary()) << "seed " << seed;
    for (const NodeId& name : cluster.names())
      EXPECT_EQ(cluster.at(name).knownPrimary(), *cluster.activePrimary());
  }
}

// Two members stood for election at once and promised themselves the same epoch: the one that lost must come
// back to the one that won, not outbid it for ever.
TEST(Replica, AMemberThatVotedForItselfInTheSameEpochJoinsTheWinner) {
  SimulatedCluster cluster(1);
  const auto& names = cluster.names();
  cluster.start(names[0], true);
  cluster.run(700);  // stands alone
  cluster.start(names[1], true);
  cluster.start(names[2], true);
  ASSERT_TRUE(cluster.awaitWritablePrimary(3000));
  const auto first = cluster.activePrimary();
  cluster.run(10000);
  EXPECT_EQ(cluster.activePrimary(), first) << "the primary changed without cause";
  for (const NodeId& name : names)
    EXPECT_EQ(cluster.at(name).durable().record.epoch, cluster.at(*first).epoch()) << name << " is left out";
}

TEST(Replica, ACoreOfOneLeadsAndKeepsWhatItAcknowledged) {
  SimulatedCluster cluster(2, 1);
  cluster.startAll();
  ASSERT_TRUE(cluster.awaitWritablePrimary(3000));
  ASSERT_TRUE(cluster.propose());
  cluster.run(200);
  EXPECT_EQ(cluster.acknowledged, 1u);
  cluster.kill(cluster.names()[0]);
  cluster.start(cluster.names()[0], false);
  ASSERT_TRUE(cluster.awaitWritablePrimary(3000));
  EXPECT_EQ(cluster.at(cluster.names()[0]).committed().revision, 1u);
  EXPECT_TRUE(cluster.violations.empty());
}

TEST(Replica, TheBackupTakesOverWithAllThatWasAcknowledged) {
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    SimulatedCluster cluster(seed);
    cluster.startAll();
    ASSERT_TRUE(cluster.awaitWritablePrimary(3000));
    for (int i = 0; i < 3; ++i) {
      ASSERT_TRUE(cluster.propose());
      cluster.run(100);
    }
    ASSERT_EQ(cluster.acknowledged, 3u);
    const NodeId dead = *cluster.activePrimary();
    cluster.kill(dead);
    ASSERT_TRUE(cluster.awaitWritablePrimary(kTakeover)) << "seed " << seed;
    EXPECT_EQ(cluster.at(*cluster.activePrimary()).committed().revision, 3u);
    cluster.start(dead, false);
    cluster.run(4000);
    ASSERT_TRUE(cluster.activePrimary());
    EXPECT_EQ(cluster.at(dead).knownPrimary(), *cluster.activePrimary());
  }
}

TEST(Replica, APrimaryThatShutsDownGracefullyIsFollowedAtOnce) {
  SimulatedCluster cluster(3);
  cluster.startAll();
  ASSERT_TRUE(cluster.awaitWritablePrimary(3000));
  ASSERT_TRUE(cluster.propose());
  cluster.run(100);
  const NodeId leaves = *cluster.activePrimary();
  cluster.at(leaves).resign();
  EXPECT_TRUE(cluster.awaitWritablePrimary(800));
  EXPECT_NE(cluster.activePrimary(), leaves);
}

TEST(Replica, AnUnresponsiveBackupIsReplacedAndItsReturnLosesNothing) {
  SimulatedCluster cluster(4);
  cluster.startAll();
  ASSERT_TRUE(cluster.awaitWritablePrimary(3000));
  const NodeId primary = *cluster.activePrimary(),
               backup = cluster.at(primary).durable().record.backups.front();
  cluster.kill(backup);
  ASSERT_TRUE(cluster.propose());
  cluster.run(2000);  // seen, replaced, given the state
  EXPECT_EQ(cluster.acknowledged, 1u);
  cluster.start(backup, false);
  cluster.run(3000);
  cluster.kill(primary);
  ASSERT_TRUE(cluster.awaitWritablePrimary(kTakeover));
  EXPECT_EQ(cluster.at(*cluster.activePrimary()).committed().revision, 1u);
}

TEST(Replica, APartitionedPrimaryServesNoLongerThanItsLease) {
  SimulatedCluster cluster(5);
  cluster.startAll();
  ASSERT_TRUE(cluster.awaitWritablePrimary(3000));
  const NodeId old = *cluster.activePrimary();
  cluster.isolate(old, true);
  cluster.run(Replica::Timing{}.leaseDuration);
  EXPECT_FALSE(cluster.at(old).hasLease(cluster.now()));
  ASSERT_TRUE(cluster.awaitWritablePrimary(kTakeover));
  EXPECT_NE(*cluster.activePrimary(), old);
  cluster.isolate(old, false);
  cluster.run(4000);
  EXPECT_EQ(cluster.at(old).knownPrimary(), *cluster.activePrimary());
}

TEST(Replica, AMemberThatLostItsDiskComesBackAndTheCoreToleratesTheNextLoss) {
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    SimulatedCluster cluster(seed);
    cluster.startAll();
    ASSERT_TRUE(cluster.awaitWritablePrimary(3000));
    ASSERT_TRUE(cluster.propose());
    cluster.run(200);
    const NodeId wiped = cluster.names()[seed % 3];
    cluster.kill(wiped);
    cluster.loseDisk(wiped);
    cluster.run(1000 * cluster.chance());
    cluster.start(wiped, false);
    cluster.run(6000);
    ASSERT_TRUE(cluster.activePrimary()) << "seed " << seed;
    cluster.kill(*cluster.activePrimary());
    ASSERT_TRUE(cluster.awaitWritablePrimary(2 * kTakeover)) << "seed " << seed;
    EXPECT_EQ(cluster.at(*cluster.activePrimary()).committed().revision, 1u);
  }
}

TEST(Replica, AllKilledAtOnceComeBackWithWhatWasAcknowledged) {
  SimulatedCluster cluster(6);
  cluster.startAll();
  ASSERT_TRUE(cluster.awaitWritablePrimary(3000));
  ASSERT_TRUE(cluster.propose());
  cluster.run(200);
  for (const NodeId& name : cluster.names()) cluster.kill(name);
  cluster.run(500);
  for (const NodeId& name : cluster.names()) cluster.start(name, false);
  ASSERT_TRUE(cluster.awaitWritablePrimary(kTakeover));
  EXPECT_EQ(cluster.at(*cluster.activePrimary()).committed().revision, 1u);
}

// The core outlives all the machines it began on, one after the other, each followed by an empty one
// elsewhere.
TEST(Replica, MachinesReplacedOneByOneLeaveAMajorityAndWhatWasAcknowledged) {
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    SimulatedCluster cluster(seed, 3, 4);
    cluster.setMessageLoss(seed % 2 == 0 ? 0.05 : 0);
    cluster.startAll();
    ASSERT_TRUE(cluster.awaitWritablePrimary(3000));
    for (std::size_t round = 0; round < 4; ++round) {
      const std::uint64_t before = cluster.commits;
      for (int tries = 0; tries < 20 && cluster.commits == before; ++tries)
        cluster.propose(), cluster.run(500);
      ASSERT_GT(cluster.commits, before) << "seed " << seed;
      const auto primary = cluster.activePrimary();
      ASSERT_TRUE(primary);
      const auto members = cluster.at(*primary).members();
      const NodeId& lost = members[static_cast<std::size_t>(3 * cluster.chance())];
      cluster.kill(lost);
      cluster.loseDisk(lost);
      cluster.run(2000 * cluster.chance());
      cluster.setSeeds({*primary == lost ? members[lost == members[0]] : *primary});  // a seed that is up
      cluster.start(cluster.names()[3 + round], false);
      cluster.run(9000);
      ASSERT_TRUE(cluster.awaitWritablePrimary(kTakeover)) << "seed " << seed << " round " << round;
      const auto now = cluster.at(*cluster.activePrimary()).members();
      EXPECT_EQ(std::count(now.begin(), now.end(), lost), 0) << "seed " << seed << " round " << round;
      EXPECT_EQ(now.size(), 3u);
    }
    EXPECT_GE(cluster.at(*cluster.activePrimary()).committed().revision, cluster.acknowledged);
    EXPECT_GE(cluster.acknowledged, 4u);
    if (testing::Test::HasFailure() || !cluster.violations.empty()) FAIL() << "seed " << seed;
  }
}

TEST(Replica, AMemberThatWasReplacedReturnsAndFillsTheNextVacancy) {
  SimulatedCluster cluster(11, 3, 1);
  cluster.startAll();
  cluster.start(cluster.names()[3], false);
  ASSERT_TRUE(cluster.awaitWritablePrimary(3000));
  const NodeId first =
      *cluster.activePrimary() == cluster.names()[2] ? cluster.names()[1] : cluster.names()[2];
  cluster.kill(first);
  cluster.run(6000);
  EXPECT_FALSE(cluster.at(*cluster.activePrimary()).durable().record.hasMember(first));
  cluster.start(first, false);
  cluster.run(4000);
  EXPECT_FALSE(cluster.at(first).isMember()) << "it must learn that it is none any more";
  EXPECT_EQ(cluster.at(first).knownPrimary(), *cluster.activePrimary());
  ASSERT_TRUE(cluster.propose());
  cluster.run(300);
  const NodeId second = *cluster.activePrimary();
  cluster.kill(second);
  cluster.run(9000);
  ASSERT_TRUE(cluster.awaitWritablePrimary(kTakeover));
  EXPECT_TRUE(cluster.at(*cluster.activePrimary()).durable().record.hasMember(first));
  EXPECT_EQ(cluster.at(*cluster.activePrimary()).committed().revision, 1u);
}

// An empty disk has forgotten what it promised and took: alone with a member that was away for the last
// change it must not make up a majority.
TEST(Replica, AnEmptyMemberDoesNotVoteBeforeItHasTakenARecord) {
  SimulatedCluster cluster(12);
  cluster.startAll();
  ASSERT_TRUE(cluster.awaitWritablePrimary(3000));
  const NodeId primary = *cluster.activePrimary(),
               backup = cluster.at(primary).durable().record.backups.front();
  NodeId witness;
  for (const NodeId& name : cluster.names())
    if (name != primary && name != backup) witness = name;
  cluster.kill(witness);
  ASSERT_TRUE(cluster.propose());
  cluster.run(300);
  ASSERT_EQ(cluster.acknowledged, 1u);
  cluster.kill(primary);
  cluster.kill(backup);
  cluster.loseDisk(backup);
  cluster.start(witness, false);
  cluster.start(backup, false);
  cluster.run(8000);
  EXPECT_FALSE(cluster.activePrimary());
  cluster.start(primary, false);
  ASSERT_TRUE(cluster.awaitWritablePrimary(kTakeover));
  EXPECT_EQ(cluster.at(*cluster.activePrimary()).committed().revision, 1u);
}

// Its loyalty keeps a member from helping others, not from helping its own primary back.
TEST(Replica, APrimaryThatWasOnlyRestartedLeadsAgainAtOnce) {
  for (const bool all : {false, true}) {
    SimulatedCluster cluster(13);
    cluster.startAll();
    ASSERT_TRUE(cluster.awaitWritablePrimary(3000));
    ASSERT_TRUE(cluster.propose());
    cluster.run(500);
    const NodeId primary = *cluster.activePrimary();
    for (const NodeId& name : cluster.names())
      if (all || name == primary) cluster.kill(name);
    cluster.run(200);
    for (const NodeId& name : cluster.names())
      if (!cluster.isUp(name)) cluster.start(name, false);
    ASSERT_TRUE(cluster.awaitWritablePrimary(500)) << (all ? "all" : "one");
    EXPECT_EQ(*cluster.activePrimary(), primary);
    EXPECT_EQ(cluster.at(primary).committed().revision, 1u);
  }
}

// One loss at a time, at any moment, with lossy links and changes all along: never two that serve, never old
// state, and rest within seconds once the trouble is over.
// Told of three, a core that is to bear two losses takes two more in, and keeps each change on three disks.
TEST(Replica, GrowsToFiveMembersAndToleratesTwoLostDisksWhileTheOthersLosePower) {
  Replica::Timing timing;
  timing.toleratedLosses = 2;
  for (std::uint64_t seed = 0; seed < 12; ++seed) {
    SimulatedCluster cluster(seed, 3, 3, timing);
    cluster.startAll();
    for (std::size_t i = 3; i < 6; ++i) cluster.start(cluster.names()[i], false);
    ASSERT_TRUE(cluster.awaitWritablePrimary(4000));
    cluster.run(8000);
    const auto primary = cluster.activePrimary();
    ASSERT_TRUE(primary);
    const EpochRecord record = cluster.at(*primary).durable().record;
    EXPECT_EQ(record.members.size(), 5u) << "seed " << seed;
    ASSERT_EQ(record.backups.size(), 2u);
    ASSERT_TRUE(cluster.propose());
    while (cluster.acknowledged == 0) cluster.run(5);
    // The primary and one backup lose their disks at that very moment.
    for (const NodeId& name : cluster.names()) cluster.kill(name);
    cluster.loseDisk(*primary);
    cluster.loseDisk(record.backups[seed % 2]);
    for (const NodeId& name : cluster.names()) cluster.start(name, false);
    EXPECT_TRUE(cluster.awaitWritablePrimary(15000)) << "seed " << seed;
    EXPECT_EQ(cluster.at(*cluster.activePrimary()).committed().revision, cluster.acknowledged);
    EXPECT_TRUE(cluster.violations.empty()) << cluster.violations.front();
  }
}

// Two members gone, the three that are left go on.
TEST(Replica, ACoreOfFiveGoesOnWithTwoGone) {
  Replica::Timing timing;
  timing.toleratedLosses = 2;
  SimulatedCluster cluster(5, 5, 0, timing);
  cluster.startAll();
  ASSERT_TRUE(cluster.awaitWritablePrimary(4000));
  cluster.run(3000);
  const NodeId primary = *cluster.activePrimary();
  const NodeId backup = cluster.at(primary).durable().record.backups.front();
  ASSERT_TRUE(cluster.propose());
  cluster.run(500);
  cluster.kill(primary);
  cluster.kill(backup);
  EXPECT_TRUE(cluster.awaitWritablePrimary(6000));
  ASSERT_TRUE(cluster.propose());
  const auto before = cluster.acknowledged;
  cluster.run(2000);
  EXPECT_GT(cluster.acknowledged, before);
  EXPECT_TRUE(cluster.violations.empty());
}

TEST(Replica, ToleratesOneLossAtATimeAtAnyMoment) {
  for (std::uint64_t seed = 0; seed < 60; ++seed) {
    SimulatedCluster cluster(seed);
    cluster.startAll();
    cluster.setMessageLoss(seed % 3 == 0 ? 0.05 : 0);
    for (int round = 0; round < 8; ++round) {
      const NodeId victim = cluster.names()[static_cast<std::size_t>(3 * cluster.chance())];
      const bool cutOnly = cluster.chance() < 0.4;
      cutOnly ? cluster.isolate(victim, true) : cluster.kill(victim);
      for (int i = 0; i < 12; ++i) cluster.propose(), cluster.run(300 * cluster.chance());
      cutOnly ? cluster.isolate(victim, false) : cluster.start(victim, false);
      for (int i = 0; i < 6; ++i) cluster.propose(), cluster.run(500);
      ASSERT_TRUE(cluster.awaitWritablePrimary(6000)) << "seed " << seed << " round " << round;
    }
    EXPECT_GT(cluster.commits, 8u);
    if (testing::Test::HasFailure() || !cluster.violations.empty()) FAIL() << "seed " << seed;
  }
}

// Runs until one comes to this step, which takes place, and kills all at it. Gives the primary of the newest
// record, if the step came in time.
std::optional<NodeId> killAllAt(SimulatedCluster& cluster, ProtocolStep moment) {
  bool came = false;
  cluster.onProtocolStep = [&](ProtocolStep now, const NodeId&) {
    if (came || now != moment) return StepOutcome::continues;
    came = true;
    cluster.after(0, [&cluster] { cluster.interrupt(); });
    return StepOutcome::crashesAfter;
  };
  cluster.run(5000);
  cluster.onProtocolStep = nullptr;
  if (!came) return std::nullopt;
  for (const NodeId& name : cluster.names()) cluster.kill(name);
  cluster.run(20);  // what was on its way reaches nobody
  EpochRecord newest;
  for (const NodeId& name : cluster.names())
    if (cluster.disk(name) && cluster.disk(name)->record.epoch > newest.epoch)
      newest = cluster.disk(name)->record;
  return newest.primary;
}

// A core of five at rest, with a change acknowledged, that can do without two.
class InterruptedElections : public testing::TestWithParam<std::uint64_t> {
 protected:
  void SetUp() override {
    cluster.startAll();
    ASSERT_TRUE(cluster.awaitWritablePrimary(4000));
    cluster.run(3000);
    ASSERT_TRUE(cluster.propose());
    cluster.run(500);
    ASSERT_EQ(cluster.acknowledged, 1u);
    first = *cluster.activePrimary();
    for (const NodeId& name : cluster.names()) {
      cluster.kill(name);
      if (name != first) others.push_back(name);
    }
  }
  void start(const std::vector<NodeId>& names) {
    for (const NodeId& name : names) cluster.start(name, false);
  }
  void expectNothingLost() {
    ASSERT_TRUE(cluster.awaitWritablePrimary(10000)) << "no primary";
    EXPECT_EQ(cluster.at(*cluster.activePrimary()).committed().revision, 1u);
    EXPECT_TRUE(cluster.violations.empty());
  }
  static Replica::Timing two() {
    Replica::Timing out;
    out.toleratedLosses = 2;
    return out;
  }

  SimulatedCluster cluster{GetParam(), 5, 0, two()};
  NodeId first;
  std::vector<NodeId> others;
};

TEST_P(InterruptedElections, TwoWinnersThatStayAwayLeaveAPrimaryPossible) {
  start(cluster.names());
  const auto second = killAllAt(cluster, ProtocolStep::acceptsRecord);
  ASSERT_TRUE(second);
  std::vector<NodeId> left = cluster.names();
  std::erase(left, *second);
  start(left);
  const auto third = killAllAt(cluster, ProtocolStep::acceptsRecord);
  ASSERT_TRUE(third);
  ASSERT_NE(*third, *second);
  std::erase(left, *third);
  start(left);
  expectNothingLost();
}

// Its own record, which no backup was given the state under, must not be asked for once it is away.
TEST_P(InterruptedElections, AWinnerTwiceOverMayStayAway) {
  start({first, others[0], others[1]});
  ASSERT_EQ(killAllAt(cluster, ProtocolStep::opensEpoch), first);
  start({first, others[0], others[1]});
  ASSERT_EQ(killAllAt(cluster, ProtocolStep::acceptsRecord), first);
  start({others[0], others[1], others[2]});
  expectNothingLost();
}

// Who can tell that nothing counted under the record before the newest were not there when that one was made.
TEST_P(InterruptedElections, TheBackupsOfThePreviousRecordShowThatNothingWasCommittedInIt) {
  start({first, others[0], others[1]});
  ASSERT_EQ(killAllAt(cluster, ProtocolStep::opensEpoch), first);
  start({first, others[2], others[3]});
  ASSERT_EQ(killAllAt(cluster, ProtocolStep::acceptsRecord), first);
  start(others);
  expectNothingLost();
}

INSTANTIATE_TEST_SUITE_P(Replica, InterruptedElections, testing::Range<std::uint64_t>(0, 20));

// The newcomer does not know yet that it is a member; its vote is needed all the same.
TEST(Replica, AnInterruptedMembershipChangeLeavesAPrimaryPossible) {
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    SimulatedCluster cluster(seed, 3, 1);
    cluster.startAll();
    cluster.start(cluster.names()[3], false);
    ASSERT_TRUE(cluster.awaitWritablePrimary(3000));
    cluster.run(3000);  // the observer has its record
    ASSERT_TRUE(cluster.propose());
    cluster.run(500);
    const NodeId primary = *cluster.activePrimary();
    const auto backups = cluster.at(primary).durable().record.backups;
    for (std::size_t i = 0; i < 3; ++i)
      if (cluster.names()[i] != primary && cluster.names()[i] != backups.front())
        cluster.kill(cluster.names()[i]);
    ASSERT_EQ(killAllAt(cluster, ProtocolStep::acceptsRecord), primary);
    for (const NodeId& name : cluster.names())
      if (name != primary) cluster.start(name, false);
    ASSERT_TRUE(cluster.awaitWritablePrimary(10000)) << "seed " << seed;
    EXPECT_EQ(cluster.at(*cluster.activePrimary()).committed().revision, 1u);
    EXPECT_TRUE(cluster.violations.empty());
  }
}

// A fixed set of storms; `lilacmux experiment core` plays on for as long as it is told. tests/mutants/ shows
// that storms find each of the faults that they once found.
TEST(Replica, ToleratesAFixedSetOfFaultSchedules) {
  std::vector<std::uint64_t> seeds{4910,    7960,    14886,
                                   16816,  // stood still before elections were mended
                                   6004691, 6022942, 6023827};
  for (std::uint64_t seed = 0; seed < 1000; ++seed) seeds.push_back(seed);
  for (const std::uint64_t seed : seeds) {
    const FaultSchedule schedule = drawFaultSchedule(seed);
    const auto failures = runFaultSchedule(schedule).failures;
    if (failures.empty()) continue;
    std::string needs;
    for (const Fault& fault : shrink(schedule).faults) needs += "\n  " + describe(fault);
    FAIL() << "seed " << seed << ": " << failures.front() << needs;
  }
}

}  // namespace
}  // namespace lilacmux::test
