// Pure functions that decide how much of a tenant's quota one holder is granted.
#pragma once

#include "quota/grant_table.hpp"

namespace lilacmux {

// Rounds down to a thousandth, which is short on the wire and exact there.
double roundedDownForWire(double value);

// Returns the tokens per second that the holder may use while it is disconnected. One part of the quota's
// rate is divided evenly, the rest by average request rate; rates that other holders still have are not
// granted again.
double rateToGrant(const GrantTable& table, const Holding& holding);

// Returns the tokens to grant to the holder now; below 0 if the holder must return tokens. The grant covers
// the target reserve and the waiting requests. If all holders together request more than may be granted, the
// holder gets a proportional part; if the bucket is nearly empty, it gets no more than its part of the
// request rate. `wholeTokens` is as in `ShareTiming`.
double tokensToGrant(const GrantTable& table, const Holding& holding, BucketRefill refill, bool wholeTokens);

}  // namespace lilacmux
