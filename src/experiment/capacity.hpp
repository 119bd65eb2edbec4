// What the system's cores cost by the size of what they hold: bytes of messages and of memory, processor time
// of each step, at several sizes up to that of docs/CAPACITY.md, with the exponent by which each grows.
#pragma once

#include <cstddef>
#include <vector>

#include "experiment/capacity_series.hpp"

namespace lilacmux {

// The size that is measured up to. The default is the operators' plan for two years.
struct CapacityTarget {
  std::size_t routes = 61000;
  std::size_t tenants = 370000;
  std::size_t services = 3700;
  std::size_t servers = 170000;
  std::size_t gatekeepers = 2000;
  std::size_t relays = 15;
};

std::vector<CapacitySeries> measureCapacity(const CapacityTarget& target);

}  // namespace lilacmux
