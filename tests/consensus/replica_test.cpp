// Elections, failover, membership changes and durability of acknowledged changes in a simulated cluster.
#include <gtest/gtest.h>

#include "experiment/fault_run.hpp"
#include "experiment/simulated_cluster.hpp"

namespace lilacmux::test {
namespace {

constexpr Millis kFailoverTimeout = 4000;

TEST(Replica, NewCoreElectsAPrimaryForAnyStartOrder) {
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

// Two members started elections at once and voted for themselves in the same term: the loser must follow the
// winner instead of starting elections in newer terms for ever.
TEST(Replica, LosingCandidateOfTheSameTermFollowsTheWinner) {
  SimulatedCluster cluster(1);
  const auto& names = cluster.names();
  cluster.start(names[0], true);
  cluster.run(700);  // starts an election alone
  cluster.start(names[1], true);
  cluster.start(names[2], true);
  ASSERT_TRUE(cluster.awaitWritablePrimary(3000));
  const auto first = cluster.activePrimary();
  cluster.run(10000);
  EXPECT_EQ(cluster.activePrimary(), first) << "the primary changed without cause";
  for (const NodeId& name : names)
    EXPECT_EQ(cluster.at(name).durable().record.epoch, cluster.at(*first).epoch())
        << name << " has not accepted the record";
}

TEST(Replica, SingleMemberCoreRetainsAcknowledgedChanges) {
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

TEST(Replica, BackupTakesOverWithAllAcknowledgedChanges) {
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    SimulatedCluster cluster(seed);
    cluster.startAll();
    ASSERT_TRUE(cluster.awaitWritablePrimary(3000));
    for (int i = 0; i < 3; ++i) {
      ASSERT_TRUE(cluster.propose());
      cluster.run(100);
    }
    ASSERT_EQ(cluster.acknowledged, 3u);
    const NodeId killed = *cluster.activePrimary();
    cluster.kill(killed);
    ASSERT_TRUE(cluster.awaitWritablePrimary(kFailoverTimeout)) << "seed " << seed;
    EXPECT_EQ(cluster.at(*cluster.activePrimary()).committed().revision, 3u);
    cluster.start(killed, false);
    cluster.run(4000);
    ASSERT_TRUE(cluster.activePrimary());
    EXPECT_EQ(cluster.at(killed).knownPrimary(), *cluster.activePrimary());
  }
}

TEST(Replica, GracefulShutdownOfThePrimaryTriggersAnElectionAtOnce) {
  SimulatedCluster cluster(3);
  cluster.startAll();
  ASSERT_TRUE(cluster.awaitWritablePrimary(3000));
  ASSERT_TRUE(cluster.propose());
  cluster.run(100);
  const NodeId resigned = *cluster.activePrimary();
  cluster.at(resigned).resign();
  EXPECT_TRUE(cluster.awaitWritablePrimary(800));
  EXPECT_NE(cluster.activePrimary(), resigned);
}

TEST(Replica, UnresponsiveBackupIsReplacedAndReturnsWithoutLoss) {
  SimulatedCluster cluster(4);
  cluster.startAll();
  ASSERT_TRUE(cluster.awaitWritablePrimary(3000));
  const NodeId primary = *cluster.activePrimary(),
               backup = cluster.at(primary).durable().record.backups.front();
  cluster.kill(backup);
  ASSERT_TRUE(cluster.propose());
  cluster.run(2000);  // the failure is detected, and the new backup receives the state
  EXPECT_EQ(cluster.acknowledged, 1u);
  cluster.start(backup, false);
  cluster.run(3000);
  cluster.kill(primary);
  ASSERT_TRUE(cluster.awaitWritablePrimary(kFailoverTimeout));
  EXPECT_EQ(cluster.at(*cluster.activePrimary()).committed().revision, 1u);
}

TEST(Replica, PartitionedPrimaryLosesItsLease) {
  SimulatedCluster cluster(5);
  cluster.startAll();
  ASSERT_TRUE(cluster.awaitWritablePrimary(3000));
  const NodeId old = *cluster.activePrimary();
  cluster.isolate(old, true);
  cluster.run(Replica::Timing{}.leaseDuration);
  EXPECT_FALSE(cluster.at(old).hasLease(cluster.now()));
  ASSERT_TRUE(cluster.awaitWritablePrimary(kFailoverTimeout));
  EXPECT_NE(*cluster.activePrimary(), old);
  cluster.isolate(old, false);
  cluster.run(4000);
  EXPECT_EQ(cluster.at(old).knownPrimary(), *cluster.activePrimary());
}

TEST(Replica, MemberRejoinsAfterDiskLossAndTheCoreToleratesTheNextLoss) {
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    SimulatedCluster cluster(seed);
    cluster.startAll();
    ASSERT_TRUE(cluster.awaitWritablePrimary(3000));
    ASSERT_TRUE(cluster.propose());
    cluster.run(200);
    const NodeId diskless = cluster.names()[seed % 3];
    cluster.kill(diskless);
    cluster.loseDisk(diskless);
    cluster.run(1000 * cluster.chance());
    cluster.start(diskless, false);
    cluster.run(6000);
    ASSERT_TRUE(cluster.activePrimary()) << "seed " << seed;
    cluster.kill(*cluster.activePrimary());
    ASSERT_TRUE(cluster.awaitWritablePrimary(2 * kFailoverTimeout)) << "seed " << seed;
    EXPECT_EQ(cluster.at(*cluster.activePrimary()).committed().revision, 1u);
  }
}

TEST(Replica, AcknowledgedChangesSurviveARestartOfAllMembers) {
  SimulatedCluster cluster(6);
  cluster.startAll();
  ASSERT_TRUE(cluster.awaitWritablePrimary(3000));
  ASSERT_TRUE(cluster.propose());
  cluster.run(200);
  for (const NodeId& name : cluster.names()) cluster.kill(name);
  cluster.run(500);
  for (const NodeId& name : cluster.names()) cluster.start(name, false);
  ASSERT_TRUE(cluster.awaitWritablePrimary(kFailoverTimeout));
  EXPECT_EQ(cluster.at(*cluster.activePrimary()).committed().revision, 1u);
}

// Each of the first machines is lost in turn and replaced by an empty one at another address.
TEST(Replica, AcknowledgedChangesSurviveTheReplacementOfAllMachines) {
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    SimulatedCluster cluster(seed, 3, 4);
    cluster.setMessageLoss(seed % 2 == 0 ? 0.05 : 0);
    cluster.startAll();
    ASSERT_TRUE(cluster.awaitWritablePrimary(3000));
    for (std::size_t iteration = 0; iteration < 4; ++iteration) {
      const std::uint64_t before = cluster.commits;
      for (int attempt = 0; attempt < 20 && cluster.commits == before; ++attempt)
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
      cluster.start(cluster.names()[3 + iteration], false);
      cluster.run(9000);
      ASSERT_TRUE(cluster.awaitWritablePrimary(kFailoverTimeout))
          << "seed " << seed << " iteration " << iteration;
      const auto newMembers = cluster.at(*cluster.activePrimary()).members();
      EXPECT_EQ(std::count(newMembers.begin(), newMembers.end(), lost), 0)
          << "seed " << seed << " iteration " << iteration;
      EXPECT_EQ(newMembers.size(), 3u);
    }
    EXPECT_GE(cluster.at(*cluster.activePrimary()).committed().revision, cluster.acknowledged);
    EXPECT_GE(cluster.acknowledged, 4u);
    if (testing::Test::HasFailure() || !cluster.violations.empty()) FAIL() << "seed " << seed;
  }
}

TEST(Replica, ReplacedMemberReturnsAsObserverAndReplacesTheNextUnresponsiveMember) {
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
  EXPECT_FALSE(cluster.at(first).isMember()) << "it must learn that it is no longer a member";
  EXPECT_EQ(cluster.at(first).knownPrimary(), *cluster.activePrimary());
  ASSERT_TRUE(cluster.propose());
  cluster.run(300);
  const NodeId second = *cluster.activePrimary();
  cluster.kill(second);
  cluster.run(9000);
  ASSERT_TRUE(cluster.awaitWritablePrimary(kFailoverTimeout));
  EXPECT_TRUE(cluster.at(*cluster.activePrimary()).durable().record.hasMember(first));
  EXPECT_EQ(cluster.at(*cluster.activePrimary()).committed().revision, 1u);
}

// A member with an empty disk has lost its vote and its record. Together with a member that was down during
// the last change it must not form a quorum.
TEST(Replica, MemberWithAnEmptyDiskDoesNotVoteBeforeItHasAcceptedARecord) {
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
  ASSERT_TRUE(cluster.awaitWritablePrimary(kFailoverTimeout));
  EXPECT_EQ(cluster.at(*cluster.activePrimary()).committed().revision, 1u);
}

// A lease forbids a member to vote for other candidates, but not for the primary that holds the lease.
TEST(Replica, RestartedPrimaryIsReelectedAtOnce) {
  for (const bool restartAll : {false, true}) {
    SimulatedCluster cluster(13);
    cluster.startAll();
    ASSERT_TRUE(cluster.awaitWritablePrimary(3000));
    ASSERT_TRUE(cluster.propose());
    cluster.run(500);
    const NodeId primary = *cluster.activePrimary();
    for (const NodeId& name : cluster.names())
      if (restartAll || name == primary) cluster.kill(name);
    cluster.run(200);
    for (const NodeId& name : cluster.names())
      if (!cluster.isUp(name)) cluster.start(name, false);
    ASSERT_TRUE(cluster.awaitWritablePrimary(500)) << (restartAll ? "all restarted" : "primary restarted");
    EXPECT_EQ(*cluster.activePrimary(), primary);
    EXPECT_EQ(cluster.at(primary).committed().revision, 1u);
  }
}

// A core that starts with three members and must tolerate two losses admits two more members and stores each
// change on three disks.
TEST(Replica, GrowsToFiveMembersAndToleratesTwoLostDisksWhenAllLosePower) {
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

TEST(Replica, FiveMemberCoreCommitsChangesWithTwoMembersDown) {
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

// One member at a time is killed or isolated at a random moment, with lossy links and continuous changes.
// There must never be two active primaries or outdated state, and a primary must be elected within seconds
// after each fault.
TEST(Replica, ToleratesOneLossAtATimeAtAnyMoment) {
  for (std::uint64_t seed = 0; seed < 60; ++seed) {
    SimulatedCluster cluster(seed);
    cluster.startAll();
    cluster.setMessageLoss(seed % 3 == 0 ? 0.05 : 0);
    for (int iteration = 0; iteration < 8; ++iteration) {
      const NodeId victim = cluster.names()[static_cast<std::size_t>(3 * cluster.chance())];
      const bool isolateOnly = cluster.chance() < 0.4;
      isolateOnly ? cluster.isolate(victim, true) : cluster.kill(victim);
      for (int i = 0; i < 12; ++i) cluster.propose(), cluster.run(300 * cluster.chance());
      isolateOnly ? cluster.isolate(victim, false) : cluster.start(victim, false);
      for (int i = 0; i < 6; ++i) cluster.propose(), cluster.run(500);
      ASSERT_TRUE(cluster.awaitWritablePrimary(6000)) << "seed " << seed << " iteration " << iteration;
    }
    EXPECT_GT(cluster.commits, 8u);
    if (testing::Test::HasFailure() || !cluster.violations.empty()) FAIL() << "seed " << seed;
  }
}

// Runs until a node reaches `step`, lets it complete the step, and kills all nodes. Returns the primary of
// the newest record, or nullopt if no node reaches the step within 5 s.
std::optional<NodeId> killAllAt(SimulatedCluster& cluster, ProtocolStep step) {
  bool isReached = false;
  cluster.onProtocolStep = [&](ProtocolStep current, const NodeId&) {
    if (isReached || current != step) return StepOutcome::continues;
    isReached = true;
    cluster.after(0, [&cluster] { cluster.interrupt(); });
    return StepOutcome::crashesAfter;
  };
  cluster.run(5000);
  cluster.onProtocolStep = nullptr;
  if (!isReached) return std::nullopt;
  for (const NodeId& name : cluster.names()) cluster.kill(name);
  cluster.run(20);  // messages in flight are lost
  EpochRecord newest;
  for (const NodeId& name : cluster.names())
    if (cluster.disk(name) && cluster.disk(name)->record.epoch > newest.epoch)
      newest = cluster.disk(name)->record;
  return newest.primary;
}

// A core of five members that tolerates two losses, with one acknowledged change; all members are down.
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
  void expectRecovery() {
    ASSERT_TRUE(cluster.awaitWritablePrimary(10000)) << "no primary";
    EXPECT_EQ(cluster.at(*cluster.activePrimary()).committed().revision, 1u);
    EXPECT_TRUE(cluster.violations.empty());
  }
  static Replica::Timing timingForTwoLosses() {
    Replica::Timing out;
    out.toleratedLosses = 2;
    return out;
  }

  SimulatedCluster cluster{GetParam(), 5, 0, timingForTwoLosses()};
  NodeId first;
  std::vector<NodeId> others;
};

TEST_P(InterruptedElections, RecoverWithoutTheLastTwoWinners) {
  start(cluster.names());
  const auto second = killAllAt(cluster, ProtocolStep::acceptsRecord);
  ASSERT_TRUE(second);
  std::vector<NodeId> remaining = cluster.names();
  std::erase(remaining, *second);
  start(remaining);
  const auto third = killAllAt(cluster, ProtocolStep::acceptsRecord);
  ASSERT_TRUE(third);
  ASSERT_NE(*third, *second);
  std::erase(remaining, *third);
  start(remaining);
  expectRecovery();
}

// No backup has received the state under the last record of this winner, so an election without the winner
// must not require the state of that record.
TEST_P(InterruptedElections, RecoverWithoutAWinnerOfTwoElections) {
  start({first, others[0], others[1]});
  ASSERT_EQ(killAllAt(cluster, ProtocolStep::opensEpoch), first);
  start({first, others[0], others[1]});
  ASSERT_EQ(killAllAt(cluster, ProtocolStep::acceptsRecord), first);
  start({others[0], others[1], others[2]});
  expectRecovery();
}

// The members that can report that nothing was committed in the epoch before the newest were down when the
// newest record was made.
TEST_P(InterruptedElections, RecoverOnceBackupsReportThatNothingWasCommittedInThePreviousEpoch) {
  start({first, others[0], others[1]});
  ASSERT_EQ(killAllAt(cluster, ProtocolStep::opensEpoch), first);
  start({first, others[2], others[3]});
  ASSERT_EQ(killAllAt(cluster, ProtocolStep::acceptsRecord), first);
  start(others);
  expectRecovery();
}

INSTANTIATE_TEST_SUITE_P(Replica, InterruptedElections, testing::Range<std::uint64_t>(0, 20));

// The joining member does not know yet that it is a member, but its vote is needed.
TEST(Replica, RecoversFromAnInterruptedMembershipChange) {
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    SimulatedCluster cluster(seed, 3, 1);
    cluster.startAll();
    cluster.start(cluster.names()[3], false);
    ASSERT_TRUE(cluster.awaitWritablePrimary(3000));
    cluster.run(3000);  // the observer accepts the record
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

// Runs a fixed set of fault schedules; `lilacmux experiment core` runs more of them for a given time.
// tests/mutants/ checks that fault schedules still detect each fault that they once found.
TEST(Replica, ToleratesAFixedSetOfFaultSchedules) {
  std::vector<std::uint64_t> seeds{4910,    7960,    14886,
                                   16816,  // no progress before elections were repaired
                                   6004691, 6022942, 6023827};
  for (std::uint64_t seed = 0; seed < 1000; ++seed) seeds.push_back(seed);
  for (const std::uint64_t seed : seeds) {
    const FaultSchedule schedule = drawFaultSchedule(seed);
    const auto failures = runFaultSchedule(schedule).failures;
    if (failures.empty()) continue;
    std::string minimalFaults;
    for (const Fault& fault : shrink(schedule).faults) minimalFaults += "\n  " + describe(fault);
    FAIL() << "seed " << seed << ": " << failures.front() << minimalFaults;
  }
}

}  // namespace
}  // namespace lilacmux::test
