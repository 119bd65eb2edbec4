// The memory of accepted changes, and its encoding in messages between members.
#include "consensus/accepted_changes.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "consensus/member_message_codec.hpp"

namespace lilacmux::test {
namespace {

TEST(AcceptedChanges, DistinguishBodiesByEachByteOfTheDigest) {
  EXPECT_EQ(sha256("abc")[0], 0xba);
  EXPECT_EQ(sha256("abc")[31], 0xad);
  const Digest digest = sha256("a body");
  const AcceptedChanges accepted(3, {{4, digest}});
  EXPECT_TRUE(accepted.contains(digest));
  for (std::size_t i = 0; i < digest.size(); ++i) {
    Digest other = digest;
    other[i] ^= 1;
    EXPECT_FALSE(accepted.contains(other)) << i;
  }
}

TEST(AcceptedChanges, SurviveEncodingAndDecoding) {
  for (std::size_t entries = 0; entries < 5; ++entries) {
    MemberMessage sent;
    sent.kind = MemberMessage::Kind::replicate;
    sent.state.emplace();
    sent.state->revision = 9;
    sent.state->body = std::make_shared<const std::string>("body");
    std::vector<AcceptedChange> changes;
    for (std::size_t i = 0; i < entries; ++i) changes.push_back({5 + i, sha256(std::to_string(i))});
    sent.state->accepted = AcceptedChanges(4, changes);
    Frame frame = toFrame(sent);
    Frame broken = frame, old = frame;
    const auto read = decodeMemberMessage(std::move(frame));
    ASSERT_TRUE(read && read->state);
    EXPECT_EQ(read->state->accepted, sent.state->accepted);
    EXPECT_EQ(*read->state->body, "body");
    broken.head["state"]["accepted"] = "AAAA";
    EXPECT_FALSE(decodeMemberMessage(std::move(broken)));
    old.head["state"].erase("accepted");  // of a version that sent 64-bit hashes
    EXPECT_EQ(decodeMemberMessage(std::move(old))->state->accepted, AcceptedChanges::onlyCurrent(9, "body"));
  }
}

}  // namespace
}  // namespace lilacmux::test
