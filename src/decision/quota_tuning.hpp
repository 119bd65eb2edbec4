// Tuning constants shared by several components of the quota code.
#pragma once

#include "lilacmux/decision_engine.hpp"

namespace lilacmux::decision {

// Lower bound of the admit fraction. Below it, no reading would raise the fraction again.
constexpr double kMinAdmitFraction = 0.05;
// Ms in which the admit fraction recovers from 0 to 1 without readings. A longer time rejects requests on
// outdated readings.
constexpr Time kRecoveryTime = 5000;
// Ms, time constant of the recent demand. A longer one detects a spike late.
constexpr Time kRecentDemandTau = 3000;
// Time constant, in requests, of a tenant's average request size and attempt time.
constexpr double kRequestAverageTau = 8;
// Ms, time constant of the requested load of a tenant with a concurrency cap. A shorter one covers too
// few samples.
constexpr Time kRequestedLoadTau = 15000;

}  // namespace lilacmux::decision
