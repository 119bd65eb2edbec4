// A request that has no final answer yet, and its attempts.
#pragma once

#include <vector>

#include "lilacmux/decision_engine.hpp"

namespace lilacmux::decision {

struct PendingRequest {
  EngineRequest request;
  Time arrived = 0;
  unsigned attempts = 0;  // sent so far
  bool attemptInFlight = false;
  bool mayHaveRun = false;  // some attempt may have run
  // Of the first that may have: its zone, cell and time bind repeats of a keyed request.
  unsigned ranZone = 0, ranCell = 0;
  Time ranSince = 0;
  Time sentAt = 0;  // the last attempt
  std::vector<ServerId> tried;
};

// An attempt in flight; it may outlive its request.
struct Attempt {
  TenantId tenant = 0;
  unsigned classIndex = 0;
  double units = 1;
};

}  // namespace lilacmux::decision
