// Packing configurations as patches against the version that a follower has.
#include "fleet/configuration_pack.hpp"

#include <gtest/gtest.h>

#include <string>

#include "fleet/configuration_text.hpp"
#include "fleet/follow_codec.hpp"
#include "fleet/relay.hpp"

namespace lilacmux::test {
namespace {

TEST(ConfigurationPack, AChangePacksToAboutItsOwnSize) {
  std::string text = configurationOf(1400, 1);
  const auto first = bodyOf(text);
  text.replace(text.size() / 2, 10, "another to");
  const auto second = bodyOf("revision 8 " + text);
  ConfigurationPacker packer;
  packer.add(7, first);
  packer.add(8, second);
  const auto change = packer.pack(8, 7);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->base, 7u);
  EXPECT_LT(change->bytes.size(), 500u);
  const auto unpacked = unpackConfiguration(*change, 7, first.get());
  ASSERT_TRUE(unpacked);
  EXPECT_EQ(*unpacked, *second);
  EXPECT_EQ(packer.pack(8, 7), change) << "the packed form is cached";
  const auto full = packer.pack(8, 0);
  EXPECT_EQ(full->base, 0u);
  EXPECT_LT(full->bytes.size(), second->size() * 2 / 3);
  EXPECT_EQ(*unpackConfiguration(*full, 0, nullptr), *second);
  EXPECT_EQ(*unpackConfiguration(*full, 3, first.get()), *second)
      << "unpacking in full ignores the current configuration";
}

TEST(ConfigurationPack, AnUnknownBaseIsReplacedByAFullPack) {
  ConfigurationPacker packer;
  packer.add(8, bodyOf(configurationOf(100, 1)));
  EXPECT_EQ(packer.pack(8, 7)->base, 0u);
  EXPECT_FALSE(packer.pack(9, 7)) << "a revision that was never added";
}

TEST(ConfigurationPack, AWrongBaseOrDamagedBytesAreRejected) {
  const auto first = bodyOf(configurationOf(300, 1)), second = bodyOf(*first + "more");
  ConfigurationPacker packer;
  packer.add(7, first);
  packer.add(8, second);
  const auto change = packer.pack(8, 7);
  EXPECT_FALSE(unpackConfiguration(*change, 6, first.get())) << "the base is another revision";
  EXPECT_FALSE(unpackConfiguration(*change, 7, nullptr));
  const auto otherBody = bodyOf(configurationOf(300, 2));
  EXPECT_FALSE(unpackConfiguration(*change, 7, otherBody.get()))
      << "the base has the same revision but another body";
  for (std::size_t i = 0; i < change->bytes.size(); ++i) {
    PackedConfiguration damaged = *change;
    damaged.bytes[i] = static_cast<char>(damaged.bytes[i] ^ 0x15);
    const auto unpacked = unpackConfiguration(damaged, 7, first.get());
    EXPECT_TRUE(!unpacked || *unpacked == *second) << "byte " << i;
  }
  PackedConfiguration oversized = *change;
  oversized.size = std::uint64_t{1} << 40;
  EXPECT_FALSE(unpackConfiguration(oversized, 7, first.get()));
}

TEST(ConfigurationPack, RetainsABoundedNumberOfVersions) {
  ConfigurationPacker packer;
  for (std::uint64_t revision = 1; revision <= 20; ++revision)
    packer.add(revision, bodyOf(configurationOf(20, revision)));
  EXPECT_EQ(packer.pack(20, 20 - ConfigurationPacker::kMaxEarlierVersions)->base,
            20 - ConfigurationPacker::kMaxEarlierVersions);
  EXPECT_EQ(packer.pack(20, 19 - ConfigurationPacker::kMaxEarlierVersions)->base, 0u);
}

// If the relay's base differs from the one that the primary assumed, the relay requests the next
// configuration unpacked. Until it has received that, it does not forward the outdated one.
TEST(ConfigurationPack, ARelayThatCannotUnpackRequestsAnUnpackedConfiguration) {
  Relay relay("r", {"10.0.0.1:1", "z"}, 1, 0);
  EXPECT_TRUE(relay.nextRequest(0, ReportScope::full).acceptsPacked);
  ConfigurationPacker packer;
  packer.add(7, bodyOf(configurationOf(100, 1)));
  packer.add(8, bodyOf(configurationOf(100, 2)));
  FollowResponse response;
  response.epoch = 5 << 20;
  response.delta.revision = 8;
  response.delta.packedConfiguration = packer.pack(8, 7);
  relay.handleResponse(10, *parseFollowResponse(toFrame(response)), 5);
  EXPECT_EQ(relay.revision(), 0u);
  FollowRequest request;
  request.name = "g";
  EXPECT_EQ(relay.handleRequest(20, request).epoch, 0u)
      << "the relay lacks the newest version that it knows of";
  EXPECT_FALSE(relay.nextRequest(20, ReportScope::full).acceptsPacked);
  response.delta.packedConfiguration = packer.pack(8, 0);
  relay.handleResponse(30, *parseFollowResponse(toFrame(response)), 25);
  EXPECT_EQ(relay.revision(), 8u);
  EXPECT_TRUE(relay.nextRequest(40, ReportScope::full).acceptsPacked);
}

}  // namespace
}  // namespace lilacmux::test
