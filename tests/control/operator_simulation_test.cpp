// Linearizability of the configuration as operators observe it while faults are injected.
#include "operator_simulation.hpp"

#include <gtest/gtest.h>

namespace lilacmux::test {
namespace {

TEST(OperatorSimulation, HistoriesAreLinearizableUnderFaults) {
  constexpr std::uint64_t kSeeds = 300;
  OperatorSimulation::Counts sum;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    OperatorSimulation simulation(seed);
    simulation.runWithFaults(20000);
    ASSERT_TRUE(isLinearizable(simulation.history())) << "seed " << seed;
    const auto counts = simulation.counts();
    EXPECT_GT(counts.committed, 0u) << "seed " << seed;
    sum.acknowledged += counts.acknowledged;
    sum.rejected += counts.rejected;
    sum.unknown += counts.unknown;
    sum.repeats += counts.repeats;
  }
  // The runs must contain enough operations of each kind.
  EXPECT_GT(sum.acknowledged, 10 * kSeeds);
  EXPECT_GT(sum.rejected, 10 * kSeeds);
  EXPECT_GT(sum.unknown, 5 * kSeeds);
  EXPECT_GT(sum.repeats, 3 * kSeeds);
}

}  // namespace
}  // namespace lilacmux::test
