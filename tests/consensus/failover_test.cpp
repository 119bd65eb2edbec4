// Failovers at critical moments: in an epoch that is not established yet, during a membership change, and
// after a pause of the primary. In each case one of three members is down or has lost its disk, and the core
// must recover with every acknowledged change. The traces were found by the model search (tests/model).
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

#include "experiment/simulated_cluster.hpp"

namespace lilacmux::test {
namespace {

constexpr Millis kElectionTimeout = 8000;
constexpr Millis kRecoveryTimeout = 10000;
constexpr std::uint64_t kSeeds = 5;

// A core of three members with one acknowledged change and, on request, one observer.
class Core {
 public:
  explicit Core(std::uint64_t seed, std::size_t observers = 0) : cluster(seed, 3, observers) {
    cluster.startAll();
    if (observers > 0) {
      observer = cluster.names()[3];
      cluster.start(observer, false);
    }
    cluster.awaitWritablePrimary(kElectionTimeout);
    cluster.run(3000);
    cluster.propose();
    cluster.run(1500);
    primary = cluster.activePrimary().value();
    backup = record(primary).backups.at(0);
    witness = *std::find_if(cluster.names().begin(), cluster.names().end(),
                            [&](const NodeId& name) { return name != primary && name != backup; });
  }

  const EpochRecord& record(const NodeId& name) { return cluster.at(name).durable().record; }
  bool isPrimary(const NodeId& name) { return cluster.at(name).isPrimary(); }

  void killAll() {
    for (const NodeId& name : cluster.names())
      if (cluster.isUp(name)) cluster.kill(name);
  }
  void start(const std::vector<NodeId>& names) {
    for (const NodeId& name : names) cluster.start(name, false);
  }
  bool runUntil(const std::function<bool()>& isReached, Millis timeout) {
    for (const Millis end = cluster.now() + timeout; cluster.now() < end; cluster.run(5))
      if (isReached()) return true;
    return isReached();
  }

  // Expects that a primary is elected which has every acknowledged change and accepts another one.
  void expectRecovery(std::uint64_t seed) {
    const std::uint64_t acknowledged = cluster.acknowledged;
    ASSERT_TRUE(cluster.awaitWritablePrimary(kRecoveryTimeout)) << "seed " << seed << ": no primary";
    EXPECT_GE(cluster.at(*cluster.activePrimary()).committed().revision, acknowledged) << "seed " << seed;
    EXPECT_TRUE(cluster.propose()) << "seed " << seed;
    cluster.run(1000);
    EXPECT_EQ(cluster.acknowledged, acknowledged + 1) << "seed " << seed;
    EXPECT_EQ(cluster.violations, std::vector<std::string>{}) << "seed " << seed;
  }

  SimulatedCluster cluster;
  NodeId primary, backup, witness, observer;
};

// The new primary cannot replicate its state to its first backup, replaces that backup by the member that has
// the older state, and fails.
TEST(Failover, RecoversWhenBackupsChangeBeforeTheEpochIsEstablished) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Core core(seed);
    core.killAll();
    core.start({core.primary, core.witness});
    ASSERT_TRUE(core.runUntil([&] { return core.isPrimary(core.primary); }, kElectionTimeout))
        << "seed " << seed;
    const std::uint64_t epoch = core.record(core.primary).epoch;
    core.cluster.blockOneWay(core.witness, core.primary, true);
    core.start({core.backup});
    ASSERT_TRUE(core.runUntil([&] { return core.record(core.primary).epoch > epoch; }, kElectionTimeout));
    ASSERT_EQ(core.record(core.primary).backups, std::vector<NodeId>{core.backup}) << "seed " << seed;
    core.cluster.kill(core.primary);
    core.cluster.blockOneWay(core.witness, core.primary, false);
    core.expectRecovery(seed);
  }
}

// The new primary is restarted before it has replicated its state, wins again with the vote of another
// member, and fails.
TEST(Failover, RecoversWhenAWinnerRestartsBeforeItsEpochIsEstablished) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Core core(seed);
    core.killAll();
    core.start({core.primary, core.witness});
    ASSERT_TRUE(core.runUntil([&] { return core.isPrimary(core.primary); }, kElectionTimeout))
        << "seed " << seed;
    core.killAll();
    core.start({core.primary, core.backup});
    ASSERT_TRUE(core.runUntil([&] { return core.isPrimary(core.primary); }, kElectionTimeout))
        << "seed " << seed;
    core.cluster.kill(core.primary);
    core.cluster.run(20);
    core.start({core.witness});
    core.expectRecovery(seed);
  }
}

// The old primary is paused and partitioned while another member becomes the primary. The new primary's
// backup loses its disk, and after its join delay the first heartbeat that it receives is one of the old
// primary.
TEST(Failover, MemberWithAnEmptyDiskIsNotMisledByAPausedPrimary) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Core core(seed);
    SimulatedCluster& cluster = core.cluster;
    constexpr Millis kForever = 1e9;
    cluster.isolate(core.primary, true);
    cluster.freeze(core.primary, kForever);
    ASSERT_TRUE(core.runUntil(
        [&] {
          const auto active = cluster.activePrimary();
          return active && *active != core.primary && cluster.at(*active).canPropose(cluster.now());
        },
        kElectionTimeout));
    const NodeId newPrimary = *cluster.activePrimary();
    const NodeId newBackup = newPrimary == core.backup ? core.witness : core.backup;
    ASSERT_TRUE(cluster.propose());
    cluster.run(100);
    ASSERT_EQ(cluster.acknowledged, 2u) << "seed " << seed;

    cluster.kill(newBackup);
    cluster.loseDisk(newBackup);
    cluster.run(100);
    core.start({newBackup});
    cluster.run(2400);
    cluster.isolate(core.primary, false);
    cluster.freeze(core.primary, 5);
    core.expectRecovery(seed);
  }
}

// All nodes are killed while only the primary has stored the joint record, which admits the observer; the
// backup stays down.
TEST(Failover, RecoversWhenOnlyThePrimaryHasTheJointRecord) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Core core(seed, 1);
    core.cluster.kill(core.witness);
    ASSERT_TRUE(
        core.runUntil([&] { return !core.record(core.primary).oldMembers.empty(); }, kElectionTimeout));
    core.cluster.isolate(core.primary, true);
    core.cluster.run(20);
    core.killAll();
    core.cluster.isolate(core.primary, false);
    core.start({core.primary, core.witness, core.observer});
    core.expectRecovery(seed);
  }
}

// Only the member that is being replaced has accepted the joint record, and the primary fails.
TEST(Failover, RecoversWhenOnlyTheReplacedMemberHasAcceptedTheJointRecord) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Core core(seed, 1);
    core.cluster.kill(core.witness);
    ASSERT_TRUE(
        core.runUntil([&] { return !core.record(core.primary).oldMembers.empty(); }, kElectionTimeout));
    core.cluster.isolate(core.backup, true);
    core.cluster.isolate(core.observer, true);
    core.start({core.witness});
    ASSERT_TRUE(
        core.runUntil([&] { return core.record(core.witness).epoch == core.record(core.primary).epoch; },
                      kElectionTimeout));
    core.cluster.kill(core.primary);
    core.cluster.run(20);
    core.cluster.isolate(core.backup, false);
    core.cluster.isolate(core.observer, false);
    core.expectRecovery(seed);
  }
}

}  // namespace
}  // namespace lilacmux::test
