// The rate limit of a tenant, and the sliding-window rule by which operators check whether it was kept.
#pragma once

namespace lilacmux {

// The limit on a tenant's requests that all gatekeepers together may admit: a token bucket.
struct Quota {
  double rate = 0;   // requests per second
  double burst = 0;  // requests at once
};

// The requests that may be admitted within any window of `windowSeconds`:
// (rate * windowSeconds + burst) * (1 + overage) + slack.
struct QuotaRule {
  double windowSeconds = 5;
  double overage = 0;          // fraction of the limit, 0 or more
  double slack = 0;            // requests, 0 or more
  double safetyMargin = 0.35;  // fraction of the tolerance beyond the limit that is left unused; 0 to 1

  // Returns the largest token bucket that keeps the rule for a limit of `rate` requests per second and
  // `burst` requests at once.
  Quota quotaFor(double rate, double burst) const;
};

}  // namespace lilacmux
