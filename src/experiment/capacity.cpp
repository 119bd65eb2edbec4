#include "experiment/capacity.hpp"

#include <algorithm>
#include <array>

#include "experiment/capacity_measurements.hpp"

namespace lilacmux {
namespace {

constexpr std::array<double, 4> kParts = {1.0 / 64, 1.0 / 16, 1.0 / 4, 1.0};  // of the target

}  // namespace

std::size_t partOf(std::size_t whole, double part) {
  return std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(whole) * part));
}

std::vector<CapacitySeries> measureCapacity(const CapacityTarget& target) {
  CapacityRecorder recorder;
  for (const double part : kParts) {
    const std::size_t routes = partOf(target.routes, part), tenants = partOf(target.tenants, part);
    measureConfiguration(recorder, {"routes", routes, routes, 0, partOf(target.services, part)});
    measureConfiguration(recorder, {"tenants", tenants, 1, tenants, 1});
    measurePacking(recorder, {"parts of the whole", static_cast<std::size_t>(part * 64), routes, tenants,
                              partOf(target.services, part)});
    measureConfiguration(recorder, {"parts of the whole", static_cast<std::size_t>(part * 64), routes,
                                    tenants, partOf(target.services, part)});
    measureStateMessage(recorder, target, part);
    measureServers(recorder, target, part);
    measureLedger(recorder, "tenants", tenants, tenants, target.relays);
    const std::size_t holders = partOf(target.gatekeepers, part);
    measureLedger(recorder, "holders", holders, partOf(target.tenants, kParts.front()), holders);
  }
  for (const std::size_t tenants : {0, 10, 50, 200, 1000}) measureFollowMessages(recorder, tenants);
  for (const std::size_t tenants : {64, 512, 4096}) measureAdmission(recorder, tenants);
  for (const double part : kParts) measureServiceRates(recorder, partOf(target.services, part));
  for (const std::size_t members : {3, 5, 7, 15}) measureHeartbeat(recorder, members);
  return recorder.take();
}

}  // namespace lilacmux
