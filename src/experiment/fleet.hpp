// The fleet experiment: how quotas, relays and gateways behave at a given size, in a seeded and repeatable
// simulation of the real cores (fleet_model.hpp).
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
  unsigned servers = 0;       // on the platform's list; 0: three a gateway
  double perGatekeeper = 21;  // requests per second
  double headroom = 1.6;      // a tenant's quota, as a multiple of its demand
  double flood = 0;           // not 0: the largest tenant's demand, as a multiple of its quota
  double seconds = 20;        // that are counted, after a warm-up
  std::uint64_t seed = 1;
  double oneWayMs = 0.9;     // between a relay and the primary
  double nearMs = 0.2;       // between a gateway and its relay, one way
  double linkMbps = 0;       // of a gateway, inwards; 0: without a limit
  double downloadsPerS = 0;  // at each gateway, through that link at its full speed
  double downloadKb = 90;    // of each, mean
  // Seconds after the warm-up; 0: never.
  double cutRelayAtS = 0;    // one relay is partitioned from the primary from then on
  double newPrimaryAtS = 0;  // another primary takes over
  double primaryGapS = 0;    // so long before that there is none, and the old one's relay is gone with it
};

struct FleetFigures {
  // Mean per second at one node.
  struct Cost {
    double calls = 0;        // answered
    double bytes = 0;        // in and out
    double looks = 0;        // ledgers and holdings visited
    double processorMs = 0;  // for control: writing and reading messages, and what the cores do with them
  };

  std::uint64_t asked = 0;          // clients' requests
  std::uint64_t refusedInside = 0;  // rejected though inside their tenant's quota
  std::uint64_t refusedOver = 0;    // rejected of the tenant that floods
  double worstOver = 0;             // requests beyond what the rule allows a tenant in a window; 0: none
  std::uint64_t waited = 0;         // requests that waited for a token
  double waitedMs = 0;              // mean of those
  double longWaitMs = 0;            // 99th percentile of those
  // Bytes per second between a gateway and its relay, by field; the frame's own as "frame".
  std::map<std::string, double> callFields, answerFields;
  double gatekeeperCalls = 0;  // per second, of one gateway
  Cost primary, relay, gatekeeper;
  double versionEverywhereMs = 0;  // from a change's acknowledgement until the last gateway has it
};

FleetFigures playFleet(const FleetPlan& plan);
std::string asJson(const FleetPlan& plan, const FleetFigures& figures);

}  // namespace lilacmux
