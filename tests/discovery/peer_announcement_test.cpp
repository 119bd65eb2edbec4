// The codec of announcements.
#include "discovery/peer_announcement.hpp"

#include <gtest/gtest.h>

#include "discovery/addresses.hpp"

namespace lilacmux::test {
namespace {

TEST(PeerAnnouncementTest, SurvivesEncodingAndDecoding) {
  const PeerAnnouncement announcement{nodeId(1), true, {77, {nodeId(1), nodeId(2)}}, {nodeId(9)}};
  const auto parsed = parsePeerAnnouncement(toFrame(announcement));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->from, announcement.from);
  EXPECT_TRUE(parsed->isMember);
  EXPECT_EQ(parsed->core.epoch, 77u);
  EXPECT_EQ(parsed->core.members, announcement.core.members);
  EXPECT_EQ(parsed->peers, announcement.peers);
}

TEST(PeerAnnouncementTest, IsRejectedIfANodeIsNotAnAddress) {
  for (const PeerAnnouncement& announcement :
       {PeerAnnouncement{"nobody", true, {}, {}}, PeerAnnouncement{nodeId(1), true, {1, {"10.0.0.1"}}, {}},
        PeerAnnouncement{nodeId(1), true, {}, {":80"}}})
    EXPECT_FALSE(parsePeerAnnouncement(toFrame(announcement)));
  EXPECT_FALSE(parsePeerAnnouncement(Frame{{{"t", "heard"}}, {}}));
}

}  // namespace
}  // namespace lilacmux::test
