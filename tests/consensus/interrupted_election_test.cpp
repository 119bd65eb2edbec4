// Elections that are interrupted before the new primary has replicated its state to all backups. A node that
// fails then must not be the only one that the next election could choose.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <set>

#include "consensus/member_message_codec.hpp"
#include "experiment/simulated_cluster.hpp"

namespace lilacmux::test {
namespace {

constexpr Millis kElectionTimeout = 20000;
constexpr Millis kRecoveryTimeout = 10000;

class InterruptedElections {
 public:
  InterruptedElections(std::uint64_t seed, std::size_t members)
      : cluster_(seed, members, 0, timingFor(members)), members_(members) {
    cluster_.startAll();
    ready_ = cluster_.awaitWritablePrimary(8000);
    cluster_.run(3000);
    ready_ = ready_ && cluster_.propose();
    cluster_.run(500);
    ready_ = ready_ && cluster_.acknowledged == 1;
  }

  // Restarts all nodes but the absent ones and runs until a member other than the new primary has accepted
  // the new primary's record and `stop` returns true. Returns the new primary, or nullopt if that does not
  // happen with this seed within kElectionTimeout.
  using Stop = std::function<bool(SimulatedCluster&, const EpochRecord&)>;
  std::optional<NodeId> interrupt(const Stop& stop) {
    const std::uint64_t before = newest().epoch;
    restartAll();
    for (Millis end = cluster_.now() + kElectionTimeout; cluster_.now() < end;) {
      cluster_.run(5);
      const EpochRecord record = newest();
      if (record.epoch <= before || !isAccepted(record) || !stop(cluster_, record)) continue;
      cluster_.blockOneWay(record.primary, record.backups.back(), false);
      return record.primary;
    }
    return std::nullopt;
  }

  void restartAll() {
    for (const NodeId& name : cluster_.names()) cluster_.kill(name);
    for (const NodeId& name : cluster_.names())
      if (!absent.contains(name)) cluster_.start(name, false);
  }

  // Expects that the remaining majority elects a primary with the acknowledged change.
  void expectRecovery() {
    restartAll();
    ASSERT_TRUE(cluster_.awaitWritablePrimary(kRecoveryTimeout))
        << absent.size() << " of " << members_ << " are absent";
    EXPECT_EQ(cluster_.at(*cluster_.activePrimary()).committed().revision, 1u);
    EXPECT_TRUE(cluster_.violations.empty()) << cluster_.violations.front();
  }

  bool ready() const { return ready_; }
  std::set<NodeId> absent;

 private:
  static Replica::Timing timingFor(std::size_t members) {
    Replica::Timing out;
    out.toleratedLosses = static_cast<unsigned>(members / 2);
    return out;
  }
  EpochRecord newest() {
    EpochRecord out;
    for (const NodeId& name : cluster_.names())
      if (cluster_.isUp(name) && cluster_.at(name).durable().record.epoch > out.epoch)
        out = cluster_.at(name).durable().record;
    return out;
  }
  bool isAccepted(const EpochRecord& record) {
    return std::any_of(cluster_.names().begin(), cluster_.names().end(), [&](const NodeId& name) {
      return name != record.primary && cluster_.isUp(name) && cluster_.at(name).epoch() == record.epoch;
    });
  }

  SimulatedCluster cluster_;
  const std::size_t members_;
  bool ready_ = false;
};

std::size_t backupsWithState(SimulatedCluster& cluster, const EpochRecord& record) {
  return static_cast<std::size_t>(
      std::count_if(record.backups.begin(), record.backups.end(), [&](const NodeId& backup) {
        return cluster.isUp(backup) && cluster.at(backup).durable().dataEpoch == record.epoch;
      }));
}

bool beforeAnyBackupHasState(SimulatedCluster& cluster, const EpochRecord& record) {
  return backupsWithState(cluster, record) == 0;
}
// Blocks messages from the new primary to its last backup, so that only the other backup receives the state.
bool onceOneBackupHasState(SimulatedCluster& cluster, const EpochRecord& record) {
  cluster.blockOneWay(record.primary, record.backups.back(), true);
  return backupsWithState(cluster, record) == 1;
}

// Loses two new primaries in a row with many seeds. Returns the number of seeds in which both were lost.
int loseTwoPrimaries(const InterruptedElections::Stop& firstStop) {
  int reached = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    InterruptedElections run(seed, 5);
    if (!run.ready()) continue;
    bool lostBoth = true;
    for (const auto& stop : {firstStop, InterruptedElections::Stop(beforeAnyBackupHasState)}) {
      const auto primary = run.interrupt(stop);
      lostBoth = lostBoth && primary;
      if (primary) run.absent.insert(*primary);
    }
    if (!lostBoth) continue;
    ++reached;
    run.expectRecovery();
    if (testing::Test::HasFailure()) ADD_FAILURE() << "seed " << seed;
  }
  return reached;
}

TEST(InterruptedElections, RecoverAfterTwoNewPrimariesInARowAreLost) {
  EXPECT_GT(loseTwoPrimaries(beforeAnyBackupHasState), 20);
}

// The second primary has the state of the first one's epoch; the other backup of that epoch does not.
TEST(InterruptedElections, RecoverAfterAPrimaryAndTheOnlyBackupWithItsStateAreLost) {
  EXPECT_GT(loseTwoPrimaries(onceOneBackupHasState), 5);
}

// The node wins the second election because of the state of its first epoch, which no other node has.
TEST(InterruptedElections, RecoverAfterAPrimaryThatWonTwiceInARowIsLost) {
  int reached = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    InterruptedElections run(seed, seed % 2 == 0 ? 3 : 5);
    if (!run.ready()) continue;
    const auto first = run.interrupt(beforeAnyBackupHasState);
    const auto second = run.interrupt(beforeAnyBackupHasState);
    if (!first || second != first) continue;
    run.absent.insert(*first);
    ++reached;
    ASSERT_NO_FATAL_FAILURE(run.expectRecovery()) << "seed " << seed;
  }
  EXPECT_GT(reached, 5);
}

// Records the messages that a replica sends; all writes to disk succeed.
struct RecordingHost : ReplicaHost {
  void send(const NodeId& to, const MemberMessage& message) override { sent.emplace_back(to, message); }
  bool store(const DurableState&) override { return true; }
  void onCommitted(const ReplicatedState&) override {}
  void onPrimacyLost() override {}
  void log(const std::string&) override {}
  std::vector<std::pair<NodeId, MemberMessage>> sent;
};

// A heartbeat that was delayed in a broken connection may come from a former primary, however long the member
// with the empty disk has waited. Only a heartbeat that reports an announcement made after the join delay
// comes from the current primary.
TEST(EmptyDisk, AcceptsNoRecordSentBeforeItsJoinDelayPassed) {
  const Replica::Timing timing;
  const Millis start = 10000, joinsAt = start + timing.emptyDiskJoinDelay;
  RecordingHost host;
  Replica empty("a:1", {"b:1"}, false, std::nullopt, timing, start, host);
  MemberMessage heartbeat;
  heartbeat.kind = MemberMessage::Kind::heartbeat;
  heartbeat.from = "b:1";
  heartbeat.epoch = heartbeat.record.epoch = 1 << kStepBits;
  heartbeat.record.members = {"a:1", "b:1", "c:1"};
  heartbeat.lastAnnouncementSentAt = start + 100;
  empty.receive(joinsAt + 50, heartbeat);
  EXPECT_EQ(empty.epoch(), 0u)
      << "the heartbeat answers an announcement from before the join delay had passed";
  ASSERT_FALSE(host.sent.empty());
  EXPECT_EQ(host.sent.back().first, heartbeat.from);
  EXPECT_EQ(host.sent.back().second.kind, MemberMessage::Kind::announce);
  EXPECT_EQ(host.sent.back().second.sentAt, joinsAt + 50) << "the member announces itself at once";
  heartbeat.lastAnnouncementSentAt = 1e9;
  empty.receive(joinsAt + 50, heartbeat);
  EXPECT_EQ(empty.epoch(), 0u)
      << "the reported announcement lies in the future: its time is of a clock before a restart";
  heartbeat.lastAnnouncementSentAt = joinsAt + 50;
  empty.receive(joinsAt + 60, heartbeat);
  EXPECT_EQ(empty.epoch(), heartbeat.epoch);
}

// A primary that was partitioned together with one witness for less than its lease considers all other
// members unresponsive, although it was partitioned itself. If it made that witness its only backup, no other
// node would have the next change.
TEST(Backups, AreNotReducedAfterThePrimaryWasPartitioned) {
  Replica::Timing timing;
  timing.toleratedLosses = 2;
  const Millis partitionDuration = timing.backupTimeout + 60;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedCluster cluster(seed, 5, 0, timing);
    cluster.startAll();
    ASSERT_TRUE(cluster.awaitWritablePrimary(8000));
    cluster.run(1000);
    const NodeId primary = *cluster.activePrimary();
    const EpochRecord before = cluster.at(primary).durable().record;
    const auto witness =
        std::find_if(cluster.names().begin(), cluster.names().end(),
                     [&](const NodeId& name) { return name != primary && !before.isBackup(name); });
    const auto setPartitioned = [&](bool blocked) {
      for (const NodeId& name : cluster.names()) {
        if (name == primary || name == *witness) continue;
        cluster.blockOneWay(primary, name, blocked);
        cluster.blockOneWay(name, primary, blocked);
      }
    };
    setPartitioned(true);
    cluster.run(partitionDuration);
    setPartitioned(false);
    for (Millis end = cluster.now() + 2000; cluster.now() < end;) {
      cluster.run(5);
      for (const NodeId& name : cluster.names())
        ASSERT_EQ(cluster.at(name).durable().record.backups.size(), 2u) << "seed " << seed;
    }
  }
}

// Versions that do not know undecided epochs must not read a weaker requirement on a new primary's state from
// a record.
TEST(InterruptedElections, OlderVersionReadsTheConservativePreviousEpoch) {
  MemberMessage message;
  message.kind = MemberMessage::Kind::heartbeat;
  message.record.epoch = 9;
  message.record.previous = 3;
  message.record.undecided = {{7, "a:1", {"b:1"}}, {5, "b:1", {"c:1"}}};
  Frame frame = toFrame(message);
  EXPECT_EQ(frame.head.at("record").at(1), 7);
  const auto read = decodeMemberMessage(std::move(frame));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->record.previous, 3u);
  EXPECT_EQ(read->record.undecided, message.record.undecided);
}

}  // namespace
}  // namespace lilacmux::test
