// What operators see of the configuration while faults are injected.
#include "operator_simulation.hpp"

#include <gtest/gtest.h>

namespace lilacmux::test {
namespace {

TEST(Operators, SeeOneRegisterThroughFaults) {
  constexpr std::uint64_t kSeeds = 300;
  OperatorSimulation::Count sum;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    OperatorSimulation simulation(seed);
    simulation.simulate(20000);
    ASSERT_TRUE(isLinearizable(simulation.history())) << "seed " << seed;
    const auto count = simulation.count();
    EXPECT_GT(count.committed, 0u) << "seed " << seed;
    sum.acknowledged += count.acknowledged;
    sum.refused += count.refused;
    sum.unknown += count.unknown;
    sum.repeats += count.repeats;
  }
  // The world is one in which things happen.
  EXPECT_GT(sum.acknowledged, 10 * kSeeds);
  EXPECT_GT(sum.refused, 10 * kSeeds);
  EXPECT_GT(sum.unknown, 5 * kSeeds);
  EXPECT_GT(sum.repeats, 3 * kSeeds);
}

}  // namespace
}  // namespace lilacmux::test
