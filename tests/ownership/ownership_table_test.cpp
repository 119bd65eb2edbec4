// The replicated table of assignments, and the directory of owners that followers keep of it.
#include "ownership/ownership_table.hpp"

#include <gtest/gtest.h>

#include "ownership/owner_directory.hpp"

namespace lilacmux {
namespace {

OwnershipTable tableOfTwo() {
  OwnershipTable out;
  out.beginChange();
  out.assign("s", {0, 32767}, "a");
  out.assign("s", {32768, 65535}, "b");
  return out;
}

TEST(OwnershipTable, AMoveOfAPartKeepsTheFenceOfWhatIsLeft) {
  OwnershipTable table = tableOfTwo();
  const Fence fence = table.assignments("s")[0].fence;
  table.beginChange();
  table.move("s", fence, {0, 99}, "c");
  const auto& assignments = table.assignments("s");
  ASSERT_EQ(assignments.size(), 3u);
  EXPECT_EQ(assignments[0].server, "c");
  EXPECT_EQ(assignments[0].previousServer, "a");
  EXPECT_EQ(assignments[0].previousFence, fence);
  EXPECT_GT(assignments[0].fence, assignments[2].fence);
  EXPECT_EQ(assignments[1].fence, fence);
  EXPECT_EQ(assignments[1].keys, (KeyRange{100, 32767}));
}

TEST(OwnershipTable, ARangeInMovementAndAPartInTheMiddleAreNotMoved) {
  OwnershipTable table = tableOfTwo();
  const Fence fence = table.assignments("s")[0].fence;
  table.move("s", fence, {10, 20}, "c");
  EXPECT_EQ(table, tableOfTwo());
  table.move("s", fence, {0, 32767}, "c");
  const OwnershipTable moving = table;
  table.move("s", table.assignments("s")[0].fence, {0, 32767}, "d");
  EXPECT_EQ(table, moving);
}

TEST(OwnershipTable, FencesAreNeverUsedTwiceAlsoAfterARestart) {
  OwnershipTable table = tableOfTwo();
  table.renewFence("s", table.assignments("s")[1].fence);
  const Fence highest = table.assignments("s")[1].fence;
  table.removeService("s");
  auto restored = OwnershipTable::decode(table.encode());
  ASSERT_TRUE(restored);
  restored->assign("s", {0, 65535}, "a");
  EXPECT_GT(restored->assignments("s")[0].fence, highest);
}

TEST(OwnershipTable, IsRestoredAsItWasEncodedAndRejectsWhatIsMalformed) {
  OwnershipTable table = tableOfTwo();
  table.setMaxHoldMs(4000);
  table.move("s", table.assignments("s")[0].fence, {0, 9}, "b");
  EXPECT_EQ(OwnershipTable::decode(table.encode()), table);
  EXPECT_FALSE(OwnershipTable::decode("{}"));
  EXPECT_FALSE(OwnershipTable::decode("no json"));
  std::string overlapping = tableOfTwo().encode();
  overlapping.replace(overlapping.find("32768"), 5, "32767");
  EXPECT_FALSE(OwnershipTable::decode(overlapping));
}

TEST(OwnerDirectory, FollowersThatApplyDeltasKnowTheSameOwners) {
  OwnershipTable table = tableOfTwo();
  OwnerDirectory primary, relay;
  primary.apply(table);
  relay.apply(*primary.deltaSince(relay.version()));
  EXPECT_FALSE(primary.deltaSince(relay.version()));
  for (Key key = 0; key < 40; ++key) {
    table.beginChange();
    const Assignment from = table.assignments("s")[key % 2];
    table.move("s", from.fence, {from.keys.first, from.keys.first + key}, "c");
    table.clearPrevious("s", table.assignments("s")[0].fence);
    primary.apply(table);
    if (key % 3 == 0) relay.apply(*primary.deltaSince(relay.version()));
  }
  if (const auto rest = primary.deltaSince(relay.version())) relay.apply(*rest);
  for (Key key = 0; key < kKeyCount; key += 7) {
    ASSERT_NE(relay.ownerOf("s", key), nullptr) << key;
    EXPECT_EQ(*relay.ownerOf("s", key), *primary.ownerOf("s", key)) << key;
  }
  EXPECT_EQ(relay.ownerOf("other", 1), nullptr);
}

TEST(OwnerDirectory, IgnoresAnOlderDelta) {
  OwnershipTable table = tableOfTwo();
  OwnerDirectory directory;
  directory.apply(table);
  OwnershipDelta older;
  older.version = table.version();
  older.services["s"] = {{{0, 65535}, "z", table.version()}};
  directory.apply(older);
  EXPECT_EQ(*directory.ownerOf("s", 5), "a");
}

}  // namespace
}  // namespace lilacmux
