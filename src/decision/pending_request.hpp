// A request without a final answer yet, and its attempts.
#pragma once

#include <vector>

#include "lilacmux/decision_engine.hpp"

namespace lilacmux::decision {

struct PendingRequest {
  EngineRequest request;
  Time arrived = 0;
  unsigned attempts = 0;  // attempts sent so far
  bool attemptInFlight = false;
  bool mayHaveRun = false;  // at least one attempt may have run
  // Zone, cell and send time of the first attempt that may have run. They restrict retries of a keyed
  // request.
  unsigned mayHaveRunZone = 0, mayHaveRunCell = 0;
  Time mayHaveRunSince = 0;
  Time sentAt = 0;  // send time of the last attempt
  std::vector<ServerId> triedServers;
};

// An attempt in flight. It may outlive its request.
struct Attempt {
  TenantId tenant = 0;
  unsigned classIndex = 0;
  double units = 1;
};

}  // namespace lilacmux::decision
