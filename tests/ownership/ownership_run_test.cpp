// Seeded runs of the ownership of keys (experiment/ownership_run.hpp).
#include "experiment/ownership_run.hpp"

#include <gtest/gtest.h>

namespace lilacmux {
namespace {

constexpr std::uint64_t kRuns = 60;

OwnershipOutcome sumOf(OwnershipMutant mutant, std::uint64_t runs) {
  OwnershipOutcome out;
  for (std::uint64_t seed = 1; seed <= runs; ++seed) {
    OwnershipPlan plan;
    plan.seed = seed;
    plan.mutant = mutant;
    const OwnershipOutcome run = runOwnership(plan);
    out.overlaps += run.overlaps;
    out.unowned += run.unowned;
    out.releases += run.releases;
    out.lapses += run.lapses;
    out.terms += run.terms;
    if (out.firstOverlap.empty() && !run.firstOverlap.empty())
      out.firstOverlap = "seed " + std::to_string(seed) + ": " + run.firstOverlap;
  }
  return out;
}

// Guards against OWNER: two servers that are up and hold one key at the same time.
TEST(OwnershipRun, NoKeyHasTwoOwnersAndAllHaveOneSoonAfterTheLastFault) {
  const OwnershipOutcome sum = sumOf(OwnershipMutant::none, kRuns);
  EXPECT_EQ(sum.overlaps, 0u) << sum.firstOverlap;
  EXPECT_EQ(sum.unowned, 0u);
  EXPECT_GT(sum.releases, kRuns);
  EXPECT_GT(sum.lapses, kRuns);
  EXPECT_GT(sum.terms, 2 * kRuns);
}

TEST(OwnershipRun, FindsThatClockDriftIsLeftOut) {
  EXPECT_GT(sumOf(OwnershipMutant::noDrift, kRuns).overlaps, 0u);
}

TEST(OwnershipRun, FindsThatLateCallsAreLeftOut) {
  EXPECT_GT(sumOf(OwnershipMutant::noDelayBound, kRuns).overlaps, 0u);
}

TEST(OwnershipRun, FindsThatANewPrimaryForgetsRangesInMovement) {
  EXPECT_GT(sumOf(OwnershipMutant::forgetsHolds, kRuns).overlaps, 0u);
}

TEST(OwnershipRun, FindsThatAssignmentsAreGrantedBeforeTheyAreCommitted) {
  EXPECT_GT(sumOf(OwnershipMutant::grantsBeforeCommit, kRuns).overlaps, 0u);
}

}  // namespace
}  // namespace lilacmux
