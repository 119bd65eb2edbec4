// Counters of a gateway since its start, for its metrics.
#pragma once

#include <cstdint>

namespace lilacmux {

struct GatewayCounters {
  // Requests of limited tenants, by what came of the token that each needs.
  std::uint64_t tokenTaken = 0;     // the tenant had one here
  std::uint64_t tokenFetched = 0;   // one came from the relay in time
  std::uint64_t tokenDenied = 0;    // over the quota
  std::uint64_t tokenTimedOut = 0;  // none came in time, and it is not known whether there was one

  std::uint64_t withoutLease = 0;   // rejected for want of a configuration or a lease
  std::uint64_t withoutServer = 0;  // rejected as no server could take them
};

}  // namespace lilacmux
