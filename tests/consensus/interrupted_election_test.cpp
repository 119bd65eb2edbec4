// Elections that are interrupted before the new primary has given its state to all of its backups. Whoever is
// lost then must not be the only one that the next election could choose.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <set>

#include "consensus/member_message_codec.hpp"
#include "experiment/simulated_cluster.hpp"

namespace lilacmux::test {
namespace {

constexpr Millis kElection = 20000;
constexpr Millis kRecovery = 10000;

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

  // Kills and starts all but the absent ones, again and again, each time in the midst of an election: once a
  // member other than the new primary has taken its record and `stop` holds. False: this seed does not reach
  // that.
  using Stop = std::function<bool(SimulatedCluster&, const EpochRecord&)>;
  std::optional<NodeId> interrupt(const Stop& stop) {
    const std::uint64_t before = newest().epoch;
    restartAll();
    for (Millis end = cluster_.now() + kElection; cluster_.now() < end;) {
      cluster_.run(5);
      const EpochRecord record = newest();
      if (record.epoch <= before || !taken(record) || !stop(cluster_, record)) continue;
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

  // A majority is there: it must lead again, with what was acknowledged.
  void recovers() {
    restartAll();
    ASSERT_TRUE(cluster_.awaitWritablePrimary(kRecovery))
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
  bool taken(const EpochRecord& record) {
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

bool beforeAnySync(SimulatedCluster& cluster, const EpochRecord& record) {
  return backupsWithState(cluster, record) == 0;
}
// The last backup is cut off from the new primary.
bool betweenSyncs(SimulatedCluster& cluster, const EpochRecord& record) {
  cluster.blockOneWay(record.primary, record.backups.back(), true);
  return backupsWithState(cluster, record) == 1;
}

// Plays both losses on many seeds; how many reached them.
int loseTwoPrimaries(const InterruptedElections::Stop& first) {
  int reached = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    InterruptedElections play(seed, 5);
    if (!play.ready()) continue;
    bool lostBoth = true;
    for (const auto& stop : {first, InterruptedElections::Stop(beforeAnySync)}) {
      const auto primary = play.interrupt(stop);
      lostBoth = lostBoth && primary;
      if (primary) play.absent.insert(*primary);
    }
    if (!lostBoth) continue;
    ++reached;
    play.recovers();
    if (testing::Test::HasFailure()) ADD_FAILURE() << "seed " << seed;
  }
  return reached;
}

TEST(InterruptedElections, TwoNewPrimariesInARowAreLost) { EXPECT_GT(loseTwoPrimaries(beforeAnySync), 20); }

// The second was given the state of the first one's epoch; the other backup of that epoch was not.
TEST(InterruptedElections, APrimaryAndTheOnlyBackupThatItGaveItsStateAreLost) {
  EXPECT_GT(loseTwoPrimaries(betweenSyncs), 5);
}

// The second time it is chosen for its state of the first time, which nobody else has.
TEST(InterruptedElections, ThePrimaryThatWonTwiceInARowIsLost) {
  int reached = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    InterruptedElections play(seed, seed % 2 == 0 ? 3 : 5);
    if (!play.ready()) continue;
    const auto first = play.interrupt(beforeAnySync);
    const auto second = play.interrupt(beforeAnySync);
    if (!first || second != first) continue;
    play.absent.insert(*first);
    ++reached;
    ASSERT_NO_FATAL_FAILURE(play.recovers()) << "seed " << seed;
  }
  EXPECT_GT(reached, 5);
}

// Collects what a replica says; its disk takes everything.
struct RecordingHost : ReplicaHost {
  void send(const NodeId& to, const MemberMessage& message) override { sent.emplace_back(to, message); }
  bool store(const DurableState&) override { return true; }
  void onCommitted(const ReplicatedState&) override {}
  void onPrimacyLost() override {}
  void log(const std::string&) override {}
  std::vector<std::pair<NodeId, MemberMessage>> sent;
};

// A heartbeat that was held up in a cut connection says nothing of who leads now, however long the member
// with the empty disk has listened. One that answers an announcement made after that does.
TEST(EmptyDisk, AcceptsNoRecordFromBeforeItHadListened) {
  const Replica::Timing timing;
  const Millis start = 10000, joins = start + timing.emptyDiskJoinDelay;
  RecordingHost host;
  Replica empty("a:1", {"b:1"}, false, std::nullopt, timing, start, host);
  MemberMessage heartbeat;
  heartbeat.kind = MemberMessage::Kind::heartbeat;
  heartbeat.from = "b:1";
  heartbeat.epoch = heartbeat.record.epoch = 1 << kStepBits;
  heartbeat.record.members = {"a:1", "b:1", "c:1"};
  heartbeat.lastAnnouncementSentAt = start + 100;
  empty.receive(joins + 50, heartbeat);
  EXPECT_EQ(empty.epoch(), 0u) << "sent before it had listened";
  ASSERT_FALSE(host.sent.empty());
  EXPECT_EQ(host.sent.back().first, heartbeat.from);
  EXPECT_EQ(host.sent.back().second.kind, MemberMessage::Kind::announce);
  EXPECT_EQ(host.sent.back().second.sentAt, joins + 50) << "it announces itself at once";
  heartbeat.lastAnnouncementSentAt = 1e9;
  empty.receive(joins + 50, heartbeat);
  EXPECT_EQ(empty.epoch(), 0u) << "the clock of another life";
  heartbeat.lastAnnouncementSentAt = joins + 50;
  empty.receive(joins + 60, heartbeat);
  EXPECT_EQ(empty.epoch(), heartbeat.epoch);
}

// A primary that was cut off with one witness for less than its lease takes all others for silent. They are
// not: it was. With that witness as its only backup, the two of them would be the only ones to have the next
// change.
TEST(Backups, StayAsManyAsTheLossesWhereThePrimaryWasPartitioned) {
  Replica::Timing timing;
  timing.toleratedLosses = 2;
  const Millis cutFor = timing.backupTimeout + 60;
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
    const auto cutOff = [&](bool cut) {
      for (const NodeId& name : cluster.names()) {
        if (name == primary || name == *witness) continue;
        cluster.blockOneWay(primary, name, cut);
        cluster.blockOneWay(name, primary, cut);
      }
    };
    cutOff(true);
    cluster.run(cutFor);
    cutOff(false);
    for (Millis end = cluster.now() + 2000; cluster.now() < end;) {
      cluster.run(5);
      for (const NodeId& name : cluster.names())
        ASSERT_EQ(cluster.at(name).durable().record.backups.size(), 2u) << "seed " << seed;
    }
  }
}

// Versions that know nothing of uncertain epochs must not read a weaker demand out of a record than there is.
TEST(InterruptedElections, AnOlderVersionReadsTheStricterRequirement) {
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
