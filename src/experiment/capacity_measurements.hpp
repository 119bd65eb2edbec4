// The measurements that `measureCapacity` takes, by what they measure. Each adds its figures at one size.
#pragma once

#include <cstddef>
#include <string>

#include "experiment/capacity.hpp"
#include "experiment/capacity_series.hpp"

namespace lilacmux {

constexpr unsigned kTimedRuns = 5;  // of which the median counts
constexpr double kBytesPerMegabyte = 1e6;
constexpr double kBytesPerKilobyte = 1e3;
constexpr double kMicrosPerMilli = 1e3;

inline double megabytes(std::size_t bytes) { return static_cast<double>(bytes) / kBytesPerMegabyte; }
inline double kilobytes(std::size_t bytes) { return static_cast<double>(bytes) / kBytesPerKilobyte; }

// A part of a whole number, 1 at least.
std::size_t partOf(std::size_t whole, double part);

// The size of a configuration, and by what it is counted.
struct ConfigurationShape {
  std::string sizeName;
  std::size_t size = 0;
  std::size_t routes = 0, tenants = 0, services = 0;
};

// Reading a configuration, and what is kept of it.
void measureConfiguration(CapacityRecorder& recorder, const ConfigurationShape& shape);
// Packing it for those that have none, and for those that have the one before.
void measurePacking(CapacityRecorder& recorder, const ConfigurationShape& shape);
// The message that carries the control plane's state to a backup.
void measureStateMessage(CapacityRecorder& recorder, const CapacityTarget& target, double part);
// The server list: reading it, its change log, its snapshots, and a gatekeeper's clusters.
void measureServers(CapacityRecorder& recorder, const CapacityTarget& target, double part);

// Follow requests and responses that name so many tenants.
void measureFollowMessages(CapacityRecorder& recorder, std::size_t tenants);
// What a follow request takes to report the request rates of so many services.
void measureServiceRates(CapacityRecorder& recorder, std::size_t services);
// A heartbeat between two of so many members of the core.
void measureHeartbeat(CapacityRecorder& recorder, std::size_t members);

// Reports of holders, at a ledger of many tenants. `size` is what `sizeName` counts.
void measureLedger(CapacityRecorder& recorder, const std::string& sizeName, std::size_t size,
                   std::size_t tenants, std::size_t holders);
// A gatekeeper's buckets, of as many tenants as sent requests lately.
void measureAdmission(CapacityRecorder& recorder, std::size_t tenants);

}  // namespace lilacmux
