// Simulated discovery runs with the real state machines: every process finds the core for any seeds in the
// settings and after any loss of saved peers. The seed of a run determines its faults.
#include <gtest/gtest.h>

#include "experiment/discovery.hpp"

namespace lilacmux::test {
namespace {

DiscoverySummary runMany(DiscoveryMutant mutant, std::uint64_t count) {
  DiscoveryPlan plan;
  plan.boundMs = 5000;
  plan.mutant = mutant;
  return runDiscoveries(plan, count, 2);
}

TEST(DiscoveryRuns, AllProcessesFollowThePrimaryWithin5sOfTheLastFault) {
  const DiscoverySummary summary = runMany(DiscoveryMutant::none, 1500);
  EXPECT_EQ(summary.runs, 1500u);
  EXPECT_GT(summary.connected, 1000u);
  EXPECT_TRUE(summary.failedSeeds.empty()) << "seed " << summary.failedSeeds.front();
}

TEST(DiscoveryRuns, DetectEachMutant) {
  EXPECT_FALSE(runMany(DiscoveryMutant::noAnnouncements, 20).failedSeeds.empty());
  EXPECT_FALSE(runMany(DiscoveryMutant::disklessForgets, 20).failedSeeds.empty());
  EXPECT_FALSE(runMany(DiscoveryMutant::reloadIgnoresSeeds, 400).failedSeeds.empty());
}

TEST(DiscoveryRuns, AreReproducibleWithTheSameSeed) {
  DiscoveryPlan plan;
  plan.seed = 97;
  const DiscoveryRun first = runDiscovery(plan), second = runDiscovery(plan);
  EXPECT_EQ(first.trace, second.trace);
  EXPECT_EQ(first.convergenceMs, second.convergenceMs);
}

}  // namespace
}  // namespace lilacmux::test
