// ChangeLog sends deltas to followers, and snapshots to those that lag too far behind.
#include "fleet/change_log.hpp"

#include <gtest/gtest.h>

namespace lilacmux::test {
namespace {

TEST(ChangeLog, SendsADeltaToAFollowerAndASnapshotIfItLagsTooFarBehind) {
  ChangeLog log(7);
  EXPECT_EQ(log.deltaSince({}, 0).index, 0u) << "no position before a list was read";
  const Instance a{"a", "s", "127.0.0.1:1", "z", 2, false, 0};
  Instance b{"b", "s", "127.0.0.1:2", "z", 2, false, 0};
  log.updateServers({a, b});
  const auto first = log.deltaSince({}, 0);
  EXPECT_TRUE(first.isSnapshot());
  EXPECT_EQ(first.servers->updated.size(), 2u);
  b.draining = true;
  log.updateServers({b});
  const auto next = log.deltaSince({7, first.index}, 0);
  EXPECT_FALSE(next.isSnapshot());
  EXPECT_EQ(next.servers->updated, std::vector<Instance>{b});
  EXPECT_EQ(next.servers->removed, std::vector<std::string>{"a"});
  EXPECT_FALSE(log.deltaSince({7, next.index}, 0).servers);
  for (std::size_t i = 0; i < ChangeLog::kMaxChanges + 1; ++i) {
    ++b.capacity;
    log.updateServers({b});
  }
  EXPECT_TRUE(log.deltaSince({7, next.index}, 0).isSnapshot());
  EXPECT_TRUE(log.deltaSince({6, log.index()}, 0).isSnapshot())
      << "a position of another epoch is not comparable";
}

}  // namespace
}  // namespace lilacmux::test
