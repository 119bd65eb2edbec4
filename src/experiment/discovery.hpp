// Plays how a system finds its core: the real Replica, PeerDirectory and EndpointSelector of members, control
// processes without a disk and gatekeepers, under a simulated clock, network and disk. Each play draws seeds,
// restarts, losses of disks and power, replaced members and cuts, and ends with a fault that strikes most
// processes. Asked of each: that soon after the last trouble everybody follows the primary.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lilacmux {

struct DiscoveryPlan {
  std::uint64_t seed = 1;
  unsigned members = 3;
  unsigned spares = 2;    // control processes with an empty disk, which may take a member's place
  unsigned diskless = 4;  // control processes without a disk
  unsigned gatekeepers = 6;
  double boundMs = 8000;  // from the last trouble until all follow the primary
  // What is left out, to see that the plays find it.
  enum class Mutant { none, noAnnouncements, disklessForgets, reloadIgnoresSeeds } mutant = Mutant::none;
};

struct DiscoveryPlay {
  std::uint64_t seed = 0;
  // Whether whoever is up can be found at all: by seeds, or by what is remembered on disk.
  bool connected = true;
  double foundMs = 0;              // from the last trouble until all followed the primary
  std::vector<std::string> wrong;  // empty: within the bound
  std::vector<std::string> trace;  // of what struck, a line each
};

DiscoveryPlay playDiscovery(const DiscoveryPlan& plan);

struct DiscoverySums {
  std::uint64_t plays = 0, connected = 0;
  std::vector<std::uint64_t> failed;  // seeds, the first ones
  double longestMs = 0, meanMs = 0;
};

// Plays the seeds from plan.seed on, on so many threads.
DiscoverySums playDiscoveries(const DiscoveryPlan& plan, std::uint64_t count, unsigned threads);
std::string asJson(const DiscoveryPlan& plan, const DiscoverySums& sums);

}  // namespace lilacmux
