// Runs drawn fault schedules against simulated clusters on several threads, and reports those that fail.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <vector>

namespace lilacmux {

struct FaultInjectionPlan {
  std::uint64_t seed = 0;  // of the first schedule; each further one has the next
  std::uint64_t count = std::numeric_limits<std::uint64_t>::max();
  double seconds = std::numeric_limits<double>::infinity();  // no run begins later
  unsigned threads = 1;
  bool all = false;  // continues after a failure
};

struct FaultInjectionFailure {
  std::uint64_t seed = 0;
  std::string reason;  // the first failure of the run
};

struct FaultInjectionSummary {
  std::uint64_t runs = 0;
  std::vector<FaultInjectionFailure> failures;  // by seed
  double perSecond = 0;
  // The sum of the runs' digests, modulo 2^64, which does not depend on how threads share the seeds out.
  std::uint64_t digest = 0;
};

// `onFailure`: called as a run fails, from any of the threads but one call at a time.
FaultInjectionSummary runFaultInjection(
    const FaultInjectionPlan& plan, const std::function<void(const FaultInjectionFailure&)>& onFailure = {});
// The shrunk schedule of a failing seed and the trace of its run, a line each. Empty: it does not fail.
std::vector<std::string> explainFaultRun(std::uint64_t seed);

}  // namespace lilacmux
