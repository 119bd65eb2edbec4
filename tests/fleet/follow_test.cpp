// Simulations of the follow protocol under random faults. Invariants: no gateway serves a version after its
// keys have been revoked, no gateway returns to an earlier position, every gateway learns of draining servers
// in time, and all gateways have the same state at the end.
#include <gtest/gtest.h>

#include <cstdlib>

#include "fleet/follow_simulation.hpp"

namespace lilacmux::test {
namespace {

// Returns the number of seeds to simulate. LILACMUX_STORMS overrides the default of CI, for example with
// 20000 in a long manual run.
std::uint64_t seedCount(std::uint64_t defaultCount) {
  const char* count = std::getenv("LILACMUX_STORMS");
  return count ? std::stoull(count) : defaultCount;
}

void simulate(FollowSimulationPlan plan, std::uint64_t count) {
  FollowSimulationResults sum;
  for (plan.seed = 1; plan.seed <= count; ++plan.seed) {
    const FollowSimulationResults result = FollowSimulation(plan).simulate();
    for (const std::string& violation : result.violations)
      ADD_FAILURE() << "seed " << plan.seed << ": " << violation;
    if (!result.violations.empty()) return;
    sum.maxRevokedKeyMs = std::max(sum.maxRevokedKeyMs, result.maxRevokedKeyMs);
    sum.maxDrainDelayMs = std::max(sum.maxDrainDelayMs, result.maxDrainDelayMs);
    sum.primaries += result.primaries, sum.immediateRestarts += result.immediateRestarts;
    sum.configurationChanges += result.configurationChanges, sum.drains += result.drains;
    sum.snapshots += result.snapshots;
  }
  std::cout << count << " runs: " << sum.primaries << " primaries, " << sum.immediateRestarts
            << " immediate restarts, " << sum.configurationChanges << " configuration changes, " << sum.drains
            << " drains, " << sum.snapshots << " snapshots; revoked keys were served for at most "
            << sum.maxRevokedKeyMs << " ms; gateways in contact knew of a draining server after at most "
            << sum.maxDrainDelayMs << " ms\n";
}

TEST(Follow, RevokedKeysAreNotServedAndDrainsAreNoticedUnderRandomFaults) { simulate({}, seedCount(50)); }

TEST(Follow, DrainsAreNoticedIfThePrimaryRestartsImmediately) {
  FollowSimulationPlan plan;
  plan.faults = FollowSimulationPlan::Faults::immediateRestart;
  plan.meanFaultInterval = 5000;
  plan.meanServerInterval = 150;
  simulate(plan, seedCount(20));
}

// Reading the list takes seconds, and each primary is replaced before it has read the complete list. Gateways
// that receive no list from the new primaries must not rely on the old list.
TEST(Follow, LeasesAreNotRenewedUntilANewPrimaryHasReadTheList) {
  FollowSimulationPlan plan;
  plan.faults = FollowSimulationPlan::Faults::immediateRestart;
  plan.meanFaultInterval = 2500;
  plan.meanServerInterval = 250;
  plan.servers = 60, plan.pageReadTime = 300;
  plan.checksDrainsByLease = true;
  simulate(plan, seedCount(20));
}

// The partitioned node still responds to gateways near it, but must not send them outdated data for long.
TEST(Follow, AControlNodePartitionedForTwentySecondsSendsNoOutdatedData) {
  FollowSimulationPlan plan;
  plan.faults = FollowSimulationPlan::Faults::longPartition;
  plan.faultsUntil = 30000, plan.end = 65000;
  simulate(plan, seedCount(20));
}

}  // namespace
}  // namespace lilacmux::test
