// Which peers a control process announces itself to, and which peers and views it retains.
#include "discovery/peer_directory.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "discovery/addresses.hpp"

namespace lilacmux::test {
namespace {

class PeerDirectoryTest : public ::testing::Test {
 protected:
  PeerDirectory make(unsigned self, const std::vector<NodeId>& seeds,
                     const std::vector<NodeId>& savedPeers = {}) {
    return {nodeId(self), seeds, savedPeers, {}};
  }
  // Delivers an announcement and the response to it.
  void exchange(PeerDirectory& from, PeerDirectory& to) {
    to.recordAnnouncement(now, from.announcement());
    from.recordAnnouncement(now, to.announcement());
  }
  PeerDirectory::Millis now = 0;
};

TEST_F(PeerDirectoryTest, ADisklessProcessLearnsTheCoreFromAMemberThatNamesItAsASeed) {
  auto member = make(1, {nodeId(9)});
  member.setLocalView({7, {nodeId(1), nodeId(2), nodeId(3)}}, true);
  auto diskless = make(9, {nodeId(8)});
  EXPECT_EQ(member.takeDuePeers(now), (std::vector<NodeId>{nodeId(2), nodeId(3), nodeId(9)}));
  exchange(member, diskless);
  EXPECT_EQ(diskless.core().members, (std::vector<NodeId>{nodeId(1), nodeId(2), nodeId(3)}));
}

TEST_F(PeerDirectoryTest, RetriesASeedUntilItRespondsAndThenRefreshesIt) {
  auto one = make(1, {nodeId(9)});
  unsigned sent = 0;
  for (now = 0; now < 10000; now += 100)
    for (const NodeId& peer : one.takeDuePeers(now)) {
      ++sent;
      one.recordFailure(now, peer);
    }
  EXPECT_GE(sent, 10u) << "at least once a second, whatever the number of failures";
  auto seed = make(9, {nodeId(8)});
  exchange(one, seed);
  EXPECT_TRUE(one.takeDuePeers(now + 100).empty());
  EXPECT_FALSE(one.takeDuePeers(now + 4000).empty()) << "the seed may have lost the announcement";
}

TEST_F(PeerDirectoryTest, ForwardsANewViewToPeersThatLackIt) {
  auto middle = make(5, {nodeId(1)}), outdated = make(9, {nodeId(5)});
  exchange(outdated, middle);
  EXPECT_TRUE(outdated.core().members.empty());
  auto member = make(1, {nodeId(5)});
  member.setLocalView({7, {nodeId(1)}}, true);
  now = 1000;
  exchange(member, middle);
  const auto due = middle.takeDuePeers(now);
  EXPECT_NE(std::find(due.begin(), due.end(), nodeId(9)), due.end());
}

// A view of an older epoch, genuine or forged, never replaces a newer one.
TEST_F(PeerDirectoryTest, IgnoresViewsOfOlderEpochs) {
  auto one = make(5, {nodeId(1)});
  one.setLocalView({7, {nodeId(1), nodeId(2)}}, false);
  one.recordAnnouncement(now, {nodeId(6), false, {6, {nodeId(3)}}, {}});
  EXPECT_EQ(one.core().members, (std::vector<NodeId>{nodeId(1), nodeId(2)}));
}

// A peer that reports itself as a member is a candidate even if another peer reports a newer epoch.
TEST_F(PeerDirectoryTest, ASelfReportedMemberIsACandidateInAdditionToAnyView) {
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
  for (const NodeId& expected : {nodeId(1), nodeId(2), nodeId(3)})
    EXPECT_NE(std::find(peers.begin(), peers.end(), expected), peers.end()) << expected;
}

TEST_F(PeerDirectoryTest, AnnouncesToSavedPeers) {
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
