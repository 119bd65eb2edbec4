// A model of a fleet: the real cores of the primary, the relays and the gatekeepers' admission under a
// simulated clock, with delays between them and every message written and read as on the wire. Seeded and
// repeatable.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace lilacmux {

struct FleetPlan {
  unsigned gatekeepers = 92;
  unsigned tenants = 86;
  unsigned relays = 6;
  unsigned zones = 3;
  unsigned servers = 0;       // on the platform's list; 0: three a gatekeeper
  double perGatekeeper = 21;  // requests a second
  double headroom = 1.6;      // a tenant's quota, of what it asks for
  double flood = 0;           // not 0: the largest tenant asks for so many times its quota
  double seconds = 20;
  std::uint64_t seed = 1;
  double oneWayMs = 0.9, nearMs = 0.2;
  double linkMbps = 0;       // of a gatekeeper, inwards; 0: without a limit
  double downloadsPerS = 0;  // at each gatekeeper, which come through that link at its full speed
  double downloadKb = 90;    // of each, mean
  double cutRelayAtS = 0;    // not 0: one relay is cut off from then on
  double newPrimaryAtS = 0;  // not 0: another takes the primary's place then
  double primaryGapS = 0;    // before that there is none, and its own relay is gone with it
};

struct FleetFigures {
  std::uint64_t asked = 0, refusedInside = 0, refusedOver = 0;
  double worstOver = 0;   // of a tenant in a window, requests beyond what the rule allows; below 0: none
  double waitedMs = 0;    // mean, of those that waited for a token
  double longWaitMs = 0;  // which one in a hundred of those exceeds
  std::uint64_t waited = 0;
  // A second, at each of these: calls answered, bytes in and out, ledgers and holdings looked at, and ms of
  // processor time for control (writing and reading messages, and what the core does with them).
  struct Cost {
    double calls = 0, bytes = 0, looks = 0, processorMs = 0;
  };
  // A second, between a gatekeeper and its relay: bytes of each field, the frame's own as "frame".
  std::map<std::string, double> callFields, answerFields;
  double gatekeeperCalls = 0;       // a second, of one gatekeeper
  Cost primary, relay, gatekeeper;  // the latter two: the mean of all
  double versionEverywhereMs = 0;   // from the acknowledgement on
};

FleetFigures playFleet(const FleetPlan& plan);
std::string asJson(const FleetPlan& plan, const FleetFigures& figures);

}  // namespace lilacmux
