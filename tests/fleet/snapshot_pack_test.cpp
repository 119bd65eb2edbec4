// Packing complete server lists, once for all followers.
#include "fleet/snapshot_pack.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fleet/bulk_pacer.hpp"
#include "fleet/configuration_text.hpp"
#include "fleet/follow_codec.hpp"

namespace lilacmux::test {
namespace {

std::vector<Instance> servers(std::size_t count) {
  std::vector<Instance> out;
  for (std::size_t i = 0; i < count; ++i)
    out.push_back({"i-" + std::to_string(i * 7919), "service", "10.1.0." + std::to_string(i % 250) + ":80",
                   "zone", 3, i % 5 == 0, 0});
  return out;
}

// The body of one frame contains the packed list followed by the packed configuration.
TEST(SnapshotPack, AListAndAConfigurationSurviveARoundTrip) {
  SnapshotPacker snapshots;
  ConfigurationPacker packer;
  const auto body = bodyOf(configurationOf(100, 3));
  packer.add(8, body);
  FollowResponse response;
  response.epoch = 5 << 20;
  response.delta.hasServerList = true;
  response.delta.servers.emplace().isSnapshot = true;
  response.delta.index = 4;
  response.delta.revision = 8;
  response.delta.servers->updated = servers(809);
  response.delta.packedConfiguration = packer.pack(8, 0);
  response.delta.servers->packedUpdated =
      snapshots.pack({response.epoch, 4}, response.delta.servers->updated);
  ASSERT_TRUE(response.delta.servers->packedUpdated);
  EXPECT_LT(response.delta.servers->packedUpdated->bytes.size(), 809 * BulkPacer::kEstimatedServerBytes / 4);
  EXPECT_EQ(snapshots.pack({response.epoch, 4}, response.delta.servers->updated),
            response.delta.servers->packedUpdated)
      << "the packed form is cached";
  EXPECT_NE(snapshots.pack({response.epoch, 5}, response.delta.servers->updated),
            response.delta.servers->packedUpdated);
  const auto parsed = parseFollowResponse(toFrame(response));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->delta.servers->updated, response.delta.servers->updated);
  EXPECT_TRUE(parsed->delta.isSnapshot());
  EXPECT_EQ(*parsed->delta.configurationFor(0, nullptr), *body);
  Frame damaged = toFrame(response);
  damaged.body[100] ^= 1;
  EXPECT_FALSE(parseFollowResponse(std::move(damaged))) << "a damaged list is rejected";
  EXPECT_FALSE(snapshots.pack({response.epoch, 6}, servers(SnapshotPacker::kMinServers - 1)));
}

}  // namespace
}  // namespace lilacmux::test
