// What gatekeepers go by, over drawn troubles: no version is served once its keys are taken away, nobody goes
// back, no leaving server is missed, and once all is quiet everybody has the same.
#include <gtest/gtest.h>

#include <cstdlib>

#include "follow_world.hpp"

namespace lilacmux::test {
namespace {

// How many seeds are played: some in CI, more by hand (LILACMUX_STORMS=20000).
std::uint64_t seeds(std::uint64_t usual) {
  const char* told = std::getenv("LILACMUX_STORMS");
  return told ? std::stoull(told) : usual;
}

void play(FollowPlan plan, std::uint64_t count) {
  FollowFigures sum;
  for (plan.seed = 1; plan.seed <= count; ++plan.seed) {
    const FollowFigures one = FollowWorld(plan).play();
    for (const std::string& what : one.wrong) ADD_FAILURE() << "seed " << plan.seed << ": " << what;
    if (!one.wrong.empty()) return;
    sum.oldestKey = std::max(sum.oldestKey, one.oldestKey);
    sum.slowestDrain = std::max(sum.slowestDrain, one.slowestDrain);
    sum.primaries += one.primaries, sum.straightBacks += one.straightBacks;
    sum.changes += one.changes, sum.drains += one.drains, sum.snapshots += one.snapshots;
  }
  std::cout << count << " runs: " << sum.primaries << " primaries, " << sum.straightBacks
            << " straight back, " << sum.changes << " changes, " << sum.drains << " drains, " << sum.snapshots
            << " snapshots; a taken key was served for " << sum.oldestKey
            << " ms at most, a drain known in touch after " << sum.slowestDrain << " ms at most\n";
}

TEST(Follow, NothingOldIsServedAndNoLeavingMissedThroughDrawnTroubles) { play({}, seeds(50)); }

TEST(Follow, APrimaryThatComesStraightBackMissesNoLeaving) {
  FollowPlan plan;
  plan.troubles = FollowPlan::Troubles::straightBack;
  plan.troubleEvery = 5000;
  plan.serverEvery = 150;
  play(plan, seeds(20));
}

// The list takes seconds to read and the primary is replaced before it has read it whole, again and again:
// who is told nothing of the list by the new ones must not go on by the old one.
TEST(Follow, NoLeaseRestsOnAListThatNoNewPrimaryHasRead) {
  FollowPlan plan;
  plan.troubles = FollowPlan::Troubles::straightBack;
  plan.troubleEvery = 2500;
  plan.serverEvery = 250;
  plan.servers = 60, plan.pageEvery = 300;
  plan.drainsBindLeases = true;
  play(plan, seeds(20));
}

// It goes on answering the gatekeepers near it, which must be told nothing old by it for long.
TEST(Follow, AControlMachineCutOffForTwentySecondsTellsNothingOld) {
  FollowPlan plan;
  plan.troubles = FollowPlan::Troubles::longCut;
  plan.troubleUntil = 30000, plan.end = 65000;
  play(plan, seeds(20));
}

}  // namespace
}  // namespace lilacmux::test
