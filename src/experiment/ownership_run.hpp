// A seeded run of the ownership of keys under a simulated clock and network: the real lease manager, planner
// and table of successive primaries, and stand-in servers with slow clocks. Drawn faults: primaries that die,
// also between a proposal and its commit, or stand still and wake up after their successor; calls that are
// late, lost, or whose response is lost; servers that crash, come back under a new id, drain or join. The run
// records every moment at which two servers held one key, and keys that had no owner after the last fault.
#pragma once

#include <cstdint>
#include <string>

#include "ownership/lease_manager.hpp"

namespace lilacmux {

// A part of the protocol that is left out, to show that runs find it.
enum class OwnershipMutant {
  none,
  noDrift,             // holds are assumed to end by the primary's clock
  noDelayBound,        // calls without a response are assumed never to arrive
  forgetsHolds,        // a new primary takes ranges in movement for released
  grantsBeforeCommit,  // a proposed assignment is granted before it is committed
};

struct OwnershipPlan {
  std::uint64_t seed = 1;
  std::size_t servers = 5;
  double faultyMs = 30000;    // time during which faults are drawn
  double recoveryMs = 14000;  // after the last fault, until every key must have an owner
  OwnershipMutant mutant = OwnershipMutant::none;
};

struct OwnershipOutcome {
  std::uint64_t overlaps = 0;  // checks that found a key held by two servers
  std::uint64_t unowned = 0;   // sampled keys without an owner at the end
  std::uint64_t grants = 0, releases = 0, lapses = 0, terms = 0;
  std::string firstOverlap;  // empty: none
};

OwnershipOutcome runOwnership(const OwnershipPlan& plan);

}  // namespace lilacmux
