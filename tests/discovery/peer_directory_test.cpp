// To whom a control process announces itself, and what it keeps of what it receives.
#include "discovery/peer_directory.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "discovery/addresses.hpp"

namespace lilacmux::test {
namespace {

class PeerDirectoryTest : public ::testing::Test {
 protected:
  PeerDirectory make(unsigned self, const std::vector<NodeId>& seeds,
                     const std::vector<NodeId>& remembered = {}) {
    return {nodeId(self), seeds, remembered, {}};
  }
  // An announcement and its answer.
  void exchange(PeerDirectory& from, PeerDirectory& to) {
    to.recordAnnouncement(now, from.announcement());
    from.recordAnnouncement(now, to.announcement());
  }
  PeerDirectory::Millis now = 0;
};

TEST_F(PeerDirectoryTest, AProcessWithoutADiskLearnsTheCoreFromAMemberThatHasItAsASeed) {
  auto member = make(1, {nodeId(9)});
  member.setLocalView({7, {nodeId(1), nodeId(2), nodeId(3)}}, true);
  auto diskless = make(9, {nodeId(8)});
  EXPECT_EQ(member.takeDuePeers(now), (std::vector<NodeId>{nodeId(2), nodeId(3), nodeId(9)}));
  exchange(member, diskless);
  EXPECT_EQ(diskless.core().members, (std::vector<NodeId>{nodeId(1), nodeId(2), nodeId(3)}));
}

TEST_F(PeerDirectoryTest, AnnouncesToASeedUntilItResponds) {
  auto one = make(1, {nodeId(9)});
  unsigned sent = 0;
  for (now = 0; now < 10000; now += 100)
    for (const NodeId& peer : one.takeDuePeers(now)) {
      ++sent;
      one.recordFailure(now, peer);
    }
  EXPECT_GE(sent, 10u) << "at least once a second, however often it has failed";
  auto seed = make(9, {nodeId(8)});
  exchange(one, seed);
  EXPECT_TRUE(one.takeDuePeers(now + 100).empty());
  EXPECT_FALSE(one.takeDuePeers(now + 4000).empty()) << "it may have lost what it was sent";
}

TEST_F(PeerDirectoryTest, ForwardsANewViewToPeersThatLackIt) {
  auto middle = make(5, {nodeId(1)}), other = make(9, {nodeId(5)});
  exchange(other, middle);
  EXPECT_TRUE(other.core().members.empty());
  auto member = make(1, {nodeId(5)});
  member.setLocalView({7, {nodeId(1)}}, true);
  now = 1000;
  exchange(member, middle);
  const auto due = middle.takeDuePeers(now);
  EXPECT_NE(std::find(due.begin(), due.end(), nodeId(9)), due.end());
}

// A view of an older epoch, genuine or invented, never replaces a newer one.
TEST_F(PeerDirectoryTest, AnOlderViewChangesNothing) {
  auto one = make(5, {nodeId(1)});
  one.setLocalView({7, {nodeId(1), nodeId(2)}}, false);
  one.recordAnnouncement(now, {nodeId(6), false, {6, {nodeId(3)}}, {}});
  EXPECT_EQ(one.core().members, (std::vector<NodeId>{nodeId(1), nodeId(2)}));
}

// A peer that reports itself a member is a candidate, whatever epochs others report.
TEST_F(PeerDirectoryTest, AMemberThatAnnouncesItselfIsACandidateBesideAnyView) {
  auto one = make(5, {nodeId(1)});
  one.recordAnnouncement(now, {nodeId(6), false, {1u << 30, {nodeId(77)}}, {}});
  one.recordAnnouncement(now, {nodeId(2), true, {7, {nodeId(2)}}, {}});
  const auto core = one.coreCandidates();
  EXPECT_NE(std::find(core.begin(), core.end(), nodeId(2)), core.end());
}

TEST_F(PeerDirectoryTest, ReportedPeersNeverReplaceResponsiveOnes) {
  auto one = make(5, {nodeId(1)});
  one.recordAnnouncement(now, {nodeId(2), true, {7, {nodeId(2)}}, {}});
  for (unsigned n = 0; n < 500; ++n)
    one.recordAnnouncement(
        now,
        {nodeId(3), false, {}, {"10.1." + std::to_string(n / 250) + "." + std::to_string(n % 250) + ":1"}});
  const auto peers = one.knownPeers();
  EXPECT_LT(peers.size(), 200u);
  for (const NodeId& each : {nodeId(1), nodeId(2), nodeId(3)})
    EXPECT_NE(std::find(peers.begin(), peers.end(), each), peers.end()) << each;
}

TEST_F(PeerDirectoryTest, AnnouncesToRememberedPeers) {
  auto one = make(1, {nodeId(8)}, {nodeId(9)});
  EXPECT_EQ(one.takeDuePeers(now), (std::vector<NodeId>{nodeId(8), nodeId(9)}));
}

TEST_F(PeerDirectoryTest, AnnouncesToNewSeedsAtOnce) {
  auto one = make(1, {nodeId(8)});
  one.takeDuePeers(now);
  one.setSeeds({nodeId(7)});
  EXPECT_EQ(one.takeDuePeers(now), std::vector<NodeId>{nodeId(7)});
}

}  // namespace
}  // namespace lilacmux::test
