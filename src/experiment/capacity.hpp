// What the system's cores cost by the size of what they hold: bytes of messages and of memory, processor time
// of each step, at several sizes up to that of docs/CAPACITY.md, with the exponent by which each grows.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

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

struct CapacityPoint {
  double size = 0;
  double value = 0;
};

// One figure at several sizes.
struct CapacitySeries {
  std::string subject;  // what is measured
  std::string unit;
  std::string size;  // what `CapacityPoint::size` counts
  std::vector<CapacityPoint> points;

  // The slope of the logarithms by least squares: 1 is linear. 0 where fewer than two points are above 0.
  double exponent() const;
};

std::vector<CapacitySeries> measureCapacity(const CapacityTarget& target);

// A configuration as operators send it (MessagePack), with the fields of the protocol's example.
std::string exampleConfiguration(std::size_t routes, std::size_t tenants, std::size_t services);

// A table in Markdown.
std::string asTable(const std::vector<CapacitySeries>& all);

}  // namespace lilacmux
