// Runs a fault schedule against a simulated cluster.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "experiment/fault_schedule.hpp"

namespace lilacmux {

struct FaultRunResult {
  std::vector<std::string> failures;  // one line each
  bool unsafe = false;                // an invariant was broken; else the core only did not recover in time
  std::uint64_t digest = 0;           // over all events (EventDigest)
};
// `trace`: called with a line for each state that is stored and each event.
FaultRunResult runFaultSchedule(const FaultSchedule& schedule,
                                const std::function<void(const std::string&)>& trace = {});
// The same schedule with only the faults that its failure needs.
FaultSchedule shrink(FaultSchedule schedule);

}  // namespace lilacmux
